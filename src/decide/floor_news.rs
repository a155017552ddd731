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

/// A floor in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffsetFloor {
    /// The position.
    pub position: Position,
    /// Time of the floor, counted from when the message that this one answers
    /// arrived at the sender, in milliseconds.
    pub offset_ms: i64,
}

/// Floors of a requesting VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoedFloors {
    /// Time at which the receiver wrote its last answer, on its own clock, in
    /// milliseconds.
    pub echo_ms: u64,
    /// Floors by service.
    pub floors: BTreeMap<Name, OffsetFloor>,
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

    /// The newest floors, for an answer written at `now_ms` to a request that arrived
    /// at `arrived_ms`.
    pub fn for_answer(&self, arrived_ms: u64, now_ms: u64) -> BTreeMap<Name, OffsetFloor> {
        self.offset_from(arrived_ms, now_ms.saturating_sub(AGE_MAX_MS))
    }

    /// The floors raised since the last answer of a source was written, for the next
    /// request to it.
    pub fn echoed(&self, last: LastAnswer) -> EchoedFloors {
        EchoedFloors {
            echo_ms: last.written_ms,
            floors: self.offset_from(last.arrived_ms, last.arrived_ms),
        }
    }

    /// The newest floors after `from_ms`, with their offsets from `arrived_ms`.
    fn offset_from(&self, arrived_ms: u64, from_ms: u64) -> BTreeMap<Name, OffsetFloor> {
        let recent = self.floors.iter();
        let mut recent: Vec<_> = recent.filter(|(_, floor)| floor.0 > from_ms).collect();
        recent.sort_by_key(|(_, floor)| std::cmp::Reverse(floor.0));
        recent.truncate(FLOORS_MAX);
        let floors = recent.into_iter().map(|(service, (since_ms, position))| {
            let floor = OffsetFloor {
                position: *position,
                offset_ms: *since_ms as i64 - arrived_ms as i64,
            };
            (service.clone(), floor)
        });
        floors.collect()
    }
}

/// Time of a floor in a message that answers one which this VM sent at `sent_ms`;
/// `None` if it can't be, at `now_ms`. The sender counted from when that message
/// arrived, which was later.
pub fn floor_since(sent_ms: u64, floor: &OffsetFloor, now_ms: u64) -> Option<u64> {
    let since_ms = sent_ms.checked_add_signed(floor.offset_ms)?;
    let is_possible = sent_ms > 0 && sent_ms <= now_ms && since_ms <= now_ms;
    is_possible.then(|| since_ms.saturating_sub(ROUNDING_MS))
}
