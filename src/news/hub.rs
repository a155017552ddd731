//! The news of a VM: its state, its part in following the store, its sources.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use compio::runtime::JoinHandle;
use rand::Rng;
use tokio::sync::watch;

use super::{
    copies::Followed,
    options::{FloorListener, FollowedTable, NewsOptions},
    store_source::{self, StoreSource},
    subscription,
};
use crate::{
    clock,
    decide::{
        certainty::ConfigAge,
        floor_news::Floors,
        news_sources::{Sources, StoreUse, is_follower, sources, store_use, store_use_at_start},
        table_copy::TablePage,
    },
    decision_log::decision,
    metrics::{Metrics, label},
    prelude::*,
    relay::Vms,
};

/// Number of sources that a VM subscribes to: while one fails, the other serves.
const SUBSCRIPTIONS: usize = 2;

/// State shared by the tasks of the news.
pub(super) struct Hub {
    pub(super) vm: Name,
    pub(super) metrics: Metrics,
    is_first_start: bool,
    started_ms: u64,
    pub(super) source: StoreSource,
    pub(super) tables: RefCell<BTreeMap<Name, Followed>>,
    pub(super) floors: RefCell<Floors>,
    pub(super) on_floor: FloorListener,
    vms: RefCell<Option<Rc<Vms>>>,
    /// Time at which the VM began or ceased to follow the store, in milliseconds.
    role_since_ms: Cell<u64>,
    is_follower: Cell<bool>,
    pub(super) is_resigned: Cell<bool>,
    pub(super) choice: RefCell<Sources>,
    /// Newest era of the store that this VM has heard of.
    pub(super) era: watch::Sender<Option<u64>>,
    /// Number of changes of the copies.
    pub(super) changed: watch::Sender<u64>,
    /// Number of changes of the list of VMs.
    vms_changed: watch::Sender<u64>,
    /// Tasks that follow and subscribe; dropped, they end.
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// The news of a VM: its copies of the store's tables.
#[derive(Clone)]
pub struct NewsHub(pub(super) Rc<Hub>);

impl NewsHub {
    /// Creates the news without any copy.
    pub fn new(options: NewsOptions) -> NewsHub {
        let tables = options
            .tables
            .into_iter()
            .map(|table| (Name::from(table.name), Followed::new(table)));
        NewsHub(Rc::new(Hub {
            vm: options.vm,
            metrics: options.metrics,
            is_first_start: options.is_first_start,
            started_ms: clock::boot_ms(),
            source: options.source,
            tables: RefCell::new(tables.collect()),
            floors: RefCell::default(),
            on_floor: options.on_floor,
            vms: RefCell::new(None),
            role_since_ms: Cell::new(0),
            is_follower: Cell::new(false),
            is_resigned: Cell::new(false),
            choice: RefCell::new(Sources::new(SUBSCRIPTIONS)),
            era: watch::channel(None).0,
            changed: watch::channel(0).0,
            vms_changed: watch::channel(0).0,
            tasks: RefCell::default(),
        }))
    }

    /// Follows the tables from now on.
    pub fn start(&self) {
        let tables = self.0.tables.borrow();
        let mut tasks = self.0.tasks.borrow_mut();
        for followed in tables.values() {
            let followed = store_source::follow(self.0.clone(), followed.table.clone());
            tasks.push(compio::runtime::spawn(followed));
        }
        for index in 0..SUBSCRIPTIONS {
            tasks.push(compio::runtime::spawn(subscription::run(
                self.0.clone(),
                index,
            )));
        }
    }

    /// Gives no more news to other VMs, so that they turn to other sources before
    /// this VM ends. It still hears news itself.
    pub fn resign(&self) {
        self.0.is_resigned.set(true);
        self.0.changed.send_modify(|changes| *changes += 1);
    }

    /// Ends following and asking for news; what is known stays.
    pub fn stop(&self) {
        self.0.tasks.borrow_mut().clear();
    }

    /// Replaces the list of VMs.
    pub fn update_vms(&self, vms: Rc<Vms>) {
        let hub = &self.0;
        let follows = is_follower(&hub.vm, &vms.places);
        let is_first = hub.vms.borrow().is_none();
        if is_first || follows != hub.is_follower.get() {
            decision!(
                "news", is_follower = follows, vms = vms.places.len();
                "role in following the store"
            );
            hub.is_follower.set(follows);
            hub.role_since_ms.set(clock::boot_ms());
        }
        let ranking = sources(&hub.vm, &vms.places);
        let ranking = ranking.into_iter();
        let ranking = ranking.filter(|vm| vms.news_addresses.contains_key(vm));
        hub.choice.borrow_mut().set_ranking(ranking.collect());
        *hub.vms.borrow_mut() = Some(vms);
        hub.vms_changed.send_modify(|changes| *changes += 1);
    }

    /// Passes a floor that this VM raised on to others.
    pub fn raise_floor(&self, service: &Name, since_ms: u64, position: Position) {
        let mut floors = self.0.floors.borrow_mut();
        floors.raise(service, since_ms, position);
    }

    /// Takes a whole table that was read from the store otherwise.
    pub fn apply(&self, table: &str, page: TablePage) {
        let revision = self.0.revision(table);
        self.0.apply_from_store(table, page, revision, 0);
    }

    /// Tells each change of the store's era.
    pub fn eras(&self) -> watch::Receiver<Option<u64>> {
        self.0.era.subscribe()
    }

    /// Age of a table that holds the configuration.
    pub fn config_age(&self, table: &str) -> ConfigAge {
        self.0.config_age(table)
    }
}

impl Hub {
    /// How this VM uses the store for a table now, after some failed calls about it.
    pub(super) fn store_use(&self, table: &FollowedTable, failures: u32) -> StoreUse {
        let now_ms = clock::boot_ms();
        let tables = self.tables.borrow();
        let confirmed_ms = tables.get(table.name).and_then(|f| f.confirmed_ms);
        let Some(vms) = &*self.vms.borrow() else {
            let running_ms = now_ms.saturating_sub(self.started_ms);
            return store_use_at_start(self.is_first_start, confirmed_ms.is_some(), running_ms);
        };
        let since_ms = confirmed_ms.unwrap_or(0).max(self.role_since_ms.get());
        let age_ms = now_ms.saturating_sub(since_ms);
        let is_follower = self.is_follower.get();
        store_use(is_follower, vms.places.len(), age_ms, failures, table.pace)
    }

    /// Waits for a change of the list of VMs, for at most `limit_ms`.
    pub(super) async fn await_vms(&self, limit_ms: u64) {
        let mut changed = self.vms_changed.subscribe();
        let limit = Duration::from_millis(limit_ms);
        // Neither a change nor the end of the wait needs an action here.
        let _ = compio::time::timeout(limit, changed.changed()).await;
    }

    /// The source that a subscription asks now, with its address.
    pub(super) fn choose_source(&self, index: usize) -> Option<(Name, std::net::SocketAddr)> {
        let vms = self.vms.borrow().clone()?;
        let source = self.choice.borrow_mut().choose(index, clock::boot_ms())?;
        let address = *vms.news_addresses.get(&source)?;
        Some((source, address))
    }

    /// Records that a source can't be used for now.
    pub(super) fn record_failure(&self, source: &Name, reason: &str) {
        decision!("news", source = &**source, reason = reason; "source of news failed");
        self.metrics
            .news_answers
            .add(1, &[label("outcome", "failed")]);
        let jitter = |pause_ms: u64| rand::rng().random_range(pause_ms / 2..=pause_ms);
        let now_ms = clock::boot_ms();
        let mut choice = self.choice.borrow_mut();
        choice.record_failure(source, now_ms, jitter);
    }
}
