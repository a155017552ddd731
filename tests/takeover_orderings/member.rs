//! A member of the group.

use foxtailknot::{lsn::Lsn, prelude::*};

/// Role of a member, as it sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It receives from the member that it follows.
    Replica,
}

/// A commit that the primary has not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// VM that sent it.
    pub vm: usize,
    /// Number of log entries with it.
    pub len: usize,
    /// Time at which it was written, in milliseconds.
    pub written_ms: u64,
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Id.
    pub name: Name,
    /// Whether its process runs.
    pub is_running: bool,
    /// Role.
    pub role: Role,
    /// Term.
    pub term: u64,
    /// Term of the leader that it is synchronized with.
    pub log_term: u64,
    /// Commits.
    pub log: Vec<u32>,
    /// Term of the PAUSE in force; 0 if none.
    pub held_term: u64,
    /// Time of that PAUSE, in milliseconds.
    pub held_since_ms: u64,
    /// Member that it follows.
    pub follows: Option<usize>,
    /// Commits that wait for a replica.
    pub waiting: Vec<Waiting>,
    /// Time of its restart under its id, in milliseconds.
    pub restarted_ms: Option<u64>,
    /// Whether its entry says that it is leaving.
    pub is_leaving: bool,
    /// Whether its entry is in the store.
    pub is_listed: bool,
    /// Time until which it refuses new orders, in milliseconds.
    pub busy_until_ms: u64,
    /// Time from which it reads orders again, in milliseconds.
    pub reads_from_ms: u64,
    /// Number of orders that it has received while it did not read.
    pub unread: u64,
}

impl Member {
    /// Creates a member that follows the first one.
    pub fn new(index: usize) -> Member {
        Member {
            name: ["primary", "replica-1", "replica-2", "new"][index].into(),
            is_running: index < 3,
            role: match index {
                0 => Role::Primary,
                _ => Role::Replica,
            },
            term: 1,
            log_term: 1,
            log: Vec::new(),
            held_term: 0,
            held_since_ms: 0,
            follows: (index > 0).then_some(0),
            waiting: Vec::new(),
            restarted_ms: None,
            is_leaving: false,
            is_listed: index < 3,
            busy_until_ms: 0,
            reads_from_ms: 0,
            unread: 0,
        }
    }

    /// Last position received.
    pub fn received(&self) -> Position {
        Position::new(self.log_term, Lsn(self.log.len() as u64))
    }

    /// Whether it is a running primary.
    pub fn leads(&self) -> bool {
        self.is_running && self.role == Role::Primary
    }

    /// Whether it receives from `from`.
    pub fn receives_from(&self, from: usize) -> bool {
        self.is_running
            && self.role == Role::Replica
            && self.follows == Some(from)
            && self.held_term <= self.term
    }
}
