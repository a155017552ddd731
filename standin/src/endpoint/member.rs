//! A member and the group operations that others ask of it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize},
    },
    time::{Duration, Instant},
};

use tokio::sync::{Notify, watch};

use super::{EndpointSettings, Entry, Role, state::State};

/// Longest time a follower's question waits for new entries.
const LOG_WAIT: Duration = Duration::from_millis(200);
/// Most entries in one answer to a follower.
const LOG_BATCH: usize = 500;

/// What a member says of itself.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// Role in the group.
    pub role: Role,
    /// Highest term promised to.
    pub term: u64,
    /// Term whose log this one is a prefix of.
    pub synced_term: u64,
    /// Entries received.
    pub received: usize,
    /// Entries replayed.
    pub replayed: usize,
    /// Time since a replica last heard from its primary, in milliseconds.
    pub primary_seen_ms: u64,
}

/// Answer to a follower that asks for entries.
#[derive(Debug)]
pub enum LogAnswer {
    /// Entries that follow; possibly none yet.
    Entries(Vec<Entry>),
    /// The follower's last entry differs from this log.
    Mismatch,
    /// This member does not lead in the asked term.
    NotPrimary,
}

/// One member of a database group.
pub struct Member {
    /// Command line settings.
    pub settings: EndpointSettings,
    /// Write transactions take turns.
    pub writer: Arc<tokio::sync::Mutex<()>>,
    /// Raised whenever open connections must be dropped.
    pub epoch: watch::Sender<u64>,
    /// Connections of foxtailknot that are open now.
    pub open_connections: AtomicUsize,
    /// Most connections of foxtailknot open at once so far.
    pub peak_connections: AtomicUsize,
    /// Statements on data that foxtailknot's connections ran.
    pub statements: AtomicUsize,
    /// Set while the member answers nobody but its operator.
    pub silent: AtomicBool,
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
            writer: Arc::default(),
            epoch: watch::Sender::new(0),
            open_connections: AtomicUsize::new(0),
            peak_connections: AtomicUsize::new(0),
            statements: AtomicUsize::new(0),
            silent: AtomicBool::new(false),
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

    /// What this member says of itself.
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
    pub fn commit(&self, state: &mut State, entry: Entry) -> usize {
        for statement in &entry.statements {
            let _ = super::call::execute(&state.committed, statement);
        }
        state.log.push((entry, Instant::now()));
        state.replayed = state.log.len();
        self.committed.notify_waiters();
        state.log.len()
    }

    /// Promises to confirm nothing for a lower term.
    ///
    /// A member that has never followed a primary holds no data and refuses,
    /// so it never counts towards a majority.
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

    /// Becomes the primary of a term that was raised before.
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
        if state.cut {
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

    /// Cuts this member off from its peers, or ends that.
    pub fn cut(&self, cut: bool) {
        self.state().cut = cut;
    }

    /// Sets the delays of this member, in milliseconds.
    pub fn set_lag(&self, ship_lag_ms: u64, replay_lag_ms: u64) {
        let mut state = self.state();
        state.ship_lag_ms = ship_lag_ms;
        state.replay_lag_ms = replay_lag_ms;
    }

    /// Closes every connection, as a restart of the server would.
    pub fn drop_connections(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Entries after `position` that are at least `lag_ms` old, once there are any.
    ///
    /// Waits up to 200 ms for them.
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
                let leads = state.role == Role::Primary && state.term == term && !state.cut;
                let matches =
                    position <= state.log.len() && state.term_at(position) == position_term;
                if !leads {
                    return LogAnswer::NotPrimary;
                }
                if !matches {
                    return LogAnswer::Mismatch;
                }
                let lag = Duration::from_millis(lag_ms);
                let due: Vec<Entry> = state.log[position..]
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
