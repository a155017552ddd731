//! A VM's copy of a table of the store, put together from what the store and
//! other VMs say.
//!
//! Answers may arrive late, twice or in another order than they were given. A
//! copy never goes back to an older version of a row because of them.

use serde::{Deserialize, Serialize};

use super::revision::Revision;
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
    /// Version: number of the transaction that wrote or deleted the row, in the era
    /// of its page or copy.
    pub version: u64,
    /// Whether the row was deleted.
    pub is_removed: bool,
}

/// All rows of a table, or those that changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePage {
    /// Version after which the changes are given; `None` for the whole table.
    pub after: Option<u64>,
    /// Revision up to which they are complete.
    #[serde(flatten)]
    pub revision: Revision,
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
    /// The page was made before the store came back from a copy.
    #[display("page of era {era}, but the copy is of era {known_era}")]
    OlderEra {
        /// Era of the page.
        era: u64,
        /// Era of the copy.
        known_era: u64,
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
    revision: Revision,
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
    /// Judges an answer of `revision` that arrived at `now_ms` and was asked for when
    /// the copy was complete up to `asked`.
    pub fn judge(&mut self, revision: Revision, asked: Revision, now_ms: u64) -> StoreAnswer {
        if revision >= asked {
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
    /// Revision up to which the copy is complete; its version is zero while it is empty.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether it holds changes that a copy which is complete up to `revision` lacks.
    pub fn has_changes_after(&self, revision: Revision) -> bool {
        match self.revision.era == revision.era {
            true => self.revision > revision && self.changed > revision.version,
            false => self.revision > revision,
        }
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
            revision: Revision { era, version },
            rows,
        } = page;
        let known_era = self.revision.era;
        if era < known_era {
            return Err(PageError::OlderEra { era, known_era });
        }
        if era > known_era && after.is_none() {
            // Nothing is known of the versions and deletions of the new era.
            *self = TableCopy {
                revision: Revision::new(era, 0),
                ..TableCopy::default()
            };
        }
        match after {
            Some(after) if version < after => return Err(PageError::Inverted { after, version }),
            Some(after) if era > known_era || after > self.revision.version => {
                let version = self.revision.version;
                return Err(PageError::Gap { after, version });
            }
            None if version < self.revision.version => return Ok(false),
            _ => {}
        }
        let missing: Vec<Name> = match after {
            Some(_) => Vec::new(),
            None => self.missing_from(&rows, version),
        };
        // The copy knows all changes up to its version, deletions included: an
        // older row must not return.
        let known_version = self.revision.version;
        let mut has_changed = era > known_era;
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
            // Deletions before the copy's first version are not known.
            let history_from = if known_version == 0 {
                version
            } else {
                known_version
            };
            self.history_from = self.history_from.max(history_from);
        }
        self.revision.version = self.revision.version.max(version);
        self.forget_old_removals();
        Ok(has_changed)
    }

    /// Changes after a revision, or the whole table if it is of an older era or not all
    /// deletions since then are remembered. There is nothing to tell of an older era
    /// than that of the revision.
    pub fn page_after(&self, Revision { era, version }: Revision) -> TablePage {
        if era > self.revision.era {
            return TablePage {
                after: Some(self.revision.version),
                revision: self.revision,
                rows: Vec::new(),
            };
        }
        let is_whole = era != self.revision.era || version == 0 || version < self.history_from;
        let rows = self.rows.values();
        let rows = match is_whole {
            true => rows.filter(|row| !row.is_removed).cloned().collect(),
            false => rows.filter(|row| row.version > version).cloned().collect(),
        };
        TablePage {
            after: (!is_whole).then_some(version.min(self.revision.version)),
            revision: self.revision,
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
