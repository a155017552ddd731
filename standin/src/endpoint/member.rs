//! A member of the group and the operations that peers and proxies call on it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize},
    },
    time::{Duration, Instant},
};

use tokio::sync::{Notify, watch};

use super::{EndpointSettings, LogEntry, Role, state::State};

/// Longest time that a replica's request waits for new entries.
const LOG_WAIT: Duration = Duration::from_millis(200);
/// Most entries sent to a replica in one response.
const LOG_BATCH: usize = 500;

/// State that a member reports.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// Role in the group.
    pub role: Role,
    /// Highest term that this member has accepted.
    pub term: u64,
    /// Term whose primary this log is synchronized with.
    pub synced_term: u64,
    /// Entries received.
    pub received: usize,
    /// Entries replayed.
    pub replayed: usize,
    /// Time since a replica last heard from its primary, in milliseconds.
    pub primary_seen_ms: u64,
}

/// Response to a replica that requests log entries.
#[derive(Debug)]
pub enum LogAnswer {
    /// Entries after the requested position; empty when there are none yet.
    Entries(Vec<LogEntry>),
    /// The replica's last entry differs from the one at that position.
    Mismatch,
    /// This member is not the primary of the requested term.
    NotPrimary,
}

/// One member of a database group.
pub struct Member {
    /// Command-line settings.
    pub settings: EndpointSettings,
    /// Held by the open write transaction; there is at most one.
    pub write_lock: Arc<tokio::sync::Mutex<()>>,
    /// Incremented to close all open connections.
    pub connection_generation: watch::Sender<u64>,
    /// Open connections from foxtailknot.
    pub open_connections: AtomicUsize,
    /// Highest number of open connections from foxtailknot so far.
    pub peak_connections: AtomicUsize,
    /// Statements, other than transaction control, run on connections from
    /// foxtailknot.
    pub statements: AtomicUsize,
    /// Whether the member leaves all requests unanswered except `dbgroup_cut` and
    /// `dbgroup_silence`.
    pub is_unresponsive: AtomicBool,
    state: Mutex<State>,
    committed: Notify,
}

impl Member {
    /// Creates a member from its settings.
    pub fn new(settings: EndpointSettings) -> Arc<Member> {
        let mut state = State::new();
        state.ship_lag_ms = settings.ship_lag_ms;
        state.replay_lag_ms = settings.replay_lag_ms;
        if settings.primary {
            state.term = 1;
            state.synced_term = 1;
            state.role = Role::Primary;
        }
        Arc::new(Member {
            settings,
            write_lock: Arc::default(),
            connection_generation: watch::Sender::new(0),
            open_connections: AtomicUsize::new(0),
            peak_connections: AtomicUsize::new(0),
            statements: AtomicUsize::new(0),
            is_unresponsive: AtomicBool::new(false),
            state: Mutex::new(state),
            committed: Notify::new(),
        })
    }

    /// Locks the state.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics under this lock")
    }

    /// Current state as reported to others.
    pub fn status(&self) -> MemberStatus {
        let state = self.state();
        MemberStatus {
            role: state.role,
            term: state.term,
            synced_term: state.synced_term,
            received: state.log.len(),
            replayed: state.replayed,
            primary_seen_ms: match state.role {
                Role::Primary => 0,
                Role::Replica => state.primary_seen.elapsed().as_millis() as u64,
            },
        }
    }

    /// Appends a committed transaction and returns its position.
    pub fn commit(&self, state: &mut State, entry: LogEntry) -> usize {
        for statement in &entry.statements {
            let _ = super::engine::execute(&state.committed, statement);
        }
        state.log.push((entry, Instant::now()));
        state.replayed = state.log.len();
        self.committed.notify_waiters();
        state.log.len()
    }

    /// Accepts a higher term and stops following the primary of a lower one.
    ///
    /// A member that was never synchronized with a primary holds no data and
    /// refuses, so that it never counts towards a majority.
    pub fn raise_term(&self, term: u64) -> MemberStatus {
        let mut state = self.state();
        if state.synced_term > 0 && term > state.term {
            state.term = term;
            state.primary = None;
            if state.role == Role::Primary {
                state.role = Role::Replica;
                self.drop_connections();
            }
        }
        drop(state);
        self.status()
    }

    /// Becomes the primary of a term that `raise_term` has set.
    pub fn promote(&self, term: u64) -> MemberStatus {
        let mut state = self.state();
        if state.term == term && state.role == Role::Replica && state.synced_term > 0 {
            let end = state.log.len();
            state.replay_to(end);
            state.role = Role::Primary;
            state.synced_term = term;
            state.primary = None;
        }
        drop(state);
        self.status()
    }

    /// Follows the primary of `term`; a lower term is refused.
    pub fn follow(&self, term: u64, primary: SocketAddr) -> MemberStatus {
        let mut state = self.state();
        if state.is_partitioned {
            drop(state);
            return self.status();
        }
        let is_newer = term > state.term;
        if is_newer || (term == state.term && state.role == Role::Replica) {
            state.term = term;
            state.primary = Some(primary);
            if state.role == Role::Primary {
                state.role = Role::Replica;
                self.drop_connections();
            }
        }
        drop(state);
        self.status()
    }

    /// Starts or ends a network partition between this member and its peers.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.state().is_partitioned = is_partitioned;
    }

    /// Sets the replication delays of this member, in milliseconds.
    pub fn set_lag(&self, ship_lag_ms: u64, replay_lag_ms: u64) {
        let mut state = self.state();
        state.ship_lag_ms = ship_lag_ms;
        state.replay_lag_ms = replay_lag_ms;
    }

    /// Closes every connection, as a restart of the server would.
    pub fn drop_connections(&self) {
        self.connection_generation
            .send_modify(|generation| *generation += 1);
    }

    /// Entries after `position` that are at least `lag_ms` old; waits up to
    /// 200 ms for the first one.
    pub async fn log_after(
        &self,
        term: u64,
        position: usize,
        position_term: u64,
        lag_ms: u64,
    ) -> LogAnswer {
        let deadline = Instant::now() + LOG_WAIT;
        loop {
            let changed = self.committed.notified();
            let next_due = {
                let state = self.state();
                let leads =
                    state.role == Role::Primary && state.term == term && !state.is_partitioned;
                let matches =
                    position <= state.log.len() && state.term_at(position) == position_term;
                if !leads {
                    return LogAnswer::NotPrimary;
                }
                if !matches {
                    return LogAnswer::Mismatch;
                }
                let lag = Duration::from_millis(lag_ms);
                let due: Vec<LogEntry> = state.log[position..]
                    .iter()
                    .take(LOG_BATCH)
                    .take_while(|(_, at)| at.elapsed() >= lag)
                    .map(|(entry, _)| entry.clone())
                    .collect();
                if !due.is_empty() {
                    return LogAnswer::Entries(due);
                }
                state.log.get(position).map(|(_, at)| *at + lag)
            };
            if Instant::now() >= deadline {
                return LogAnswer::Entries(Vec::new());
            }
            let until = next_due.unwrap_or(deadline).min(deadline);
            let _ = tokio::time::timeout_at(until.into(), changed).await;
        }
    }
}
