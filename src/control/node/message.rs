//! Messages to the control task.

use futures::channel::oneshot;

use crate::{
    control::{
        peer::{ConfigUpdate, OrderAnswer, Ping, Pong, WholeSite},
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
    store::{ListedVm, Result, Row, Written},
};

/// What was fetched of a configuration.
#[derive(Debug)]
pub enum Fetched {
    /// Changes in order.
    Changes(Vec<SiteChange>),
    /// A whole configuration, and changes after it.
    Whole(SiteSettings, Vec<SiteChange>),
}

/// A message to the control task.
pub enum NodeMessage {
    /// A caller needs the route to a service.
    Locate(RouteRequest),
    /// The head row was read.
    HeadRead(Result<Option<Row<Head>>>),
    /// Objects of a configuration were fetched.
    Fetched {
        /// The head they lead to.
        head: Head,
        /// The objects; `None` if they could not be had.
        result: Option<Fetched>,
    },
    /// The platform listed the VMs.
    VmsListed(Result<Vec<ListedVm>>),
    /// A service's row was read.
    RowRead {
        /// Service.
        service: Name,
        /// The row.
        result: Result<Option<Row<ServiceRow>>>,
    },
    /// Other VMs were asked for a service's row.
    RowTold {
        /// Service.
        service: Name,
        /// The newest row they know.
        row: Option<Row<ServiceRow>>,
    },
    /// Another VM told of a service's row.
    RowHeard {
        /// Service.
        service: Name,
        /// The row.
        row: Row<ServiceRow>,
    },
    /// A service's row was written, or not.
    RowWritten {
        /// Service.
        service: Name,
        /// What was to be written.
        row: Box<ServiceRow>,
        /// Outcome.
        result: Result<Written<ServiceRow>>,
    },
    /// A probed VM answered, or did not.
    Pinged {
        /// The VM.
        vm: Name,
        /// Its answer.
        pong: Option<Pong>,
    },
    /// Another VM probes this one.
    Ping {
        /// The probe.
        ping: Ping,
        /// Answer.
        reply: oneshot::Sender<Pong>,
    },
    /// Another VM asks to probe a third one.
    ProbeFor {
        /// The third VM.
        vm: Name,
        /// Answer: whether it answered.
        reply: oneshot::Sender<bool>,
    },
    /// Another VM asks for all VMs that this one knows.
    Members {
        /// Answer.
        reply: oneshot::Sender<Vec<Change>>,
    },
    /// A seed told of the VMs it knows.
    MembersHeard(Vec<Change>),
    /// Another VM tells of a configuration version.
    News {
        /// The version.
        news: Box<ConfigUpdate>,
        /// Answer: the version in force.
        reply: oneshot::Sender<Option<u64>>,
    },
    /// Another VM asks for the changes after a version.
    ChangesAfter {
        /// The version.
        after: u64,
        /// Answer.
        reply: oneshot::Sender<Option<(Head, Vec<SiteChange>)>>,
    },
    /// Another VM asks for the whole configuration.
    Site {
        /// Answer.
        reply: oneshot::Sender<Option<WholeSite>>,
    },
    /// Another VM asks for a service's row.
    Row {
        /// Service.
        service: Name,
        /// Answer.
        reply: oneshot::Sender<Option<Row<ServiceRow>>>,
    },
    /// A delegate asks whether this VM reaches a member as a primary.
    ReachesPrimary {
        /// Service.
        service: Name,
        /// Member.
        member: Name,
        /// Answer.
        reply: oneshot::Sender<bool>,
    },
    /// The delegate on this VM needs second opinions.
    AskOpinions {
        /// Service.
        service: Name,
        /// The primary in doubt.
        member: Name,
    },
    /// The second opinions came.
    OpinionsHeard {
        /// Service.
        service: Name,
        /// Whether one of the others reaches the primary.
        reaches: bool,
    },
    /// The delegate on this VM has no reserved term left.
    Reserve {
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
    /// A slot on this VM lost its primary.
    PrimaryFailed(Name),
    /// A slot on another VM lost its primary.
    DoubtHeard(Name),
    /// The delegate on another VM was told that a primary failed.
    DelegateAsked {
        /// The VM.
        vm: Name,
        /// Whether it answered.
        is_heard: bool,
    },
    /// An operator asks for this VM's report.
    Status {
        /// Answer.
        reply: oneshot::Sender<VmStatus>,
    },
    /// An operator orders a change of primary.
    OrderFailover {
        /// Service.
        service: Name,
        /// Member that is preferred.
        member: Name,
        /// Answer.
        reply: oneshot::Sender<OrderAnswer>,
    },
    /// Stop gracefully.
    Drain,
}
