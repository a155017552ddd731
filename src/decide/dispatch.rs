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
const ELASTIC_SHARE: f64 = 0.65;
/// Time after which an idle connection is closed, but for one, in
/// milliseconds: a few times the pause within a transaction.
const IDLE_MS: u64 = 1_500;
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

/// Whether a VM is cut off from a service of `members` members of which
/// `failing` do not answer it.
///
/// Alone with one member it can neither prove who leads nor have a commit
/// acknowledged, but other VMs may: callers are sent there at once.
pub fn is_cut_off(members: usize, failing: usize) -> bool {
    failing * 2 > members
}

/// What a VM knows of the connections to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Most connections to the member, from all VMs together.
    pub connections_max: usize,
    /// Equal shares that they are dealt out in, one for this VM.
    pub shares: usize,
    /// Open ones from all VMs, as the member reported a moment ago.
    pub reported: Option<usize>,
}

impl ConnectionBudget {
    /// Connections that this VM may hold whatever the others do.
    pub fn fair_share(&self) -> usize {
        (dealt(self.connections_max) / self.shares.max(1)).max(1)
    }

    /// Whether the member reported that there is room for more.
    pub fn has_room(&self) -> bool {
        let room = (self.connections_max as f64 * ELASTIC_SHARE) as usize;
        self.reported.is_some_and(|reported| reported < room)
    }

    /// Connections that this VM may hold while it holds `own`.
    ///
    /// Answers the load of a zone with few VMs, or of a VM that got more than
    /// its part of the callers: it takes more while there is room, and gives
    /// them back when they are idle.
    pub fn limit(&self, own: usize) -> usize {
        match self.has_room() {
            true => self.fair_share().max(own + 1),
            false => self.fair_share(),
        }
    }

    /// Whether a connection that was idle for `idle_ms` is to be closed while
    /// this VM holds `own`.
    ///
    /// Answers a start of many VMs at once after a loss of power: the member
    /// keeps the places of their old connections for a while, so there must be
    /// room for the new ones.
    pub fn is_surplus(&self, own: usize, idle_ms: u64) -> bool {
        let is_idle = own > 1 && idle_ms >= IDLE_MS;
        is_idle || (own > self.fair_share() && !self.has_room())
    }
}

/// Connections to a member that are dealt out evenly.
fn dealt(connections_max: usize) -> usize {
    (connections_max as f64 * FAIR_SHARE) as usize
}

/// The part of them that a region gets: callers come to VMs that are near, so
/// the regions share first.
pub fn connections_for_region(connections_max: usize, regions: usize) -> usize {
    dealt(connections_max) / regions.max(1)
}

/// Equal shares that the connections to a member are dealt out in, as seen
/// from a region in which `holders` VMs hold connections.
pub fn share_count(regions: usize, holders: usize) -> usize {
    regions.max(1) * holders.max(1)
}
