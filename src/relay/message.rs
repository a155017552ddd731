//! Messages to a service's task.

use std::rc::Rc;

use futures::channel::oneshot;

use super::{
    ErrorClass, MemberEntry, Result, ServiceConfig, StatusReport, Vms,
    connection::{Connection, SessionVariables},
    takeover::GroupMember,
};
use crate::{decide::holders::MemberPath, prelude::*};

/// How fresh a member's log must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// The log must hold what was acknowledged before this time, in milliseconds.
    pub since_ms: u64,
    /// Position that the session has reached.
    pub floor: Option<Position>,
    /// Oldest data allowed, in milliseconds.
    pub max_staleness_ms: u64,
}

/// What a connection is needed for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// For what only the primary can do. Whoever reads there without a proof
    /// that it leads says how fresh its log must be.
    Primary(Option<Freshness>),
    /// To read.
    Read(Freshness),
    /// For what another VM asks of one member.
    Forward(Name),
}

impl Purpose {
    /// How fresh the member's log must be.
    pub fn freshness(&self) -> Option<Freshness> {
        match self {
            Purpose::Forward(_) => None,
            Purpose::Primary(freshness) => *freshness,
            Purpose::Read(freshness) => Some(*freshness),
        }
    }

    /// Whether only the primary will do.
    pub fn is_primary(&self) -> bool {
        matches!(self, Purpose::Primary(_))
    }
}

/// A request for a connection.
pub struct Acquire {
    /// Id of the statement, for logs.
    pub id: bytes::Bytes,
    /// What for.
    pub purpose: Purpose,
    /// Latest time to grant it, in milliseconds.
    pub deadline_ms: u64,
    /// Priority; zero goes first.
    pub priority: u32,
    /// Whether it begins a transaction, which keeps the connection.
    pub is_transaction: bool,
    /// Members that have failed this request.
    pub avoid: BTreeSet<Name>,
    /// Values of the session.
    pub variables: Rc<SessionVariables>,
    /// Answer.
    pub reply: oneshot::Sender<std::result::Result<Granted, Refused>>,
}

/// A connection that was granted.
pub struct Granted {
    /// The connection.
    pub connection: Connection,
    /// Position that the member's log must hold.
    pub after: Option<Position>,
    /// Term that the member led when it last reported; `None` for a replica.
    pub led_term: Option<u64>,
}

/// A request that was refused. It was not run.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Class of the error.
    pub class: ErrorClass,
    /// Why.
    pub text: &'static str,
    /// Time after which to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why there is no report of a member for another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReportError {
    /// The member does not answer this VM.
    Silent,
    /// It has not answered in time, but before: it has much to do, or all
    /// connections to it are in use.
    Busy,
    /// This VM does not go to the member itself.
    NotReached,
}

/// A message to a service's task.
pub enum ServiceMessage {
    /// Grant a connection.
    Acquire(Acquire),
    /// Take a connection back.
    Release {
        /// The connection.
        connection: Connection,
        /// Whether a transaction may be open on it.
        needs_rollback: bool,
        /// Time of the read that it served, in microseconds.
        read_us: Option<u64>,
    },
    /// A connection is gone.
    ConnectionClosed {
        /// Id of the member.
        member: Name,
    },
    /// A request that was counted as running has ended.
    RunEnded {
        /// Id of the member.
        member: Name,
    },
    /// The member refused a statement because it is full.
    Full {
        /// Id of the member.
        member: Name,
    },
    /// A connection was opened, or not.
    ConnectionOpened {
        /// Id of the member.
        member: Name,
        /// The connection.
        result: Result<Connection>,
    },
    /// A member reported, or did not.
    Probed {
        /// Id of the member.
        member: Name,
        /// How it was asked.
        way: MemberPath,
        /// Time it was asked, in microseconds.
        asked_us: u64,
        /// The report, and the connection that it came on.
        result: Result<(Connection, StatusReport)>,
    },
    /// Another VM asks for a report of a member.
    RequestReport {
        /// Id of the member.
        member: Name,
        /// Time after which the member must be asked, in microseconds.
        since_us: u64,
        /// Answer.
        reply: oneshot::Sender<std::result::Result<StatusReport, ReportError>>,
    },
    /// Prove that nobody else leads.
    CheckLeadership {
        /// Member that is believed to lead.
        primary: Name,
        /// Time after which the others must be asked, in microseconds.
        since_us: u64,
        /// Answer: the highest term of the others, or `None` when they do not answer.
        reply: oneshot::Sender<Option<u64>>,
    },
    /// All that was acknowledged before a time lies at or before a position.
    Observed {
        /// The time, in milliseconds.
        since_ms: u64,
        /// The position.
        position: Position,
    },
    /// A statement on a member broke off or is late.
    Suspect {
        /// Id of the member.
        member: Name,
        /// Whether a commit waits there.
        is_commit: bool,
    },
    /// A commit was acknowledged: the primary is not stuck.
    Committed,
    /// The member does not lead.
    NotPrimary {
        /// Id of the member.
        member: Name,
    },
    /// The member lacks a position.
    Behind {
        /// Id of the member.
        member: Name,
    },
    /// The members as the platform lists them now.
    Members {
        /// Members by id.
        members: BTreeMap<Name, MemberEntry>,
    },
    /// The VMs that are at work.
    Vms(Rc<Vms>),
    /// The configuration of the service.
    Config(ServiceConfig),
    /// An attempt to replace the primary asks for the members as they are now.
    GroupMembers {
        /// Answer.
        reply: oneshot::Sender<Vec<GroupMember>>,
    },
    /// An attempt to replace the primary has ended.
    TakeoverEnded {
        /// Member that leads now, if any was promoted.
        promoted: Option<Name>,
    },
}
