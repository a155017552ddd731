//! What a service's task knows of one member.

use super::{
    MemberEntry, StatusReport,
    connection::{Connection, SessionVariables},
    message::Acquire,
};
use crate::{
    clock,
    decide::{
        admission::AdmissionQueue,
        dispatch::{ConnectionBudget, share_count},
        holders::MemberPath,
        member::Role,
        window::Window,
    },
};

/// Requests that may wait for one member.
const QUEUE_MAX: usize = 256;
/// Weight of the newest sample in a mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// First guess of the time of a read, in milliseconds, by distance: the zone,
/// the region, beyond. The last is a trip between regions and back.
const FIRST_MEAN_MS: [f64; 3] = [20.0, 25.0, 65.0];
/// Age after which a member's count of connections is not trusted, in microseconds.
const COUNT_AGE_US: u64 = 3_000_000;

/// Time for which a member may be missing from the list, in milliseconds: after
/// an outage of the platform's store entries are back within two seconds.
const UNLISTED_MS: u64 = 2_500;

/// Time after which a member that is missing from the list counts as gone for
/// good, in milliseconds: longer than a member that fell silent may take to
/// come back with its log.
const GONE_MS: u64 = 12_000;

/// Connections to a VM that a member is reached through: more than a member's
/// window lets run.
const FORWARDED_MAX: usize = 40;

/// Time after which the best way to a member is tried again while another is in
/// use, in milliseconds: a question that fails costs the time of a probe.
const BEST_RETRY_MS: u64 = 4_000;

/// Equal shares of the connections before the VMs are counted: one connection
/// for this VM, and more only while the member reports room.
const UNCOUNTED_SHARES: usize = usize::MAX;

/// Time within which a member that has come back under another id is listed and
/// has answered, in milliseconds; after that the address is taken for used again
/// by somebody else.
const DISPLACED_MS: u64 = 3_000;

/// Part of the time to drain that is kept back, in milliseconds: for news that
/// come late, and for requests on their way.
const DRAIN_MARGIN_MS: u64 = 1_500;

/// A member.
pub struct Member {
    /// Last entry in the platform's list.
    pub entry: MemberEntry,
    /// Time since which it is missing from the list, in milliseconds.
    pub unlisted_since_ms: Option<u64>,
    /// Time since which it is leaving, in milliseconds.
    pub leaving_since_ms: Option<u64>,
    /// Distance from this VM: 0 to 2.
    pub distance: u32,
    /// Ways to reach it, best first; never empty.
    ways: Vec<MemberPath>,
    /// Index of the one in use.
    way: usize,
    /// Index of the last other one that was tried, or zero.
    spare_way: usize,
    /// Time at which the best way is tried again, in milliseconds.
    retry_best_ms: u64,
    /// Equal shares that its connections are dealt out in.
    shares: usize,
    /// Connections that nobody uses.
    pub idle: Vec<Connection>,
    /// Connections that are open, or being opened.
    pub open: usize,
    /// Of these, those that are being opened.
    pub opening: usize,
    /// Requests that wait for a connection.
    pub queue: AdmissionQueue<Acquire>,
    /// Requests outside transactions that run there.
    pub running: usize,
    /// How many may.
    pub window: Window,
    /// Time of the last report's question, in microseconds, and the report.
    pub report: Option<(u64, StatusReport)>,
    /// Time of the question that is on its way, in microseconds.
    pub probing_us: Option<u64>,
    /// A report must be asked for after this time, in microseconds.
    pub probe_after_us: Option<u64>,
    /// Time since which a question waits, in microseconds.
    pub probe_wanted_us: Option<u64>,
    /// Questions in a row that were not answered.
    pub failures: u32,
    /// Time of the first of them, in microseconds.
    pub silent_since_us: Option<u64>,
    /// Time since which its address answers as another member, in milliseconds.
    pub displaced_since_ms: Option<u64>,
    /// Time before which it is not asked again, in milliseconds.
    pub next_probe_ms: u64,
    /// Time before which no connection is opened, in milliseconds.
    pub open_after_ms: u64,
    /// Mean time of a read, in milliseconds.
    pub mean_ms: f64,
    /// Time until which it counts as behind, in milliseconds.
    pub behind_until_ms: u64,
    /// Time since which it was told not to receive, in microseconds.
    pub held_since_us: Option<u64>,
}

impl Member {
    /// Creates a member that nothing is known of but its entry.
    pub fn new(entry: MemberEntry, distance: u32) -> Member {
        Member {
            entry,
            unlisted_since_ms: None,
            leaving_since_ms: None,
            distance,
            ways: vec![MemberPath::Direct],
            way: 0,
            spare_way: 0,
            retry_best_ms: 0,
            shares: UNCOUNTED_SHARES,
            idle: Vec::new(),
            open: 0,
            opening: 0,
            queue: AdmissionQueue::new(QUEUE_MAX),
            running: 0,
            window: Window::default(),
            report: None,
            probing_us: None,
            probe_after_us: None,
            probe_wanted_us: None,
            failures: 0,
            silent_since_us: None,
            displaced_since_ms: None,
            next_probe_ms: 0,
            open_after_ms: 0,
            mean_ms: FIRST_MEAN_MS[distance.min(2) as usize],
            behind_until_ms: 0,
            held_since_us: None,
        }
    }

    /// Takes whether the list says that it is leaving.
    pub fn note_leaving(&mut self, is_leaving: bool) {
        let now_ms = clock::boot_ms();
        self.leaving_since_ms = match is_leaving {
            true => self.leaving_since_ms.or(Some(now_ms)),
            false => None,
        };
    }

    /// Whether it may get new work.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.failures == 0 && !self.is_going(now_ms)
    }

    /// Whether it is leaving, or gone from the list.
    pub fn is_going(&self, now_ms: u64) -> bool {
        let since_ms = self.unlisted_since_ms;
        self.entry.is_leaving || since_ms.is_some_and(|at| now_ms >= at + UNLISTED_MS)
    }

    /// Whether it must get no requests any longer, also as the primary.
    pub fn is_closed(&self, drain_ms: u64, now_ms: u64) -> bool {
        let since_ms = self.leaving_since_ms.or(self.unlisted_since_ms);
        let limit_ms = drain_ms.saturating_sub(DRAIN_MARGIN_MS);
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + limit_ms)
    }

    /// Whether it is gone for good, as far as can be told.
    pub fn is_gone(&self, now_ms: u64) -> bool {
        let since_ms = self.unlisted_since_ms;
        self.failures > 0 && since_ms.is_some_and(|at| now_ms >= at + GONE_MS)
    }

    /// Whether its address has answered as another member for some time.
    pub fn is_displaced(&self, now_ms: u64) -> bool {
        let since_ms = self.displaced_since_ms;
        since_ms.is_some_and(|at| now_ms >= at + DISPLACED_MS)
    }

    /// Whether it neither answers nor is listed any longer.
    pub fn is_lost(&self, now_ms: u64) -> bool {
        let is_unlisted = self.unlisted_since_ms.is_some();
        self.failures > 0 && is_unlisted && self.is_going(now_ms)
    }

    /// Term that it leads, by its last report.
    pub fn led_term(&self) -> Option<u64> {
        let (_, report) = self.report?;
        (report.role == Role::Primary).then_some(report.term)
    }

    /// What is known of the connections to it. To a VM that it is reached
    /// through any number may be opened: they are not the member's.
    pub fn budget(&self, connections_max: usize) -> ConnectionBudget {
        let now_us = clock::boot_us();
        let recent = self.report.filter(|(at, _)| now_us < at + COUNT_AGE_US);
        match self.way() {
            // What others hold for this VM is not for it to take as well.
            MemberPath::Direct if !self.is_own() => ConnectionBudget {
                connections_max,
                shares: connections_max,
                reported: None,
            },
            MemberPath::Direct => ConnectionBudget {
                connections_max,
                shares: self.shares,
                reported: recent.map(|(_, report)| report.connections),
            },
            MemberPath::Through(_) => ConnectionBudget {
                connections_max: FORWARDED_MAX,
                shares: 1,
                reported: None,
            },
        }
    }

    /// Whether this VM is to go there itself.
    pub fn is_own(&self) -> bool {
        self.ways[0] == MemberPath::Direct
    }

    /// The way in use.
    pub fn way(&self) -> &MemberPath {
        &self.ways[self.way]
    }

    /// Whether the best way is to be tried again.
    pub fn is_best_due(&self, now_ms: u64) -> bool {
        self.way > 0 && self.failures == 0 && now_ms >= self.retry_best_ms
    }

    /// The way by which the next question goes: now and then the best one,
    /// while it is not the one in use.
    pub fn probe_way(&mut self, now_ms: u64) -> MemberPath {
        if !self.is_best_due(now_ms) {
            return self.way().clone();
        }
        self.retry_best_ms = now_ms + BEST_RETRY_MS;
        self.ways[0].clone()
    }

    /// Takes note that the member answered by a way: it is used from now on if
    /// it is a better one, or if the one in use has failed.
    pub fn note_answer(&mut self, way: &MemberPath) {
        let known = self.ways.iter().position(|w| w == way);
        if let Some(index) = known.filter(|index| *index < self.way || self.failures > 0) {
            self.use_way(index);
        }
    }

    fn use_way(&mut self, index: usize) {
        if index != self.way {
            self.way = index;
            self.retry_best_ms = clock::boot_ms() + BEST_RETRY_MS;
            self.idle.clear();
        }
    }

    /// Uses the next way, after the one in use has failed: the best one and
    /// each of the others by turns, since it is the member that fails as a rule.
    pub fn use_next_way(&mut self) {
        let next = match self.way {
            0 if self.ways.len() > 1 => {
                self.spare_way = self.spare_way % (self.ways.len() - 1) + 1;
                self.spare_way
            }
            _ => 0,
        };
        self.use_way(next);
    }

    /// Takes the ways that lead to it, and the shares of its connections. The
    /// way in use stays in use if it is still among them.
    pub fn set_ways(&mut self, ways: Vec<MemberPath>, regions: usize, holders: usize) {
        self.shares = share_count(regions, holders);
        if ways.is_empty() || ways == self.ways {
            return;
        }
        let before = self.way().clone();
        // The best way is tried first again when it is another one.
        let keeps_best = ways[0] == self.ways[0] || self.failures > 0;
        let kept = ways.iter().position(|w| *w == before);
        self.ways = ways;
        self.way = kept.filter(|_| keeps_best).unwrap_or(0);
        if *self.way() != before {
            self.idle.clear();
        }
    }

    /// Closes connections beyond the fair share that nobody needs.
    pub fn trim(&mut self, budget: &ConnectionBudget, now_ms: u64) {
        if !self.queue.is_empty() {
            return;
        }
        // The oldest stands first. One at a time: each end is counted when it
        // is told.
        let idle_since_ms = self.idle.first().map(|connection| connection.idle_since_ms);
        let idle_ms = idle_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms));
        if idle_ms.is_some_and(|idle_ms| budget.is_surplus(self.open, idle_ms)) {
            self.idle.remove(0);
        }
    }

    /// Takes an idle connection, preferably one that needs no reset.
    pub fn take_idle(&mut self, variables: &SessionVariables) -> Option<Connection> {
        while !self.idle.is_empty() {
            let fitting = self.idle.iter().rposition(|c| !c.needs_reset(variables));
            let connection = self
                .idle
                .swap_remove(fitting.unwrap_or(self.idle.len() - 1));
            if !connection.socket.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes the time of a read into the mean.
    pub fn record_read(&mut self, read_us: u64) {
        let sample_ms = read_us as f64 / 1_000.0;
        self.mean_ms += (sample_ms - self.mean_ms) * SAMPLE_WEIGHT;
    }
}
