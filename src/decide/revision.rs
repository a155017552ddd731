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

/// Bits of a fence that hold the version.
const VERSION_BITS: u32 = 40;

impl Revision {
    /// Creates a revision.
    pub fn new(era: u64, version: u64) -> Revision {
        Revision { era, version }
    }

    /// The revision as one number that rises with it, for services that compare
    /// fencing tokens.
    pub fn to_fence(self) -> u64 {
        self.era << VERSION_BITS | self.version
    }

    /// The revision that a fence was made of.
    pub fn from_fence(fence: u64) -> Revision {
        Revision {
            era: fence >> VERSION_BITS,
            version: fence & ((1 << VERSION_BITS) - 1),
        }
    }
}
