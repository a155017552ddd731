//! The control task of a VM. It owns the VM's view of the membership, the
//! configuration and the service rows, runs the slots and delegates that these
//! assign to the VM, and publishes the routes.

mod config;
mod members;
mod message;
mod orders;
mod rows;
mod services;

use std::{cell::Cell, rc::Rc};

use compio::runtime::spawn;
use futures::channel::oneshot;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::watch;

pub use message::NodeMessage;

use super::{
    delegate::DelegateHandle,
    peer_clients::{ByteCount, PeerClients},
    service_row::ServiceRow,
};
use crate::{
    clock,
    decide::{
        failover::Event,
        membership::{Membership, MembershipSettings, Place},
        placement::StandbyMap,
        rollout::{Head, SiteChange},
    },
    metrics::Metrics,
    prelude::*,
    proxy::{context::RouteRequest, route_table::RouteTable, slot::SlotHandle},
    settings::{ServiceSettings, SiteSettings, VmSettings},
    store::{Row, StoreClient},
};

/// Interval of ticks, in milliseconds.
const TICK_MS: u64 = 200;
/// Gap between ticks from which the VM counts as having been paused, in
/// milliseconds.
const PAUSE_MS: u64 = 2_000;

/// A slot that runs on this VM.
struct LocalSlot {
    handle: SlotHandle,
    stop: flume::Sender<()>,
    settings: Arc<ServiceSettings>,
}

/// A delegate that runs on this VM.
struct LocalDelegate {
    handle: DelegateHandle,
    settings: Arc<ServiceSettings>,
}

/// A service's row as this VM knows it.
struct KnownRow {
    row: Row<ServiceRow>,
    read_ms: u64,
}

/// Times at which periodic work is due next, in milliseconds.
#[derive(Default)]
struct Due {
    probe_ms: u64,
    head_ms: u64,
    vm_list_ms: u64,
    rows_ms: u64,
}

/// Settings, clients and channels that the control task starts with.
pub struct NodeParts {
    /// Settings of this VM.
    pub settings: Arc<VmSettings>,
    /// Metrics.
    pub metrics: Metrics,
    /// Client of the platform's services.
    pub platform: StoreClient,
    /// Publishes the routes.
    pub routes: watch::Sender<Rc<RouteTable>>,
    /// Set once a configuration is in force.
    pub ready: watch::Sender<bool>,
    /// Set once the VM is draining.
    pub draining: watch::Sender<bool>,
    /// Callers connected now.
    pub callers: Rc<Cell<usize>>,
    /// Channel on which slots report that the primary of a service failed.
    pub primary_failed: flume::Sender<Name>,
}

/// State of the control task.
pub struct Node {
    parts: NodeParts,
    own_vm: Name,
    mailbox: flume::Sender<NodeMessage>,
    peers: PeerClients,
    rng: SmallRng,
    membership: Membership,
    standbys: StandbyMap,
    knows_standbys: bool,
    working: BTreeSet<Name>,
    head: Option<Head>,
    site: SiteSettings,
    services: BTreeMap<Name, Arc<ServiceSettings>>,
    changes: BTreeMap<u64, SiteChange>,
    is_fetching: bool,
    rows: BTreeMap<Name, KnownRow>,
    row_reads: BTreeMap<Name, Vec<oneshot::Sender<()>>>,
    row_writes: BTreeSet<Name>,
    slots: BTreeMap<Name, LocalSlot>,
    delegates: BTreeMap<Name, LocalDelegate>,
    promotions: BTreeMap<Name, (u64, Name)>,
    waiting_for_config: Vec<RouteRequest>,
    due: Due,
    last_tick_ms: u64,
    has_listed_vms: bool,
}

impl Node {
    /// Creates the state; `mailbox` sends messages to the task.
    pub fn new(parts: NodeParts, mailbox: flume::Sender<NodeMessage>) -> Node {
        let own_vm = parts.settings.vm.clone();
        let place = Place {
            zone: parts.settings.zone.clone(),
            internal: parts.settings.internal,
            peer: parts.settings.peer,
        };
        let membership = Membership::new(
            MembershipSettings::builder().build(),
            own_vm.clone(),
            place,
            clock::epoch_ms(),
        );
        Node {
            own_vm,
            mailbox,
            peers: PeerClients::new(ByteCount::new(parts.metrics.peer_bytes.clone())),
            rng: SmallRng::from_rng(&mut rand::rng()),
            membership,
            standbys: StandbyMap::default(),
            knows_standbys: false,
            working: BTreeSet::new(),
            head: None,
            site: SiteSettings::default(),
            services: BTreeMap::new(),
            changes: BTreeMap::new(),
            is_fetching: false,
            rows: BTreeMap::new(),
            row_reads: BTreeMap::new(),
            row_writes: BTreeSet::new(),
            slots: BTreeMap::new(),
            delegates: BTreeMap::new(),
            promotions: BTreeMap::new(),
            waiting_for_config: Vec::new(),
            due: Due::default(),
            last_tick_ms: clock::now_ms(),
            has_listed_vms: false,
            parts,
        }
    }

    /// Runs until the mailbox closes.
    pub async fn run(mut self, mailbox: flume::Receiver<NodeMessage>) {
        self.membership.join();
        loop {
            let wait = Duration::from_millis(TICK_MS);
            match compio::time::timeout(wait, mailbox.recv_async()).await {
                Ok(Ok(message)) => self.handle(message),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            if clock::now_ms() >= self.last_tick_ms + TICK_MS {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = clock::now_ms();
        if now_ms >= self.last_tick_ms + PAUSE_MS {
            self.after_pause(now_ms - self.last_tick_ms);
        }
        self.last_tick_ms = now_ms;
        self.tick_members(now_ms);
        self.tick_config(now_ms);
        if !self.knows_standbys {
            self.converge_standbys();
        }
        self.tick_rows(now_ms);
    }

    /// Refreshes everything after this VM was paused, since other VMs may have
    /// taken over its slots and delegate roles meanwhile.
    fn after_pause(&mut self, paused_ms: u64) {
        log::warn!(target: "control", paused_ms = paused_ms; "this VM was paused");
        for known in self.rows.values_mut() {
            known.read_ms = 0;
        }
        self.due = Due::default();
    }

    fn handle(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::RouteRequested(request) => self.route_requested(request),
            NodeMessage::HeadRead(result) => self.head_read(result),
            NodeMessage::Fetched { head, result } => self.fetched(head, result),
            NodeMessage::VmsListed(result) => self.vms_listed(result),
            NodeMessage::RowRead { service, result } => self.row_read(&service, result),
            NodeMessage::RowFromPeers { service, row } => self.row_from_peers(&service, row),
            NodeMessage::RowPushed { service, row } => self.row_pushed(&service, row),
            NodeMessage::RowWritten {
                service,
                row,
                result,
            } => self.row_written(&service, *row, result),
            NodeMessage::ProbeResult { vm, pong } => self.probe_result(&vm, pong),
            NodeMessage::Ping { ping, reply } => {
                // The caller may have timed out; so in the other arms.
                let _ = reply.send(self.answer_ping(&ping));
            }
            NodeMessage::IndirectProbe { vm, reply } => self.indirect_probe(&vm, reply),
            NodeMessage::Members { reply } => {
                let _ = reply.send(self.membership.known());
            }
            NodeMessage::SeedMembers(changes) => self.seed_members(&changes),
            NodeMessage::ConfigPushed { update, reply } => {
                self.config_pushed(*update);
                let _ = reply.send(self.config_version());
            }
            NodeMessage::ChangesAfter { after, reply } => {
                let _ = reply.send(self.changes_after(after));
            }
            NodeMessage::FullConfig { reply } => {
                let _ = reply.send(self.full_config());
            }
            NodeMessage::Row { service, reply } => {
                let known = self.rows.get(&service).map(|k| k.row.clone());
                let _ = reply.send(known);
            }
            NodeMessage::ReachesPrimary {
                service,
                member,
                reply,
            } => self.answer_reaches_primary(&service, member, reply),
            NodeMessage::CheckReachability { service, member } => {
                self.check_reachability(&service, &member)
            }
            NodeMessage::Reachability {
                service,
                reaches_primary,
            } => self.reachability(&service, reaches_primary),
            NodeMessage::ReserveTerms { service, highest } => self.reserve_terms(&service, highest),
            NodeMessage::Promoted {
                service,
                member,
                term,
            } => self.promoted(service, member, term),
            NodeMessage::PrimaryFailed(service) => self.primary_failed(&service),
            NodeMessage::DelegateNotified { vm, has_answered } => {
                self.delegate_notified(&vm, has_answered)
            }
            NodeMessage::PrimarySuspected(service) => {
                self.notify_delegate(&service, Event::TrafficFailed);
            }
            NodeMessage::Status { reply } => self.status(reply),
            NodeMessage::OrderFailover {
                service,
                member,
                reply,
            } => {
                let _ = reply.send(self.order_failover(&service, &member));
            }
            NodeMessage::Drain => self.drain(),
        }
    }

    /// Runs `work` in a task of its own; its result comes back as a message.
    fn spawn_task(&self, work: impl Future<Output = NodeMessage> + 'static) {
        let mailbox = self.mailbox.clone();
        spawn(async move {
            let message = work.await;
            // Nothing is lost if the control task has stopped.
            let _ = mailbox.send(message);
        })
        .detach();
    }

    fn is_draining(&self) -> bool {
        *self.parts.draining.borrow()
    }
}
