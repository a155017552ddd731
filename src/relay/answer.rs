//! What members answer.

use bytes::Bytes;

use crate::{decide::member::Role, prelude::*};

/// State of a session after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SessionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Transaction,
    /// The transaction failed and waits for its end.
    Failed,
}

/// Class of an error.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorClass {
    /// Too much to do; not run.
    Busy,
    /// Rolled back; nothing is kept.
    Aborted,
    /// The log lacks the position that was asked for; not run.
    Lagging,
    /// The member does not lead; not run.
    ReadOnly,
    /// Another member or service stands at the address; not run.
    WrongMember,
    /// The member has too many connections; not run.
    ConnectionLimit,
    /// The prepared statement is not known; not run.
    NoStatement,
    /// It was run and failed.
    Failed,
    /// It was run and took too long.
    Timeout,
    /// Whether it took effect is not known.
    InDoubt,
    /// The database is not known.
    NoDatabase,
    /// A message is too large.
    TooBig,
    /// The message does not follow the protocol, or not the session's state.
    Malformed,
    /// Anything else.
    Other,
}

/// A whole answer of a member.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Rows and their end, as the member sent them.
    pub body: Bytes,
    /// Class of the error, if it is one.
    pub error: Option<ErrorClass>,
    /// State of the member's session.
    pub state: SessionState,
    /// Position of the member's log.
    pub position: Option<Position>,
}

/// A member's report of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Role.
    pub role: Role,
    /// Term it stands by.
    pub term: u64,
    /// Last position received.
    pub received: Position,
    /// Term for which it was told to stop receiving; zero for none.
    pub held_term: u64,
    /// Time that it is behind its primary, in milliseconds.
    pub lag_ms: u64,
    /// Requests that it works on.
    pub busy: usize,
    /// Connections that are open to it, from all VMs.
    pub connections: usize,
}

impl StatusReport {
    /// Whether it proves that the member leads, where enough of the others
    /// stand by no term above `others_term`.
    pub fn confirms_leadership(&self, others_term: u64) -> bool {
        self.role == Role::Primary && others_term <= self.term
    }
}
