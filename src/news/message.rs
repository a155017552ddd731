//! The call by which a VM asks another one for news.

use serde::{Deserialize, Serialize};

use super::packed_rows;
use crate::{
    decide::{
        floor_news::{EchoedFloors, OffsetFloor},
        revision::Revision,
        table_copy::TablePage,
    },
    prelude::*,
};

/// A request for news.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsRequest {
    /// The asking VM.
    pub from: Name,
    /// Version up to which the asking VM's copy of each table is complete.
    pub after: BTreeMap<Name, u64>,
    /// Eras of these versions; missing in requests of older builds.
    #[serde(default)]
    pub eras: BTreeMap<Name, u64>,
    /// Floors that the asking VM raised since the last answer.
    pub floors: EchoedFloors,
    /// Whether the answer is to contain floors.
    pub wants_floors: bool,
    /// Whether rows may be compressed; missing in requests of older builds.
    #[serde(default)]
    pub takes_packed: bool,
    /// Longest time to wait for changes, in milliseconds.
    pub wait_ms: u64,
}

impl NewsRequest {
    /// Revision up to which the asking VM's copy of a table is complete.
    pub fn revision(&self, table: &Name) -> Revision {
        let number = |numbers: &BTreeMap<Name, u64>| numbers.get(table).copied().unwrap_or(0);
        Revision::new(number(&self.eras), number(&self.after))
    }
}

/// News of one table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TableNews {
    /// What the asking VM lacks.
    pub page: TablePage,
    /// The rows of the page, compressed; it has none itself then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed_rows: Option<Name>,
    /// Time since the store last confirmed the table, in milliseconds.
    pub age_ms: u64,
}

impl TableNews {
    /// The page with all its rows.
    ///
    /// # Errors
    ///
    /// Returns an error when compressed rows can't be read.
    pub fn into_page(mut self) -> packed_rows::Result<TablePage> {
        if let Some(packed) = self.packed_rows {
            self.page.rows = packed_rows::unpack(&packed)?;
        }
        Ok(self.page)
    }
}

/// News of the tables that the asked VM has copies of.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NewsAnswer {
    /// News by table.
    pub tables: BTreeMap<Name, TableNews>,
    /// Time of the answer on the clock of the answering VM, in milliseconds.
    pub written_ms: u64,
    /// Time for which the answering VM held the request, in milliseconds; missing in answers
    /// of older builds.
    #[serde(default)]
    pub held_ms: u64,
    /// Floors by service.
    pub floors: BTreeMap<Name, OffsetFloor>,
}

/// Calls for news between VMs.
#[tarpc::service]
pub trait NewsFeed {
    /// Answers as soon as there are changes, or when the wait is over; `None`
    /// while the VM stops.
    async fn changes(request: NewsRequest) -> Option<NewsAnswer>;
}
