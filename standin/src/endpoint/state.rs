//! State of a member, protected by one lock.

use std::{net::SocketAddr, time::Instant};

use rusqlite::Connection;

use super::{LogEntry, Role, Statement};

/// State of a member.
pub struct State {
    /// Highest term that this member has accepted.
    pub term: u64,
    /// Term whose primary this log is synchronized with: the log holds all that
    /// the primary held when this member began to pull from it, and no entry
    /// that contradicts the primary's log.
    pub synced_term: u64,
    /// Role in the group.
    pub role: Role,
    /// Address of the primary that this member follows.
    pub primary: Option<SocketAddr>,
    /// When a replica last received an answer from its primary.
    pub primary_seen: Instant,
    /// Position that the log must reach to be synchronized with the primary.
    pub sync_position: usize,
    /// Received entries with the time they arrived or were committed.
    pub log: Vec<(LogEntry, Instant)>,
    /// Number of entries applied to `committed`.
    pub replayed: usize,
    /// Whether the member can't reach its peers, nor they it.
    pub is_partitioned: bool,
    /// Delay before an entry reaches this member, in milliseconds.
    pub ship_lag_ms: u64,
    /// Delay between receiving and replaying, in milliseconds.
    pub replay_lag_ms: u64,
    /// Committed data.
    pub committed: Connection,
    /// Committed data plus the open write transaction.
    pub working: Connection,
}

impl State {
    /// Creates an empty state.
    ///
    /// # Panics
    ///
    /// Panics when SQLite can't open an in-memory database.
    pub fn new() -> State {
        State {
            term: 0,
            synced_term: 0,
            role: Role::Replica,
            primary: None,
            primary_seen: Instant::now(),
            sync_position: 0,
            log: Vec::new(),
            replayed: 0,
            is_partitioned: false,
            ship_lag_ms: 0,
            replay_lag_ms: 0,
            committed: open(),
            working: open(),
        }
    }

    /// Term of the entry at `position`, zero before the first.
    pub fn term_at(&self, position: usize) -> u64 {
        match position.checked_sub(1).and_then(|i| self.log.get(i)) {
            Some((entry, _)) => entry.term,
            None => 0,
        }
    }

    /// Applies received entries up to and including `position`.
    pub fn replay_to(&mut self, position: usize) {
        while self.replayed < position.min(self.log.len()) {
            let entry = self.log[self.replayed].0.clone();
            apply(&self.committed, &entry.statements);
            apply(&self.working, &entry.statements);
            self.replayed += 1;
        }
    }

    /// Removes entries after `position`, and rebuilds the data from the log when
    /// some of them were applied.
    pub fn truncate(&mut self, position: usize) {
        self.log.truncate(position);
        if self.replayed <= position {
            return;
        }
        self.committed = open();
        self.working = open();
        self.replayed = 0;
        self.replay_to(position);
    }
}

fn open() -> Connection {
    let db = Connection::open_in_memory().expect("an in-memory database opens");
    db.set_prepared_statement_cache_capacity(64);
    db
}

fn apply(db: &Connection, statements: &[Statement]) {
    for statement in statements {
        // The log holds only statements that succeeded on the primary, on the
        // same data.
        let _ = super::engine::execute(db, statement);
    }
}
