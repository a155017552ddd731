//! Retries: a budget and the delay before each attempt.

use rand::{Rng, rngs::SmallRng};

/// Part of a token that a successful request earns.
const EARNED_PER_SUCCESS: f64 = 0.1;

/// A token bucket that bounds retries to a share of the successful requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Creates a full bucket of `capacity` retries.
    pub fn new(capacity: u32) -> RetryBudget {
        let capacity = f64::from(capacity);
        RetryBudget {
            tokens: capacity,
            capacity,
        }
    }

    /// Records a request that succeeded at its first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_SUCCESS).min(self.capacity);
    }

    /// Takes a token for a retry; `false` when none is left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Exponential backoff with full jitter, as the NResilience Retry paper
/// describes it.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Longest first delay, in milliseconds.
    pub base_ms: u64,
    /// Longest delay of any attempt, in milliseconds.
    pub max_ms: u64,
    /// Whether the delay is drawn from zero to its bound.
    pub has_jitter: bool,
}

impl Backoff {
    /// Delay before the attempt that follows `failures` failed ones, in milliseconds.
    pub fn delay_ms(&self, failures: u32, rng: &mut SmallRng) -> u64 {
        let doubled = self.base_ms.saturating_mul(1 << failures.min(16));
        let bound = doubled.min(self.max_ms);
        match self.has_jitter {
            true => rng.random_range(0..=bound),
            false => bound,
        }
    }
}
