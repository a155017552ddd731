//! Steps of an attempt.

use crate::prelude::*;

/// What an attempt does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the member list. Order the primary to step down, directly and through other
    /// VMs, unless it has; if it has, ask the other members for their positions, else
    /// order them to stop receiving.
    Fence,
    /// Wait before the next round.
    Pause,
    /// Wait until a member that received before the others were fenced is listed.
    Settle {
        /// End of the wait, in milliseconds.
        until_ms: u64,
    },
    /// Open the connection for the order.
    Connect {
        /// Member to be promoted.
        member: Name,
    },
    /// Record the order where it lasts; read the member list and check the fences again.
    Prepare {
        /// Member to be promoted.
        member: Name,
    },
    /// Order the promotion.
    Promote {
        /// Member to be promoted.
        member: Name,
    },
    /// Ask whether the promoted member leads, and wait for the answer to an open order.
    AwaitLeadership {
        /// Member that was ordered.
        member: Name,
    },
    /// Renew the claim while the order is open.
    Renew {
        /// Member that was ordered.
        member: Name,
    },
    /// Let the replicas receive again.
    Resume,
    /// The attempt is over.
    End,
}
