//! Timing of the failover.

use bon::Builder;

/// Intervals and timeouts of the failover, in milliseconds.
#[derive(Clone, Copy, Debug, Builder)]
pub struct FailoverSettings {
    /// Probe interval while the primary is healthy.
    #[builder(default = 2_000)]
    pub probe_interval_ms: u64,
    /// Probe interval while the primary is suspected to have failed.
    #[builder(default = 100)]
    pub suspect_interval_ms: u64,
    /// Time without contact after which replicas count the primary as failed.
    #[builder(default = 1_000)]
    pub detect_ms: u64,
    /// Time that probes of the primary must fail before the other slot holders
    /// are asked.
    #[builder(default = 300)]
    pub suspect_ms: u64,
    /// Timeout of a reachability check, a raise of the term or a promotion.
    #[builder(default = 500)]
    pub step_ms: u64,
    /// Minimum time from a promotion to the next failover.
    #[builder(default = 2_000)]
    pub pause_ms: u64,
}
