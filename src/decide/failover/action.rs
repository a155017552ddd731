//! What the delegate does.

/// What the delegate does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a member for its report.
    Probe(usize),
    /// Ask the other slot holders whether they reach the primary.
    CheckReachability(usize),
    /// Raise the term on a member.
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
        /// Term raised before.
        term: u64,
    },
    /// Tell everybody; write the row.
    Announce {
        /// Index of the new primary.
        member: usize,
        /// Its term.
        term: u64,
    },
    /// Reserve more terms.
    Reserve,
}
