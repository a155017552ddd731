//! Calls between VMs.

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

/// A probe: it shows that the sender lives and carries what changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ping {
    /// Sender.
    pub from: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Changes of the membership.
    pub changes: Vec<Change>,
    /// Configuration version in force at the sender.
    pub config_version: Option<u64>,
}

/// Answer to a probe; the same of the other side.
pub type Pong = Ping;

/// A new configuration version, with what it changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The head row.
    pub head: Head,
    /// The change that made it.
    pub change: SiteChange,
}

/// A whole configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WholeSite {
    /// The head row.
    pub head: Head,
    /// The configuration.
    pub site: SiteSettings,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It was taken up.
    Accepted,
    /// This VM can't take it up.
    Refused(String),
}

/// Calls that VMs, and the command-line tool, make to a VM.
#[tarpc::service]
pub trait Peer {
    /// Probes.
    async fn ping(ping: Ping) -> Option<Pong>;
    /// Probes a third VM in the caller's stead.
    async fn probe(vm: Name) -> bool;
    /// All VMs that this one knows.
    async fn members() -> Vec<Change>;
    /// Tells of a configuration version; the version in force afterwards.
    async fn push(news: ConfigUpdate) -> Option<u64>;
    /// The changes after a version, if they are still known.
    async fn changes(after: u64) -> Option<(Head, Vec<SiteChange>)>;
    /// The whole configuration.
    async fn site() -> Option<WholeSite>;
    /// The row of a service as this VM knows it.
    async fn row(service: Name) -> Option<Row<ServiceRow>>;
    /// Tells of a newer row of a service.
    async fn row_changed(service: Name, row: Row<ServiceRow>);
    /// Whether this VM reaches a member as a primary.
    async fn reaches_primary(service: Name, member: Name) -> bool;
    /// Tells the delegate of a service that its primary seems to fail.
    async fn doubt_primary(service: Name);
    /// What this VM reports.
    async fn status() -> Option<VmStatus>;
    /// Orders a change of primary.
    async fn order_failover(service: Name, member: Name) -> OrderAnswer;
    /// Orders a graceful stop.
    async fn drain() -> OrderAnswer;
}
