//! The checker: exact, over a whole history.

use std::collections::{BTreeMap, BTreeSet};

use super::{Event, History, WriteOutcome};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An acknowledged write is not stored.
    LostWrite(String),
    /// A write is stored more than once.
    DuplicateWrite(String),
    /// A write was refused as not run, and is stored.
    RejectedWriteStored(String),
    /// A session did not see its own acknowledged write.
    StaleRead(String),
    /// A transaction was seen in part.
    FracturedRead(usize),
    /// A VM went back to an older configuration.
    ConfigurationReverted(usize),
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
            Event::Write { key, outcome, .. } => {
                let count = stored.get(key.as_str()).copied().unwrap_or(0);
                found.extend(check_write(key, *outcome, count));
                if *outcome == WriteOutcome::Done {
                    done.insert(key);
                }
            }
            Event::Read { key, seen, .. } => {
                if *seen == 0 && done.contains(key.as_str()) {
                    found.insert(Violation::StaleRead(key.clone()));
                }
            }
            Event::Pair { session, rows_seen } => {
                if *rows_seen == 1 {
                    found.insert(Violation::FracturedRead(*session));
                }
            }
            Event::Version { vm, version } => {
                let before = versions.insert(*vm, *version);
                if before.is_some_and(|before| before > *version) {
                    found.insert(Violation::ConfigurationReverted(*vm));
                }
            }
        }
    }
    found.into_iter().collect()
}

fn check_write(key: &str, outcome: WriteOutcome, count: usize) -> Option<Violation> {
    let key = key.to_owned();
    match (outcome, count) {
        (_, 2..) => Some(Violation::DuplicateWrite(key)),
        (WriteOutcome::Done, 0) => Some(Violation::LostWrite(key)),
        (WriteOutcome::NotRun, 1) => Some(Violation::RejectedWriteStored(key)),
        _ => None,
    }
}
