//! Events of a history, in the order in which each session saw them.

/// How a write ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum WriteOutcome {
    /// Acknowledged.
    Done,
    /// Refused with the word that it was not run.
    NotRun,
    /// The outcome is not known.
    Unknown,
}

/// What a session did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It wrote an entry of its own.
    Write {
        /// Session.
        session: usize,
        /// Key of the entry; no two writes have the same.
        key: String,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// It counted an entry of its own.
    Read {
        /// Session.
        session: usize,
        /// Key of the entry.
        key: String,
        /// Times the entry was seen.
        seen: usize,
    },
    /// It wrote a pair in one transaction, then saw this many of its rows.
    Pair {
        /// Session.
        session: usize,
        /// Rows of the transaction that one read returned.
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

/// A history with what the primary holds in the end.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Events; those of one session are in order.
    pub events: Vec<Event>,
    /// Keys at the primary in the end, each as often as it is there.
    pub stored: Vec<String>,
}
