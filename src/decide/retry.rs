//! Delay before a request that certainly was not executed is retried.

use rand::Rng;

/// Exponential backoff.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// First delay, in milliseconds.
    pub base_ms: u64,
    /// Longest delay, in milliseconds.
    pub max_ms: u64,
}

impl Backoff {
    /// Delay before the next attempt after `failures` failed ones, in
    /// milliseconds.
    pub fn delay_ms(&self, failures: u32) -> u64 {
        let doublings = failures.saturating_sub(1).min(16);
        self.base_ms.saturating_mul(1 << doublings).min(self.max_ms)
    }

    /// The same, shortened by up to half at random, so that callers which failed
    /// together do not retry together.
    pub fn jittered_ms(&self, failures: u32, random: &mut impl Rng) -> u64 {
        let delay_ms = self.delay_ms(failures);
        random.random_range(delay_ms / 2..=delay_ms)
    }
}
