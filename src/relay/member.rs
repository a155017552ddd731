//! State that a service's task keeps for one member.

use super::{
    MemberEntry, StatusReport,
    connection::{Connection, SessionSetup},
    message::Acquire,
};
use crate::{
    clock,
    decide::{
        load::admission::AdmissionQueue,
        load::capacity::Capacity,
        load::dispatch::{ConnectionBudget, share_count},
        load::holders::MemberPath,
        load::window::Window,
        member::Role,
        retry::Backoff,
    },
    prelude::*,
};

/// Pause after the member refused to open a connection. Opening one costs the
/// member about as much as a read, so a full member must not be asked at a
/// constant rate by all VMs.
const OPEN_BACKOFF: Backoff = Backoff {
    base_ms: 100,
    max_ms: 800,
};
/// Pause after the member refused a probe: two are sent before a leadership check
/// is given up.
const PROBE_BACKOFF: Backoff = Backoff {
    base_ms: 100,
    max_ms: 400,
};

/// Pause between probes of a member that does not answer.
const SILENT_BACKOFF: Backoff = Backoff {
    base_ms: 100,
    max_ms: 400,
};
/// The same once it has left the member list or is leaving it: it most likely does
/// not come back, and all VMs ask for it.
const ABSENT_BACKOFF: Backoff = Backoff {
    base_ms: 100,
    max_ms: 1_600,
};

/// Most requests queued for one member.
const QUEUE_MAX: usize = 256;
/// Weight of the newest sample in the mean time of a read.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Initial estimate of the time of a read, in milliseconds, by distance: same zone,
/// same region, other region. The last is a round trip between regions.
const INITIAL_MEAN_MS: [f64; 3] = [20.0, 25.0, 65.0];
/// Age after which a reported number of connections is ignored, in microseconds.
const COUNT_MAX_AGE_US: u64 = 3_000_000;

/// Time for which a member may be missing from the list before it counts as
/// departing, in milliseconds: after an outage of the platform's table service,
/// entries are back within two seconds.
const UNLISTED_GRACE_MS: u64 = 2_500;

/// Time after which a member that is missing from the list counts as permanently
/// gone, in milliseconds: longer than a failed member may take to come back with
/// its log.
pub const GONE_MS: u64 = 12_000;

/// Most connections to a VM that forwards to a member: more than the member's
/// window admits at once.
const FORWARDED_CONNECTIONS_MAX: usize = 40;

/// Time between retries of the best path while another one is in use, in
/// milliseconds: each failed probe costs the time-out of a probe.
const BEST_PATH_RETRY_MS: u64 = 4_000;

/// Number of connection shares while the number of VMs is not known yet: this VM
/// gets one connection, and more only while the member reports room.
const INITIAL_SHARES: usize = usize::MAX;

/// Time within which a member that restarted under another id is listed and has
/// answered, in milliseconds. After that, the address is assumed to be reused by
/// an unrelated member.
const DISPLACED_MS: u64 = 3_000;

/// Safety margin subtracted from the drain time, in milliseconds: for late updates
/// of the member list, and for requests in flight.
const DRAIN_MARGIN_MS: u64 = 1_500;

/// A member of the service.
pub struct Member {
    /// Last entry in the platform's member list.
    pub entry: MemberEntry,
    /// Time since which it is missing from the list, in milliseconds.
    pub unlisted_since_ms: Option<u64>,
    /// Time at which it was listed as restarted under its id, in milliseconds.
    pub restarted_ms: Option<u64>,
    /// Time since which it is leaving, in milliseconds.
    pub leaving_since_ms: Option<u64>,
    /// Distance from this VM: 0 same zone, 1 same region, 2 other region.
    pub distance: u32,
    /// Paths to it, best first; never empty.
    paths: Vec<MemberPath>,
    /// Index of the path in use.
    path: usize,
    /// Index of the alternative path tried last, or zero.
    alternative_path: usize,
    /// Time at which the best path is tried again, in milliseconds.
    retry_best_ms: u64,
    /// Number of equal shares into which its connections are divided among VMs.
    shares: usize,
    /// Idle connections.
    pub idle: Vec<Connection>,
    /// Connections that are open or being opened.
    pub open: usize,
    /// Connections that are being opened for queued requests, by account.
    pub opening: BTreeMap<Option<Name>, usize>,
    /// Requests that wait for a connection to it.
    pub queue: AdmissionQueue<Acquire>,
    /// Requests outside transactions that are running on it.
    pub running: usize,
    /// Limit on `running`.
    pub window: Window,
    /// Limit on `running` that is learned from answers, where that is switched on.
    capacity: Option<Capacity>,
    /// The last report, and the time its probe was sent, in microseconds.
    pub report: Option<(u64, StatusReport)>,
    /// Connections to it that this VM had when it gave the last report.
    open_at_report: usize,
    /// Highest position that it has reported in its term, also before a restart under
    /// its id.
    pub highest_received: Option<Position>,
    /// Time the probe in flight was sent, in microseconds.
    pub probe_sent_us: Option<u64>,
    /// Time after which the requested probe must be sent, in microseconds.
    pub probe_after_us: Option<u64>,
    /// Time since which a probe is requested, in microseconds.
    pub probe_requested_us: Option<u64>,
    /// Consecutive probes that failed.
    pub failures: u32,
    /// Time the first of these was sent, in microseconds.
    pub silent_since_us: Option<u64>,
    /// Time since which its address answers as another member, in milliseconds.
    pub displaced_since_ms: Option<u64>,
    /// Time before which it is not probed again, in milliseconds.
    pub next_probe_ms: u64,
    /// Time before which no connection is opened, in milliseconds.
    pub open_after_ms: u64,
    /// Consecutive connections that it refused to open because it is full.
    open_refusals: u32,
    /// Consecutive probes that it refused because it is full.
    probe_refusals: u32,
    /// Mean time of a read, in milliseconds.
    pub mean_ms: f64,
    /// Time until which it counts as behind, in milliseconds.
    pub behind_until_ms: u64,
    /// Time since which it is fenced by a takeover, in microseconds.
    pub fenced_since_us: Option<u64>,
}

impl Member {
    /// Creates a member of which only its list entry is known.
    pub fn new(entry: MemberEntry, distance: u32) -> Member {
        Member {
            entry,
            unlisted_since_ms: None,
            restarted_ms: None,
            leaving_since_ms: None,
            distance,
            paths: vec![MemberPath::Direct],
            path: 0,
            alternative_path: 0,
            retry_best_ms: 0,
            shares: INITIAL_SHARES,
            idle: Vec::new(),
            open: 0,
            opening: BTreeMap::new(),
            queue: AdmissionQueue::new(QUEUE_MAX),
            running: 0,
            window: Window::default(),
            capacity: None,
            report: None,
            open_at_report: 0,
            highest_received: None,
            probe_sent_us: None,
            probe_after_us: None,
            probe_requested_us: None,
            failures: 0,
            silent_since_us: None,
            displaced_since_ms: None,
            next_probe_ms: 0,
            open_after_ms: 0,
            open_refusals: 0,
            probe_refusals: 0,
            mean_ms: INITIAL_MEAN_MS[distance.min(2) as usize],
            behind_until_ms: 0,
            fenced_since_us: None,
        }
    }

    /// Learns from answers how many requests it takes well at once.
    pub fn learn_capacity(&mut self) {
        self.capacity = Some(Capacity::default());
    }

    /// Whether another request may run on it in addition to `running`.
    pub fn has_room(&self, running: usize) -> bool {
        let is_taken_well = |capacity: &Capacity| capacity.has_room(running);
        self.window.has_room(running) && self.direct_capacity().is_none_or(is_taken_well)
    }

    /// Requests that it takes well at once, as learned from its answers. Through another
    /// VM, that VM limits them.
    fn direct_capacity(&self) -> Option<&Capacity> {
        let capacity = self.capacity.as_ref();
        capacity.filter(|_| *self.path() == MemberPath::Direct)
    }

    /// Expected time of another read, in milliseconds, as learned from its answers; `None`
    /// where that is not switched on, or too little is known.
    pub fn expected_read_ms(&self, now_ms: u64) -> Option<f64> {
        let running = self.running + self.queue.len() + 1;
        self.capacity.as_ref()?.expected_ms(running, now_ms)
    }

    /// Records an answered request.
    pub fn record_answered(&mut self, took_us: u64) {
        self.window.done();
        self.record_read(took_us);
        self.queue.record(took_us);
        let (running, now_ms) = (self.running, clock::boot_ms());
        if let Some(capacity) = &mut self.capacity {
            capacity.record(took_us as f64 / 1_000.0, running, now_ms);
        }
    }

    /// Records whether the member list marks it as leaving.
    pub fn set_leaving(&mut self, is_leaving: bool) {
        let now_ms = clock::boot_ms();
        self.leaving_since_ms = match is_leaving {
            true => self.leaving_since_ms.or(Some(now_ms)),
            false => None,
        };
    }

    /// Records that it opened a connection.
    pub fn record_open(&mut self) {
        self.open_refusals = 0;
    }

    /// Records that it refused to open a connection because it is full.
    pub fn record_open_refusal(&mut self, now_ms: u64) {
        self.open_refusals += 1;
        let pause_ms = OPEN_BACKOFF.jittered_ms(self.open_refusals, &mut rand::rng());
        self.open_after_ms = now_ms + pause_ms;
    }

    /// Records that it answers, on a connection that names it.
    pub fn record_alive(&mut self) {
        self.failures = 0;
        self.silent_since_us = None;
        self.displaced_since_ms = None;
    }

    /// Records that it gave a report.
    pub fn record_report(&mut self, asked_us: u64, report: StatusReport) {
        self.probe_refusals = 0;
        let is_fenced = report.held_term > report.term;
        self.fenced_since_us = match is_fenced {
            true => self.fenced_since_us.or(Some(asked_us)),
            false => None,
        };
        // A new primary may have rolled back what was ahead of it.
        let is_new_term = self.report.is_some_and(|(_, last)| last.term < report.term);
        self.highest_received = match is_new_term {
            true => Some(report.received),
            false => self.highest_received.max(Some(report.received)),
        };
        self.report = Some((asked_us, report));
        self.open_at_report = self.open;
    }

    /// Records that it refused a probe because it is full.
    pub fn record_probe_refusal(&mut self, now_ms: u64) {
        self.probe_refusals += 1;
        let pause_ms = PROBE_BACKOFF.jittered_ms(self.probe_refusals, &mut rand::rng());
        self.next_probe_ms = now_ms + pause_ms;
    }

    /// Records that a probe sent at `asked_us` on the path in use failed, and switches
    /// to the next path. The first one is tried after `next_path_ms`.
    pub fn record_failure(&mut self, asked_us: u64, next_path_ms: u64) {
        let now_ms = clock::boot_ms();
        self.use_next_path();
        self.failures += 1;
        self.silent_since_us.get_or_insert(asked_us);
        let is_absent = self.entry.is_leaving || self.unlisted_since_ms.is_some();
        let pause_ms = match (self.is_out_of_reach(), is_absent) {
            (false, _) => next_path_ms,
            (true, false) => SILENT_BACKOFF.jittered_ms(self.failures, &mut rand::rng()),
            (true, true) => ABSENT_BACKOFF.jittered_ms(self.failures, &mut rand::rng()),
        };
        self.next_probe_ms = now_ms + pause_ms;
        self.idle.clear();
    }

    /// Whether it answers probes, and is not too busy to report.
    pub fn gives_reports(&self) -> bool {
        self.failures == 0 && self.probe_refusals == 0 && self.open_refusals == 0
    }

    /// Whether it refused to open a connection shortly before.
    pub fn refuses_connections(&self, now_ms: u64) -> bool {
        self.open_refusals > 0 && now_ms < self.open_after_ms
    }

    /// Whether requests can be served on connections that are open, or new ones may
    /// be opened.
    pub fn has_connections(&self, now_ms: u64) -> bool {
        self.open > self.opening_count() || now_ms >= self.open_after_ms
    }

    /// Whether it may serve new reads.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.failures == 0 && !self.is_departing(now_ms)
    }

    /// Whether it is leaving, or missing from the list beyond the grace period.
    pub fn is_departing(&self, now_ms: u64) -> bool {
        let since_ms = self.unlisted_since_ms;
        self.entry.is_leaving || since_ms.is_some_and(|at| now_ms >= at + UNLISTED_GRACE_MS)
    }

    /// Whether its drain time is over: it must get no requests, even as the primary.
    pub fn is_drained(&self, drain_ms: u64, now_ms: u64) -> bool {
        let since_ms = self.leaving_since_ms.or(self.unlisted_since_ms);
        let limit_ms = drain_ms.saturating_sub(DRAIN_MARGIN_MS);
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + limit_ms)
    }

    /// Whether it counts as permanently gone.
    pub fn is_gone(&self, now_ms: u64) -> bool {
        let since_ms = self.unlisted_since_ms;
        self.failures > 0 && since_ms.is_some_and(|at| now_ms >= at + GONE_MS)
    }

    /// Whether it has restarted under its id so recently that a primary which does not
    /// answer may come back with commits that it has forgotten.
    pub fn is_restarted(&self, now_ms: u64) -> bool {
        let at_ms = self.restarted_ms;
        at_ms.is_some_and(|at_ms| now_ms < at_ms + GONE_MS)
    }

    /// Whether its address has answered as another member for some time.
    pub fn is_displaced(&self, now_ms: u64) -> bool {
        let since_ms = self.displaced_since_ms;
        since_ms.is_some_and(|at| now_ms >= at + DISPLACED_MS)
    }

    /// Whether this VM does not reach it: after the first failure on a path through
    /// another VM, that VM may be the one that failed.
    pub fn is_out_of_reach(&self) -> bool {
        match self.prefers_direct() {
            true => self.failures > 0,
            false => self.failures > 1,
        }
    }

    /// Whether it neither answers nor is listed.
    pub fn is_lost(&self, now_ms: u64) -> bool {
        let is_unlisted = self.unlisted_since_ms.is_some();
        self.failures > 0 && is_unlisted && self.is_departing(now_ms)
    }

    /// Term in which it leads, according to its last report.
    pub fn led_term(&self) -> Option<u64> {
        let (_, report) = self.report?;
        (report.role == Role::Primary).then_some(report.term)
    }

    /// Connection budget of the path in use. Connections to a VM that forwards do
    /// not count against the member's limit.
    pub fn budget(&self, connections_max: usize, has_accounts: bool) -> ConnectionBudget {
        let now_us = clock::boot_us();
        let recent = self.report.filter(|(at, _)| now_us < at + COUNT_MAX_AGE_US);
        match self.path() {
            // Other VMs hold this VM's share: it must not use the share twice.
            MemberPath::Direct if !self.prefers_direct() => ConnectionBudget {
                connections_max,
                shares: connections_max,
                reported: None,
                has_accounts,
            },
            MemberPath::Direct => ConnectionBudget {
                connections_max,
                shares: self.shares,
                reported: recent.map(|(_, report)| match has_accounts {
                    true => self.connections_since(&report),
                    false => report.connections,
                }),
                has_accounts,
            },
            MemberPath::Through(_) => ConnectionBudget {
                connections_max: FORWARDED_CONNECTIONS_MAX,
                shares: 1,
                reported: None,
                has_accounts: false,
            },
        }
    }

    /// Connections from all VMs, given a report and what this VM has opened and closed
    /// since. Accounts that come one after the other need many openings at once.
    fn connections_since(&self, report: &StatusReport) -> usize {
        let opened = self.open.saturating_sub(self.open_at_report);
        let closed = self.open_at_report.saturating_sub(self.open);
        (report.connections + opened).saturating_sub(closed)
    }

    /// Whether the direct path is this VM's best one.
    pub fn prefers_direct(&self) -> bool {
        self.paths[0] == MemberPath::Direct
    }

    /// Paths to it, best first.
    pub fn paths(&self) -> &[MemberPath] {
        &self.paths
    }

    /// The path in use.
    pub fn path(&self) -> &MemberPath {
        &self.paths[self.path]
    }

    /// Whether the best path is to be tried again.
    pub fn is_best_path_due(&self, now_ms: u64) -> bool {
        self.path > 0 && self.failures == 0 && now_ms >= self.retry_best_ms
    }

    /// The path for the next probe: the one in use, or the best one when it is due
    /// to be tried again.
    pub fn probe_path(&mut self, now_ms: u64) -> MemberPath {
        if !self.is_best_path_due(now_ms) {
            return self.path().clone();
        }
        self.retry_best_ms = now_ms + BEST_PATH_RETRY_MS;
        self.paths[0].clone()
    }

    /// Records that the member answered on a path, and switches to the path if it is
    /// better than the one in use or the one in use has failed.
    pub fn record_answer(&mut self, path: &MemberPath) {
        let known = self.paths.iter().position(|p| p == path);
        if let Some(index) = known.filter(|index| *index < self.path || self.failures > 0) {
            self.use_path(index);
        }
    }

    fn use_path(&mut self, index: usize) {
        if index != self.path {
            self.path = index;
            self.retry_best_ms = clock::boot_ms() + BEST_PATH_RETRY_MS;
            self.leave_path();
        }
    }

    /// Drops what belongs to the path that was in use: its connections, and pauses
    /// after refusals on it.
    fn leave_path(&mut self) {
        self.idle.clear();
        if self.capacity.is_some() {
            self.learn_capacity();
        }
        self.open_after_ms = 0;
        self.open_refusals = 0;
        self.probe_refusals = 0;
    }

    /// Switches to the next path after the one in use has failed. The best path is
    /// tried alternately with each of the others, since usually the member has
    /// failed and not the path.
    pub fn use_next_path(&mut self) {
        let next = match self.path {
            0 if self.paths.len() > 1 => {
                self.alternative_path = self.alternative_path % (self.paths.len() - 1) + 1;
                self.alternative_path
            }
            _ => 0,
        };
        self.use_path(next);
    }

    /// Sets the paths to it, and the number of connection shares. The path in use
    /// is kept if it is among the new ones and the best path has not changed.
    pub fn set_paths(&mut self, paths: Vec<MemberPath>, regions: usize, holders: usize) {
        self.shares = share_count(regions, holders);
        if paths.is_empty() || paths == self.paths {
            return;
        }
        let before = self.path().clone();
        // A new best path is tried at once.
        let keeps_best = paths[0] == self.paths[0] || self.failures > 0;
        let kept = paths.iter().position(|p| *p == before);
        self.paths = paths;
        self.path = kept.filter(|_| keeps_best).unwrap_or(0);
        if *self.path() != before {
            self.leave_path();
        }
    }

    /// Closes the longest idle connection if it is surplus.
    pub fn trim(&mut self, budget: &ConnectionBudget, now_ms: u64) {
        if !self.queue.is_empty() {
            return;
        }
        // Only one is closed at a time, since `open` falls only when the message about
        // its end arrives.
        let idle_since_ms = self.idle.iter().map(|c| c.idle_since_ms).min();
        let idle_ms = idle_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms));
        if idle_ms.is_some_and(|idle_ms| budget.is_surplus(self.open, idle_ms)) {
            self.evict_idle();
        }
    }

    /// Takes an idle connection that serves the account, preferably one that needs no
    /// reset.
    pub fn take_idle(&mut self, setup: &SessionSetup) -> Option<Connection> {
        let account = setup.account.as_ref();
        loop {
            let serving = |c: &Connection| c.serves(account);
            let fitting = |c: &Connection| serving(c) && !c.needs_reset(&setup.variables);
            let chosen = self.idle.iter().rposition(fitting);
            let chosen = chosen.or_else(|| self.idle.iter().rposition(serving))?;
            let connection = self.idle.swap_remove(chosen);
            if !connection.socket.is_stale() {
                return Some(connection);
            }
        }
    }

    /// Takes any idle connection, for a request that runs in no account's name.
    pub fn take_any_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if !connection.socket.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes the first queued request that an idle connection serves.
    pub fn pop_servable(&mut self) -> Option<Acquire> {
        let idle = &self.idle;
        let serves = |a: &Acquire| idle.iter().any(|c| c.serves(a.setup.account.as_ref()));
        self.queue.pop_first(serves)
    }

    /// Connections that are being opened for queued requests.
    pub fn opening_count(&self) -> usize {
        self.opening.values().sum()
    }

    /// Account of the pool that serves a request on the path in use. Connections
    /// through another VM serve all accounts.
    pub fn pool_account(&self, acquire: &Acquire) -> Option<Name> {
        match self.path() {
            MemberPath::Direct => acquire.setup.account.clone(),
            MemberPath::Through(_) => None,
        }
    }

    /// Account of the first queued request for which no connection is being opened;
    /// `None` if there is no such request.
    pub fn unserved_account(&self) -> Option<Option<Name>> {
        let mut opening = self.opening.clone();
        let accounts = self.queue.iter().map(|a| self.pool_account(a));
        let mut unserved = accounts.filter(|account| match opening.get_mut(account) {
            Some(count) if *count > 0 => {
                *count -= 1;
                false
            }
            _ => true,
        });
        unserved.next()
    }

    /// Closes the connection that was idle for longest, to make room for another
    /// account's. Returns whether there was one.
    pub fn evict_idle(&mut self) -> bool {
        let idle = self.idle.iter().enumerate();
        let longest = idle.min_by_key(|(_, c)| c.idle_since_ms).map(|(i, _)| i);
        longest.map(|index| self.idle.swap_remove(index)).is_some()
    }

    /// Adds the time of a read to the mean.
    fn record_read(&mut self, read_us: u64) {
        let sample_ms = read_us as f64 / 1_000.0;
        self.mean_ms += (sample_ms - self.mean_ms) * SAMPLE_WEIGHT;
    }
}
