//! The relay of a VM: its configuration, members, listeners and shutdown.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use compio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{
    ErrorClass, MemberList, RelayConfig, RelayOptions, Route, ServiceConfig, Vms,
    accounts::AccountMeter,
    callers::Callers,
    forward,
    message::ServiceMessage,
    service,
    session::{self, STOP_LINGER_MS},
};
use crate::{
    clock,
    decide::{
        certainty::{Certainty, certainty},
        load::account::{Account, AccountKey},
    },
    decision_log::decision,
    metrics::{Metrics, label},
    prelude::*,
};

/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a stopping VM checks whether its sessions have ended.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Limit for idle transactions without a configuration. No transaction can be
/// open then, so the limit never applies.
const UNCONFIGURED_IDLE_MS: u64 = 3_600_000;
/// Part of the grace period that is kept for the exit of the process.
const STOP_RESERVE_MS: u64 = 800;

/// Time for which a request waits for news of the configuration, and after which a caller
/// should ask another VM for what this one does not know, in milliseconds.
const UNCERTAIN_RETRY_MS: u64 = 300;

/// Interval at which a request that waits for news looks for them.
const NEWS_POLL: Duration = Duration::from_millis(20);

/// No client account holds the key of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no account holds the key")]
pub struct UnknownKey;

/// What a VM knows of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigKnowledge {
    /// Version in force; zero if there is none.
    pub version: u64,
    /// Time since it is in force, in milliseconds.
    pub in_force_ms: u64,
    /// Time since the platform last confirmed that it is the newest, in milliseconds; -1 if
    /// it never has.
    pub age_ms: i64,
}

/// A service whose task runs.
struct RunningService {
    mailbox: flume::Sender<ServiceMessage>,
    /// Its settings as last configured. They stay in force after the configuration has dropped
    /// the service, since statements and transactions that had begun still end there.
    config: ServiceConfig,
}

/// State shared by the tasks of a relay.
pub struct Shared {
    /// Options and dependencies.
    pub options: Rc<RelayOptions>,
    /// Metrics.
    pub metrics: Metrics,
    /// Meters the operations of client accounts.
    pub meter: AccountMeter,
    /// Configuration in force.
    pub config: RefCell<Option<Arc<RelayConfig>>>,
    /// Time since which it is in force, in milliseconds.
    config_since_ms: Cell<u64>,
    services: RefCell<BTreeMap<Name, RunningService>>,
    member_list: RefCell<MemberList>,
    /// Connected callers.
    pub callers: Rc<Callers>,
    /// Time at which the VM began to stop, in milliseconds; `None` while it serves.
    pub stopping: watch::Receiver<Option<u64>>,
}

impl Shared {
    /// Route to a database, in the configuration in force.
    pub fn route(&self, database: &Name) -> Option<Arc<Route>> {
        let config = self.config.borrow();
        config.as_ref()?.routes.get(database).cloned()
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.config.borrow().as_ref().map(|config| config.version)
    }

    /// What decides whether a database or key is known, for log lines.
    pub fn config_knowledge(&self) -> ConfigKnowledge {
        let version = self.version();
        let age = (self.options.config_age)();
        let in_force_ms = clock::boot_ms().saturating_sub(self.config_since_ms.get());
        ConfigKnowledge {
            version: version.unwrap_or(0),
            in_force_ms: version.map_or(0, |_| in_force_ms),
            age_ms: age.age_ms.map_or(-1, |age_ms| age_ms as i64),
        }
    }

    /// What this VM may do with the configuration in force.
    pub fn certainty(&self) -> Certainty {
        let age = (self.options.config_age)();
        certainty(age, self.options.config_age_max_ms)
    }

    /// Waits for news while this VM is late; returns whether it may act on the configuration
    /// in force. A VM that was suspended gets news within a few calls.
    pub async fn await_certainty(&self) -> bool {
        if self.version().is_none() || self.certainty() != Certainty::Late {
            return true;
        }
        let since_ms = clock::boot_ms();
        while self.certainty() == Certainty::Late {
            if clock::boot_ms() >= since_ms + UNCERTAIN_RETRY_MS {
                break;
            }
            compio::time::sleep(NEWS_POLL).await;
        }
        let certainty: &'static str = self.certainty().into();
        let labels = [label("certainty", certainty)];
        self.metrics.config_waits.add(1, &labels);
        let known = self.config_knowledge();
        decision!(
            "configuration", version = known.version, config_age_ms = known.age_ms,
            certainty = certainty, waited_ms = clock::boot_ms() - since_ms;
            "waited for news of the configuration"
        );
        self.certainty() != Certainty::Late
    }

    /// Text of the refusal of a statement while this VM is late.
    pub fn late_text(&self) -> String {
        format!("the configuration known here may be old; retry after {UNCERTAIN_RETRY_MS} ms")
    }

    /// Class and text of the refusal of a database or key that the configuration in force
    /// lacks. It is final only where that configuration is known to be the newest; otherwise
    /// another VM may know better.
    pub fn refusal(&self, class: ErrorClass, text: &str) -> (ErrorClass, String) {
        let has_config = self.config.borrow().is_some();
        match self.certainty() {
            Certainty::Newest if has_config => (class, text.to_owned()),
            _ => {
                let text = format!(
                    "{text} in the configuration known here, which may be old; \
                     retry after {UNCERTAIN_RETRY_MS} ms"
                );
                (ErrorClass::Busy, text)
            }
        }
    }

    /// Client account that holds a key, in the configuration in force. `Ok(None)` where
    /// statements run without one: the configuration has no accounts, or the route
    /// needs no key.
    ///
    /// # Errors
    ///
    /// Returns an error when no account holds the key.
    pub fn account(
        &self,
        route: &Route,
        key: &AccountKey,
    ) -> std::result::Result<Option<Arc<Account>>, UnknownKey> {
        let config = self.config.borrow();
        let accounts = config.as_ref().and_then(|c| c.accounts.as_ref());
        match accounts.filter(|_| !route.is_keyless) {
            None => Ok(None),
            Some(accounts) => accounts.find(key).cloned().map(Some).ok_or(UnknownKey),
        }
    }

    /// Mailbox of a service's task.
    pub fn mailbox(&self, service: &Name) -> Option<flume::Sender<ServiceMessage>> {
        let services = self.services.borrow();
        services.get(service).map(|running| running.mailbox.clone())
    }

    /// Sends a message to a service's task.
    pub fn send(&self, service: &Name, message: ServiceMessage) {
        if let Some(mailbox) = self.mailbox(service) {
            // Can't fail: the task ends only with the process.
            let _ = mailbox.send(message);
        }
    }

    /// Tells a service's task that a member refused a statement.
    pub fn report_refusal(&self, service: &Name, member: &Name, class: ErrorClass) {
        let member = member.clone();
        let message = match class {
            ErrorClass::ReadOnly => ServiceMessage::NotPrimary { member },
            ErrorClass::Lagging => ServiceMessage::Behind { member },
            ErrorClass::Busy => ServiceMessage::Full { member },
            ErrorClass::WrongMember => ServiceMessage::Suspect {
                member,
                is_commit: false,
            },
            _ => return,
        };
        self.send(service, message);
    }

    /// Time after which an idle transaction is ended.
    pub fn transaction_idle_ms(&self) -> u64 {
        let config = self.config.borrow();
        let limits = config.as_ref().map(|c| c.limits);
        limits.map_or(UNCONFIGURED_IDLE_MS, |limits| limits.transaction_idle_ms)
    }

    /// Number of replicas that must receive a commit before it is acknowledged.
    pub fn sync_replicas(&self, service: &Name) -> u32 {
        let services = self.services.borrow();
        let running = services.get(service);
        running.map_or(0, |running| running.config.sync_replicas)
    }
}

/// The relay of a VM.
pub struct Relay {
    shared: Rc<Shared>,
    stop: watch::Sender<Option<u64>>,
    ready: watch::Sender<bool>,
    vms: RefCell<Rc<Vms>>,
}

impl Relay {
    /// Creates a relay without a configuration and members.
    pub fn new(options: RelayOptions, metrics: Metrics) -> Relay {
        let (stop, stopping) = watch::channel(None);
        let options = Rc::new(options);
        let shared = Shared {
            meter: AccountMeter::start(options.clone(), metrics.clone()),
            options,
            metrics,
            config: RefCell::new(None),
            config_since_ms: Cell::new(0),
            services: RefCell::new(BTreeMap::new()),
            member_list: RefCell::new(MemberList::default()),
            callers: Rc::default(),
            stopping,
        };
        Relay {
            shared: Rc::new(shared),
            stop,
            ready: watch::channel(false).0,
            vms: RefCell::default(),
        }
    }

    /// Whether requests can be served: a configuration is in force, members
    /// are listed, and the VM is not stopping.
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    fn update_readiness(&self) {
        let has_members = !self.shared.member_list.borrow().members.is_empty();
        let is_stopping = self.shared.stopping.borrow().is_some();
        let is_ready = self.version().is_some() && has_members && !is_stopping;
        if self.ready.send_replace(is_ready) != is_ready {
            log::info!(target: "ready", is_ready = is_ready; "readiness changed");
        }
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.shared.version()
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub fn apply(&self, config: RelayConfig) {
        let before = self.version();
        if before.is_some_and(|before| before >= config.version) {
            return;
        }
        decision!(
            "configuration", version = config.version, before = before.unwrap_or(0),
            routes = config.routes.len(); "configuration in force"
        );
        for (service, service_config) in &config.services {
            if !self.change_service(service, service_config) {
                self.start_service(service, service_config.clone());
            }
        }
        let metrics = &self.shared.metrics;
        metrics.config_version.record(config.version, &[]);
        self.shared.config_since_ms.set(clock::boot_ms());
        *self.shared.config.borrow_mut() = Some(Arc::new(config));
        self.update_readiness();
    }

    /// Changes the settings of a running service; `false` if it does not run.
    fn change_service(&self, name: &Name, config: &ServiceConfig) -> bool {
        let mut services = self.shared.services.borrow_mut();
        let Some(running) = services.get_mut(name) else {
            return false;
        };
        running.config = config.clone();
        // Can't fail: the task ends only with the process.
        let _ = running.mailbox.send(ServiceMessage::Config(config.clone()));
        true
    }

    fn start_service(&self, name: &Name, config: ServiceConfig) {
        let options = self.shared.options.clone();
        let metrics = self.shared.metrics.clone();
        let mailbox = service::start(name.clone(), config.clone(), options, metrics);
        let running = RunningService { mailbox, config };
        self.shared
            .services
            .borrow_mut()
            .insert(name.clone(), running);
        let vms = self.vms.borrow().clone();
        self.shared.send(name, ServiceMessage::Vms(vms));
        self.send_members(name);
    }

    /// Replaces the members by those that the platform lists now.
    pub fn update_members(&self, member_list: MemberList) {
        if *self.shared.member_list.borrow() == member_list {
            return;
        }
        *self.shared.member_list.borrow_mut() = member_list;
        self.update_readiness();
        for service in self.services() {
            self.send_members(&service);
        }
    }

    /// Replaces the VMs by those that are active now.
    pub fn update_vms(&self, vms: impl Into<Rc<Vms>>) {
        let vms = vms.into();
        if *self.vms.borrow() == vms {
            return;
        }
        let names: Vec<&str> = vms.places.keys().map(|vm| &**vm).collect();
        decision!("placement", vms = names.join(" "); "active VMs changed");
        *self.vms.borrow_mut() = vms.clone();
        self.shared.meter.update_vms(vms.clone());
        for service in self.services() {
            let message = ServiceMessage::Vms(vms.clone());
            self.shared.send(&service, message);
        }
    }

    /// Takes a floor that another VM raised.
    pub fn hear_floor(&self, service: &Name, since_ms: u64, position: Position) {
        let message = ServiceMessage::FloorHeard { since_ms, position };
        self.shared.send(service, message);
    }

    fn services(&self) -> Vec<Name> {
        self.shared.services.borrow().keys().cloned().collect()
    }

    fn send_members(&self, service: &Name) {
        let member_list = self.shared.member_list.borrow();
        let members = member_list.members.iter();
        let members = members.filter(|(_, m)| m.service == *service);
        let members = members.map(|(id, m)| (id.clone(), m.clone())).collect();
        self.shared
            .send(service, ServiceMessage::Members { members });
    }

    /// Accepts and serves callers. Never returns.
    pub async fn accept(&self, listener: TcpListener) {
        loop {
            let stream = next_connection(&listener).await;
            let shared = self.shared.clone();
            let limits = &shared.options.caller_limits;
            let Some(connected) = shared.callers.connect(limits) else {
                self.shared.metrics.callers_refused.add(1, &[]);
                continue;
            };
            compio::runtime::spawn(async move {
                session::serve(&shared, stream, connected).await;
            })
            .detach();
        }
    }

    /// Accepts and serves other VMs that forward statements through this one.
    /// Never returns.
    pub async fn accept_forwarded(&self, listener: TcpListener) {
        loop {
            let stream = next_connection(&listener).await;
            let shared = self.shared.clone();
            compio::runtime::spawn(async move { forward::serve(&shared, stream).await }).detach();
        }
    }

    /// Stops the relay: running statements are answered, and sessions are closed
    /// between statements. Returns once all have ended or the grace period is
    /// over.
    pub async fn stop(&self) {
        let since_ms = clock::boot_ms();
        let end_ms = since_ms + self.shared.options.grace_ms.saturating_sub(STOP_RESERVE_MS);
        log::info!(
            target: "stop", sessions = self.shared.callers.count(); "stopping"
        );
        self.stop.send_replace(Some(since_ms));
        self.update_readiness();
        while clock::boot_ms() < end_ms {
            let is_lingering = clock::boot_ms() < since_ms + STOP_LINGER_MS;
            if !is_lingering && self.shared.callers.count() == 0 {
                break;
            }
            compio::time::sleep(STOP_POLL).await;
        }
        log::info!(
            target: "stop", sessions = self.shared.callers.count(),
            took_ms = clock::boot_ms() - since_ms; "stopped"
        );
    }
}

async fn next_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(target: "listener", "can't accept a connection: {error}");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
