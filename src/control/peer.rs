//! The calls between VMs.

use serde::{Deserialize, Serialize};

use super::{service_row::ServiceRow, status::VmStatus};
use crate::{
    decide::{
        membership::Change,
        rollout::{Head, SiteChange},
    },
    prelude::*,
    settings::SiteSettings,
    store::Row,
};

/// A membership probe: it shows that the sender is alive and carries recent
/// membership changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ping {
    /// Sending VM.
    pub from: Name,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Membership changes.
    pub changes: Vec<Change>,
    /// Configuration version in force at the sender.
    pub config_version: Option<u64>,
}

/// Answer to a probe: the same fields, from the probed VM.
pub type Pong = Ping;

/// A new configuration version with the change that created it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The head row.
    pub head: Head,
    /// The change that created the version.
    pub change: SiteChange,
}

/// A complete configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FullConfig {
    /// The head row.
    pub head: Head,
    /// The configuration.
    pub site: SiteSettings,
}

/// Answer to an operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The VM carries it out.
    Accepted,
    /// The VM can't carry it out, for this reason.
    Refused(String),
}

/// Calls that other VMs and the command-line tool make to a VM.
#[tarpc::service]
pub trait Peer {
    /// Probes this VM.
    async fn ping(ping: Ping) -> Option<Pong>;
    /// Probes another VM on behalf of the caller.
    async fn probe(vm: Name) -> bool;
    /// All VMs that this one knows, as membership changes.
    async fn members() -> Vec<Change>;
    /// Delivers a configuration version; answers the version in force afterwards.
    async fn push(news: ConfigUpdate) -> Option<u64>;
    /// The changes after a version, if this VM still keeps them.
    async fn changes(after: u64) -> Option<(Head, Vec<SiteChange>)>;
    /// The complete configuration.
    async fn site() -> Option<FullConfig>;
    /// The row of a service as this VM knows it.
    async fn row(service: Name) -> Option<Row<ServiceRow>>;
    /// Delivers a newer row of a service.
    async fn row_changed(service: Name, row: Row<ServiceRow>);
    /// Whether this VM reaches a member and sees it as the primary.
    async fn reaches_primary(service: Name, member: Name) -> bool;
    /// Tells the delegate of a service that requests to its primary fail.
    async fn doubt_primary(service: Name);
    /// The status of this VM.
    async fn status() -> Option<VmStatus>;
    /// Orders the delegate of a service to change the primary.
    async fn order_failover(service: Name, member: Name) -> OrderAnswer;
    /// Orders a graceful stop.
    async fn drain() -> OrderAnswer;
}
