//! The VM's copies of the store's tables, and who is told of their changes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use compio::runtime::JoinHandle;
use rand::Rng;
use tokio::sync::watch;

use super::{
    message::{NewsAnswer, NewsRequest, TableNews},
    store_source::{self, StoreSource},
    subscription,
};
use crate::{
    clock,
    decide::{
        floor_news::{Floors, LastAnswer, OffsetFloor, floor_since},
        news_sources::{Sources, StoreUse, is_follower, sources, store_use, store_use_at_start},
        table_copy::{StoreAnswer, StoreJudge, TableCopy, TablePage},
    },
    decision_log::decision,
    metrics::{Metrics, label},
    prelude::*,
    relay::Vms,
};

/// Number of sources that a VM subscribes to: while one fails, the other serves.
const SUBSCRIPTIONS: usize = 2;
/// Longest wait for changes that another VM may ask for, in milliseconds.
const WAIT_MAX_MS: u64 = 5_000;
/// How long a subscription waits for changes, in milliseconds. A source that
/// fails is noticed after this time and that of a call.
const WAIT_MS: u64 = 600;

/// A table that is followed.
#[derive(Clone)]
pub struct FollowedTable {
    /// Name.
    pub name: &'static str,
    /// Longest wait of one call for changes of the table, in milliseconds; `None`
    /// for a table that is read as a whole.
    pub wait_ms: Option<u64>,
    /// Longest interval at which such a table is read, in milliseconds.
    pub read_interval_ms: u64,
    /// Called with the copy after each change.
    pub on_change: Rc<dyn Fn(&TableCopy)>,
}

/// Options of the news.
#[derive(Clone, bon::Builder)]
pub struct NewsOptions {
    /// Name of the VM.
    pub vm: Name,
    /// Reads the store.
    pub source: StoreSource,
    /// The tables.
    pub tables: Vec<FollowedTable>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Called with the floors of services that other VMs raised: all commits
    /// acknowledged before a time, in milliseconds, lie at or before a position.
    pub on_floor: FloorListener,
    /// Metrics.
    pub metrics: Metrics,
}

/// Is told of floors: the service, the time in milliseconds, the position.
pub type FloorListener = Rc<dyn Fn(&Name, u64, Position)>;

struct Followed {
    table: FollowedTable,
    copy: TableCopy,
    judge: StoreJudge,
    /// Time at which the store last confirmed the copy, in milliseconds.
    confirmed_ms: Option<u64>,
}

/// State shared by the tasks of the news.
pub(super) struct Hub {
    vm: Name,
    metrics: Metrics,
    is_first_start: bool,
    started_ms: u64,
    pub(super) source: StoreSource,
    tables: RefCell<BTreeMap<Name, Followed>>,
    floors: RefCell<Floors>,
    on_floor: FloorListener,
    vms: RefCell<Option<Rc<Vms>>>,
    /// Time at which the VM began or ceased to follow the store, in milliseconds.
    role_since_ms: Cell<u64>,
    is_follower: Cell<bool>,
    is_resigned: Cell<bool>,
    choice: RefCell<Sources>,
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
        let tables = options.tables.into_iter().map(|table| {
            let followed = Followed {
                table: table.clone(),
                copy: TableCopy::default(),
                judge: StoreJudge::default(),
                confirmed_ms: None,
            };
            (Name::from(table.name), followed)
        });
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
        let version = self.0.version(table);
        self.0.apply_from_store(table, page, version, 0);
    }

    /// Time since the store last confirmed the copy of a table, in milliseconds.
    pub fn age_ms(&self, table: &str) -> Option<u64> {
        let tables = self.0.tables.borrow();
        let confirmed_ms = tables.get(table)?.confirmed_ms?;
        Some(clock::boot_ms().saturating_sub(confirmed_ms))
    }
}

impl Hub {
    pub(super) fn version(&self, table: &str) -> u64 {
        let tables = self.tables.borrow();
        tables.get(table).map_or(0, |f| f.copy.version())
    }

    /// How this VM uses the store for a table now.
    pub(super) fn store_use(&self, table: &str) -> StoreUse {
        let now_ms = clock::boot_ms();
        let tables = self.tables.borrow();
        let confirmed_ms = tables.get(table).and_then(|f| f.confirmed_ms);
        let Some(vms) = &*self.vms.borrow() else {
            let running_ms = now_ms.saturating_sub(self.started_ms);
            return store_use_at_start(self.is_first_start, confirmed_ms.is_some(), running_ms);
        };
        let since_ms = confirmed_ms.unwrap_or(0).max(self.role_since_ms.get());
        let age_ms = now_ms.saturating_sub(since_ms);
        store_use(self.is_follower.get(), vms.places.len(), age_ms)
    }

    /// Waits for a change of the list of VMs, for at most `limit_ms`.
    pub(super) async fn await_vms(&self, limit_ms: u64) {
        let mut changed = self.vms_changed.subscribe();
        let limit = Duration::from_millis(limit_ms);
        // Neither a change nor the end of the wait needs an action here.
        let _ = compio::time::timeout(limit, changed.changed()).await;
    }

    /// Applies a page of the store that was asked for when the copy was complete
    /// up to `asked_version`; returns whether it could be used. The store is asked again at once, and that call lasts
    /// up to `next_ms`: the copy counts as confirmed for this time, unless the call
    /// fails.
    pub(super) fn apply_from_store(
        &self,
        table: &str,
        page: TablePage,
        asked_version: u64,
        next_ms: u64,
    ) -> bool {
        let now_ms = clock::boot_ms();
        let answer = match self.tables.borrow_mut().get_mut(table) {
            Some(followed) => followed.judge.judge(page.version, asked_version, now_ms),
            None => StoreAnswer::Current,
        };
        match answer {
            StoreAnswer::Current => return self.apply(table, page, now_ms + next_ms, "store"),
            StoreAnswer::Stale => log::warn!(
                target: "news", table = table, version = asked_version, store = page.version;
                "older answer of the store ignored"
            ),
            StoreAnswer::Contradicts => {
                log::error!(
                    target: "news", table = table, version = asked_version, store = page.version;
                    "the copy is newer than the store; reading the whole table again"
                );
                if let Some(followed) = self.tables.borrow_mut().get_mut(table) {
                    followed.copy = TableCopy::default();
                }
            }
        }
        false
    }

    /// Records that the store does not answer calls about a table.
    pub(super) fn lost_store(&self, table: &str) {
        let now_ms = clock::boot_ms();
        if let Some(followed) = self.tables.borrow_mut().get_mut(table) {
            followed.confirmed_ms = followed.confirmed_ms.map(|at| at.min(now_ms));
        }
    }

    /// Applies a page that the store confirmed at `confirmed_ms`; returns whether it
    /// could be used.
    fn apply(&self, name: &str, page: TablePage, confirmed_ms: u64, source: &str) -> bool {
        let mut tables = self.tables.borrow_mut();
        let Some(followed) = tables.get_mut(name) else {
            log::warn!(target: "news", table = name, source = source; "news of an unknown table");
            return false;
        };
        let has_changed = match followed.copy.apply(page) {
            Ok(has_changed) => has_changed,
            Err(error) => {
                log::warn!(
                    target: "news", table = name, source = source, reason = error.to_string();
                    "news refused"
                );
                return false;
            }
        };
        let is_first = followed.confirmed_ms.is_none();
        followed.confirmed_ms = followed.confirmed_ms.max(Some(confirmed_ms));
        let labels = [label("table", followed.table.name)];
        let age_ms = clock::boot_ms().saturating_sub(confirmed_ms);
        self.metrics.news_age_ms.record(age_ms as f64, &labels);
        if has_changed || is_first {
            let on_change = followed.table.on_change.clone();
            let copy = followed.copy.clone();
            drop(tables);
            on_change(&copy);
            self.changed.send_modify(|changes| *changes += 1);
        }
        true
    }

    /// Whether this VM has news for a request.
    pub(super) fn has_news(&self, request: &NewsRequest) -> bool {
        let tables = self.tables.borrow();
        tables.iter().any(|(name, followed)| {
            let after = request.after.get(name).copied().unwrap_or(0);
            followed.copy.has_changes_after(after)
        })
    }

    /// Waits until there is news for a request, or its wait is over; `None` once
    /// this VM gives no more news.
    pub(super) async fn answer(&self, request: &NewsRequest) -> Option<NewsAnswer> {
        let arrived_ms = clock::boot_ms();
        self.hear_floors(
            &request.from,
            &request.floors.floors,
            request.floors.echo_ms,
        );
        let limit = Duration::from_millis(request.wait_ms.min(WAIT_MAX_MS));
        let mut changed = self.changed.subscribe();
        let has_news = async {
            while !self.has_news(request) && !self.is_resigned.get() {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // After the wait, the answer tells the age of what the other VM has.
        let _ = compio::time::timeout(limit, has_news).await;
        if self.is_resigned.get() {
            return None;
        }
        let now_ms = clock::boot_ms();
        let tables = self.tables.borrow();
        let known = tables.iter().filter_map(|(name, followed)| {
            let age_ms = now_ms.saturating_sub(followed.confirmed_ms?);
            let after = request.after.get(name).copied().unwrap_or(0);
            let page = followed.copy.page_after(after);
            Some((name.clone(), TableNews { page, age_ms }))
        });
        Some(NewsAnswer {
            tables: known.collect(),
            written_ms: now_ms,
            floors: match request.wants_floors {
                true => self.floors.borrow().for_answer(arrived_ms, now_ms),
                false => BTreeMap::new(),
            },
        })
    }

    /// Takes the floors of a message that answers one which this VM sent at `sent_ms`.
    fn hear_floors(&self, from: &Name, floors: &BTreeMap<Name, OffsetFloor>, sent_ms: u64) {
        let now_ms = clock::boot_ms();
        for (service, floor) in floors {
            let Some(since_ms) = floor_since(sent_ms, floor, now_ms) else {
                log::warn!(
                    target: "news", source = &**from, service = &**service;
                    "floor of an impossible time refused"
                );
                continue;
            };
            let mut known = self.floors.borrow_mut();
            let is_newer = known.raise(service, since_ms, floor.position);
            drop(known);
            if is_newer {
                (self.on_floor)(service, since_ms, floor.position);
            }
        }
    }

    /// The next request of a subscription, after its last answer. One subscription
    /// gets floors; both followers of a zone hear of all that the zone's VMs raise.
    pub(super) fn request(&self, subscription: usize, last: Option<LastAnswer>) -> NewsRequest {
        let tables = self.tables.borrow();
        let after = tables.iter();
        let after = after.map(|(name, f)| (name.clone(), f.copy.version()));
        NewsRequest {
            from: self.vm.clone(),
            after: after.collect(),
            floors: last.map_or_else(Default::default, |last| self.floors.borrow().echoed(last)),
            wants_floors: subscription == 0,
            wait_ms: WAIT_MS,
        }
    }

    /// The source that a subscription asks now, with its address.
    pub(super) fn choose_source(&self, index: usize) -> Option<(Name, std::net::SocketAddr)> {
        let vms = self.vms.borrow().clone()?;
        let source = self.choice.borrow_mut().choose(index, clock::boot_ms())?;
        let address = *vms.news_addresses.get(&source)?;
        Some((source, address))
    }

    /// Applies the answer of a source to a request of `asked_ms`; returns whether the
    /// source is good.
    pub(super) fn apply_answer(&self, source: &Name, answer: NewsAnswer, asked_ms: u64) -> bool {
        self.hear_floors(source, &answer.floors, asked_ms);
        let mut is_good = true;
        for (name, news) in answer.tables {
            let own_age_ms = self.age_ms(&name);
            let confirmed_ms = clock::boot_ms().saturating_sub(news.age_ms);
            is_good &= self.apply(&name, news.page, confirmed_ms, source);
            let own_age_ms = own_age_ms.unwrap_or(u64::MAX / 2);
            let mut choice = self.choice.borrow_mut();
            is_good &= choice.record_answer(source, news.age_ms, own_age_ms);
        }
        self.metrics
            .news_answers
            .add(1, &[label("outcome", "done")]);
        is_good
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

    fn age_ms(&self, table: &str) -> Option<u64> {
        let tables = self.tables.borrow();
        let confirmed_ms = tables.get(table)?.confirmed_ms?;
        Some(clock::boot_ms().saturating_sub(confirmed_ms))
    }
}
