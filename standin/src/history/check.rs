//! The checker: exact, over a whole history.

use std::collections::{BTreeMap, BTreeSet};

use super::{Ended, Event, History};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An acknowledged write is not stored.
    Lost(String),
    /// A write is stored more than once.
    Doubled(String),
    /// A write was refused as not run, and is stored.
    RanAfterAll(String),
    /// A session did not see its own acknowledged write.
    OwnWriteNotSeen(String),
    /// A transaction was seen in part.
    Mixed(usize),
    /// A VM went back to an older configuration.
    Reverted(usize),
}

/// Finds every broken promise in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut stored: BTreeMap<&str, usize> = BTreeMap::new();
    for key in &history.stored {
        *stored.entry(key).or_default() += 1;
    }
    let mut found = BTreeSet::new();
    let mut done: BTreeSet<&str> = BTreeSet::new();
    let mut versions: BTreeMap<usize, u64> = BTreeMap::new();
    for event in &history.events {
        match event {
            Event::Write { key, ended, .. } => {
                let count = stored.get(key.as_str()).copied().unwrap_or(0);
                found.extend(check_write(key, *ended, count));
                if *ended == Ended::Done {
                    done.insert(key);
                }
            }
            Event::Read { key, seen, .. } => {
                if *seen == 0 && done.contains(key.as_str()) {
                    found.insert(Violation::OwnWriteNotSeen(key.clone()));
                }
            }
            Event::Pair { session, halves } => {
                if *halves == 1 {
                    found.insert(Violation::Mixed(*session));
                }
            }
            Event::Version { vm, version } => {
                let before = versions.insert(*vm, *version);
                if before.is_some_and(|before| before > *version) {
                    found.insert(Violation::Reverted(*vm));
                }
            }
        }
    }
    found.into_iter().collect()
}

fn check_write(key: &str, ended: Ended, count: usize) -> Option<Violation> {
    let key = key.to_owned();
    match (ended, count) {
        (_, 2..) => Some(Violation::Doubled(key)),
        (Ended::Done, 0) => Some(Violation::Lost(key)),
        (Ended::NotRun, 1) => Some(Violation::RanAfterAll(key)),
        _ => None,
    }
}
