//! What is followed, and who is told.

use std::rc::Rc;

use super::StoreSource;
use crate::{
    decide::{news_sources::Pace, table_copy::TableCopy},
    metrics::Metrics,
    prelude::*,
};

/// A table that is followed.
#[derive(Clone)]
pub struct FollowedTable {
    /// Name.
    pub name: &'static str,
    /// Longest interval at which the table is read as a whole, in milliseconds; `None` for
    /// a table whose changes are awaited.
    pub read_interval_ms: Option<u64>,
    /// Times of the calls about the table.
    pub pace: Pace,
    /// Called with the copy after each change.
    pub on_change: Rc<dyn Fn(&TableCopy)>,
}

/// Options of the news.
#[derive(Clone, bon::Builder)]
pub struct NewsOptions {
    /// Name of the VM.
    pub vm: Name,
    /// Reads the store.
    pub source: StoreSource,
    /// The tables.
    pub tables: Vec<FollowedTable>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Called with the floors of services that other VMs raised: all commits
    /// acknowledged before a time, in milliseconds, lie at or before a position.
    pub on_floor: FloorListener,
    /// Metrics.
    pub metrics: Metrics,
}

/// Is told of floors: the service, the time in milliseconds, the position.
pub type FloorListener = Rc<dyn Fn(&Name, u64, Position)>;
