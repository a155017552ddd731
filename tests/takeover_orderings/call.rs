//! Calls of a VM, and their answers.

use foxtailknot::{decide::claim::ClaimRow, prelude::*};

use super::{member::Role, node::Node};

/// What a VM asks for.
#[derive(Clone, Debug)]
pub enum Request {
    /// Order a primary to step down.
    StepDown { member: usize, term: u64 },
    /// Order a replica to stop receiving.
    Fence { member: usize, term: u64 },
    /// Ask a member for its position.
    Status { member: usize },
    /// Let a replica receive again.
    Resume { member: usize },
    /// Read the claim's row.
    ReadClaim,
    /// Write the claim's row if it still has a version.
    WriteClaim { row: ClaimRow, version: u64 },
    /// Read the member list.
    ReadList,
    /// Order a promotion.
    Promote {
        member: usize,
        fence: u64,
        claimed_ms: u64,
    },
}

impl Request {
    /// Machine that it goes to.
    pub fn target(&self) -> Node {
        match self {
            Request::StepDown { member, .. }
            | Request::Fence { member, .. }
            | Request::Status { member }
            | Request::Resume { member } => Node::Member(*member),
            Request::ReadClaim | Request::WriteClaim { .. } | Request::ReadList => Node::Store,
            Request::Promote { .. } => Node::Promotion,
        }
    }

    /// Time-out in the product, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        match self.target() {
            Node::Promotion => 700,
            Node::Store => 1_000,
            Node::Member(_) | Node::Vm(_) => 400,
        }
    }
}

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number; unique.
    pub id: u64,
    /// VM that sends it.
    pub vm: usize,
    /// VM that passes it on, if any.
    pub through: Option<usize>,
    /// What is asked for.
    pub request: Request,
}

/// An answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Row of a member's STATUS, PAUSE, STEPDOWN, or RESUME.
    Report {
        role: Role,
        term: u64,
        held_term: u64,
        received: Position,
    },
    /// Nobody listens at the address.
    Closed,
    /// Refused, and nothing was done.
    Refused,
    /// The claim's row, its version, and the store's clock.
    Claim {
        row: Option<ClaimRow>,
        version: u64,
        now_ms: u64,
    },
    /// The row was written, and has this version.
    Written { version: u64 },
    /// The row has another version.
    Conflict,
    /// Members in the list, and whether they are leaving.
    List(BTreeMap<usize, bool>),
    /// The promotion is accepted.
    Accepted,
    /// No answer came in time.
    Silent,
}
