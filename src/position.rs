//! Positions of sessions and members.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::lsn::Lsn;

/// A log position within a term, ordered by term first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the primary that wrote up to this position.
    pub term: u64,
    /// Position in that primary's log.
    pub lsn: Lsn,
}

impl Position {
    /// Creates a position.
    pub fn new(term: u64, lsn: Lsn) -> Position {
        Position { term, lsn }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.lsn)
    }
}
