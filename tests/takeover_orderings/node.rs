//! Machines of a simulation.

/// A machine that sends or receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A VM of the proxy.
    Vm(usize),
    /// A member: 0 is the first primary, 1 and 2 are replicas, 3 starts later.
    Member(usize),
    /// The platform's store.
    Store,
    /// The promotion service.
    Promotion,
}
