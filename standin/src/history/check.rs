//! Checks a complete history against the consistency guarantees.

use std::collections::{BTreeMap, BTreeSet};

use super::{Event, History, WriteOutcome};

/// A violated guarantee, with the key, session or VM concerned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An acknowledged write is not stored.
    LostWrite(String),
    /// A write is stored more than once, whatever its reported outcome.
    DuplicateWrite(String),
    /// A write that was reported as not run is stored.
    RejectedWriteStored(String),
    /// A session did not read its own acknowledged write.
    StaleRead(String),
    /// A session read only part of a transaction.
    FracturedRead(usize),
    /// A VM reported an older configuration version than before.
    ConfigurationReverted(usize),
}

/// Finds all violations in a history, sorted and without duplicates.
pub fn check(history: &History) -> Vec<Violation> {
    let mut stored_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for key in &history.stored {
        *stored_counts.entry(key).or_default() += 1;
    }
    let mut violations = BTreeSet::new();
    let mut acknowledged: BTreeSet<&str> = BTreeSet::new();
    let mut versions: BTreeMap<usize, u64> = BTreeMap::new();
    for event in &history.events {
        match event {
            Event::Write { key, outcome, .. } => {
                let count = stored_counts.get(key.as_str()).copied().unwrap_or(0);
                violations.extend(check_write(key, *outcome, count));
                if *outcome == WriteOutcome::Done {
                    acknowledged.insert(key);
                }
            }
            Event::Read { key, seen, .. } => {
                if *seen == 0 && acknowledged.contains(key.as_str()) {
                    violations.insert(Violation::StaleRead(key.clone()));
                }
            }
            Event::Pair { session, rows_seen } => {
                if *rows_seen == 1 {
                    violations.insert(Violation::FracturedRead(*session));
                }
            }
            Event::Version { vm, version } => {
                let previous = versions.insert(*vm, *version);
                if previous.is_some_and(|previous| previous > *version) {
                    violations.insert(Violation::ConfigurationReverted(*vm));
                }
            }
        }
    }
    violations.into_iter().collect()
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
