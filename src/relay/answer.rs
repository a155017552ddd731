//! Answers and reports of members.

use std::rc::Rc;

use bytes::Bytes;

use super::byte_budget::Reservation;
use crate::{decide::member::Role, prelude::*};

/// State of a session after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SessionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Transaction,
    /// The transaction failed and must be ended by the caller.
    Failed,
}

/// Class of an error. "Not run" means that the statement is safe to retry.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorClass {
    /// Overloaded; not run.
    Busy,
    /// The transaction was rolled back and left no effect.
    Aborted,
    /// The member's log has not reached the requested position; not run.
    Lagging,
    /// The member is not the primary; not run.
    ReadOnly,
    /// The address belongs to another member or service; not run.
    WrongMember,
    /// The member has too many connections; not run.
    ConnectionLimit,
    /// Unknown prepared statement; not run.
    NoStatement,
    /// The statement was run and failed.
    Failed,
    /// The statement was run and took too long.
    Timeout,
    /// It is unknown whether the statement took effect.
    InDoubt,
    /// Unknown database.
    NoDatabase,
    /// The key belongs to no client account; not run.
    Unauthorized,
    /// A message is too large.
    TooBig,
    /// The message is invalid, or not allowed in the session's state.
    Malformed,
    /// Anything else.
    Other,
}

/// A complete answer of a member.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Rows and completion or error, as the member sent them.
    pub body: Bytes,
    /// Class of the error, if the statement failed.
    pub error: Option<ErrorClass>,
    /// State of the member's session.
    pub state: SessionState,
    /// Position of the member's log, if reported.
    pub position: Option<Position>,
    /// Memory that is reserved for a large body.
    pub reservation: Option<Rc<Reservation>>,
}

/// A member's report of its own status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Role.
    pub role: Role,
    /// Term that the member is in.
    pub term: u64,
    /// Last position that the member has received.
    pub received: Position,
    /// Term that it was fenced for: it receives nothing from a primary of a lower
    /// term. Zero if it is not fenced. The log shows it under this name.
    pub held_term: u64,
    /// Replication lag behind its primary.
    pub lag_ms: u64,
    /// Requests that it is processing.
    pub busy: usize,
    /// Open connections to it, from all VMs.
    pub connections: usize,
}

impl StatusReport {
    /// Whether the member leads, given that enough of the other members report
    /// no term above `others_term`.
    pub fn confirms_leadership(&self, others_term: u64) -> bool {
        self.role == Role::Primary && others_term <= self.term
    }
}
