//! Entries of the replicated statement log.

use serde::{Deserialize, Serialize};

/// A statement with its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// Parameter values in text format; `None` is NULL.
    pub params: Vec<Option<String>>,
}

/// One committed transaction. Its position is its index in the log plus one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the primary that committed it.
    pub term: u64,
    /// Statements in order.
    pub statements: Vec<Statement>,
}
