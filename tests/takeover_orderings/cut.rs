//! A link that is cut in one direction.

use super::node::Node;

/// A cut.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Sender.
    pub from: Node,
    /// Receiver.
    pub to: Node,
    /// Time at which it heals, in milliseconds.
    pub until_ms: u64,
}
