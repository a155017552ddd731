//! Which member serves a request, and on how many connections.

use crate::prelude::*;

/// Extra cost of reading at the primary, in milliseconds: its slots are needed
/// for what only it can do. About one read of a mean length.
const PRIMARY_COST_MS: f64 = 20.0;
/// Extra cost of a member that lacked a position a moment ago, in
/// milliseconds: more than a trip to another region and back.
const BEHIND_COST_MS: f64 = 400.0;
/// Share of a member's connections that all VMs may take together while it
/// reports how many are open; the rest is for VMs that start.
const ELASTIC_SHARE: f64 = 0.7;
/// Share of a member's connections that is dealt out evenly.
const FAIR_SHARE: f64 = 0.8;

/// A member that may serve a read.
#[derive(Clone, Debug)]
pub struct ReadCandidate {
    /// Id of the member.
    pub member: Name,
    /// Whether it leads.
    pub is_primary: bool,
    /// Whether it lacked a position that was asked for a moment ago.
    pub is_behind: bool,
    /// Mean time of a read there, in milliseconds.
    pub mean_ms: f64,
    /// Connections that could serve, open or allowed.
    pub connections: usize,
    /// Of these, those in use.
    pub in_use: usize,
    /// Requests that wait for one.
    pub waiting: usize,
}

impl ReadCandidate {
    /// Expected time until a read would be done, in milliseconds.
    ///
    /// Answers the load of a normal day, where a zone serves its own reads,
    /// and of a heavy one, where a queue at the near member costs more than a
    /// trip to another region.
    fn cost_ms(&self) -> f64 {
        let ahead = (self.in_use + self.waiting + 1).saturating_sub(self.connections);
        let rounds = ahead as f64 / self.connections.max(1) as f64;
        let mut cost_ms = self.mean_ms * (1.0 + rounds);
        if self.is_primary {
            cost_ms += PRIMARY_COST_MS;
        }
        if self.is_behind {
            cost_ms += BEHIND_COST_MS;
        }
        cost_ms
    }
}

/// Chooses the member with the least expected time.
pub fn choose_reader(candidates: &[ReadCandidate]) -> Option<&ReadCandidate> {
    candidates
        .iter()
        .min_by(|a, b| a.cost_ms().total_cmp(&b.cost_ms()))
}

/// Connections that a VM may hold to a member.
///
/// Each of `vms` VMs has a fair share of `connections_max`; it may take more
/// while the member reported, with `reported` open ones, that there is room.
pub fn connection_limit(
    connections_max: usize,
    vms: usize,
    reported: Option<usize>,
    own: usize,
) -> usize {
    let fair = (connections_max as f64 * FAIR_SHARE) as usize / vms.max(1);
    let room = (connections_max as f64 * ELASTIC_SHARE) as usize;
    match reported {
        Some(reported) if reported < room => fair.max(own + 1).max(1),
        _ => fair.max(1),
    }
}
