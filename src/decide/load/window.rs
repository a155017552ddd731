//! Limit on the requests that a VM runs on a member at once.
//!
//! A member at its capacity refuses statements, and a refusal within a
//! transaction fails the whole transaction. Therefore statements outside
//! transactions are limited as soon as the member refuses any, like TCP's
//! congestion window: additive increase, multiplicative decrease.

/// Initial size, before the member has refused any request: about its slots and
/// a short queue.
const START_SIZE: f64 = 8.0;
/// Minimum size.
const MIN_SIZE: f64 = 1.0;
/// Maximum size: a member's queue is not longer.
const MAX_SIZE: f64 = 24.0;
/// Minimum time between two reductions, in milliseconds: requests sent before
/// the first reduction may still be refused.
const REDUCTION_PAUSE_MS: u64 = 60;

/// Number of requests that may run at once.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: f64,
    reduced_ms: u64,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            size: START_SIZE,
            reduced_ms: 0,
        }
    }
}

impl Window {
    /// Whether another request may run in addition to `running`.
    pub fn has_room(&self, running: usize) -> bool {
        (running as f64) < self.size.floor()
    }

    /// Records an answered request. The size grows by one per window of
    /// answers.
    pub fn done(&mut self) {
        self.size = (self.size + 1.0 / self.size).min(MAX_SIZE);
    }

    /// Records that the member refused a request because it is at its capacity.
    pub fn refused(&mut self, now_ms: u64) {
        if now_ms < self.reduced_ms + REDUCTION_PAUSE_MS {
            return;
        }
        self.reduced_ms = now_ms;
        self.size = (self.size / 2.0).max(MIN_SIZE);
    }
}
