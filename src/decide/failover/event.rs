//! What the delegate hears.

use crate::decide::member::MemberStatus;

/// What the delegate hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A member answered a probe, or did not.
    Probed {
        /// Index of the member.
        member: usize,
        /// Its report.
        status: Option<MemberStatus>,
    },
    /// Requests to the primary failed.
    TrafficFailed,
    /// The other slot holders said whether any of them reaches the primary.
    Reachability {
        /// Whether one reaches it.
        reaches_primary: bool,
    },
    /// A member answered a raise, or did not.
    Raised {
        /// Index of the member.
        member: usize,
        /// Its report.
        status: Option<MemberStatus>,
    },
    /// A member answered a promotion, or did not.
    Promoted {
        /// Index of the member.
        member: usize,
        /// Its report.
        status: Option<MemberStatus>,
    },
    /// Terms were reserved.
    Reserved {
        /// First term.
        from: u64,
        /// First term that is not reserved.
        until: u64,
    },
    /// An operator asks for another primary.
    Order {
        /// Member that is preferred if it is as advanced as any.
        preferred: usize,
    },
}
