//! A VM's copy of a table of the store, put together from what the store and
//! other VMs say.
//!
//! Answers may arrive late, twice or in another order than they were given. A
//! copy never goes back to an older version of a row because of them.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Most deleted rows that a copy remembers. A VM that lacks older ones gets the
/// whole table.
const REMOVED_MAX: usize = 1_000;

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key.
    pub key: Name,
    /// Content, in the encoding of the store.
    pub value: Name,
    /// Version: number of the transaction that wrote or deleted the row.
    pub version: u64,
    /// Whether the row was deleted.
    pub is_removed: bool,
}

/// All rows of a table, or those that changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePage {
    /// Version after which the changes are given; `None` for the whole table.
    pub after: Option<u64>,
    /// Version up to which they are complete.
    pub version: u64,
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// Reason why a page was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum PageError {
    /// Changes between the copy and the page are missing.
    #[display("changes after version {after}, but the copy ends at {version}")]
    Gap {
        /// Version after which the page gives changes.
        after: u64,
        /// Version up to which the copy is complete.
        version: u64,
    },
    /// The page is complete up to an older version than it starts from.
    #[display("changes from version {after} to the older version {version}")]
    Inverted {
        /// Version after which the page gives changes.
        after: u64,
        /// Version up to which the page is complete.
        version: u64,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, PageError>;

/// A copy of a table.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    version: u64,
    rows: BTreeMap<Name, TableRow>,
    /// Versions of remembered deletions, with their keys.
    removed: BTreeSet<(u64, Name)>,
    /// Version from which on all deletions are remembered.
    history_from: u64,
    /// Highest version of a row.
    changed: u64,
}

/// Time for which the store may answer with an older version than a copy before the
/// copy is given up, in milliseconds: longer than any of its answers is late.
const STORE_BEHIND_MS: u64 = 15_000;

/// What to do with an answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// It is as new as the copy was when it was asked for.
    Current,
    /// It is older. Late or stale answers must not take the copy back.
    Stale,
    /// It has been older for so long that the copy must be wrong.
    Contradicts,
}

/// Judges answers of the store by their version.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreJudge {
    behind_since_ms: Option<u64>,
}

impl StoreJudge {
    /// Judges an answer of `version` that arrived at `now_ms` and was asked for when
    /// the copy was complete up to `asked_version`.
    pub fn judge(&mut self, version: u64, asked_version: u64, now_ms: u64) -> StoreAnswer {
        if version >= asked_version {
            self.behind_since_ms = None;
            return StoreAnswer::Current;
        }
        let since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + STORE_BEHIND_MS {
            return StoreAnswer::Stale;
        }
        self.behind_since_ms = None;
        StoreAnswer::Contradicts
    }
}

impl TableCopy {
    /// Version up to which the copy is complete; zero while it is empty.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether it holds changes that a copy which is complete up to `version` lacks.
    pub fn has_changes_after(&self, version: u64) -> bool {
        self.version > version && self.changed > version
    }

    /// The rows that exist.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values().filter(|row| !row.is_removed)
    }

    /// Applies a page; returns whether any row changed.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, when the page does not connect to
    /// the copy or contradicts itself.
    pub fn apply(&mut self, page: TablePage) -> Result<bool> {
        let TablePage {
            after,
            version,
            rows,
        } = page;
        match after {
            Some(after) if version < after => return Err(PageError::Inverted { after, version }),
            Some(after) if after > self.version => {
                let version = self.version;
                return Err(PageError::Gap { after, version });
            }
            None if version < self.version => return Ok(false),
            _ => {}
        }
        let missing: Vec<Name> = match after {
            Some(_) => Vec::new(),
            None => self.missing_from(&rows, version),
        };
        // The copy knows all changes up to its version, deletions included: an
        // older row must not return.
        let known_version = self.version;
        let mut has_changed = false;
        for row in rows {
            if row.version > known_version {
                has_changed |= self.put(row);
            }
        }
        for key in missing {
            let value = Name::from("");
            let is_removed = true;
            has_changed |= self.put(TableRow {
                key,
                value,
                version,
                is_removed,
            });
        }
        if after.is_none() {
            // Deletions before a whole table are not known one by one.
            self.history_from = self.history_from.max(known_version);
        }
        self.version = self.version.max(version);
        self.forget_old_removals();
        Ok(has_changed)
    }

    /// Changes after `version`, or the whole table if not all deletions since
    /// then are remembered.
    pub fn page_after(&self, version: u64) -> TablePage {
        let is_whole = version == 0 || version < self.history_from;
        let rows = self.rows.values();
        let rows = match is_whole {
            true => rows.filter(|row| !row.is_removed).cloned().collect(),
            false => rows.filter(|row| row.version > version).cloned().collect(),
        };
        TablePage {
            after: (!is_whole).then_some(version.min(self.version)),
            version: self.version,
            rows,
        }
    }

    /// Existing rows up to `version` that a whole table does not contain.
    fn missing_from(&self, rows: &[TableRow], version: u64) -> Vec<Name> {
        let kept: BTreeSet<&Name> = rows.iter().map(|row| &row.key).collect();
        let missing = self
            .rows()
            .filter(|row| !kept.contains(&row.key) && row.version <= version);
        missing.map(|row| row.key.clone()).collect()
    }

    fn put(&mut self, row: TableRow) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version >= row.version) {
            return false;
        }
        if let Some(known) = known.filter(|known| known.is_removed) {
            self.removed.remove(&(known.version, known.key.clone()));
        }
        if row.is_removed {
            self.removed.insert((row.version, row.key.clone()));
        }
        self.changed = self.changed.max(row.version);
        self.rows.insert(row.key.clone(), row);
        true
    }

    fn forget_old_removals(&mut self) {
        while self.removed.len() > REMOVED_MAX {
            let Some((version, key)) = self.removed.pop_first() else {
                return;
            };
            self.rows.remove(&key);
            self.history_from = self.history_from.max(version);
        }
    }
}
