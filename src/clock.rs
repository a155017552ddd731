//! Monotonic clocks.

use std::sync::LazyLock;

use rustix::time::{ClockId, clock_gettime};

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

/// Time since the machine booted, in microseconds. Unlike [`now_us`] it includes
/// time spent suspended, so expiry times are measured with it.
pub fn boot_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Like [`boot_us`], in milliseconds.
pub fn boot_ms() -> u64 {
    boot_us() / 1_000
}

/// Time left until `deadline_ms` on the clock of [`now_ms`]; zero once it has passed.
pub fn until(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(now_ms()))
}

/// Milliseconds since the Unix epoch. For ids only: the wall clock may be set back.
pub fn epoch_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}
