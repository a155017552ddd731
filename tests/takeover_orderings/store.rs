//! The platform's store: the claim's row and the member list.

use foxtailknot::decide::claim::ClaimRow;

/// The store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The claim's row.
    pub row: Option<ClaimRow>,
    /// Version of the claim's row.
    pub row_version: u64,
    /// Newest version.
    pub version: u64,
    /// Time until which it refuses all calls, in milliseconds.
    pub away_until_ms: u64,
    /// Time until which it holds writes, in milliseconds.
    pub holds_until_ms: u64,
}

impl Store {
    /// Writes the row if it still has a version; returns its new version.
    pub fn write(&mut self, row: ClaimRow, version: u64) -> Option<u64> {
        if version != self.row_version {
            return None;
        }
        // Other rows raise the counter as well.
        self.version += 2;
        self.row_version = self.version;
        self.row = Some(row);
        Some(self.version)
    }
}
