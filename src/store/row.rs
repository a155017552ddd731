//! Rows of the table service.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<T> {
    /// Version; each write raises it by one.
    pub version: u64,
    /// Content.
    pub value: T,
    /// Id of the change that wrote it.
    pub change_id: Name,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome<T> {
    /// The write took effect; the new version.
    Done(u64),
    /// The row had another version than expected; the current row, if there is one.
    Conflict(Option<Row<T>>),
}
