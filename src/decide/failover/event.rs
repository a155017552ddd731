//! Events that the delegate receives.

use crate::decide::member::MemberStatus;

/// An event that the delegate receives.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A probe was answered or has failed.
    Probed {
        /// Index of the member.
        member: usize,
        /// Its report; `None` if it did not answer.
        status: Option<MemberStatus>,
    },
    /// Requests to the primary have failed.
    TrafficFailed,
    /// The other slot holders reported whether any of them reaches the primary.
    Reachability {
        /// Whether at least one of them reaches it.
        reaches_primary: bool,
    },
    /// A request to raise the term was answered or has failed.
    Raised {
        /// Index of the member.
        member: usize,
        /// Its report; `None` if it did not answer.
        status: Option<MemberStatus>,
    },
    /// A request to promote a member was answered or has failed.
    Promoted {
        /// Index of the member.
        member: usize,
        /// Its report; `None` if it did not answer.
        status: Option<MemberStatus>,
    },
    /// Terms were reserved.
    Reserved {
        /// First term.
        from: u64,
        /// First term after the reserved range.
        until: u64,
    },
    /// An operator requested a failover.
    Order {
        /// Index of the member to promote if none is more advanced.
        preferred: usize,
    },
}
