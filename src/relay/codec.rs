//! Codecs: how messages are written on a socket.

use bytes::{Bytes, BytesMut};

use super::{
    Answer, ErrorClass, Result, SessionState, Statement, StatusReport, prepared::PreparedStatement,
};
use crate::prelude::*;

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session on a database.
    Open {
        /// Name of the database.
        database: Name,
    },
    /// Runs a statement.
    Statement(Statement),
    /// Ends the session.
    Close,
}

/// A request to a member.
#[derive(Clone, Debug)]
pub enum MemberRequest<'a> {
    /// Opens a connection to a service, at one member only.
    Open {
        /// Name of the service.
        service: &'a str,
        /// Id that the member must have.
        member: &'a str,
    },
    /// A statement of a caller, unchanged.
    CallerStatement {
        /// Id that the caller gave it.
        id: &'a [u8],
        /// Position that the member's log must hold.
        after: Option<Position>,
        /// Text.
        text: &'a [u8],
    },
    /// A prepared statement of a caller, under the name it has on the connection.
    Execute {
        /// Id that the caller gave it.
        id: &'a [u8],
        /// Position that the member's log must hold.
        after: Option<Position>,
        /// Name on the connection.
        name: &'a str,
        /// Arguments, as the caller sent them.
        arguments: &'a [u8],
    },
    /// Begins a transaction.
    Begin {
        /// Position that the member's log must hold.
        after: Option<Position>,
        /// Whether it may only read.
        is_read_only: bool,
    },
    /// Rolls a transaction back.
    Rollback,
    /// Sets a value of the session.
    Set {
        /// Name.
        name: &'a [u8],
        /// Value.
        value: &'a [u8],
    },
    /// Prepares a statement.
    Prepare {
        /// Name on the connection.
        name: &'a str,
        /// Whether it reads or writes, and what.
        prepared_statement: &'a PreparedStatement,
    },
    /// Forgets values and prepared statements.
    Reset,
    /// Asks for a report.
    Status,
    /// Tells a replica not to receive anything below a term.
    Hold {
        /// The term.
        term: u64,
    },
    /// Lets a replica receive again.
    Resume,
    /// Makes a primary of a lower term a replica.
    StepDown {
        /// The term.
        term: u64,
    },
}

/// How callers are spoken to.
#[derive(Clone, Copy)]
pub struct CallerCodec {
    /// Takes the next message out of the input; `None` when it is not whole.
    pub decode: fn(&mut BytesMut, usize) -> Result<Option<CallerMessage>>,
    /// Writes that the session may go on, in this state and at this position.
    pub ready: fn(&mut BytesMut, SessionState, Option<Position>),
    /// Writes that a statement is done that no member has run.
    pub complete: fn(&mut BytesMut),
    /// Writes an error. The text says why, and when to come back.
    pub error: fn(&mut BytesMut, ErrorClass, &str),
}

/// How members are spoken to.
#[derive(Clone, Copy)]
pub struct MemberCodec {
    /// Writes a request.
    pub encode: fn(&mut BytesMut, &MemberRequest<'_>),
    /// Takes the next answer out of the input; `None` when it is not whole.
    pub decode: fn(&mut BytesMut) -> Result<Option<Answer>>,
    /// Class of the error in the input with which a member refused to open a
    /// connection before it closed it.
    pub opening_error: fn(&[u8]) -> Option<ErrorClass>,
    /// Reads a report out of an answer's body.
    pub report: fn(&Bytes) -> Result<StatusReport>,
}

/// A message of another VM to this one, which stands for a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardMessage {
    /// Opens a connection to a member.
    Open {
        /// Name of the service.
        service: Name,
        /// Id of the member.
        member: Name,
    },
    /// Sets a value of the session.
    Set {
        /// Name.
        name: Bytes,
        /// Value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare(PreparedStatement),
    /// Forgets values and prepared statements.
    Reset,
    /// Asks for a report of the member.
    Status,
    /// Begins a transaction.
    Begin {
        /// Position that the member's log must hold.
        after: Option<Position>,
        /// Whether it may only read.
        is_read_only: bool,
    },
    /// Rolls a transaction back.
    Rollback,
    /// Runs a statement of a caller. A prepared one has the name that it was
    /// prepared under here.
    Run {
        /// The statement.
        statement: Statement,
        /// Position that the member's log must hold.
        after: Option<Position>,
    },
    /// Closes the connection.
    Close,
}

/// How other VMs are spoken to that send statements through this one. Answers
/// are written as those to callers.
#[derive(Clone, Copy)]
pub struct ForwardCodec {
    /// Takes the next message out of the input; `None` when it is not whole.
    pub decode: fn(&mut BytesMut) -> Result<Option<ForwardMessage>>,
    /// Writes a report.
    pub report: fn(&mut BytesMut, &StatusReport),
}

/// All codecs.
#[derive(Clone, Copy)]
pub struct Codecs {
    /// Towards callers.
    pub caller: CallerCodec,
    /// Towards members.
    pub member: MemberCodec,
    /// Towards other VMs that send statements through this one.
    pub forward: ForwardCodec,
}
