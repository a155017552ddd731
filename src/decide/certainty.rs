//! Whether a VM may act on its configuration, which may be old.

/// Time by which a timer may fire late on a VM that is not late itself, in milliseconds.
const TIMER_MARGIN_MS: u64 = 250;

/// What a VM knows of the age of its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigAge {
    /// Time since the platform last confirmed that it is the newest, in milliseconds; `None`
    /// if it never has.
    pub age_ms: Option<u64>,
    /// Whether the platform has failed to answer this VM since then.
    pub is_platform_lost: bool,
}

/// What a VM may do with its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Certainty {
    /// It is the newest: the VM runs what it allows and refuses the rest for good.
    Newest,
    /// It may be old, as the platform does not answer this VM: the VM runs what it allows,
    /// since no VM may know better, and refuses the rest for now.
    PlatformLost,
    /// It may be old although the platform has not failed to answer: this VM was suspended,
    /// or its processor is full. It runs nothing, as other VMs know better.
    Late,
}

/// What a VM may do with a configuration that counts as the newest for `max_ms` after the
/// platform confirmed it.
pub fn certainty(age: ConfigAge, max_ms: u64) -> Certainty {
    match age.age_ms {
        Some(age_ms) if age_ms <= max_ms => Certainty::Newest,
        _ if age.is_platform_lost => Certainty::PlatformLost,
        _ => Certainty::Late,
    }
}

/// Whether a call that failed after `took_ms` shows that the other side did not answer within
/// `limit_ms`. One that ended much later shows that this VM itself was late.
pub fn is_loss(took_ms: u64, limit_ms: u64) -> bool {
    took_ms <= limit_ms + TIMER_MARGIN_MS
}
