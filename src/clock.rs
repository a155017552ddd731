//! One monotonic clock per process.

use std::sync::LazyLock;

use crate::prelude::*;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since the process started, in milliseconds.
pub fn now_ms() -> u64 {
    START.elapsed().as_millis() as u64
}

/// Time since the process started, in microseconds.
pub fn now_us() -> u64 {
    START.elapsed().as_micros() as u64
}

/// Time left until `deadline_ms`.
pub fn until(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(now_ms()))
}

/// Milliseconds since the Unix epoch, for ids only.
pub fn epoch_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
