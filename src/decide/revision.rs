//! Order of what the store says, also across restores from an older copy.

use serde::{Deserialize, Serialize};

/// State of the store. A store that comes back from an older copy starts a new era,
/// in which versions go back and are given out again.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{era}.{version}")]
pub struct Revision {
    /// Number of restores so far; zero where it is not told.
    #[serde(default)]
    pub era: u64,
    /// Number of the last transaction in this era.
    pub version: u64,
}

impl Revision {
    /// Creates a revision.
    pub fn new(era: u64, version: u64) -> Revision {
        Revision { era, version }
    }
}
