//! The checker of histories finds a planted violation of each kind, and finds
//! nothing in a history that keeps every promise.

mod common;

use standin::history::{Ended, Event, History, Violation, check};

fn write(key: &str, ended: Ended) -> Event {
    Event::Write {
        session: 0,
        key: key.into(),
        ended,
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

/// Checks a history of `events` after which `stored` is held.
fn finds(events: Vec<Event>, stored: &[&str], expected: &[Violation]) {
    let history = History {
        events,
        stored: stored.iter().map(|key| key.to_string()).collect(),
    };
    assert_eq!(check(&history), expected);
}

common::cases! {
    finds:
    nothing_in_a_good_history(
        vec![
            write("a", Ended::Done),
            read("a", 1),
            write("b", Ended::Unknown),
            write("c", Ended::Unknown),
            write("d", Ended::NotRun),
            Event::Pair { session: 0, halves: 2 },
            version(1),
            version(2),
        ],
        &["a", "b"],
        &[],
    ),
    a_lost_write(
        vec![write("a", Ended::Done)],
        &[],
        &[Violation::Lost("a".into())],
    ),
    a_doubled_write(
        vec![write("a", Ended::Unknown)],
        &["a", "a"],
        &[Violation::Doubled("a".into())],
    ),
    a_write_that_ran_after_all(
        vec![write("a", Ended::NotRun)],
        &["a"],
        &[Violation::RanAfterAll("a".into())],
    ),
    an_own_write_not_seen(
        vec![write("a", Ended::Done), read("a", 0)],
        &["a"],
        &[Violation::OwnWriteNotSeen("a".into())],
    ),
    a_mixed_transaction(
        vec![Event::Pair { session: 7, halves: 1 }],
        &[],
        &[Violation::Mixed(7)],
    ),
    a_reverted_configuration(
        vec![version(2), version(1)],
        &[],
        &[Violation::Reverted(3)],
    ),
}
