//! The history checker finds a planted violation of each kind, and none in a
//! history that keeps every guarantee.

mod common;

use standin::history::{Event, History, Violation, WriteOutcome, check};

fn write(key: &str, outcome: WriteOutcome) -> Event {
    Event::Write {
        session: 0,
        key: key.into(),
        outcome,
    }
}

fn read(key: &str, seen: usize) -> Event {
    Event::Read {
        session: 0,
        key: key.into(),
        seen,
    }
}

fn version(version: u64) -> Event {
    Event::Version { vm: 3, version }
}

/// Checks a history of `events` that ends with the rows `stored`.
fn finds(events: Vec<Event>, stored: &[&str], expected: &[Violation]) {
    let history = History {
        events,
        stored: stored.iter().map(|key| key.to_string()).collect(),
    };
    assert_eq!(check(&history), expected);
}

common::cases! {
    finds:
    nothing_in_a_consistent_history(
        vec![
            write("a", WriteOutcome::Done),
            read("a", 1),
            write("b", WriteOutcome::Unknown),
            write("c", WriteOutcome::Unknown),
            write("d", WriteOutcome::NotRun),
            Event::Pair { session: 0, rows_seen: 2 },
            version(1),
            version(2),
        ],
        &["a", "b"],
        &[],
    ),
    a_lost_write(
        vec![write("a", WriteOutcome::Done)],
        &[],
        &[Violation::LostWrite("a".into())],
    ),
    a_duplicate_write(
        vec![write("a", WriteOutcome::Unknown)],
        &["a", "a"],
        &[Violation::DuplicateWrite("a".into())],
    ),
    a_stored_write_reported_as_not_run(
        vec![write("a", WriteOutcome::NotRun)],
        &["a"],
        &[Violation::RejectedWriteStored("a".into())],
    ),
    a_stale_read_of_an_own_write(
        vec![write("a", WriteOutcome::Done), read("a", 0)],
        &["a"],
        &[Violation::StaleRead("a".into())],
    ),
    a_partly_read_transaction(
        vec![Event::Pair { session: 7, rows_seen: 1 }],
        &[],
        &[Violation::FracturedRead(7)],
    ),
    a_reverted_configuration(
        vec![version(2), version(1)],
        &[],
        &[Violation::ConfigurationReverted(3)],
    ),
}
