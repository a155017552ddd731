//! The relay of a VM: what is configured and listed, and who listens.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use compio::net::TcpListener;
use tokio::sync::watch;

use super::{
    Catalog, RelayOptions, Roster, Route,
    message::ServiceMessage,
    service,
    session::{self, STOP_LINGER_MS},
};
use crate::{
    clock, decide::dispatch::shares, decision_log::decision, metrics::Metrics, prelude::*,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks at the sessions while the VM stops.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Part of the grace that is left for the end of the process, in milliseconds.
const STOP_RESERVE_MS: u64 = 800;

/// What the tasks of a relay share.
pub struct Shared {
    /// Surroundings.
    pub options: Rc<RelayOptions>,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration in force.
    pub catalog: RefCell<Option<Arc<Catalog>>>,
    /// Mailboxes of the services.
    services: RefCell<BTreeMap<Name, flume::Sender<ServiceMessage>>>,
    roster: RefCell<Roster>,
    /// Sessions that are open.
    pub sessions: Cell<usize>,
    /// Time since which the VM stops, in milliseconds.
    pub stopping: watch::Receiver<Option<u64>>,
}

impl Shared {
    /// The route to a database, in the configuration in force.
    pub fn route(&self, database: &Name) -> Option<Arc<Route>> {
        let catalog = self.catalog.borrow();
        catalog.as_ref()?.routes.get(database).cloned()
    }

    /// The mailbox of a service.
    pub fn service(&self, service: &Name) -> Option<flume::Sender<ServiceMessage>> {
        self.services.borrow().get(service).cloned()
    }

    /// Replicas that must have received a commit of a service.
    pub fn sync_replicas(&self, service: &Name) -> u32 {
        let catalog = self.catalog.borrow();
        let entry = catalog.as_ref().and_then(|c| c.services.get(service));
        entry.map_or(0, |entry| entry.sync_replicas)
    }
}

/// The relay of a VM.
pub struct Relay {
    shared: Rc<Shared>,
    stop: watch::Sender<Option<u64>>,
    ready: watch::Sender<bool>,
    vms_by_zone: RefCell<BTreeMap<Name, usize>>,
}

impl Relay {
    /// Creates a relay that knows neither a configuration nor members yet.
    pub fn new(options: RelayOptions, metrics: Metrics) -> Relay {
        let (stop, stopping) = watch::channel(None);
        let shared = Shared {
            options: Rc::new(options),
            metrics,
            catalog: RefCell::new(None),
            services: RefCell::new(BTreeMap::new()),
            roster: RefCell::new(Roster::default()),
            sessions: Cell::new(0),
            stopping,
        };
        Relay {
            shared: Rc::new(shared),
            stop,
            ready: watch::channel(false).0,
            vms_by_zone: RefCell::new(BTreeMap::new()),
        }
    }

    /// Whether requests can be served: a configuration is in force, members
    /// are known, and the VM does not stop.
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    fn note_ready(&self) {
        let has_members = !self.shared.roster.borrow().members.is_empty();
        let is_stopping = self.shared.stopping.borrow().is_some();
        let is_ready = self.version().is_some() && has_members && !is_stopping;
        if self.ready.send_replace(is_ready) != is_ready {
            log::info!(target: "ready", is_ready = is_ready; "readiness changed");
        }
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.shared.catalog.borrow().as_ref().map(|c| c.version)
    }

    /// Puts a configuration in force unless it is older than the one that is.
    pub fn apply(&self, catalog: Catalog) {
        let before = self.version();
        if before.is_some_and(|before| before >= catalog.version) {
            return;
        }
        decision!(
            "configuration", version = catalog.version, before = before.unwrap_or(0),
            routes = catalog.routes.len(); "configuration in force"
        );
        for (service, entry) in &catalog.services {
            match self.shared.service(service) {
                Some(mailbox) => {
                    // The task ends only with the process.
                    let _ = mailbox.send(ServiceMessage::Entry(entry.clone()));
                }
                None => self.start_service(service, entry.clone()),
            }
        }
        *self.shared.catalog.borrow_mut() = Some(Arc::new(catalog));
        self.note_ready();
    }

    fn start_service(&self, name: &Name, entry: super::ServiceEntry) {
        let options = self.shared.options.clone();
        let mailbox = service::start(name.clone(), entry, options, self.shared.metrics.clone());
        self.shared
            .services
            .borrow_mut()
            .insert(name.clone(), mailbox);
        self.tell_members(name);
    }

    /// Takes the members as the platform lists them now.
    pub fn list_members(&self, roster: Roster) {
        if *self.shared.roster.borrow() == roster {
            return;
        }
        *self.shared.roster.borrow_mut() = roster;
        self.note_ready();
        self.tell_all();
    }

    /// Takes the number of VMs at work in each zone.
    pub fn count_vms(&self, vms_by_zone: BTreeMap<Name, usize>) {
        if *self.vms_by_zone.borrow() == vms_by_zone {
            return;
        }
        decision!("placement", vms = format!("{vms_by_zone:?}"); "VMs at work");
        *self.vms_by_zone.borrow_mut() = vms_by_zone;
        self.tell_all();
    }

    /// Equal shares of the connections; `None` before the VMs are counted.
    fn shares(&self) -> Option<usize> {
        let vms_by_zone = self.vms_by_zone.borrow();
        let zone = &self.shared.options.zone;
        (!vms_by_zone.is_empty()).then(|| shares(&vms_by_zone, zone))
    }

    fn tell_all(&self) {
        let services: Vec<Name> = self.shared.services.borrow().keys().cloned().collect();
        for service in services {
            self.tell_members(&service);
        }
    }

    fn tell_members(&self, service: &Name) {
        let roster = self.shared.roster.borrow();
        let members = roster.members.iter();
        let members = members.filter(|(_, m)| m.service == *service);
        let members = members.map(|(id, m)| (id.clone(), m.clone())).collect();
        if let Some(mailbox) = self.shared.service(service) {
            // The task ends only with the process.
            let _ = mailbox.send(ServiceMessage::Members {
                members,
                shares: self.shares(),
            });
        }
    }

    /// Serves callers that connect. Never ends.
    pub async fn accept(&self, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(target: "listener", "not accepted: {error}");
                    compio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let shared = self.shared.clone();
            compio::runtime::spawn(async move {
                shared.sessions.set(shared.sessions.get() + 1);
                session::serve(&shared, stream).await;
                shared.sessions.set(shared.sessions.get() - 1);
            })
            .detach();
        }
    }

    /// Stops: answers what runs, ends sessions between requests. Returns once
    /// all have ended or the grace is over.
    pub async fn stop(&self) {
        let since_ms = clock::boot_ms();
        let end_ms = since_ms + self.shared.options.grace_ms.saturating_sub(STOP_RESERVE_MS);
        log::info!(
            target: "stop", sessions = self.shared.sessions.get(); "stopping"
        );
        self.stop.send_replace(Some(since_ms));
        self.note_ready();
        while clock::boot_ms() < end_ms {
            let is_lingering = clock::boot_ms() < since_ms + STOP_LINGER_MS;
            if !is_lingering && self.shared.sessions.get() == 0 {
                break;
            }
            compio::time::sleep(STOP_POLL).await;
        }
        log::info!(
            target: "stop", sessions = self.shared.sessions.get(),
            took_ms = clock::boot_ms() - since_ms; "stopped"
        );
    }
}
