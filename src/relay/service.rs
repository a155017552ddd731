//! The task of one service. It owns the connections to the service's members,
//! grants them to requests, and tracks which member is the primary.

mod connections;
mod grant;
mod members;
mod open_purpose;
mod paths;
mod probe;
mod probe_result;
mod reports;
mod watch;

use std::rc::Rc;

use futures::channel::oneshot;

use super::{
    ErrorClass, ListRead, MemberEntry, RelayOptions, ServiceConfig, StatusReport, Vms,
    member::Member,
    message::{Acquire, Freshness, Granted, Purpose, Refused, ReportError, ServiceMessage},
    open::{Target, open},
};
use crate::{
    clock,
    decide::{
        age::AgeTracker,
        load::holders::MemberPath,
        member::Role,
        takeover::{Reason, StuckCommit},
    },
    decision_log::decision,
    metrics::{Metrics, label, name_label},
    prelude::*,
    proxy::connection::Permit,
};

/// Longest time between two timer checks while no request waits.
const IDLE_TICK_MS: u64 = 250;
/// The same while requests wait.
const WAITING_TICK_MS: u64 = 10;
/// The same while a member does not answer or the primary is being replaced.
const FAILING_TICK_MS: u64 = 50;

/// Time for which a service waits for the list of VMs before it connects to
/// members, in milliseconds. Without the list, the VM can't know its share of their
/// connections, and all VMs that start together would connect to every member.
const VMS_WAIT_MS: u64 = 6_000;

/// State shared by the tasks of a service.
#[derive(Clone)]
pub struct ServiceContext {
    /// Name of the service.
    pub service: Name,
    /// Options of the relay.
    pub options: Rc<RelayOptions>,
    /// Metrics.
    pub metrics: Metrics,
    /// Mailbox of the service's task.
    pub mailbox: flume::Sender<ServiceMessage>,
}

impl ServiceContext {
    /// Sends a message to the service's task.
    pub fn send(&self, message: ServiceMessage) {
        // The task ends only with the process.
        let _ = self.mailbox.send(message);
    }
}

/// A leadership check whose result a session waits for.
struct PendingLeadershipCheck {
    primary: Name,
    since_us: u64,
    /// Whether it is for a commit that the primary has acknowledged.
    is_commit: bool,
    reply: oneshot::Sender<Option<u64>>,
}

/// A member's report that another VM waits for.
struct PendingReport {
    member: Name,
    since_us: u64,
    reply: oneshot::Sender<std::result::Result<StatusReport, ReportError>>,
}

struct Service {
    context: ServiceContext,
    config: ServiceConfig,
    vms: Rc<Vms>,
    /// Time at which the task started, in milliseconds.
    started_ms: u64,
    members: BTreeMap<Name, Member>,
    primary: Option<Name>,
    /// Member that led last, and its term.
    last_primary: Option<(Name, u64)>,
    /// Time at which the primary was lost, or the task started.
    primary_missing_since_ms: u64,
    waiting_primary: Vec<Acquire>,
    /// Reads that wait for a floor or for a usable member.
    waiting_floor: Vec<Acquire>,
    leadership_checks: Vec<PendingLeadershipCheck>,
    pending_reports: Vec<PendingReport>,
    floor_refresh_since_us: Option<u64>,
    /// The member list, as last read for a floor by the replicas.
    list: Option<ListRead>,
    /// Time before which it is not read again, in milliseconds.
    next_list_read_ms: u64,
    ages: AgeTracker,
    /// Set while a commit at the primary is late.
    stuck_commit: Option<StuckCommit>,
    takeover: Takeover,
}

/// State of a takeover, the replacement of the primary, as this VM sees it.
#[derive(Clone, Copy, Debug)]
enum Takeover {
    /// There is no reason for one.
    Idle,
    /// This VM will start an attempt unless another VM replaces the primary first.
    Scheduled { reason: Reason, start_ms: u64 },
    /// This VM is running an attempt.
    Running,
    /// This VM pauses after an attempt.
    CoolingDown { until_ms: u64 },
}

/// Starts the task of a service and returns its mailbox.
pub fn start(
    service: Name,
    config: ServiceConfig,
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
    compio::runtime::spawn(run(context, config, messages)).detach();
    mailbox
}

async fn run(
    context: ServiceContext,
    config: ServiceConfig,
    messages: flume::Receiver<ServiceMessage>,
) {
    let mut service = Service {
        context,
        config,
        vms: Rc::default(),
        started_ms: clock::boot_ms(),
        members: BTreeMap::new(),
        primary: None,
        last_primary: None,
        primary_missing_since_ms: clock::boot_ms(),
        waiting_primary: Vec::new(),
        waiting_floor: Vec::new(),
        leadership_checks: Vec::new(),
        pending_reports: Vec::new(),
        floor_refresh_since_us: None,
        list: None,
        next_list_read_ms: 0,
        ages: AgeTracker::default(),
        stuck_commit: None,
        takeover: Takeover::Idle,
    };
    loop {
        let wait = service.next_timer();
        match compio::time::timeout(wait, messages.recv_async()).await {
            Ok(Ok(message)) => service.handle(message),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        // Drains the mailbox so that a batch of messages is followed by one pass
        // over the waiting requests.
        for message in messages.drain() {
            service.handle(message);
        }
        service.advance();
    }
}

impl Service {
    fn handle(&mut self, message: ServiceMessage) {
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
            ServiceMessage::ConnectionOpened {
                member,
                account,
                result,
            } => self.opened(&member, &account, result),
            ServiceMessage::Probed {
                member,
                path,
                asked_us,
                result,
            } => self.handle_probe_result(&member, &path, asked_us, result),
            ServiceMessage::RequestReport {
                member,
                since_us,
                reply,
            } => self.pending_reports.push(PendingReport {
                member,
                since_us,
                reply,
            }),
            ServiceMessage::CheckLeadership {
                primary,
                since_us,
                is_commit,
                reply,
            } => self.leadership_checks.push(PendingLeadershipCheck {
                primary,
                since_us,
                is_commit,
                reply,
            }),
            ServiceMessage::Observed { since_ms, position } => {
                self.raise_floor(since_ms, position, "statement");
            }
            // Other VMs pass it on themselves.
            ServiceMessage::FloorHeard { since_ms, position } => {
                self.ages.observe(since_ms, position);
            }
            ServiceMessage::Suspect { member, is_commit } => self.suspect(&member, is_commit),
            ServiceMessage::Committed => self.stuck_commit = None,
            ServiceMessage::NotPrimary { member } => self.not_primary(&member),
            ServiceMessage::Behind { member } => self.mark_behind(&member),
            ServiceMessage::Members { members } => self.change_members(members),
            ServiceMessage::Vms(vms) => self.change_vms(vms),
            ServiceMessage::Config(config) => self.change_config(config),
            ServiceMessage::ListRead { list } => {
                self.list = list.or(self.list);
            }
            ServiceMessage::GroupMembers { reply } => {
                // The attempt may have ended meanwhile.
                let _ = reply.send(self.group_members(self.primary.as_ref()));
            }
            ServiceMessage::TakeoverEnded {
                promoted,
                has_failed_to_order,
            } => self.takeover_ended(promoted, has_failed_to_order),
            ServiceMessage::StepDown {
                member,
                term,
                reply,
            } => self.step_down(&member, term, reply),
        }
    }

    /// Updates the state derived from the members' reports, serves or refuses the
    /// waiting requests, and starts due probes and a due takeover.
    fn advance(&mut self) {
        let now_ms = clock::boot_ms();
        self.drop_superseded();
        self.update_primary();
        self.resolve_leadership_checks();
        self.resolve_reports();
        self.resolve_floor_refresh();
        self.route_waiting();
        let members: Vec<Name> = self.members.keys().cloned().collect();
        for member in &members {
            match self.is_drained(member) {
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
            || !self.leadership_checks.is_empty()
            || !self.pending_reports.is_empty()
            || !self.waiting_primary.is_empty()
            || self.members.values().any(|m| !m.queue.is_empty());
        let is_failing = self.members.values().any(|m| m.failures > 0);
        let is_idle = matches!(self.takeover, Takeover::Idle);
        let wait_ms = match (is_waiting, is_failing || !is_idle) {
            (true, _) => WAITING_TICK_MS,
            (false, true) => FAILING_TICK_MS,
            (false, false) => IDLE_TICK_MS,
        };
        Duration::from_millis(wait_ms)
    }

    /// Records `position` as a floor, the minimum position that a read must see:
    /// all commits acknowledged before `since_ms` lie at or before it.
    fn raise_floor(&mut self, since_ms: u64, position: Position, source: &'static str) {
        decision!(
            "floor", service = &*self.context.service, since_ms = since_ms,
            position = position.to_string(), source = source; "floor raised"
        );
        self.ages.observe(since_ms, position);
        (self.context.options.on_floor)(&self.context.service, since_ms, position);
    }

    /// The member that reports itself primary in the highest term reported by any
    /// member.
    fn find_primary(&self) -> Option<Name> {
        let members = self.members.iter();
        let candidate = members
            .filter_map(|(id, m)| m.led_term().map(|term| (term, id)))
            .max();
        let highest = self.highest_term();
        match candidate {
            Some((term, id)) if term >= highest => Some(id.clone()),
            _ => None,
        }
    }

    fn highest_term(&self) -> u64 {
        let reports = self.members.values().filter_map(|m| m.report);
        reports.map(|(_, report)| report.term).max().unwrap_or(0)
    }

    fn update_primary(&mut self) {
        let found = self.find_primary();
        if found == self.primary {
            return;
        }
        decision!(
            "primary", service = &*self.context.service,
            primary = found.as_deref().unwrap_or("none"),
            before = self.primary.as_deref().unwrap_or("none"),
            term = self.highest_term(); "primary changed"
        );
        match &found {
            Some(id) => self.last_primary = Some((id.clone(), self.highest_term())),
            None => self.primary_missing_since_ms = clock::boot_ms(),
        }
        self.stuck_commit = None;
        self.primary = found;
    }
}

fn refuse(acquire: Acquire, class: ErrorClass, text: &'static str, retry_after_ms: u64) {
    // The receiver is gone once the caller has disconnected.
    let _ = acquire.reply.send(Err(Refused {
        class,
        text,
        retry_after_ms,
    }));
}
