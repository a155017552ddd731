//! State of a member behind one lock.

use std::{net::SocketAddr, time::Instant};

use rusqlite::Connection;

use super::{Entry, Role, Statement};

/// State of a member.
pub struct State {
    /// Highest term this member has promised to.
    pub term: u64,
    /// Term that this log is in step with: it holds all that the term's primary
    /// held when it began, and nothing else.
    pub synced_term: u64,
    /// Role in the group.
    pub role: Role,
    /// Address of the primary it follows.
    pub primary: Option<SocketAddr>,
    /// When a replica last heard from its primary.
    pub primary_seen: Instant,
    /// Position from which on the log is in step with the primary's term.
    pub step_at: usize,
    /// Received entries with the time they arrived or were committed.
    pub log: Vec<(Entry, Instant)>,
    /// Entries applied to `committed`.
    pub replayed: usize,
    /// Set while the member cannot reach its peers, nor they it.
    pub cut: bool,
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
    /// Panics when the embedded engine can't open a database in memory.
    pub fn new() -> State {
        State {
            term: 0,
            synced_term: 0,
            role: Role::Replica,
            primary: None,
            primary_seen: Instant::now(),
            step_at: 0,
            log: Vec::new(),
            replayed: 0,
            cut: false,
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

    /// Applies received entries up to `position`.
    pub fn replay_to(&mut self, position: usize) {
        while self.replayed < position.min(self.log.len()) {
            let entry = self.log[self.replayed].0.clone();
            apply(&self.committed, &entry.statements);
            apply(&self.working, &entry.statements);
            self.replayed += 1;
        }
    }

    /// Drops entries after `position` and rebuilds the data from the log.
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
        // The primary ran the same statements on the same data, so a
        // statement that failed there is not in the log.
        let _ = super::call::execute(db, statement);
    }
}
