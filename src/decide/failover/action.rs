//! Actions of the delegate.

/// An action that the delegate takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a member for its report.
    Probe(usize),
    /// Ask the other slot holders whether they reach the primary.
    CheckReachability(usize),
    /// Raise the term of a member.
    Raise {
        /// Index of the member.
        member: usize,
        /// New term.
        term: u64,
    },
    /// Promote a member.
    Promote {
        /// Index of the member.
        member: usize,
        /// Term that was raised before.
        term: u64,
    },
    /// Announce the new primary to other VMs and write it to the service's row.
    Announce {
        /// Index of the new primary.
        member: usize,
        /// Its term.
        term: u64,
    },
    /// Reserve more terms.
    Reserve,
}
