//! Entries of the statement log.

use serde::{Deserialize, Serialize};

/// A statement with its text parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// Parameters in order, in text form.
    pub params: Vec<Option<String>>,
}

/// One committed transaction. Its position is its index in the log plus one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the primary that committed it.
    pub term: u64,
    /// Statements in order.
    pub statements: Vec<Statement>,
}
