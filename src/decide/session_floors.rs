//! What the reads of a session must see of the session's own commits.
//!
//! A position belongs to the log of one service. The database of a session may move to another
//! service and back, so the session keeps a position for each service that it has committed at.
//! Beyond a number of services, which bounds its memory, the time of the commit stands for the
//! position: a read must then see everything that was acknowledged up to that time.

use crate::prelude::*;

/// Most services for which a session keeps a position, which bounds its memory: they fit into
/// one node of the map.
pub const SERVICES_MAX: usize = 8;

/// What a read must see of the commits of its session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionFloor {
    /// Position of the last commit at the service, if it is kept.
    pub position: Option<Position>,
    /// Time before which all other commits there were acknowledged, in milliseconds; zero if
    /// there are none.
    pub since_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct LastCommit {
    position: Position,
    acknowledged_ms: u64,
}

/// The last commits of a session, by service.
#[derive(Clone, Debug, Default)]
pub struct SessionFloors {
    commits: BTreeMap<Name, LastCommit>,
    /// Time before which the commits were acknowledged whose positions are no longer kept, in
    /// milliseconds.
    forgotten_ms: u64,
}

impl SessionFloors {
    /// Records a commit at `service`, acknowledged at `now_ms`.
    pub fn record(&mut self, service: &Name, position: Position, now_ms: u64) {
        let before = self.commits.get(service);
        let position = before.map_or(position, |before| position.max(before.position));
        let commit = LastCommit {
            position,
            acknowledged_ms: now_ms,
        };
        self.commits.insert(service.clone(), commit);
        if self.commits.len() > SERVICES_MAX {
            self.forget_oldest();
        }
    }

    /// What a read at `service` must see.
    pub fn at(&self, service: &Name) -> SessionFloor {
        match self.commits.get(service) {
            // The log of the service has its earlier commits before this position.
            Some(commit) => SessionFloor {
                position: Some(commit.position),
                since_ms: 0,
            },
            None => SessionFloor {
                position: None,
                since_ms: self.forgotten_ms,
            },
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.commits.iter();
        let oldest = oldest.min_by_key(|(_, commit)| commit.acknowledged_ms);
        let Some(service) = oldest.map(|(service, _)| service.clone()) else {
            return;
        };
        if let Some(commit) = self.commits.remove(&service) {
            self.forgotten_ms = self.forgotten_ms.max(commit.acknowledged_ms + 1);
        }
    }
}
