//! Choice of the member that serves a read, by the session's position and the
//! age of the members' data.

use super::{
    age::AgeTracker,
    member::{self, MemberView},
};
use crate::prelude::*;

/// The minimum position that a session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Floor {
    /// Everything up to this position.
    Known(Position),
    /// Unknown, because the session's writes are unknown; a barrier determines
    /// it.
    Unknown,
}

impl Floor {
    /// Raises a known floor to a position that the session has reached.
    pub fn raise(&mut self, position: Position) {
        match self {
            Floor::Known(known) => *known = position.max(*known),
            Floor::Unknown => {}
        }
    }
}

/// Requirements of a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// Position the session must see.
    pub floor: Floor,
    /// Maximum age of the data in milliseconds; `None` for any age.
    pub max_age_ms: Option<u64>,
    /// Time the request arrived, in milliseconds.
    pub arrived_ms: u64,
    /// Time until which to wait for a replica to catch up, in milliseconds.
    pub wait_until_ms: u64,
}

/// Reason for the choice of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// A replica in the zone has reached the position.
    NearReplica,
    /// A replica in another zone has reached the position.
    FarReplica,
    /// No replica reached the position in time.
    ReplicasBehind,
    /// No replica's data is recent enough.
    ReplicasTooOld,
    /// No replica is usable.
    NoReplica,
}

/// Decision about a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this member.
    Member(usize, Reason),
    /// Ask the members for new reports, then decide again.
    Refresh {
        /// Reports must have been asked for after this time, in milliseconds.
        asked_after_ms: u64,
    },
    /// Wait for a replica to catch up.
    Wait {
        /// Time at which to decide again, in milliseconds.
        until_ms: u64,
    },
    /// Compute a barrier first, because the session's position is unknown.
    Barrier,
    /// No member can serve the read now.
    NoMember,
}

/// Chooses the member that serves a read.
///
/// A replica can serve if its replayed position has reached the floor and its
/// data is recent enough. Replicas in the zone are preferred, then the one with
/// the fewest requests. If none can serve, the replicas are asked for new
/// reports once, then given time to catch up until `wait_until_ms`, unless all
/// of them are expected to take longer. After that the primary serves.
pub fn route(
    request: &ReadRequest,
    members: &[MemberView],
    ages: &AgeTracker,
    now_ms: u64,
) -> Decision {
    let Floor::Known(floor) = request.floor else {
        return Decision::Barrier;
    };
    let covers_floor = |i: &usize| {
        let observed = members[*i].observation;
        observed.is_some_and(|o| o.status.term >= floor.term)
    };
    let primary = member::primary(members).filter(covers_floor);
    let replicas: Vec<usize> = (0..members.len())
        .filter(|i| Some(*i) != primary && members[*i].is_usable())
        .collect();
    let is_fresh = |i: &usize| is_fresh(request, &members[*i], ages, now_ms);
    let has_floor = |i: &usize| {
        let observed = members[*i].observation;
        observed.is_some_and(|o| o.status.has_replayed(floor))
    };
    let mut candidates: Vec<usize> = replicas.iter().copied().filter(has_floor).collect();
    candidates.retain(is_fresh);
    let best = candidates
        .into_iter()
        .min_by_key(|i| (!members[*i].is_near, members[*i].in_use));
    if let Some(best) = best {
        let reason = match members[best].is_near {
            true => Reason::NearReplica,
            false => Reason::FarReplica,
        };
        return Decision::Member(best, reason);
    }
    if replicas.is_empty() {
        return to_primary(primary, Reason::NoReplica);
    }
    let is_refreshed = replicas.iter().all(|i| {
        let observed = members[*i].observation;
        observed.is_some_and(|o| o.is_after(request.arrived_ms))
    });
    if !is_refreshed {
        return Decision::Refresh {
            asked_after_ms: request.arrived_ms,
        };
    }
    let is_too_far_behind = |i: &usize| {
        let replayed = members[*i].observation.map(|o| o.status.replayed());
        let expected_ms = replayed.and_then(|r| ages.expected_ms(r, floor, now_ms));
        expected_ms.is_some_and(|expected_ms| now_ms + expected_ms > request.wait_until_ms)
    };
    let may_catch_up = !replicas.iter().all(is_too_far_behind);
    if now_ms < request.wait_until_ms && may_catch_up {
        return Decision::Wait {
            until_ms: request.wait_until_ms,
        };
    }
    let reason = match replicas.iter().any(has_floor) {
        true => Reason::ReplicasTooOld,
        false => Reason::ReplicasBehind,
    };
    to_primary(primary, reason)
}

fn is_fresh(request: &ReadRequest, view: &MemberView, ages: &AgeTracker, now_ms: u64) -> bool {
    let Some(max_age_ms) = request.max_age_ms else {
        return true;
    };
    let Some(observation) = view.observation else {
        return false;
    };
    let age_ms = ages.age_ms(observation.status.replayed(), now_ms);
    age_ms.is_some_and(|age_ms| age_ms <= max_age_ms)
}

fn to_primary(primary: Option<usize>, reason: Reason) -> Decision {
    match primary {
        Some(primary) => Decision::Member(primary, reason),
        None => Decision::NoMember,
    }
}
