//! Statements of callers.

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

/// Kind of a statement, with the parts that the relay needs.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StatementKind {
    /// Begins a transaction.
    Begin {
        /// Whether it is read-only.
        is_read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a session variable.
    Set {
        /// Name.
        name: Bytes,
        /// Value.
        value: Bytes,
    },
    /// Prepares a statement for the session.
    Prepare {
        /// Name.
        name: Bytes,
        /// Whether it reads or writes.
        access: Access,
        /// Text of the statement.
        definition: Bytes,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name.
        name: Bytes,
        /// Arguments, as the caller sent them.
        arguments: Bytes,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name.
        name: Bytes,
    },
    /// A statement that the codec does not recognize.
    Unknown,
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Id assigned by the caller.
    pub id: Bytes,
    /// Kind, which decides how the relay handles it.
    pub kind: StatementKind,
    /// Text, as the caller sent it.
    pub text: Bytes,
}
