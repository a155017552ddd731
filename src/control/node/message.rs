//! Messages to the control task.

use futures::channel::oneshot;

use crate::{
    control::{
        peer::{ConfigUpdate, FullConfig, OrderAnswer, Ping, Pong},
        service_row::ServiceRow,
        status::VmStatus,
    },
    decide::{
        membership::Change,
        rollout::{Head, SiteChange},
    },
    prelude::*,
    proxy::context::RouteRequest,
    settings::SiteSettings,
    store::{ListedVm, Result, Row, WriteOutcome},
};

/// Fetched parts of a configuration.
#[derive(Debug)]
pub enum Fetched {
    /// Changes, oldest first.
    Changes(Vec<SiteChange>),
    /// A complete configuration, and changes after it.
    Full(SiteSettings, Vec<SiteChange>),
}

/// A message to the control task.
pub enum NodeMessage {
    /// A caller needs the route to a service.
    RouteRequested(RouteRequest),
    /// Result of reading the head row.
    HeadRead(Result<Option<Row<Head>>>),
    /// Result of fetching a configuration version.
    Fetched {
        /// Head of the version.
        head: Head,
        /// What was fetched; `None` if that failed.
        result: Option<Fetched>,
    },
    /// Result of reading the platform's VM list.
    VmsListed(Result<Vec<ListedVm>>),
    /// Result of reading a service's row.
    RowRead {
        /// Service.
        service: Name,
        /// The row, if there is one.
        result: Result<Option<Row<ServiceRow>>>,
    },
    /// Result of asking other VMs for a service's row.
    RowFromPeers {
        /// Service.
        service: Name,
        /// The newest row that any of them knows.
        row: Option<Row<ServiceRow>>,
    },
    /// Another VM sent a service's row.
    RowPushed {
        /// Service.
        service: Name,
        /// The row.
        row: Row<ServiceRow>,
    },
    /// Result of writing a service's row.
    RowWritten {
        /// Service.
        service: Name,
        /// The row that was to be written.
        row: Box<ServiceRow>,
        /// Outcome of the write.
        result: Result<WriteOutcome<ServiceRow>>,
    },
    /// Result of a probe.
    ProbeResult {
        /// The probed VM.
        vm: Name,
        /// Its answer; `None` if it can't be reached.
        pong: Option<Pong>,
    },
    /// Another VM probes this one.
    Ping {
        /// The probe.
        ping: Ping,
        /// Answer.
        reply: oneshot::Sender<Pong>,
    },
    /// Another VM asks this one to probe a third VM.
    IndirectProbe {
        /// The third VM.
        vm: Name,
        /// Answer: whether the third VM answered.
        reply: oneshot::Sender<bool>,
    },
    /// Another VM asks for all VMs that this one knows.
    Members {
        /// Answer.
        reply: oneshot::Sender<Vec<Change>>,
    },
    /// VMs that a seed knows; empty if it did not answer.
    SeedMembers(Vec<Change>),
    /// Another VM or the command-line tool sent a configuration version.
    ConfigPushed {
        /// The version.
        update: Box<ConfigUpdate>,
        /// Answer: the version in force afterwards.
        reply: oneshot::Sender<Option<u64>>,
    },
    /// Another VM asks for the changes after a version.
    ChangesAfter {
        /// The version.
        after: u64,
        /// Answer; `None` if they are not kept any more.
        reply: oneshot::Sender<Option<(Head, Vec<SiteChange>)>>,
    },
    /// Another VM asks for the complete configuration.
    FullConfig {
        /// Answer; `None` if none is in force.
        reply: oneshot::Sender<Option<FullConfig>>,
    },
    /// Another VM asks for a service's row.
    Row {
        /// Service.
        service: Name,
        /// Answer.
        reply: oneshot::Sender<Option<Row<ServiceRow>>>,
    },
    /// A delegate asks whether this VM reaches a member and sees it as the
    /// primary.
    ReachesPrimary {
        /// Service.
        service: Name,
        /// Member.
        member: Name,
        /// Answer.
        reply: oneshot::Sender<bool>,
    },
    /// The delegate on this VM has lost its primary and wants to know whether
    /// other slot holders still reach it.
    CheckReachability {
        /// Service.
        service: Name,
        /// The suspected primary.
        member: Name,
    },
    /// Answers of the other slot holders.
    Reachability {
        /// Service.
        service: Name,
        /// Whether any of them reaches the primary.
        reaches_primary: bool,
    },
    /// The delegate on this VM has no reserved term left.
    ReserveTerms {
        /// Service.
        service: Name,
        /// Highest term it has seen.
        highest: u64,
    },
    /// The delegate on this VM promoted a member.
    Promoted {
        /// Service.
        service: Name,
        /// New primary.
        member: Name,
        /// Its term.
        term: u64,
    },
    /// A slot on this VM lost its primary; the name of the service.
    PrimaryFailed(Name),
    /// A slot on another VM lost its primary; the name of the service.
    PrimarySuspected(Name),
    /// Result of telling the delegate on another VM that a primary failed.
    DelegateNotified {
        /// VM of the delegate.
        vm: Name,
        /// Whether it answered.
        has_answered: bool,
    },
    /// An operator asks for this VM's status.
    Status {
        /// Answer.
        reply: oneshot::Sender<VmStatus>,
    },
    /// An operator orders a change of primary.
    OrderFailover {
        /// Service.
        service: Name,
        /// Member that is preferred as the new primary.
        member: Name,
        /// Answer.
        reply: oneshot::Sender<OrderAnswer>,
    },
    /// Stop this VM gracefully.
    Drain,
}
