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
pub enum Purpose {
    /// To read at `floor` or later.
    Read {
        /// Minimum position that the session must see.
        floor: Floor,
        /// Largest accepted age of the data, in milliseconds.
        max_age_ms: Option<u64>,
    },
    /// To write.
    Write,
    /// To begin a transaction that may write; its reads need the floor too.
    Begin {
        /// Minimum position that the session must see.
        floor: Floor,
    },
}

/// A request for a connection.
pub struct Acquire {
    /// What the connection is for.
    pub purpose: Purpose,
    /// Latest time to grant it, in milliseconds.
    pub deadline_ms: u64,
    /// Answer.
    pub reply: oneshot::Sender<std::result::Result<Granted, Refusal>>,
}

/// A granted connection.
pub struct Granted {
    /// The connection.
    pub connection: Connection,
    /// Minimum position that reads on it will see.
    pub floor: Option<Position>,
    /// Whether the member is the primary.
    pub is_primary: bool,
}

/// A slot's view of its members and its load, for other VMs and operators.
#[derive(Clone, Debug, Default)]
pub struct SlotReport {
    /// Members.
    pub members: Vec<MemberView>,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of open connections.
    pub open: usize,
}

/// A message to a slot.
pub enum SlotMessage {
    /// Grant a connection.
    Acquire(Acquire),
    /// Return a connection.
    Release {
        /// The connection.
        connection: Connection,
        /// Whether it has no open transaction or unread answer.
        is_clean: bool,
        /// Time it was in use, in microseconds.
        held_us: u64,
    },
    /// A connection was dropped.
    Closed {
        /// Index of the member.
        member: usize,
    },
    /// An attempt to open a connection has ended.
    Opened {
        /// Index of the member.
        member: usize,
        /// The connection, or why it failed.
        result: Result<Connection>,
    },
    /// A member answered a status request, or failed to.
    Observed {
        /// Index of the member.
        member: usize,
        /// Time the report was requested, in milliseconds.
        asked_ms: u64,
        /// The report; `None` when the member did not answer.
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
    /// Check whether a member still answers.
    Check {
        /// Index of the member.
        member: usize,
        /// Term of the member when the connection to it was granted.
        term: u64,
        /// Answer: whether it no longer answers or was replaced.
        reply: oneshot::Sender<bool>,
    },
    /// Request all members' reports now, to find a new primary.
    Refresh,
    /// Report the slot's view of its members and its load.
    Report {
        /// Answer.
        reply: oneshot::Sender<SlotReport>,
    },
    /// Replace the settings.
    Settings(Arc<ServiceSettings>),
}
