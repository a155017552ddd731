//! Messages to a slot.

use futures::channel::oneshot;

use crate::{
    decide::{
        acknowledge::{Commit, Decision},
        member::{MemberView, Observation},
        route::Floor,
    },
    prelude::*,
    proxy::{connection::Connection, error::Refusal, error::Result},
    settings::ServiceSettings,
};

/// What a request needs a connection for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// To read at `floor` or later.
    Read {
        /// Position the session must see.
        floor: Floor,
        /// Oldest data accepted, in milliseconds.
        max_age_ms: Option<u64>,
    },
    /// To write.
    Write,
    /// To begin a transaction that may write: its reads need the floor too.
    Begin {
        /// Position the session must see.
        floor: Floor,
    },
}

/// A request for a connection.
pub struct Acquire {
    /// What for.
    pub want: Want,
    /// Latest time to grant it, in milliseconds.
    pub deadline_ms: u64,
    /// Answer.
    pub reply: oneshot::Sender<std::result::Result<Granted, Refusal>>,
}

/// A connection that was granted.
pub struct Granted {
    /// The connection.
    pub connection: Connection,
    /// Position that the reads on it are known to see.
    pub floor: Option<Position>,
    /// Whether the member is the primary.
    pub is_primary: bool,
}

/// What a slot knows, for other VMs and for operators.
#[derive(Clone, Debug, Default)]
pub struct SlotReport {
    /// Members.
    pub members: Vec<MemberView>,
    /// Requests that wait.
    pub waiting: usize,
    /// Connections open.
    pub open: usize,
}

/// A message to a slot.
pub enum SlotMessage {
    /// Grant a connection.
    Acquire(Acquire),
    /// Take a connection back.
    Release {
        /// The connection.
        connection: Connection,
        /// Whether it is in a clean state.
        is_clean: bool,
        /// Time it was held, in microseconds.
        held_us: u64,
    },
    /// A connection was dropped.
    Closed {
        /// Index of the member.
        member: usize,
    },
    /// A connection was opened, or not.
    Opened {
        /// Index of the member.
        member: usize,
        /// The connection.
        result: Result<Connection>,
    },
    /// A member reported, or did not.
    Observed {
        /// Index of the member.
        member: usize,
        /// Time it was asked, in milliseconds.
        asked_ms: u64,
        /// The report.
        observation: Option<Observation>,
    },
    /// A connection to a member broke.
    Failed {
        /// Index of the member.
        member: usize,
    },
    /// Wait until a commit may be acknowledged.
    Confirm {
        /// The commit.
        commit: Commit,
        /// Answer.
        reply: oneshot::Sender<Decision>,
    },
    /// Ask whether a member still answers.
    Check {
        /// Index of the member.
        member: usize,
        /// Term in which a connection to it was lent.
        term: u64,
        /// Answer: whether it is gone or replaced.
        reply: oneshot::Sender<bool>,
    },
    /// Look for a new primary now.
    Refresh,
    /// Report what is known.
    Report {
        /// Answer.
        reply: oneshot::Sender<SlotReport>,
    },
    /// Use these settings from now on.
    Settings(Arc<ServiceSettings>),
}
