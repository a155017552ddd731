//! Rows of the table service.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<T> {
    /// Raised by each write.
    pub version: u64,
    /// Content.
    pub value: T,
    /// Change that wrote it.
    pub change_id: Name,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written<T> {
    /// It took effect; the new version.
    Done(u64),
    /// The row had another version; the row, if there is one.
    Conflict(Option<Row<T>>),
}
