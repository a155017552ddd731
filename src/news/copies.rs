//! The VM's copies of the tables.

use super::{hub::Hub, options::FollowedTable, packed_rows::PackedCache};
use crate::{
    clock,
    decide::{
        certainty::ConfigAge,
        news_sources::StoreUseKind,
        revision::Revision,
        table_copy::{StoreAnswer, StoreJudge, TableCopy, TablePage},
    },
    decision_log::decision,
    metrics::label,
};

/// A followed table and this VM's copy of it.
pub(super) struct Followed {
    pub(super) table: FollowedTable,
    pub(super) copy: TableCopy,
    /// Rows that were compressed for other VMs last.
    pub(super) packed: PackedCache,
    judge: StoreJudge,
    /// Time at which the store last confirmed the copy, in milliseconds.
    pub(super) confirmed_ms: Option<u64>,
    /// Time at which the store last failed to answer a call about the table, in milliseconds.
    lost_ms: Option<u64>,
}

impl Followed {
    pub(super) fn new(table: FollowedTable) -> Followed {
        Followed {
            table,
            copy: TableCopy::default(),
            packed: PackedCache::default(),
            judge: StoreJudge::default(),
            confirmed_ms: None,
            lost_ms: None,
        }
    }
}

impl Hub {
    /// Revision up to which the copy of a table is complete.
    pub(super) fn revision(&self, table: &str) -> Revision {
        let tables = self.tables.borrow();
        let followed = tables.get(table);
        followed.map_or_else(Revision::default, |f| f.copy.revision())
    }

    /// Time since the store last confirmed the copy of a table, in milliseconds.
    pub(super) fn age_ms(&self, table: &str) -> Option<u64> {
        let tables = self.tables.borrow();
        let confirmed_ms = tables.get(table)?.confirmed_ms?;
        Some(clock::boot_ms().saturating_sub(confirmed_ms))
    }

    /// Applies a page of the store that was asked for when the copy was complete up to
    /// `asked`; returns whether it could be used.
    ///
    /// The store is asked again at once, and that call lasts up to `next_ms`: the copy
    /// counts as confirmed for this time, unless the call fails.
    pub(super) fn apply_from_store(
        &self,
        table: &str,
        page: TablePage,
        asked: Revision,
        next_ms: u64,
    ) -> bool {
        let now_ms = clock::boot_ms();
        let answer = match self.tables.borrow_mut().get_mut(table) {
            Some(followed) => followed.judge.judge(page.revision, asked, now_ms),
            None => StoreAnswer::Current,
        };
        match answer {
            StoreAnswer::Current => return self.apply(table, page, now_ms + next_ms, "store"),
            StoreAnswer::Stale => log::warn!(
                target: "news", table = table, revision = asked.to_string(),
                store = page.revision.to_string(); "older answer of the store ignored"
            ),
            StoreAnswer::Contradicts => {
                log::error!(
                    target: "news", table = table, revision = asked.to_string(),
                    store = page.revision.to_string();
                    "the copy is newer than the store; reading the whole table again"
                );
                if let Some(followed) = self.tables.borrow_mut().get_mut(table) {
                    followed.copy = TableCopy::default();
                }
            }
        }
        false
    }

    /// Counts a call to the store about a table.
    pub(super) fn record_store_call(&self, table: &'static str, way: StoreUseKind, is_done: bool) {
        let outcome = if is_done { "done" } else { "failed" };
        let labels = [
            label("table", table),
            label("way", way),
            label("outcome", outcome),
        ];
        self.metrics.store_calls.add(1, &labels);
    }

    /// Records that a call about a table failed, and whether because of the store.
    pub(super) fn record_failed_call(&self, table: &str, is_store_lost: bool) {
        let now_ms = clock::boot_ms();
        if let Some(followed) = self.tables.borrow_mut().get_mut(table) {
            followed.confirmed_ms = followed.confirmed_ms.map(|at| at.min(now_ms));
            if is_store_lost {
                followed.lost_ms = Some(now_ms);
            }
        }
    }

    /// Age of a table that holds the configuration.
    pub(super) fn config_age(&self, table: &str) -> ConfigAge {
        let tables = self.tables.borrow();
        let Some(followed) = tables.get(table) else {
            return ConfigAge::default();
        };
        ConfigAge {
            age_ms: self.age_ms(table),
            is_platform_lost: followed.lost_ms.is_some()
                && followed.lost_ms >= followed.confirmed_ms,
        }
    }

    /// Records the era of a page. A new one means that the store came back from an
    /// older copy.
    fn record_era(&self, era: u64) {
        let before = *self.era.borrow();
        if before.is_some_and(|before| era <= before) {
            return;
        }
        if let Some(before) = before {
            log::warn!(
                target: "news", era = era, before = before;
                "the store came back from an older copy"
            );
            self.metrics.era_changes.add(1, &[]);
        }
        self.era
            .send_if_modified(|known| known.replace(era).is_some());
    }

    /// Applies a page that the store confirmed at `confirmed_ms`; returns whether it
    /// could be used.
    pub(super) fn apply(
        &self,
        name: &str,
        page: TablePage,
        confirmed_ms: u64,
        source: &str,
    ) -> bool {
        let mut tables = self.tables.borrow_mut();
        let Some(followed) = tables.get_mut(name) else {
            log::warn!(target: "news", table = name, source = source; "news of an unknown table");
            return false;
        };
        let has_changed = match followed.copy.apply(page) {
            Ok(has_changed) => has_changed,
            Err(error) => {
                log::warn!(
                    target: "news", table = name, source = source, reason = error.to_string();
                    "news refused"
                );
                return false;
            }
        };
        self.record_era(followed.copy.revision().era);
        let is_first = followed.confirmed_ms.is_none();
        followed.confirmed_ms = followed.confirmed_ms.max(Some(confirmed_ms));
        let labels = [label("table", followed.table.name)];
        let age_ms = clock::boot_ms().saturating_sub(confirmed_ms);
        self.metrics.news_age_ms.record(age_ms as f64, &labels);
        if has_changed || is_first {
            decision!(
                "news", table = name, revision = followed.copy.revision().to_string(),
                source = source, age_ms = age_ms; "copy changed"
            );
            let on_change = followed.table.on_change.clone();
            let copy = followed.copy.clone();
            drop(tables);
            on_change(&copy);
            self.changed.send_modify(|changes| *changes += 1);
        }
        true
    }
}
