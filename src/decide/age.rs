//! Age of a replica's data, measured with the clock of this VM only.

use std::collections::VecDeque;

use crate::prelude::*;

/// Maximum number of observations kept.
const OBSERVATIONS_MAX: usize = 256;
/// Minimum time between two kept observations, in milliseconds.
const SPACING_MS: u64 = 5;

/// Fraction of the allowed staleness after which a floor is renewed; the rest
/// leaves time to ask for a new one.
const RENEW_SHARE: f64 = 0.8;
/// The same while replicas lag. Renewal starts earlier because the older a
/// floor is, the more replicas have reached it.
const RENEW_SHARE_BEHIND: f64 = 0.4;

/// Whether a floor, the minimum position that a read must see, is due for
/// renewal at this age, for reads that accept data up to `max_staleness_ms`
/// old.
pub fn is_floor_due(age_ms: u64, max_staleness_ms: u64, is_behind: bool) -> bool {
    let share = match is_behind {
        true => RENEW_SHARE_BEHIND,
        false => RENEW_SHARE,
    };
    age_ms as f64 >= max_staleness_ms as f64 * share
}

/// A history of the primary's positions and the times they were asked for.
#[derive(Clone, Debug, Default)]
pub struct AgeTracker {
    observations: VecDeque<(u64, Position)>,
}

impl AgeTracker {
    /// Records that the primary reported `position` when asked at `asked_ms`.
    pub fn observe(&mut self, asked_ms: u64, position: Position) {
        let is_close = |last: &(u64, Position)| asked_ms < last.0 + SPACING_MS;
        match self.observations.back_mut() {
            Some(last) if last.1 == position => {
                last.0 = asked_ms.max(last.0);
                return;
            }
            Some(last) if is_close(last) => return,
            _ => {}
        }
        if self.observations.len() == OBSERVATIONS_MAX {
            self.observations.pop_front();
        }
        self.observations.push_back((asked_ms, position));
    }

    /// Upper bound of the age of data at `replayed`, in milliseconds.
    ///
    /// Data that includes everything the primary had at some time is at most as
    /// old as that time. `None` if no such time is known.
    pub fn age_ms(&self, replayed: Position, now_ms: u64) -> Option<u64> {
        let covered = self.observations.iter().rev().find(|(_, p)| *p <= replayed);
        covered.map(|(asked_ms, _)| now_ms.saturating_sub(*asked_ms))
    }

    /// Position that includes all commits before `since_ms`: the first position
    /// observed from that time on. `None` if there is no such observation.
    pub fn floor(&self, since_ms: u64) -> Option<Position> {
        let found = self
            .observations
            .iter()
            .find(|(asked_ms, _)| *asked_ms >= since_ms);
        found.map(|(_, position)| *position)
    }

    /// Time of the last observation, in milliseconds.
    pub fn newest_ms(&self) -> Option<u64> {
        self.observations.back().map(|(asked_ms, _)| *asked_ms)
    }

    /// Expected time until a replica at `replayed` reaches `wanted`, in
    /// milliseconds, assuming that its lag stays constant.
    pub fn expected_ms(&self, replayed: Position, wanted: Position, now_ms: u64) -> Option<u64> {
        let behind_ms = self.age_ms(replayed, now_ms)?;
        let reached = self.observations.iter().find(|(_, p)| *p >= wanted);
        let since_ms = reached.map_or(0, |(asked_ms, _)| now_ms.saturating_sub(*asked_ms));
        Some(behind_ms.saturating_sub(since_ms))
    }
}
