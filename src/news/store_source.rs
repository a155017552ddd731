//! Follows a table of the store itself.

use std::rc::Rc;

use futures::future::LocalBoxFuture;
use rand::Rng;

use super::{hub::Hub, options::FollowedTable};
use crate::{
    clock,
    decide::{
        certainty::is_loss,
        news_sources::{
            STORE_CALL_MS, StoreUse, StoreUseKind, UNUSABLE_ANSWER_PAUSE_MS, follow_retry,
        },
        revision::Revision,
        table_copy::TablePage,
    },
    decision_log::decision,
    prelude::*,
};

/// Reason why the store gave no page.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
pub enum SourceError {
    /// The store does not have the changes that were asked for: it dropped them, or came
    /// back from an older copy.
    #[display("the store does not have the changes since the copy")]
    HistoryDropped,
    /// The call failed.
    #[display("{text}")]
    Unavailable {
        /// Why.
        text: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, SourceError>;

/// A page that is on its way.
pub type PendingPage = LocalBoxFuture<'static, Result<TablePage>>;

/// Functions that read the store.
#[derive(Clone)]
pub struct StoreSource {
    /// Reads a whole table.
    pub read: Rc<dyn Fn(&'static str) -> PendingPage>,
    /// Waits for changes of a table after a version, for at most a number of
    /// milliseconds.
    pub changes: Rc<dyn Fn(&'static str, u64, u64) -> PendingPage>,
}

/// Follows a table as long as the process runs, while this VM is to.
pub(super) async fn follow(hub: Rc<Hub>, table: FollowedTable) {
    let mut failures = 0;
    let mut wants_whole = true;
    let mut way = StoreUseKind::Leave;
    loop {
        let store_use = hub.store_use(&table, failures);
        log_way(&hub, &table, &mut way, store_use, failures);
        match store_use {
            StoreUse::Leave { for_ms } => {
                hub.await_vms(for_ms).await;
                continue;
            }
            StoreUse::Poll { interval_ms } => {
                pause(interval_ms).await;
                if !matches!(hub.store_use(&table, failures), StoreUse::Poll { .. }) {
                    continue;
                }
            }
            StoreUse::Follow => {}
        }
        // After a failure, the answer tells at once that the store is back.
        let wait_ms = match (table.read_interval_ms, store_use) {
            (Some(_), _) => None,
            (None, StoreUse::Follow) if failures == 0 => Some(table.pace.wait_ms),
            (None, _) => Some(0),
        };
        let asked_ms = clock::boot_ms();
        let answer = step(&hub, table.name, wait_ms, wants_whole).await;
        hub.record_store_call(table.name, way, answer.is_ok());
        match answer {
            Ok((page, asked)) => {
                let next_ms = match store_use {
                    StoreUse::Follow => table.read_interval_ms.unwrap_or(table.pace.wait_ms),
                    _ => 0,
                };
                if !hub.apply_from_store(table.name, page, asked, next_ms) {
                    hub.record_failed_call(table.name, true);
                    pause(UNUSABLE_ANSWER_PAUSE_MS).await;
                    continue;
                }
                wants_whole = false;
                if std::mem::take(&mut failures) > 0 {
                    log::info!(target: "dependency", table = table.name; "store available again");
                }
                if let Some(interval_ms) = table.read_interval_ms {
                    pause(interval_ms).await;
                }
            }
            Err(SourceError::HistoryDropped) => {
                log::info!(
                    target: "dependency", table = table.name;
                    "store does not have the changes since the copy; reading the whole table again"
                );
                wants_whole = true;
            }
            Err(error) => {
                let took_ms = clock::boot_ms().saturating_sub(asked_ms);
                let limit_ms = wait_ms.unwrap_or(0) + STORE_CALL_MS;
                hub.record_failed_call(table.name, is_loss(took_ms, limit_ms));
                if failures == 0 {
                    log::warn!(
                        target: "dependency", table = table.name, reason = error.to_string();
                        "store unavailable; retrying"
                    );
                }
                failures += 1;
                // A VM that polls pauses before each call anyway.
                if matches!(store_use, StoreUse::Follow) {
                    let retry = follow_retry(table.pace);
                    let pause_ms = retry.jittered_ms(failures, &mut rand::rng());
                    compio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }
}

/// Logs when a table begins to be read in another way.
fn log_way(
    hub: &Hub,
    table: &FollowedTable,
    way: &mut StoreUseKind,
    store_use: StoreUse,
    failures: u32,
) {
    let next = StoreUseKind::from(store_use);
    if std::mem::replace(way, next) == next {
        return;
    }
    let interval_ms = match store_use {
        StoreUse::Poll { interval_ms } => interval_ms,
        _ => 0,
    };
    decision!(
        "news", table = table.name, way = Into::<&'static str>::into(next),
        age_ms = hub.age_ms(table.name).map_or(-1, |age_ms| age_ms as i64),
        failures = failures, interval_ms = interval_ms; "way of reading the store changed"
    );
}

/// Reads the next changes of a table, or all of it if no wait is given. Returns
/// also the revision up to which the copy was complete before.
async fn step(
    hub: &Hub,
    table: &'static str,
    wait_ms: Option<u64>,
    wants_whole: bool,
) -> Result<(TablePage, Revision)> {
    let asked = hub.revision(table);
    let wait_ms = wait_ms.filter(|_| !wants_whole && asked.version > 0);
    let Some(wait_ms) = wait_ms else {
        return Ok(((hub.source.read)(table).await?, asked));
    };
    let page = (hub.source.changes)(table, asked.version, wait_ms).await?;
    match page.revision.era > asked.era {
        // The version that was asked with means another one in the new era.
        true => Err(SourceError::HistoryDropped),
        false => Ok((page, asked)),
    }
}

/// Pauses for at most the interval, and at least for half of it.
async fn pause(interval_ms: u64) {
    let pause_ms = rand::rng().random_range(interval_ms / 2..=interval_ms);
    compio::time::sleep(Duration::from_millis(pause_ms)).await;
}
