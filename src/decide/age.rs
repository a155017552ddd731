//! Age of a replica's data, measured on one clock.

use std::collections::VecDeque;

use crate::prelude::*;

/// Most observations kept.
const CAPACITY: usize = 256;
/// Shortest time between two kept observations, in milliseconds.
const SPACING_MS: u64 = 5;

/// Part of the staleness allowed after which a floor is renewed: the rest is
/// for asking.
const RENEW_SHARE: f64 = 0.8;
/// The same while replicas are behind: the older the floor, the more of them
/// can serve.
const RENEW_SHARE_BEHIND: f64 = 0.4;

/// Whether a floor of this age is to be renewed, for reads that allow data of
/// `max_staleness_ms`.
pub fn is_floor_due(age_ms: u64, max_staleness_ms: u64, is_behind: bool) -> bool {
    let share = match is_behind {
        true => RENEW_SHARE_BEHIND,
        false => RENEW_SHARE,
    };
    age_ms as f64 >= max_staleness_ms as f64 * share
}

/// Remembers when the primary was seen at which position.
#[derive(Clone, Debug, Default)]
pub struct AgeTracker {
    seen: VecDeque<(u64, Position)>,
}

impl AgeTracker {
    /// Records that the primary was at `position` when asked at `asked_ms`.
    pub fn observe(&mut self, asked_ms: u64, position: Position) {
        let is_close = |last: &(u64, Position)| asked_ms < last.0 + SPACING_MS;
        match self.seen.back_mut() {
            Some(last) if last.1 == position => {
                last.0 = asked_ms.max(last.0);
                return;
            }
            Some(last) if is_close(last) => return,
            _ => {}
        }
        if self.seen.len() == CAPACITY {
            self.seen.pop_front();
        }
        self.seen.push_back((asked_ms, position));
    }

    /// Upper bound of the age of data at `replayed`, in milliseconds.
    ///
    /// Data that includes everything the primary had at a moment is at most as
    /// old as that moment. `None` when no such moment is known.
    pub fn age_ms(&self, replayed: Position, now_ms: u64) -> Option<u64> {
        let covered = self.seen.iter().rev().find(|(_, p)| *p <= replayed);
        covered.map(|(asked_ms, _)| now_ms.saturating_sub(*asked_ms))
    }

    /// Position that includes all that was done before `since_ms`: the first
    /// one seen after it. `None` when nothing was seen since.
    pub fn floor(&self, since_ms: u64) -> Option<Position> {
        let seen = self.seen.iter().find(|(asked_ms, _)| *asked_ms >= since_ms);
        seen.map(|(_, position)| *position)
    }

    /// Time of the last observation, in milliseconds.
    pub fn newest_ms(&self) -> Option<u64> {
        self.seen.back().map(|(asked_ms, _)| *asked_ms)
    }

    /// Time until data at `replayed` is expected to include `wanted`, in
    /// milliseconds, if the replica stays as far behind as it is.
    pub fn expected_ms(&self, replayed: Position, wanted: Position, now_ms: u64) -> Option<u64> {
        let behind_ms = self.age_ms(replayed, now_ms)?;
        let reached = self.seen.iter().find(|(_, p)| *p >= wanted);
        let since_ms = reached.map_or(0, |(asked_ms, _)| now_ms.saturating_sub(*asked_ms));
        Some(behind_ms.saturating_sub(since_ms))
    }
}
