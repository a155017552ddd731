//! Messages to the task of a service.

use std::rc::Rc;

use futures::channel::oneshot;

use super::{
    ErrorClass, ListRead, MemberEntry, Result, ServiceConfig, StatusReport, Vms,
    connection::{Connection, SessionSetup},
    takeover::GroupMember,
};
use crate::{decide::load::holders::MemberPath, prelude::*};

/// How fresh a member's log must be for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// The log must hold all that was acknowledged before this time, in milliseconds.
    pub since_ms: u64,
    /// Position of the session's last commit at the service, which the log must hold as well.
    pub floor: Option<Position>,
    /// Greatest staleness allowed, in milliseconds.
    pub max_staleness_ms: u64,
}

/// What a connection is needed for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// For work that only the primary can do. A read that is not followed by a
    /// leadership check gives the freshness that the primary's log must have.
    Primary(Option<Freshness>),
    /// For a read on any member that is fresh enough.
    Read(Freshness),
    /// For a statement that another VM forwards to this member.
    Forward(Name),
}

impl Purpose {
    /// Freshness that the member's log must have, if any is required.
    pub fn freshness(&self) -> Option<Freshness> {
        match self {
            Purpose::Forward(_) => None,
            Purpose::Primary(freshness) => *freshness,
            Purpose::Read(freshness) => Some(*freshness),
        }
    }

    /// Whether only the primary can serve it.
    pub fn is_primary(&self) -> bool {
        matches!(self, Purpose::Primary(_))
    }
}

/// A request for a connection.
pub struct Acquire {
    /// Id of the statement, for logs.
    pub id: bytes::Bytes,
    /// What it is needed for.
    pub purpose: Purpose,
    /// Time after which it is refused, in milliseconds.
    pub deadline_ms: u64,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Whether it is for a transaction, which keeps the connection.
    pub is_transaction: bool,
    /// Members that must not serve it, since an attempt there failed.
    pub avoid: BTreeSet<Name>,
    /// Account and variables of the session.
    pub setup: Rc<SessionSetup>,
    /// Channel for the answer.
    pub reply: oneshot::Sender<std::result::Result<Granted, Refused>>,
}

/// A granted connection.
pub struct Granted {
    /// The connection.
    pub connection: Connection,
    /// Position that the member's log must hold before the statement runs.
    pub after: Option<Position>,
    /// Term in which the member led by its last report; `None` for a replica.
    pub led_term: Option<u64>,
}

/// A refusal of a request. Its statement was not run.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Class of the error.
    pub class: ErrorClass,
    /// Reason.
    pub text: &'static str,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why a member's report could not be given to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReportError {
    /// The member does not answer this VM.
    Silent,
    /// The member has answered before, but not in time: it is overloaded, or all
    /// connections to it are in use.
    Busy,
    /// This VM does not use a direct path to the member.
    NotReached,
}

/// A member's answer to a probe.
pub struct ProbeAnswer {
    /// The connection, which stays usable.
    pub connection: Connection,
    /// Whether it was opened for the probe.
    pub is_new: bool,
    /// The report, or the class of the error with which the member refused it.
    pub report: std::result::Result<StatusReport, ErrorClass>,
}

/// A message to the task of a service.
pub enum ServiceMessage {
    /// Grant a connection.
    Acquire(Acquire),
    /// Return a connection.
    Release {
        /// The connection.
        connection: Connection,
        /// Whether a transaction may be open on it.
        needs_rollback: bool,
        /// Duration of the read that it served, in microseconds.
        read_us: Option<u64>,
    },
    /// A connection was closed.
    ConnectionClosed {
        /// Id of the member.
        member: Name,
    },
    /// A request that was counted as running has ended.
    RunEnded {
        /// Id of the member.
        member: Name,
    },
    /// The member refused a statement because it is overloaded.
    Full {
        /// Id of the member.
        member: Name,
    },
    /// An attempt to open a connection has ended.
    ConnectionOpened {
        /// Id of the member.
        member: Name,
        /// Client account that it serves.
        account: Option<Name>,
        /// The connection, or why it was not opened.
        result: Result<Connection>,
    },
    /// A probe has ended.
    Probed {
        /// Id of the member.
        member: Name,
        /// Path of the probe.
        path: MemberPath,
        /// Time the probe was sent, in microseconds.
        asked_us: u64,
        /// The member's answer, or why there is none.
        result: Result<ProbeAnswer>,
    },
    /// Another VM requests the report of a member.
    RequestReport {
        /// Id of the member.
        member: Name,
        /// Time after which the probe must be sent, in microseconds.
        since_us: u64,
        /// Channel for the answer.
        reply: oneshot::Sender<std::result::Result<StatusReport, ReportError>>,
    },
    /// Another VM that replaces the primary orders a member to step down.
    StepDown {
        /// Id of the member.
        member: Name,
        /// Term of the replacement.
        term: u64,
        /// Channel for the member's report; dropped when it does not answer.
        reply: oneshot::Sender<StatusReport>,
    },
    /// Check that no other member has taken over from the primary.
    CheckLeadership {
        /// Member that this VM takes for the primary.
        primary: Name,
        /// Time after which the others' probes must be sent, in microseconds.
        since_us: u64,
        /// Whether it is for a commit that the primary has acknowledged: then members
        /// that are too busy to report do not leave it undecided.
        is_commit: bool,
        /// Channel for the highest term of the other members; `None` if too few
        /// answered in time, or for a commit if another member leads.
        reply: oneshot::Sender<Option<u64>>,
    },
    /// All commits acknowledged before a time lie at or before a position.
    Observed {
        /// The time, in milliseconds.
        since_ms: u64,
        /// The position.
        position: Position,
    },
    /// Another VM raised a floor.
    FloorHeard {
        /// Time before which the commits were acknowledged, in milliseconds.
        since_ms: u64,
        /// Position at or before which they lie.
        position: Position,
    },
    /// A statement on a member failed or is late.
    Suspect {
        /// Id of the member.
        member: Name,
        /// Whether a commit waits for its answer there.
        is_commit: bool,
    },
    /// A commit was acknowledged: commits at the primary are not stuck.
    Committed,
    /// The member refused a statement because it is not the primary.
    NotPrimary {
        /// Id of the member.
        member: Name,
    },
    /// The member refused a statement because its log lacks a position.
    Behind {
        /// Id of the member.
        member: Name,
    },
    /// The platform's list of the service's members.
    Members {
        /// Members by id.
        members: BTreeMap<Name, MemberEntry>,
    },
    /// The active VMs.
    Vms(Rc<Vms>),
    /// The configuration of the service.
    Config(ServiceConfig),
    /// The member list was read again, to find a floor by the replicas.
    ListRead {
        /// How; `None` when the platform did not answer.
        list: Option<ListRead>,
    },
    /// A takeover requests the current members of the group.
    GroupMembers {
        /// Channel for the answer.
        reply: oneshot::Sender<Vec<GroupMember>>,
    },
    /// An attempt at a takeover has ended.
    TakeoverEnded {
        /// Member that was promoted, if any.
        promoted: Option<Name>,
        /// Whether other VMs should go first next time.
        has_failed_to_order: bool,
    },
}
