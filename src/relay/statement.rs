//! What callers ask for.

use bytes::Bytes;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// Kind of a statement, with what the relay needs to know of it.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StatementKind {
    /// Begins a transaction.
    Begin {
        /// Whether it may only read.
        is_read_only: bool,
    },
    /// Ends the transaction and keeps its writes.
    Commit,
    /// Ends the transaction without its writes.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Names a statement of the session.
    Prepare {
        /// Name.
        name: Bytes,
        /// Whether it reads or writes.
        access: Access,
        /// The statement.
        definition: Bytes,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name.
        name: Bytes,
        /// Its arguments, as they came.
        arguments: Bytes,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name.
        name: Bytes,
    },
    /// A text that is none of these.
    Unknown,
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Id that the caller gave it.
    pub id: Bytes,
    /// Kind.
    pub kind: StatementKind,
    /// Text as it came.
    pub text: Bytes,
}
