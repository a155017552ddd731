//! The control task of a VM. It owns what the VM knows of the others, of the
//! configuration and of the services, and publishes the routes.

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
/// Gap between ticks after which this VM counts as paused, in milliseconds.
const PAUSE_MS: u64 = 2_000;

/// A slot that runs on this VM.
struct OwnSlot {
    handle: SlotHandle,
    stop: flume::Sender<()>,
    settings: Arc<ServiceSettings>,
}

/// A delegate that runs on this VM.
struct OwnDelegate {
    handle: DelegateHandle,
    settings: Arc<ServiceSettings>,
}

/// A row of a service as it was last heard of.
struct KnownRow {
    row: Row<ServiceRow>,
    read_ms: u64,
}

/// Times of periodic work, in milliseconds.
#[derive(Default)]
struct Due {
    probe_ms: u64,
    head_ms: u64,
    vms_ms: u64,
    rows_ms: u64,
}

/// What the control task starts with.
pub struct NodeParts {
    /// Settings of this VM.
    pub settings: Arc<VmSettings>,
    /// Metrics.
    pub metrics: Metrics,
    /// Client of the platform.
    pub platform: StoreClient,
    /// Where the routes are published.
    pub routes: watch::Sender<Rc<RouteTable>>,
    /// Set once a configuration is in force.
    pub ready: watch::Sender<bool>,
    /// Set when the VM stops.
    pub draining: watch::Sender<bool>,
    /// Callers connected now.
    pub callers: Rc<Cell<usize>>,
    /// Told when a slot's primary seems to fail.
    pub primary_failed: flume::Sender<Name>,
}

/// The control task.
pub struct Node {
    parts: NodeParts,
    own: Name,
    mailbox: flume::Sender<NodeMessage>,
    peers: PeerClients,
    rng: SmallRng,
    membership: Membership,
    guardians: StandbyMap,
    knows_guardians: bool,
    working: BTreeSet<Name>,
    head: Option<Head>,
    site: SiteSettings,
    services: BTreeMap<Name, Arc<ServiceSettings>>,
    changes: BTreeMap<u64, SiteChange>,
    is_fetching: bool,
    rows: BTreeMap<Name, KnownRow>,
    reading: BTreeMap<Name, Vec<oneshot::Sender<()>>>,
    writing: BTreeSet<Name>,
    slots: BTreeMap<Name, OwnSlot>,
    delegates: BTreeMap<Name, OwnDelegate>,
    promoted: BTreeMap<Name, (u64, Name)>,
    waiting_for_site: Vec<RouteRequest>,
    due: Due,
    last_tick_ms: u64,
    has_listed_vms: bool,
}

impl Node {
    /// Creates the control task's state; `mailbox` reaches it.
    pub fn new(parts: NodeParts, mailbox: flume::Sender<NodeMessage>) -> Node {
        let own = parts.settings.vm.clone();
        let place = Place {
            zone: parts.settings.zone.clone(),
            internal: parts.settings.internal,
            peer: parts.settings.peer,
        };
        let membership = Membership::new(
            MembershipSettings::builder().build(),
            own.clone(),
            place,
            clock::epoch_ms(),
        );
        Node {
            own,
            mailbox,
            peers: PeerClients::counting(ByteCount::new(parts.metrics.peer_bytes.clone())),
            rng: SmallRng::from_rng(&mut rand::rng()),
            membership,
            guardians: StandbyMap::default(),
            knows_guardians: false,
            working: BTreeSet::new(),
            head: None,
            site: SiteSettings::default(),
            services: BTreeMap::new(),
            changes: BTreeMap::new(),
            is_fetching: false,
            rows: BTreeMap::new(),
            reading: BTreeMap::new(),
            writing: BTreeSet::new(),
            slots: BTreeMap::new(),
            delegates: BTreeMap::new(),
            promoted: BTreeMap::new(),
            waiting_for_site: Vec::new(),
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
                Ok(Ok(message)) => self.take(message),
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
        if !self.knows_guardians {
            self.approach_guardians();
        }
        self.tick_rows(now_ms);
    }

    /// This VM was paused: what it held may be held by others now.
    fn after_pause(&mut self, paused_ms: u64) {
        log::warn!(target: "control", paused_ms = paused_ms; "this VM was paused");
        for known in self.rows.values_mut() {
            known.read_ms = 0;
        }
        self.due = Due::default();
    }

    fn take(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Locate(locate) => self.locate(locate),
            NodeMessage::HeadRead(result) => self.head_read(result),
            NodeMessage::Fetched { head, result } => self.fetched(head, result),
            NodeMessage::VmsListed(result) => self.vms_listed(result),
            NodeMessage::RowRead { service, result } => self.row_read(&service, result),
            NodeMessage::RowTold { service, row } => self.row_told(&service, row),
            NodeMessage::RowHeard { service, row } => self.hear_row(&service, row),
            NodeMessage::RowWritten {
                service,
                row,
                result,
            } => self.row_written(&service, *row, result),
            NodeMessage::Pinged { vm, pong } => self.pinged(&vm, pong),
            NodeMessage::Ping { ping, reply } => {
                // The other side may have given up.
                let _ = reply.send(self.answer_ping(&ping));
            }
            NodeMessage::ProbeFor { vm, reply } => self.probe_for(&vm, reply),
            NodeMessage::Members { reply } => {
                let _ = reply.send(self.membership.known());
            }
            NodeMessage::MembersHeard(changes) => self.members_heard(&changes),
            NodeMessage::News { news, reply } => {
                self.hear_news(*news);
                let _ = reply.send(self.config_version());
            }
            NodeMessage::ChangesAfter { after, reply } => {
                let _ = reply.send(self.changes_after(after));
            }
            NodeMessage::Site { reply } => {
                let _ = reply.send(self.whole_site());
            }
            NodeMessage::Row { service, reply } => {
                let known = self.rows.get(&service).map(|k| k.row.clone());
                let _ = reply.send(known);
            }
            NodeMessage::ReachesPrimary {
                service,
                member,
                reply,
            } => self.answer_reaches(&service, member, reply),
            NodeMessage::AskOpinions { service, member } => self.ask_opinions(&service, &member),
            NodeMessage::OpinionsHeard { service, reaches } => self.opinions(&service, reaches),
            NodeMessage::Reserve { service, highest } => self.reserve(&service, highest),
            NodeMessage::Promoted {
                service,
                member,
                term,
            } => self.promoted(service, member, term),
            NodeMessage::PrimaryFailed(service) => self.primary_failed(&service),
            NodeMessage::DelegateAsked { vm, is_heard } => self.delegate_asked(&vm, is_heard),
            NodeMessage::DoubtHeard(service) => {
                self.tell_delegate(&service, Event::TrafficFailed);
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

    /// Runs `work` beside this task and gets its result as a message.
    fn ask(&self, work: impl Future<Output = NodeMessage> + 'static) {
        let mailbox = self.mailbox.clone();
        spawn(async move {
            let message = work.await;
            // A stopped control task needs no results.
            let _ = mailbox.send(message);
        })
        .detach();
    }

    fn is_draining(&self) -> bool {
        *self.parts.draining.borrow()
    }
}
