//! The state of a caller's transaction.

use super::{Route, connection::Connection};
use crate::prelude::*;

/// A caller's transaction. It gets a connection with its first statement.
pub struct Transaction {
    /// Arrival time of the statement that began it.
    pub began_us: u64,
    /// Whether it may only read.
    pub is_read_only: bool,
    /// Route in force when it began at a member, or before that when the caller began it.
    pub route: Arc<Route>,
    /// Its connection, from the first statement until its end.
    pub connection: Option<Connection>,
    /// Term that the member led when the connection was granted; `None` for a replica.
    pub led_term: Option<u64>,
    /// Whether a write was sent to the member.
    pub has_written: bool,
    /// Whether it is confirmed that the member led when the transaction began.
    pub is_leadership_confirmed: bool,
    /// Whether it failed and waits for a rollback or commit of the caller.
    pub is_failed: bool,
}

impl Transaction {
    /// Creates a transaction that has no connection yet.
    pub fn new(route: Arc<Route>, is_read_only: bool, began_us: u64) -> Transaction {
        Transaction {
            began_us,
            is_read_only,
            route,
            connection: None,
            led_term: None,
            has_written: false,
            is_leadership_confirmed: false,
            is_failed: false,
        }
    }
}
