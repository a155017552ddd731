//! Floors that VMs pass on to one another.
//!
//! A floor says that all commits acknowledged before a time lie at or before a
//! position. Times are on each VM's own clock, so that a floor is passed on with
//! its distance to an event that both VMs know. The receiver may take it for
//! older than it is, never for newer, however long the message was under way.
//!
//! Load: many VMs with few reads of a service each. Without floors of others each
//! has to ask the primary, and gets a floor so new that no replica has reached it.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Allowance for times that are rounded to milliseconds on both sides.
const ROUNDING_MS: u64 = 2;
/// Age from which on a floor is not passed on, in milliseconds: most reads allow
/// no older data.
const AGE_MAX_MS: u64 = 2_500;
/// Most floors in one message; the newest are sent.
const FLOORS_MAX: usize = 64;

/// A floor in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedFloor {
    /// The position.
    pub position: Position,
    /// Age when the answer was written, in milliseconds.
    pub age_ms: u64,
}

/// A floor in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoedFloor {
    /// The position.
    pub position: Position,
    /// Time of the floor, counted from the arrival of the last answer at the
    /// requesting VM, in milliseconds.
    pub offset_ms: i64,
}

/// Floors of a requesting VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoedFloors {
    /// Time at which the receiver wrote its last answer, on its own clock, in
    /// milliseconds.
    pub echo_ms: u64,
    /// Floors by service.
    pub floors: BTreeMap<Name, EchoedFloor>,
}

/// The last answer of a source on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastAnswer {
    /// When the source wrote it, on its clock, in milliseconds.
    pub written_ms: u64,
    /// When it arrived, in milliseconds.
    pub arrived_ms: u64,
}

/// The newest floor of each service that a VM knows.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    floors: BTreeMap<Name, (u64, Position)>,
}

impl Floors {
    /// Records that all commits acknowledged before `since_ms` lie at or before
    /// `position`; returns whether this is newer than what is known.
    pub fn raise(&mut self, service: &Name, since_ms: u64, position: Position) -> bool {
        let known = self.floors.get(service);
        if known.is_some_and(|(at_ms, _)| *at_ms >= since_ms) {
            return false;
        }
        self.floors.insert(service.clone(), (since_ms, position));
        true
    }

    /// The newest floors, for an answer written at `now_ms`.
    pub fn aged(&self, now_ms: u64) -> BTreeMap<Name, AgedFloor> {
        let newest = self.newest_since(now_ms.saturating_sub(AGE_MAX_MS));
        let aged = newest.map(|(service, since_ms, position)| {
            let age_ms = now_ms.saturating_sub(since_ms);
            (service.clone(), AgedFloor { position, age_ms })
        });
        aged.collect()
    }

    /// The floors raised since the last answer of a source was written, for the next
    /// request to it.
    pub fn echoed(&self, last: LastAnswer) -> EchoedFloors {
        let newest = self.newest_since(last.arrived_ms);
        let floors = newest.map(|(service, since_ms, position)| {
            let offset_ms = since_ms as i64 - last.arrived_ms as i64;
            let floor = EchoedFloor {
                position,
                offset_ms,
            };
            (service.clone(), floor)
        });
        EchoedFloors {
            echo_ms: last.written_ms,
            floors: floors.collect(),
        }
    }

    fn newest_since(&self, from_ms: u64) -> impl Iterator<Item = (&Name, u64, Position)> {
        let recent = self.floors.iter();
        let recent = recent.filter(move |(_, (since_ms, _))| *since_ms > from_ms);
        let mut recent: Vec<(&Name, u64, Position)> = recent
            .map(|(service, (since_ms, p))| (service, *since_ms, *p))
            .collect();
        recent.sort_by_key(|(_, since_ms, _)| std::cmp::Reverse(*since_ms));
        recent.truncate(FLOORS_MAX);
        recent.into_iter()
    }
}

/// Time of a floor in the answer to a request that was sent at `asked_ms`.
pub fn since_of_answer(asked_ms: u64, floor: &AgedFloor) -> u64 {
    asked_ms.saturating_sub(floor.age_ms + ROUNDING_MS)
}

/// Time of a floor in a request that echoes an answer written at `echo_ms`; `None`
/// if it can't be, at `now_ms`.
pub fn since_of_request(echo_ms: u64, floor: &EchoedFloor, now_ms: u64) -> Option<u64> {
    let since_ms = echo_ms.checked_add_signed(floor.offset_ms)?;
    let is_possible = echo_ms > 0 && echo_ms <= now_ms && since_ms <= now_ms;
    is_possible.then(|| since_ms.saturating_sub(ROUNDING_MS))
}
