//! The task of a slot: owns its connections and grants them to requests.

mod commits;
mod connections;
mod reads;
mod reports;

use futures::channel::oneshot;

use super::{
    Acquire, Granted, Purpose, SlotHandle, SlotMessage, SlotReport,
    member::{QueuedRead, SlotMember},
};
use crate::{
    clock,
    decide::{
        acknowledge::{Commit, Decision, acknowledge},
        age::AgeTracker,
        barrier::{barrier, primary_barrier},
        load::admission::{Admission, AdmissionQueue},
        member::{self, MemberView, Observation, Role, asked_after},
        route::{self, Floor, ReadRequest, route},
    },
    decision_log::decision,
    metrics::{Metrics, label, name_label},
    prelude::*,
    proxy::{
        connect::{ConnectOptions, connect},
        connection::{Connection, ConnectionTarget, Permit},
        error::Refusal,
        status_query::poll,
    },
    settings::ServiceSettings,
};

/// Interval of checks while no request waits and all members answer.
const IDLE_TICK_MS: u64 = 500;
/// Interval of report requests to a member whose report is waited for.
const REPORT_INTERVAL_MS: u64 = 2;
/// Interval of report requests to a member that does not answer.
const FAILED_REPORT_INTERVAL_MS: u64 = 100;
/// Delay before connections are opened again after a failed attempt.
const RECONNECT_DELAY_MS: u64 = 50;
/// Age of a primary's last answer above which it must report again before it is
/// sent a write.
const PRIMARY_VERIFIED_MS: u64 = 1_000;
/// Consecutive failures after which a member counts as gone.
const GONE_FAILURES: u32 = 2;
/// Time a commit may stay unconfirmed before the primary is suspected.
const UNCONFIRMED_SUSPECT_MS: u64 = 300;
/// Time after a member's last answer for which a first failure does not count it
/// as gone.
const ALIVE_ANSWER_MS: u64 = 1_000;

/// What a slot needs from its VM.
#[derive(Clone)]
pub struct SlotContext {
    /// Name of the service.
    pub service: Name,
    /// Settings of the service.
    pub settings: Arc<ServiceSettings>,
    /// Availability zone of this VM.
    pub zone: Name,
    /// Metrics.
    pub metrics: Metrics,
    /// Receives the service's name when its primary is suspected to have failed.
    pub primary_failed: flume::Sender<Name>,
}

struct PendingCommit {
    commit: Commit,
    deadline_ms: u64,
    reply: oneshot::Sender<Decision>,
}

struct UnroutedRequest {
    acquire: Acquire,
    request: ReadRequest,
}

struct Slot {
    context: SlotContext,
    handle: SlotHandle,
    members: Vec<SlotMember>,
    writes: AdmissionQueue<Acquire>,
    unrouted: Vec<UnroutedRequest>,
    commits: Vec<PendingCommit>,
    /// Member, term, time of arrival in milliseconds, answer.
    checks: Vec<(usize, u64, u64, oneshot::Sender<bool>)>,
    ages: AgeTracker,
    suspected_ms: u64,
    capacity: usize,
}

/// Runs a slot until it is told to stop or its handles are dropped.
pub async fn run(
    context: SlotContext,
    handle: SlotHandle,
    mailbox: flume::Receiver<SlotMessage>,
    stop: flume::Receiver<()>,
) {
    let mut slot = Slot::new(context, handle);
    slot.request_all_reports();
    loop {
        let wait = slot.next_timer();
        let receive = mailbox.recv_async();
        let stopped = stop.recv_async();
        futures::select! {
            message = futures::FutureExt::fuse(compio::time::timeout(wait, receive)) => {
                match message {
                    Ok(Ok(message)) => slot.handle_message(message),
                    Ok(Err(_)) => return,
                    Err(_) => {}
                }
            }
            _ = futures::FutureExt::fuse(stopped) => {
                slot.refuse_all();
                return;
            }
        }
        // Handle all queued messages before the waiting requests are processed.
        for message in mailbox.drain() {
            slot.handle_message(message);
        }
        slot.process();
    }
}

impl Slot {
    fn new(context: SlotContext, handle: SlotHandle) -> Slot {
        let capacity = slot_capacity(&context.settings);
        let mut slot = Slot {
            members: Vec::new(),
            writes: AdmissionQueue::new(context.settings.queue_length),
            unrouted: Vec::new(),
            commits: Vec::new(),
            checks: Vec::new(),
            ages: AgeTracker::default(),
            suspected_ms: 0,
            capacity,
            context,
            handle,
        };
        slot.build_members();
        slot
    }

    fn build_members(&mut self) {
        let settings = self.context.settings.clone();
        let list = settings.member_list();
        self.members = list
            .into_iter()
            .enumerate()
            .map(|(index, (name, member))| {
                let connect_options = ConnectOptions {
                    address: member.address,
                    user: settings.user.clone(),
                    database: settings.database.clone(),
                    target: ConnectionTarget::Member {
                        member: index,
                        term: 0,
                    },
                };
                let view = MemberView {
                    name: Some(name.clone()),
                    is_near: member.zone == self.context.zone,
                    is_leaving: member.leaving,
                    ..MemberView::default()
                };
                SlotMember {
                    name,
                    report_requests: self.start_polling(index, connect_options.clone()),
                    connect_options,
                    view,
                    idle: Vec::new(),
                    open: 0,
                    opening: 0,
                    reads: AdmissionQueue::new(settings.queue_length),
                    is_report_requested: false,
                    next_report_ms: 0,
                    reconnect_after_ms: 0,
                    served_ms: 0,
                }
            })
            .collect();
    }

    fn start_polling(&self, member: usize, options: ConnectOptions) -> flume::Sender<()> {
        let (report_requests, requests) = flume::unbounded();
        let handle = self.handle.clone();
        let report = move |asked_ms, observation| {
            handle.send(SlotMessage::Observed {
                member,
                asked_ms,
                observation,
            });
        };
        compio::runtime::spawn(poll(options, requests, report)).detach();
        report_requests
    }

    fn handle_message(&mut self, message: SlotMessage) {
        match message {
            SlotMessage::Acquire(acquire) => self.acquire(acquire),
            SlotMessage::Release {
                connection,
                is_clean,
                held_us,
            } => self.release(connection, is_clean, held_us),
            SlotMessage::Closed { member } => self.connection_closed(member),
            SlotMessage::Opened { member, result } => self.connection_opened(member, result),
            SlotMessage::Observed {
                member,
                asked_ms,
                observation,
            } => self.handle_report(member, asked_ms, observation),
            SlotMessage::Failed { member } => self.connection_failed(member),
            SlotMessage::Confirm { commit, reply } => self.confirm(commit, reply),
            SlotMessage::Check {
                member,
                term,
                reply,
            } => self.check(member, term, reply),
            SlotMessage::Refresh => self.request_all_reports(),
            SlotMessage::Report { reply } => {
                // The receiver may have been dropped.
                let _ = reply.send(self.report());
            }
            SlotMessage::Settings(settings) => self.change_settings(settings),
        }
    }

    /// Routes and serves waiting requests, opens connections and requests the
    /// reports that they need.
    fn process(&mut self) {
        let now_ms = clock::now_ms();
        self.expire_requests(now_ms);
        for unrouted in std::mem::take(&mut self.unrouted) {
            self.route_request(unrouted, now_ms);
        }
        self.reroute_reads(now_ms);
        for member in 0..self.members.len() {
            self.serve(member, now_ms);
        }
        self.answer_commits();
        self.suspect_unconfirmed_primary(now_ms);
        self.request_needed_reports(now_ms);
    }

    fn next_timer(&self) -> Duration {
        let waits = !self.unrouted.is_empty()
            || !self.commits.is_empty()
            || !self.writes.is_empty()
            || !self.checks.is_empty()
            || self.members.iter().any(|m| !m.reads.is_empty());
        let is_failed = self.members.iter().any(|m| m.view.failures > 0);
        let wait_ms = match (waits, is_failed) {
            (true, _) => REPORT_INTERVAL_MS,
            (false, true) => FAILED_REPORT_INTERVAL_MS,
            (false, false) => IDLE_TICK_MS,
        };
        Duration::from_millis(wait_ms)
    }

    /// Replaces the settings. The members must be the same: a change of members
    /// needs a new slot.
    fn change_settings(&mut self, settings: Arc<ServiceSettings>) {
        self.context.settings = settings.clone();
        self.capacity = slot_capacity(&settings);
        let list = settings.member_list();
        for (member, (_, new)) in self.members.iter_mut().zip(list) {
            member.view.is_leaving = new.leaving;
        }
    }

    fn refuse_all(&mut self) {
        let mut waiting = self.writes.drain();
        waiting.extend(
            std::mem::take(&mut self.unrouted)
                .into_iter()
                .map(|r| r.acquire),
        );
        for member in &mut self.members {
            waiting.extend(member.reads.drain().into_iter().map(|r| r.acquire));
        }
        for acquire in waiting {
            refuse(acquire, Code::Stopping);
        }
        for pending in std::mem::take(&mut self.commits) {
            let _ = pending.reply.send(Decision::Unknown);
        }
    }

    fn report(&self) -> SlotReport {
        let queued: usize = self.members.iter().map(|m| m.reads.len()).sum();
        SlotReport {
            members: self.views(),
            waiting: self.writes.len() + self.unrouted.len() + queued,
            open: self.members.iter().map(|m| m.open).sum(),
        }
    }

    fn views(&self) -> Vec<MemberView> {
        self.members.iter().map(|m| m.view.clone()).collect()
    }

    fn primary(&self) -> Option<usize> {
        member::primary_of(self.members.iter().map(|m| &m.view))
    }

    fn highest_term(&self) -> u64 {
        let terms = self.members.iter().filter_map(|m| m.view.observation);
        terms.map(|o| o.status.term).max().unwrap_or(0)
    }
}

/// Connections to each member that a slot may use for requests.
///
/// One share of the service's connection limit stays free for a slot that is
/// being handed over, and one connection of each share is for status reports.
fn slot_capacity(settings: &ServiceSettings) -> usize {
    let shares = settings.slots + 1;
    ((settings.connections / shares) as usize)
        .saturating_sub(1)
        .max(1)
}

fn is_demoted(view: &MemberView, observation: &Observation) -> bool {
    let before = view.observation.map(|o| o.status.role);
    before == Some(Role::Primary) && observation.status.role == Role::Replica
}

fn refuse(acquire: Acquire, code: Code) {
    let text = match code {
        Code::NoPrimary => "no primary could be used before the deadline",
        Code::Stopping => "this VM gave the slot up",
        _ => "no connection became free before the deadline",
    };
    // The caller may have disconnected.
    let _ = acquire.reply.send(Err(Refusal::new(code, text)));
}

fn refuse_overloaded(acquire: Acquire, retry_after_ms: u64) {
    let mut refusal = Refusal::new(Code::Overloaded, "the queue can't be served in time");
    refusal.retry_after_ms = Some(retry_after_ms);
    let _ = acquire.reply.send(Err(refusal));
}
