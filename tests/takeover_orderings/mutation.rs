//! Parts of the mend that a search switches off, in the model only.

/// A part of the mend that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Other VMs never order the primary to step down.
    RelaysSilent,
    /// The member list is read once per attempt.
    ListReadOnce,
    /// A list counts as complete right after the store's return.
    ReturnIgnored,
    /// After an order of unknown outcome the attempt goes on to another member.
    UnknownIsRefused,
    /// Callers are told of a commit without a report of another member.
    CommitsToldAtOnce,
    /// The connection of an order that is given up is not reset.
    OrdersNotReset,
    /// An order without an answer is given up, even if the service's machine has received
    /// it.
    OrdersGivenUp,
    /// Claims are granted although an order may still arrive, and each gets a new token.
    OpenOrdersIgnored,
}
