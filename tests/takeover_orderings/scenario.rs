//! What a simulated takeover starts from, and what disturbs it.

use super::{disturbance::Disturbance, mutation::Mutation};

/// Why the primary is replaced. It happens at [`TROUBLE_MS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Base {
    /// The first VM no longer reaches the primary; the others do.
    CutFromOne,
    /// No VM reaches the primary for a second and a half.
    CutFromAll,
    /// No VM reaches the primary for long.
    CutFromAllForLong,
    /// The primary is about to leave.
    Leaving,
    /// The primary crashes and comes back with its log after a second.
    Crash,
    /// The primary no longer reaches the replicas.
    CutFromReplicas,
}

impl Base {
    /// All of them.
    pub const ALL: [Base; 6] = [
        Base::CutFromOne,
        Base::CutFromAll,
        Base::CutFromAllForLong,
        Base::Leaving,
        Base::Crash,
        Base::CutFromReplicas,
    ];
}

/// Time at which the reason for the replacement arises, in milliseconds.
pub const TROUBLE_MS: u64 = 1_000;
/// Length of a simulation: an order counts as lost after 15 s, and the next VM orders after
/// it.
pub const END_MS: u64 = 22_000;

/// Times that differ between installations, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From the arrival of a promotion order until it takes effect.
    pub promote_ms: u64,
    /// From the start of a member until it is listed while the store is up.
    pub listing_ms: u64,
    /// From the return of the store until a member that started meanwhile is listed.
    pub return_ms: u64,
    /// One way between any two machines.
    pub link_ms: u64,
    /// From the commit until a replica has received it.
    pub lag_ms: [u64; 4],
    /// Delay before an attempt of each VM.
    pub jitter_ms: [u64; 3],
    /// Between two commits.
    pub commit_gap_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            promote_ms: 1_000,
            listing_ms: 300,
            return_ms: 2_400,
            link_ms: 5,
            lag_ms: [8, 8, 60, 8],
            jitter_ms: [20, 90, 140],
            commit_gap_ms: 100,
        }
    }
}

/// A start, the disturbances, and the parts of the mend that are switched off.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Why the primary is replaced.
    pub base: Base,
    /// Number of VMs.
    pub vms: usize,
    /// Times of the installation.
    pub timing: Timing,
    /// Whether the VMs follow the store, so that they notice when it is away.
    pub follow_store: bool,
    /// What happens besides.
    pub disturbances: Vec<Disturbance>,
    /// Parts of the mend that are switched off.
    pub mutations: Vec<Mutation>,
}

impl Scenario {
    /// A scenario with two VMs and nothing but the reason for a replacement.
    pub fn new(base: Base) -> Scenario {
        Scenario {
            base,
            vms: 2,
            timing: Timing::default(),
            follow_store: true,
            disturbances: Vec::new(),
            mutations: Vec::new(),
        }
    }
}
