//! The task of a service: it owns the connections to its members, grants them,
//! and knows which member leads.

mod connections;
mod grant;
mod members;
mod probe;
mod reports;
mod watch;
mod ways;

use std::rc::Rc;

use futures::channel::oneshot;

use super::{
    ErrorClass, MemberEntry, RelayOptions, ServiceConfig, StatusReport, Vms,
    connection::SessionVariables,
    member::Member,
    message::{Acquire, Freshness, Granted, Purpose, Refused, ReportError, ServiceMessage},
    open::{Target, open},
};
use crate::{
    clock,
    decide::{
        age::AgeTracker,
        holders::MemberPath,
        member::Role,
        takeover::{Reason, StuckCommit},
    },
    decision_log::decision,
    metrics::{Metrics, label, name_label},
    prelude::*,
    proxy::connection::Permit,
};

/// Longest time between two looks at the timers while nothing waits.
const IDLE_TICK_MS: u64 = 250;
/// The same while requests wait.
const BUSY_TICK_MS: u64 = 10;
/// The same while a member does not answer.
const FAILING_TICK_MS: u64 = 50;

/// What tasks of a service share.
#[derive(Clone)]
pub struct ServiceContext {
    /// Name of the service.
    pub service: Name,
    /// Surroundings.
    pub options: Rc<RelayOptions>,
    /// Metrics.
    pub metrics: Metrics,
    /// The service's own mailbox.
    pub mailbox: flume::Sender<ServiceMessage>,
}

impl ServiceContext {
    /// Sends a message to the service's task.
    pub fn send(&self, message: ServiceMessage) {
        // The task ends only with the process.
        let _ = self.mailbox.send(message);
    }
}

/// A proof that somebody waits for.
struct PendingProof {
    primary: Name,
    since_us: u64,
    reply: oneshot::Sender<Option<u64>>,
}

/// A report of a member that another VM waits for.
struct PendingReport {
    member: Name,
    since_us: u64,
    reply: oneshot::Sender<std::result::Result<StatusReport, ReportError>>,
}

struct Service {
    context: ServiceContext,
    entry: ServiceConfig,
    vms: Rc<Vms>,
    members: BTreeMap<Name, Member>,
    primary: Option<Name>,
    missing_since_ms: u64,
    waiting_primary: Vec<Acquire>,
    waiting_floor: Vec<Acquire>,
    proofs: Vec<PendingProof>,
    reports: Vec<PendingReport>,
    refresh_since_us: Option<u64>,
    ages: AgeTracker,
    stuck: Option<StuckCommit>,
    takeover: Takeover,
}

/// State of the replacement of the primary, as this VM sees it.
#[derive(Clone, Copy, Debug)]
enum Takeover {
    /// Nothing is wrong.
    Calm,
    /// The primary is to be replaced; another VM may be faster.
    Due { reason: Reason, start_ms: u64 },
    /// This VM tries to.
    Running,
    /// An attempt has ended a moment ago.
    Pausing { until_ms: u64 },
}

/// Starts the task of a service.
pub fn start(
    service: Name,
    entry: ServiceConfig,
    options: Rc<RelayOptions>,
    metrics: Metrics,
) -> flume::Sender<ServiceMessage> {
    let (mailbox, messages) = flume::unbounded();
    let context = ServiceContext {
        service,
        options,
        metrics,
        mailbox: mailbox.clone(),
    };
    compio::runtime::spawn(run(context, entry, messages)).detach();
    mailbox
}

async fn run(
    context: ServiceContext,
    entry: ServiceConfig,
    messages: flume::Receiver<ServiceMessage>,
) {
    let mut service = Service {
        context,
        entry,
        vms: Rc::default(),
        members: BTreeMap::new(),
        primary: None,
        missing_since_ms: clock::boot_ms(),
        waiting_primary: Vec::new(),
        waiting_floor: Vec::new(),
        proofs: Vec::new(),
        reports: Vec::new(),
        refresh_since_us: None,
        ages: AgeTracker::default(),
        stuck: None,
        takeover: Takeover::Calm,
    };
    loop {
        let wait = service.next_timer();
        match compio::time::timeout(wait, messages.recv_async()).await {
            Ok(Ok(message)) => service.take(message),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        // A batch of messages needs only one look at what waits.
        for message in messages.drain() {
            service.take(message);
        }
        service.pump();
    }
}

impl Service {
    fn take(&mut self, message: ServiceMessage) {
        match message {
            ServiceMessage::Acquire(acquire) => self.acquire(acquire),
            ServiceMessage::Release {
                connection,
                needs_rollback,
                read_us,
            } => self.release(connection, needs_rollback, read_us),
            ServiceMessage::ConnectionClosed { member } => {
                if let Some(member) = self.members.get_mut(&member) {
                    member.open = member.open.saturating_sub(1);
                }
            }
            ServiceMessage::RunEnded { member } => self.run_ended(&member),
            ServiceMessage::Full { member } => {
                if let Some(member) = self.members.get_mut(&member) {
                    member.window.refused(clock::boot_ms());
                }
            }
            ServiceMessage::ConnectionOpened { member, result } => self.opened(&member, result),
            ServiceMessage::Probed {
                member,
                way,
                asked_us,
                result,
            } => self.probed(&member, &way, asked_us, result),
            ServiceMessage::RequestReport {
                member,
                since_us,
                reply,
            } => self.reports.push(PendingReport {
                member,
                since_us,
                reply,
            }),
            ServiceMessage::CheckLeadership {
                primary,
                since_us,
                reply,
            } => self.proofs.push(PendingProof {
                primary,
                since_us,
                reply,
            }),
            ServiceMessage::Observed { since_ms, position } => {
                self.observe(since_ms, position, "statement");
            }
            ServiceMessage::Suspect { member, is_commit } => self.suspect(&member, is_commit),
            ServiceMessage::Committed => self.stuck = None,
            ServiceMessage::NotPrimary { member } => self.not_primary(&member),
            ServiceMessage::Behind { member } => self.behind(&member),
            ServiceMessage::Members { members } => self.change_members(members),
            ServiceMessage::Vms(vms) => self.change_vms(vms),
            ServiceMessage::Config(entry) => self.change_entry(entry),
            ServiceMessage::GroupMembers { reply } => {
                // The attempt may have ended.
                let _ = reply.send(self.rivals());
            }
            ServiceMessage::TakeoverEnded { promoted } => self.takeover_ended(promoted),
        }
    }

    /// Serves what can be served, asks what must be known, opens what lacks.
    fn pump(&mut self) {
        let now_ms = clock::boot_ms();
        self.drop_superseded();
        self.note_primary();
        self.settle_proofs();
        self.settle_reports();
        self.settle_floor();
        self.route_waiting();
        let members: Vec<Name> = self.members.keys().cloned().collect();
        for member in &members {
            match self.is_closed(member) {
                true => self.reroute(member),
                false => self.serve_queue(member),
            }
        }
        self.expire(now_ms);
        self.trim(now_ms);
        self.start_probes(now_ms);
        self.watch_primary(now_ms);
    }

    fn next_timer(&self) -> Duration {
        let is_waiting = !self.waiting_floor.is_empty()
            || !self.proofs.is_empty()
            || !self.reports.is_empty()
            || !self.waiting_primary.is_empty()
            || self.members.values().any(|m| !m.queue.is_empty());
        let is_failing = self.members.values().any(|m| m.failures > 0);
        let is_calm = matches!(self.takeover, Takeover::Calm);
        let wait_ms = match (is_waiting, is_failing || !is_calm) {
            (true, _) => BUSY_TICK_MS,
            (false, true) => FAILING_TICK_MS,
            (false, false) => IDLE_TICK_MS,
        };
        Duration::from_millis(wait_ms)
    }

    /// Takes note that all that was acknowledged before `since_ms` lies at or
    /// before `position`.
    fn observe(&mut self, since_ms: u64, position: Position, source: &'static str) {
        decision!(
            "floor", service = &*self.context.service, since_ms = since_ms,
            position = position.to_string(), source = source; "floor raised"
        );
        self.ages.observe(since_ms, position);
    }

    /// Member that leads in the highest term that any has reported.
    fn find_primary(&self) -> Option<Name> {
        let led = self.members.iter();
        let leader = led
            .filter_map(|(id, m)| m.led_term().map(|term| (term, id)))
            .max();
        let highest = self.highest_term();
        match leader {
            Some((term, id)) if term >= highest => Some(id.clone()),
            _ => None,
        }
    }

    fn highest_term(&self) -> u64 {
        let reports = self.members.values().filter_map(|m| m.report);
        reports.map(|(_, report)| report.term).max().unwrap_or(0)
    }

    fn note_primary(&mut self) {
        let found = self.find_primary();
        if found == self.primary {
            return;
        }
        decision!(
            "primary", service = &*self.context.service,
            primary = found.as_deref().unwrap_or("none"),
            before = self.primary.as_deref().unwrap_or("none"),
            term = self.highest_term(); "primary seen"
        );
        if found.is_none() {
            self.missing_since_ms = clock::boot_ms();
        }
        self.stuck = None;
        self.primary = found;
    }
}

fn refuse(acquire: Acquire, class: ErrorClass, text: &'static str, retry_after_ms: u64) {
    // A caller that went away needs no answer.
    let _ = acquire.reply.send(Err(Refused {
        class,
        text,
        retry_after_ms,
    }));
}
