//! Times of the failover.

use bon::Builder;

/// Times of the failover, in milliseconds.
#[derive(Clone, Copy, Debug, Builder)]
pub struct FailoverSettings {
    /// Interval of probes while all is well.
    #[builder(default = 2_000)]
    pub probe_interval_ms: u64,
    /// Interval of probes while the primary is in doubt.
    #[builder(default = 100)]
    pub doubt_interval_ms: u64,
    /// Silence after which a primary counts as failed.
    #[builder(default = 1_000)]
    pub detect_ms: u64,
    /// Time that a primary's probes fail before the others are asked.
    #[builder(default = 300)]
    pub doubt_ms: u64,
    /// Time that opinions, raises and promotions may take.
    #[builder(default = 500)]
    pub step_ms: u64,
    /// Time after a promotion before the next may start.
    #[builder(default = 2_000)]
    pub pause_ms: u64,
}
