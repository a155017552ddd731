//! The task of a slot: it owns the connections and grants them.

mod commits;
mod connections;
mod reads;
mod reports;

use futures::channel::oneshot;

use super::{
    Acquire, Granted, SlotHandle, SlotMessage, SlotReport, Want,
    member::{Ready, SlotMember},
};
use crate::{
    clock,
    decide::{
        acknowledge::{Commit, Decision, acknowledge},
        admission::{Admission, AdmissionQueue},
        age::AgeTracker,
        barrier::{barrier, primary_barrier},
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

/// Longest time between two looks at the timers.
const TICK_MS: u64 = 500;
/// Pause between questions to a member that is waited for, in milliseconds.
const PACE_MS: u64 = 2;
/// Pause between questions to a member that does not answer, in milliseconds.
const FAILED_PACE_MS: u64 = 100;
/// Pause after a connection could not be opened, in milliseconds.
const OPEN_PAUSE_MS: u64 = 50;
/// Time after which a primary is asked before it gets a write, in milliseconds.
const VERIFIED_MS: u64 = 1_000;
/// Questions in a row without an answer after which a member counts as gone.
const FAILURES_GONE: u32 = 2;
/// Time after which a commit that nobody confirms raises doubt of the primary,
/// in milliseconds.
const UNCONFIRMED_MS: u64 = 300;
/// Time within which a member that answered counts as alive, in milliseconds.
const ALIVE_MS: u64 = 1_000;

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
    /// Told when the primary seems to fail.
    pub primary_failed: flume::Sender<Name>,
}

struct Pending {
    commit: Commit,
    deadline_ms: u64,
    reply: oneshot::Sender<Decision>,
}

struct Reading {
    acquire: Acquire,
    request: ReadRequest,
}

struct Slot {
    context: SlotContext,
    handle: SlotHandle,
    members: Vec<SlotMember>,
    writes: AdmissionQueue<Acquire>,
    reading: Vec<Reading>,
    commits: Vec<Pending>,
    checks: Vec<(usize, u64, u64, oneshot::Sender<bool>)>,
    ages: AgeTracker,
    doubted_ms: u64,
    capacity: usize,
}

/// Runs a slot until its handles are gone.
pub async fn run(
    context: SlotContext,
    handle: SlotHandle,
    mailbox: flume::Receiver<SlotMessage>,
    stop: flume::Receiver<()>,
) {
    let mut slot = Slot::new(context, handle);
    slot.ask_all();
    loop {
        let wait = slot.next_timer();
        let receive = mailbox.recv_async();
        let stopped = stop.recv_async();
        futures::select! {
            message = futures::FutureExt::fuse(compio::time::timeout(wait, receive)) => {
                match message {
                    Ok(Ok(message)) => slot.take(message),
                    Ok(Err(_)) => return,
                    Err(_) => {}
                }
            }
            _ = futures::FutureExt::fuse(stopped) => {
                slot.refuse_all();
                return;
            }
        }
        // A batch of messages needs only one look at what waits.
        for message in mailbox.drain() {
            slot.take(message);
        }
        slot.pump();
    }
}

impl Slot {
    fn new(context: SlotContext, handle: SlotHandle) -> Slot {
        let capacity = slot_capacity(&context.settings);
        let mut slot = Slot {
            members: Vec::new(),
            writes: AdmissionQueue::new(context.settings.queue_length),
            reading: Vec::new(),
            commits: Vec::new(),
            checks: Vec::new(),
            ages: AgeTracker::default(),
            doubted_ms: 0,
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
                    ask: self.start_watch(index, connect_options.clone()),
                    connect_options,
                    view,
                    idle: Vec::new(),
                    open: 0,
                    opening: 0,
                    ready: AdmissionQueue::new(settings.queue_length),
                    is_asked: false,
                    next_ask_ms: 0,
                    open_after_ms: 0,
                    served_ms: 0,
                }
            })
            .collect();
    }

    fn start_watch(&self, member: usize, options: ConnectOptions) -> flume::Sender<()> {
        let (ask, asks) = flume::unbounded();
        let handle = self.handle.clone();
        let tell = move |asked_ms, observation| {
            handle.send(SlotMessage::Observed {
                member,
                asked_ms,
                observation,
            });
        };
        compio::runtime::spawn(poll(options, asks, tell)).detach();
        ask
    }

    fn take(&mut self, message: SlotMessage) {
        match message {
            SlotMessage::Acquire(acquire) => self.acquire(acquire),
            SlotMessage::Release {
                connection,
                is_clean,
                held_us,
            } => self.release(connection, is_clean, held_us),
            SlotMessage::Closed { member } => self.closed(member),
            SlotMessage::Opened { member, result } => self.opened(member, result),
            SlotMessage::Observed {
                member,
                asked_ms,
                observation,
            } => self.observed(member, asked_ms, observation),
            SlotMessage::Failed { member } => self.failed(member),
            SlotMessage::Confirm { commit, reply } => self.confirm(commit, reply),
            SlotMessage::Check {
                member,
                term,
                reply,
            } => self.check(member, term, reply),
            SlotMessage::Refresh => self.ask_all(),
            SlotMessage::Report { reply } => {
                // The asker may have gone away.
                let _ = reply.send(self.report());
            }
            SlotMessage::Settings(settings) => self.change_settings(settings),
        }
    }

    /// Serves what can be served, asks what must be known, opens what lacks.
    fn pump(&mut self) {
        let now_ms = clock::now_ms();
        self.expire(now_ms);
        for reading in std::mem::take(&mut self.reading) {
            self.decide_read(reading, now_ms);
        }
        self.rescue_reads(now_ms);
        for member in 0..self.members.len() {
            self.serve(member, now_ms);
        }
        self.answer_commits();
        self.doubt_if_unconfirmed(now_ms);
        self.ask_needed(now_ms);
    }

    fn next_timer(&self) -> Duration {
        let waits = !self.reading.is_empty()
            || !self.commits.is_empty()
            || !self.writes.is_empty()
            || !self.checks.is_empty()
            || self.members.iter().any(|m| !m.ready.is_empty());
        let is_failed = self.members.iter().any(|m| m.view.failures > 0);
        let wait_ms = match (waits, is_failed) {
            (true, _) => PACE_MS,
            (false, true) => FAILED_PACE_MS,
            (false, false) => TICK_MS,
        };
        Duration::from_millis(wait_ms)
    }

    /// Takes settings of the same members; other members need a new slot.
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
            std::mem::take(&mut self.reading)
                .into_iter()
                .map(|r| r.acquire),
        );
        for member in &mut self.members {
            waiting.extend(member.ready.drain().into_iter().map(|r| r.acquire));
        }
        for acquire in waiting {
            refuse(acquire, Code::Stopping);
        }
        for pending in std::mem::take(&mut self.commits) {
            let _ = pending.reply.send(Decision::Unknown);
        }
    }

    fn report(&self) -> SlotReport {
        let ready: usize = self.members.iter().map(|m| m.ready.len()).sum();
        SlotReport {
            members: self.views(),
            waiting: self.writes.len() + self.reading.len() + ready,
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
/// One share of the budget stays free for a slot that is being handed over,
/// and one connection is for reports.
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
    // A caller that went away needs no answer.
    let _ = acquire.reply.send(Err(Refusal::new(code, text)));
}

fn refuse_overloaded(acquire: Acquire, retry_after_ms: u64) {
    let mut refusal = Refusal::new(Code::Overloaded, "the queue can't be served in time");
    refusal.retry_after_ms = Some(retry_after_ms);
    let _ = acquire.reply.send(Err(refusal));
}
