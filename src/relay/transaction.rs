//! A transaction of a caller.

use super::{Route, connection::Connection};
use crate::prelude::*;

/// A transaction of a caller. It takes a connection with its first statement.
pub struct Transaction {
    /// Time its first byte came, in microseconds.
    pub began_us: u64,
    /// Whether it may only read.
    pub is_read_only: bool,
    /// Route in force when it began.
    pub route: Arc<Route>,
    /// Its connection.
    pub link: Option<Connection>,
    /// Term that the member led when the connection was granted.
    pub led_term: Option<u64>,
    /// Whether a statement that writes was sent.
    pub has_written: bool,
    /// Whether it was proved that the member led when the transaction began.
    pub is_proved: bool,
    /// Whether it failed and waits for its end.
    pub is_failed: bool,
}

impl Transaction {
    /// Begins a transaction.
    pub fn new(route: Arc<Route>, is_read_only: bool, began_us: u64) -> Transaction {
        Transaction {
            began_us,
            is_read_only,
            route,
            link: None,
            led_term: None,
            has_written: false,
            is_proved: false,
            is_failed: false,
        }
    }
}
