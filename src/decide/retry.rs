//! Delay before a request that was proved not run is tried again.

/// Exponential backoff.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// First delay, in milliseconds.
    pub base_ms: u64,
    /// Longest delay, in milliseconds.
    pub max_ms: u64,
}

impl Backoff {
    /// Delay before the attempt that follows `failures` failed ones, in milliseconds.
    pub fn delay_ms(&self, failures: u32) -> u64 {
        let doublings = failures.saturating_sub(1).min(16);
        self.base_ms.saturating_mul(1 << doublings).min(self.max_ms)
    }
}
