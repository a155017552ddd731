//! Which member serves a read.

use super::{
    age::AgeTracker,
    member::{self, MemberView},
};
use crate::prelude::*;

/// Position that a session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Floor {
    /// All up to here.
    Known(Position),
    /// The session may have written anywhere; a barrier must find out.
    Unknown,
}

impl Floor {
    /// Raises the floor to a position that the session has reached.
    pub fn raise(&mut self, position: Position) {
        match self {
            Floor::Known(known) => *known = position.max(*known),
            Floor::Unknown => {}
        }
    }
}

/// What a read asks for.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// Position the session must see.
    pub floor: Floor,
    /// Oldest data the caller accepts, in milliseconds; `None` for any age.
    pub max_age_ms: Option<u64>,
    /// Time the request arrived, in milliseconds.
    pub arrived_ms: u64,
    /// Time after which a replica is not waited for, in milliseconds.
    pub wait_until_ms: u64,
}

/// Why a read goes where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// A replica in the zone has reached the position.
    NearReplica,
    /// A replica in another zone has reached the position.
    FarReplica,
    /// No replica has reached the position in time.
    ReplicasBehind,
    /// No replica's data is young enough.
    ReplicasTooOld,
    /// No replica can be used.
    NoReplica,
}

/// Decision for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this member.
    Member(usize, Reason),
    /// Ask the members for reports newer than `asked_after_ms`.
    Refresh {
        /// Reports must have been asked for after this time, in milliseconds.
        asked_after_ms: u64,
    },
    /// Wait for a replica to catch up, until this time in milliseconds.
    Wait {
        /// Time to decide again, in milliseconds.
        until_ms: u64,
    },
    /// Take a barrier first: the session's position is not known.
    Barrier,
    /// No member can serve it now.
    Nobody,
}

/// Decides where a read goes.
///
/// A replica serves when its replayed position has reached the floor and its
/// data is young enough. A near replica goes first, then the one with the
/// fewest requests. When all are behind, the replicas are asked once, then
/// waited for until `wait_until_ms` unless they are known to be further behind
/// than that, and then the primary serves.
pub fn route(
    request: &ReadRequest,
    members: &[MemberView],
    ages: &AgeTracker,
    now_ms: u64,
) -> Decision {
    let Floor::Known(floor) = request.floor else {
        return Decision::Barrier;
    };
    let leads_floor = |i: &usize| {
        let observed = members[*i].observation;
        observed.is_some_and(|o| o.status.term >= floor.term)
    };
    let primary = member::primary(members).filter(leads_floor);
    let replicas: Vec<usize> = (0..members.len())
        .filter(|i| Some(*i) != primary && members[*i].is_usable())
        .collect();
    let is_fresh = |i: &usize| is_fresh(request, &members[*i], ages, now_ms);
    let has_floor = |i: &usize| {
        let observed = members[*i].observation;
        observed.is_some_and(|o| o.status.has_replayed(floor))
    };
    let mut able: Vec<usize> = replicas.iter().copied().filter(has_floor).collect();
    able.retain(is_fresh);
    let best = able
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
    let asked_since = replicas.iter().all(|i| {
        let observed = members[*i].observation;
        observed.is_some_and(|o| o.is_after(request.arrived_ms))
    });
    if !asked_since {
        return Decision::Refresh {
            asked_after_ms: request.arrived_ms,
        };
    }
    let is_hopeless = |i: &usize| {
        let replayed = members[*i].observation.map(|o| o.status.replayed());
        let expected_ms = replayed.and_then(|r| ages.expected_ms(r, floor, now_ms));
        expected_ms.is_some_and(|expected_ms| now_ms + expected_ms > request.wait_until_ms)
    };
    let may_catch_up = !replicas.iter().all(is_hopeless);
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
        None => Decision::Nobody,
    }
}
