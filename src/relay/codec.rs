//! Codecs and the messages that they encode and decode.

use bytes::{Bytes, BytesMut};

use super::{
    Answer, ErrorClass, Result, SessionState, Statement, StatusReport, accounts::Take,
    prepared::PreparedStatement,
};
use crate::{
    decide::load::{account::AccountKey, allotment::Grant},
    prelude::*,
};

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session on a database.
    Open {
        /// Name of the database.
        database: Name,
        /// Key of a client account; empty if the caller gave none.
        key: AccountKey,
    },
    /// Runs a statement.
    Statement(Statement),
    /// Ends the session.
    Close,
}

/// A request to a member.
#[derive(Clone, Debug)]
pub enum MemberRequest<'a> {
    /// Opens a connection to a service; any member but the named one refuses it.
    Open {
        /// Name of the service.
        service: &'a str,
        /// Expected id of the member.
        member: &'a str,
        /// Client account whose statements run on it; `None` without accounts.
        account: Option<&'a str>,
    },
    /// Names the client account of the statements that follow, on a connection to
    /// another VM.
    SetAccount {
        /// Name of the account; `None` without accounts.
        account: Option<&'a str>,
    },
    /// Runs a statement of a caller, unchanged.
    CallerStatement {
        /// Id assigned by the caller.
        id: &'a [u8],
        /// Position that the member's log must have reached.
        after: Option<Position>,
        /// Text of the statement.
        text: &'a [u8],
    },
    /// Runs a prepared statement of a caller.
    Execute {
        /// Id assigned by the caller.
        id: &'a [u8],
        /// Position that the member's log must have reached.
        after: Option<Position>,
        /// Name of the prepared statement on the connection.
        name: &'a str,
        /// Arguments, as the caller sent them.
        arguments: &'a [u8],
    },
    /// Begins a transaction.
    Begin {
        /// Position that the member's log must have reached.
        after: Option<Position>,
        /// Whether it is read-only.
        is_read_only: bool,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Sets a session variable.
    Set {
        /// Name.
        name: &'a [u8],
        /// Value.
        value: &'a [u8],
    },
    /// Prepares a statement.
    Prepare {
        /// Name of the prepared statement on the connection.
        name: &'a str,
        /// The statement.
        prepared_statement: &'a PreparedStatement,
    },
    /// Clears the session's variables and prepared statements.
    Reset,
    /// Requests the member's report.
    Status,
    /// Fences a replica: it stops receiving from a primary of a lower term.
    Fence {
        /// The term.
        term: u64,
    },
    /// Lets a fenced replica receive again.
    Resume,
    /// Demotes a primary of a lower term to a replica.
    StepDown {
        /// The term.
        term: u64,
    },
}

/// Codec of the protocol with callers.
#[derive(Clone, Copy)]
pub struct CallerCodec {
    /// Takes the next message out of the input; `None` while it is incomplete.
    /// The number is the size limit of a message, in bytes.
    pub decode: fn(&mut BytesMut, usize) -> Result<Option<CallerMessage>>,
    /// Writes that the session is ready for the next statement, with its state
    /// and position.
    pub ready: fn(&mut BytesMut, SessionState, Option<Position>),
    /// Writes the success of a statement that needed no member.
    pub complete: fn(&mut BytesMut),
    /// Writes an error. The text gives the reason and, where it helps, when to
    /// retry.
    pub error: fn(&mut BytesMut, ErrorClass, &str),
}

/// Codec of the protocol with members.
#[derive(Clone, Copy)]
pub struct MemberCodec {
    /// Writes a request.
    pub encode: fn(&mut BytesMut, &MemberRequest<'_>),
    /// Takes the next answer out of the input; `None` while it is incomplete.
    pub decode: fn(&mut BytesMut) -> Result<Option<Answer>>,
    /// Class of the error in the remaining input, where a member refused a new
    /// connection and closed it.
    pub opening_error: fn(&[u8]) -> Option<ErrorClass>,
    /// Parses a report from the body of an answer.
    pub report: fn(&Bytes) -> Result<StatusReport>,
}

/// A message of another VM that uses this one to reach a member.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardMessage {
    /// Opens a connection to a member.
    Open {
        /// Name of the service.
        service: Name,
        /// Id of the member.
        member: Name,
    },
    /// Names the client account of the statements that follow.
    SetAccount {
        /// Name of the account; `None` without accounts.
        account: Option<Name>,
    },
    /// Asks for tokens of an account's limit. Such messages have a connection of
    /// their own.
    Take(Take),
    /// Sets a session variable.
    Set {
        /// Name.
        name: Bytes,
        /// Value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare(PreparedStatement),
    /// Clears the session's variables and prepared statements.
    Reset,
    /// Requests the member's report.
    Status,
    /// Demotes the member, if it is a primary of a lower term, to a replica.
    StepDown {
        /// The term.
        term: u64,
    },
    /// Begins a transaction.
    Begin {
        /// Position that the member's log must have reached.
        after: Option<Position>,
        /// Whether it is read-only.
        is_read_only: bool,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Runs a statement of a caller. A prepared statement is called by the name
    /// that it was prepared under on this connection.
    Run {
        /// The statement.
        statement: Statement,
        /// Position that the member's log must have reached.
        after: Option<Position>,
    },
    /// Closes the connection.
    Close,
}

/// Codec of the protocol with other VMs that forward statements through this
/// one. Answers are written with the codec for callers.
#[derive(Clone, Copy)]
pub struct ForwardCodec {
    /// Takes the next message out of the input; `None` while it is incomplete.
    pub decode: fn(&mut BytesMut) -> Result<Option<ForwardMessage>>,
    /// Writes a report.
    pub report: fn(&mut BytesMut, &StatusReport),
    /// Writes a request for tokens.
    pub encode_take: fn(&mut BytesMut, &Take),
    /// Writes the answer to one.
    pub encode_grant: fn(&mut BytesMut, &Grant),
    /// Takes the next such answer out of the input; `None` while it is incomplete.
    pub decode_grant: fn(&mut BytesMut) -> Result<Option<Grant>>,
}

/// The codecs of a relay.
#[derive(Clone, Copy)]
pub struct Codecs {
    /// For callers.
    pub caller: CallerCodec,
    /// For members.
    pub member: MemberCodec,
    /// For other VMs that forward statements through this one.
    pub forward: ForwardCodec,
}
