//! Choice of the member that serves a read, by the expected time, and limits on
//! the connections to a member.

use crate::prelude::*;

/// Extra cost of reading at the primary, in milliseconds: its connections are
/// needed for work that only it can do. About the duration of one average read.
const PRIMARY_COST_MS: f64 = 20.0;
/// Extra cost of a member that recently lacked a requested position, in
/// milliseconds: more than a round trip to another region.
const BEHIND_COST_MS: f64 = 400.0;
/// Fraction of a member's connections that all VMs together may open while the
/// member reports its number of open connections; the rest is kept for VMs that
/// start.
const ELASTIC_SHARE: f64 = 0.65;
/// Time after which an idle connection is closed unless it is the only one, in
/// milliseconds: several times the usual pause within a transaction.
const IDLE_MS: u64 = 1_500;
/// The same where connections belong to client accounts: small accounts run an operation
/// every few seconds, and each opening costs a member about as much as a read.
const ACCOUNT_IDLE_MS: u64 = 15_000;
/// Fraction of a member's connections that is divided evenly among the VMs.
const FAIR_SHARE: f64 = 0.8;

/// A member that may serve a read.
#[derive(Clone, Debug)]
pub struct ReadCandidate {
    /// Id of the member.
    pub member: Name,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it recently lacked a position that a read asked for.
    pub is_behind: bool,
    /// Mean duration of a read on the member, in milliseconds.
    pub mean_ms: f64,
    /// Expected duration of this read with the load that the member has, in milliseconds,
    /// where it is learned.
    pub expected_ms: Option<f64>,
    /// Connections that are open or may be opened.
    pub connections: usize,
    /// Number of these connections in use.
    pub in_use: usize,
    /// Requests that wait for a connection.
    pub waiting: usize,
}

impl ReadCandidate {
    /// Expected time until a read completes, in milliseconds.
    ///
    /// Under normal load a zone serves its own reads. Under heavy load a queue
    /// at the nearest member may cost more than a round trip to another region.
    fn cost_ms(&self) -> f64 {
        let ahead = (self.in_use + self.waiting + 1).saturating_sub(self.connections);
        let rounds = ahead as f64 / self.connections.max(1) as f64;
        let mean_ms = self.mean_ms * (1.0 + rounds);
        let mut cost_ms = self.expected_ms.unwrap_or(mean_ms);
        if self.is_primary {
            cost_ms += PRIMARY_COST_MS;
        }
        if self.is_behind {
            cost_ms += BEHIND_COST_MS;
        }
        cost_ms
    }
}

/// Chooses the member with the lowest expected time.
pub fn choose_reader(candidates: &[ReadCandidate]) -> Option<&ReadCandidate> {
    candidates
        .iter()
        .min_by(|a, b| a.cost_ms().total_cmp(&b.cost_ms()))
}

/// Whether a VM is cut off from a service, given that `failing` of its
/// `members` do not answer.
///
/// A VM that reaches only a minority, for example one member of three, can
/// neither confirm which member is primary nor get a commit acknowledged, but
/// other VMs may be able to, so callers are sent there at once.
pub fn is_cut_off(members: usize, failing: usize) -> bool {
    failing * 2 > members
}

/// What a VM knows about the connections to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Maximum number of connections to the member from all VMs together.
    pub connections_max: usize,
    /// Number of equal shares they are divided into; this VM gets one.
    pub shares: usize,
    /// Open connections from all VMs, by the member's latest report.
    pub reported: Option<usize>,
    /// Whether a connection serves one client account only.
    pub has_accounts: bool,
}

impl ConnectionBudget {
    /// Connections that this VM may hold regardless of other VMs.
    pub fn fair_share(&self) -> usize {
        (evenly_shared(self.connections_max) / self.shares.max(1)).max(1)
    }

    /// Whether the member's latest report leaves room for more connections.
    pub fn has_room(&self) -> bool {
        let room = (self.connections_max as f64 * ELASTIC_SHARE) as usize;
        self.reported.is_some_and(|reported| reported < room)
    }

    /// Maximum number of connections for this VM while it holds `own`.
    ///
    /// In a zone with few VMs, or on a VM with more than its part of the
    /// callers, the limit exceeds the fair share while there is room. Idle
    /// connections are closed again.
    pub fn limit(&self, own: usize) -> usize {
        match self.has_room() {
            true => self.fair_share().max(own + 1),
            false => self.fair_share(),
        }
    }

    /// Whether to close a connection that was idle for `idle_ms` while this VM
    /// holds `own`.
    ///
    /// This leaves room for many VMs that restart at once after a power
    /// failure, while the member still counts their old connections for some
    /// time.
    pub fn is_surplus(&self, own: usize, idle_ms: u64) -> bool {
        let idle_limit_ms = match self.has_accounts {
            true => ACCOUNT_IDLE_MS,
            false => IDLE_MS,
        };
        let is_idle = own > 1 && idle_ms >= idle_limit_ms;
        is_idle || (own > self.fair_share() && !self.has_room())
    }
}

/// Connections to a member that are divided evenly among the VMs.
fn evenly_shared(connections_max: usize) -> usize {
    (connections_max as f64 * FAIR_SHARE) as usize
}

/// Connections to a member for the VMs of one region. They are divided among
/// the regions first, because callers connect to VMs nearby.
pub fn connections_for_region(connections_max: usize, regions: usize) -> usize {
    evenly_shared(connections_max) / regions.max(1)
}

/// Number of equal shares that the connections to a member are divided into,
/// for a region in which `holders` VMs hold connections.
pub fn share_count(regions: usize, holders: usize) -> usize {
    regions.max(1) * holders.max(1)
}
