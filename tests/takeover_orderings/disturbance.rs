//! Events that disturb a takeover.

use super::node::Node;

/// A disturbance and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Disturbance {
    /// Time at which it begins, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub kind: Kind,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The new member starts and receives at once.
    Start,
    /// A member restarts without its log, as a replica; it is down for 100 ms.
    Restart { member: usize },
    /// The primary crashes, and comes back with its log.
    Crash { for_ms: u64 },
    /// A member is too busy for new orders.
    Busy { member: usize, for_ms: u64 },
    /// A member stands still: its machine receives orders, which are read at the end, the last
    /// one first. It goes on receiving the log.
    MemberReadsLate { member: usize, for_ms: u64 },
    /// A member leaves the list, though it runs.
    Unlist { member: usize },
    /// A VM is suspended.
    Freeze { vm: usize, for_ms: u64 },
    /// A VM is killed and starts again after 400 ms.
    Kill { vm: usize },
    /// Bytes from one machine to another are held up.
    Cut { from: Node, to: Node, for_ms: u64 },
    /// The same in both directions.
    Part { a: Node, b: Node, for_ms: u64 },
    /// The store refuses all calls.
    StoreAway { for_ms: u64 },
    /// The store carries out writes 2 s later, if their condition still holds then.
    StoreHoldsWrites { for_ms: u64 },
    /// The promotion service answers a second later.
    PromotionSlow { for_ms: u64 },
    /// The promotion service stands still: its machine receives orders, which are read at
    /// the end, the last one first.
    PromotionReadsLate { for_ms: u64 },
}

impl Kind {
    /// Its name without figures, to group what was found.
    pub fn name(&self) -> String {
        let text = format!("{self:?}");
        let end = text.find("for_ms").map_or(text.len(), |at| at);
        let short = text[..end].trim_end_matches([' ', ',', '{']);
        short.replace([' ', ',', '{', '}'], "")
    }
}
