//! Events that make up a history.

/// Outcome of a write as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum WriteOutcome {
    /// Acknowledged.
    Done,
    /// Refused; reported as not run.
    NotRun,
    /// It may or may not have been run.
    Unknown,
}

/// An action of a session or a report of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A session wrote a row with a key of its own.
    Write {
        /// Session.
        session: usize,
        /// Key of the row, unique among all writes.
        key: String,
        /// Outcome.
        outcome: WriteOutcome,
    },
    /// A session counted the rows with one of its keys.
    Read {
        /// Session.
        session: usize,
        /// Key of the row.
        key: String,
        /// Number of rows found.
        seen: usize,
    },
    /// A session wrote two rows in one transaction and then read them with one
    /// statement.
    Pair {
        /// Session.
        session: usize,
        /// Number of these rows that were found.
        rows_seen: usize,
    },
    /// A VM reported its configuration version.
    Version {
        /// VM.
        vm: usize,
        /// Version.
        version: u64,
    },
}

/// Events of a run and the keys that the primary stores at its end.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Events; those of the same session or VM are in order of occurrence.
    pub events: Vec<Event>,
    /// Key of each row stored on the primary at the end, with duplicates.
    pub stored: Vec<String>,
}
