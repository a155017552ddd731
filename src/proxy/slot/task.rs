//! The task of a slot: it owns the connections and grants them.

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
        member::{self, MemberView, Observation, Role},
        route::{self, Floor, ReadRequest, route},
    },
    metrics::{Metrics, label, name_label},
    prelude::*,
    proxy::{
        connect::{Target, connect},
        decision_log::decision,
        error::Refusal,
        link::{Link, LinkTarget, Permit},
        watch::watch,
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
    is_begin: bool,
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
                let target = Target {
                    address: member.address,
                    user: settings.user.clone(),
                    database: settings.database.clone(),
                    link_target: LinkTarget::Member {
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
                    ask: self.start_watch(index, target.clone()),
                    target,
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

    fn start_watch(&self, member: usize, target: Target) -> flume::Sender<()> {
        let (ask, asks) = flume::unbounded();
        let handle = self.handle.clone();
        let tell = move |asked_ms, observation| {
            handle.send(SlotMessage::Observed {
                member,
                asked_ms,
                observation,
            });
        };
        compio::runtime::spawn(watch(target, asks, tell)).detach();
        ask
    }

    fn take(&mut self, message: SlotMessage) {
        match message {
            SlotMessage::Acquire(acquire) => self.acquire(acquire),
            SlotMessage::Release {
                link,
                is_clean,
                held_us,
            } => self.release(link, is_clean, held_us),
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

    fn acquire(&mut self, acquire: Acquire) {
        let now_ms = clock::now_ms();
        let (floor, max_age_ms, is_begin) = match acquire.want {
            Want::Write => return self.queue_write(acquire),
            Want::Begin {
                floor: Floor::Known(_),
            } => return self.queue_write(acquire),
            Want::Begin { floor } => (floor, None, true),
            Want::Read { floor, max_age_ms } => (floor, max_age_ms, false),
        };
        let wait_ms = self.context.settings.replica_wait_ms;
        let reading = Reading {
            request: ReadRequest {
                floor,
                max_age_ms,
                arrived_ms: now_ms,
                wait_until_ms: now_ms + wait_ms,
            },
            acquire,
            is_begin,
        };
        self.decide_read(reading, now_ms);
    }

    fn queue_write(&mut self, acquire: Acquire) {
        let left_ms = acquire.deadline_ms.saturating_sub(clock::now_ms());
        let servers = match self.primary() {
            Some(_) => self.capacity,
            None => 0,
        };
        match self.writes.admit(left_ms, servers) {
            Admission::Queue => self.writes.push(acquire.deadline_ms, acquire),
            Admission::Refuse { retry_after_ms } => refuse_overloaded(acquire, retry_after_ms),
        }
    }

    /// Decides a read; keeps it when it has to wait for reports.
    fn decide_read(&mut self, mut reading: Reading, now_ms: u64) {
        let mode = self.context.settings.acknowledge;
        if reading.request.floor == Floor::Unknown {
            match barrier(mode, &self.views(), reading.request.arrived_ms) {
                Some(position) => reading.request.floor = Floor::Known(position),
                None => {
                    self.reading.push(reading);
                    return;
                }
            }
        }
        if reading.is_begin {
            let Floor::Known(position) = reading.request.floor else {
                return;
            };
            reading.acquire.want = Want::Begin {
                floor: Floor::Known(position),
            };
            self.queue_write(reading.acquire);
            return;
        }
        match route(&reading.request, &self.views(), &self.ages, now_ms) {
            route::Decision::Member(member, reason) => self.queue_read(member, reading, reason),
            _ => self.reading.push(reading),
        }
    }

    fn queue_read(&mut self, member: usize, reading: Reading, reason: route::Reason) {
        let now_ms = clock::now_ms();
        let left_ms = reading.acquire.deadline_ms.saturating_sub(now_ms);
        let chosen = &mut self.members[member];
        if let Admission::Refuse { retry_after_ms } = chosen.ready.admit(left_ms, self.capacity) {
            refuse_overloaded(reading.acquire, retry_after_ms);
            return;
        }
        let floor = match reading.request.floor {
            Floor::Known(position) => Some(position),
            Floor::Unknown => None,
        };
        let deadline_ms = reading.acquire.deadline_ms;
        let ready = Ready {
            acquire: reading.acquire,
            floor,
            reason: reason.into(),
            since_ms: reading.request.arrived_ms,
        };
        chosen.ready.push(deadline_ms, ready);
    }

    fn release(&mut self, link: Link, is_clean: bool, held_us: u64) {
        let LinkTarget::Member { member, .. } = link.target else {
            return;
        };
        self.members[member].ready.record(held_us);
        if Some(member) == self.primary() {
            self.writes.record(held_us);
        }
        self.members[member].view.in_use = self.members[member].view.in_use.saturating_sub(1);
        let is_known = link.address == self.members[member].target.address;
        let over = self.members[member].open > self.capacity;
        if is_clean {
            self.members[member].served_ms = clock::now_ms();
        }
        if is_clean && is_known && !over && !link.is_worn() {
            self.members[member].idle.push(link);
        }
    }

    fn closed(&mut self, member: usize) {
        let member = &mut self.members[member];
        member.open = member.open.saturating_sub(1);
    }

    fn opened(&mut self, index: usize, result: crate::proxy::error::Result<Link>) {
        let member = &mut self.members[index];
        member.opening = member.opening.saturating_sub(1);
        match result {
            Ok(link) => member.idle.push(link),
            Err(error) => {
                log::warn!(
                    target: "slot", service = &*self.context.service, member = &*member.name;
                    "connection not opened: {error}"
                );
                member.open_after_ms = clock::now_ms() + OPEN_PAUSE_MS;
                self.failed(index);
            }
        }
    }

    fn failed(&mut self, index: usize) {
        let was_primary = self.primary() == Some(index);
        let member = &mut self.members[index];
        member.view.failures += 1;
        if was_primary {
            // The delegate may be this VM or hear of it from its own probes.
            let _ = self
                .context
                .primary_failed
                .send(self.context.service.clone());
        }
        self.ask_all();
    }

    fn observed(&mut self, index: usize, asked_ms: u64, observation: Option<Observation>) {
        let now_ms = clock::now_ms();
        let before = self.primary();
        let member = &mut self.members[index];
        member.is_asked = false;
        match observation {
            Some(observation) => {
                member.next_ask_ms = now_ms + PACE_MS;
                member.view.failures = 0;
                if is_demoted(&member.view, &observation) {
                    member.idle.clear();
                }
                member.view.observation = Some(observation);
            }
            None => {
                member.next_ask_ms = now_ms + FAILED_PACE_MS;
                member.view.failures += 1;
                if before == Some(index) {
                    let _ = self
                        .context
                        .primary_failed
                        .send(self.context.service.clone());
                }
            }
        }
        self.note_primary(before);
        self.note_age();
        self.answer_checks(index, asked_ms);
        self.answer_commits();
    }

    /// Logs a change of primary and opens connections ahead of need.
    fn note_primary(&mut self, before: Option<usize>) {
        let after = self.primary();
        if before == after {
            return;
        }
        let name = after.map(|i| self.members[i].name.clone());
        decision!(
            "placement", service = &*self.context.service,
            primary = name.as_deref().unwrap_or("none"); "primary seen"
        );
    }

    /// Records where the primary stands, once its term is confirmed.
    fn note_age(&mut self) {
        let Some(primary) = self.primary() else {
            return;
        };
        let Some(asked_ms) = self.members[primary].asked_ms() else {
            return;
        };
        if let Some(position) = primary_barrier(&self.views(), asked_ms) {
            self.ages.observe(asked_ms, position);
        }
    }

    fn check(&mut self, member: usize, term: u64, reply: oneshot::Sender<bool>) {
        self.checks.push((member, term, clock::now_ms(), reply));
        if self.primary() == Some(member) {
            self.doubt_primary();
        }
    }

    /// Lets the delegate probe at once.
    fn doubt_primary(&mut self) {
        self.doubted_ms = clock::now_ms();
        // The delegate may be this VM or hear of it from its own probes.
        let _ = self
            .context
            .primary_failed
            .send(self.context.service.clone());
    }

    /// A primary whose commits nobody confirms may be cut off.
    fn doubt_if_unconfirmed(&mut self, now_ms: u64) {
        let oldest_ms = self.commits.iter().map(|p| p.commit.answered_ms).min();
        let is_late = oldest_ms.is_some_and(|at| now_ms >= at + UNCONFIRMED_MS);
        if is_late && now_ms >= self.doubted_ms + UNCONFIRMED_MS {
            self.doubt_primary();
        }
    }

    fn answer_checks(&mut self, index: usize, asked_ms: u64) {
        let now_ms = clock::now_ms();
        let highest = self.highest_term();
        let members = &self.members;
        let checks = std::mem::take(&mut self.checks);
        for (member, term, since_ms, reply) in checks {
            let is_replaced = term > 0 && highest > term;
            let answered = members[member].view.observation.map(|o| o.answered_ms);
            let is_recent = answered.is_some_and(|at| now_ms < at + ALIVE_MS);
            let is_asked = member == index && asked_ms >= since_ms;
            let is_failed = members[member].view.failures > 0;
            let fails_again = members[member].view.failures >= FAILURES_GONE;
            if is_replaced || fails_again || (is_failed && !is_recent) {
                let _ = reply.send(true);
            } else if is_asked && !is_failed {
                let _ = reply.send(false);
            } else {
                self.checks.push((member, term, since_ms, reply));
            }
        }
    }

    fn confirm(&mut self, commit: Commit, reply: oneshot::Sender<Decision>) {
        let deadline_ms = clock::now_ms() + self.context.settings.acknowledge_wait_ms;
        self.commits.push(Pending {
            commit,
            deadline_ms,
            reply,
        });
        self.answer_commits();
    }

    fn answer_commits(&mut self) {
        if self.commits.is_empty() {
            return;
        }
        let now_ms = clock::now_ms();
        let mode = self.context.settings.acknowledge;
        let views = self.views();
        let commits = std::mem::take(&mut self.commits);
        for pending in commits {
            let mut decided = acknowledge(mode, &pending.commit, &views);
            if decided == Decision::Wait && now_ms >= pending.deadline_ms {
                decided = Decision::Unknown;
            }
            if decided == Decision::Wait {
                self.commits.push(pending);
                continue;
            }
            let outcome = match decided {
                Decision::Acknowledge => "acknowledged",
                _ => "unknown",
            };
            self.context
                .metrics
                .commits
                .add(1, &[label("outcome", outcome)]);
            let waited_ms = now_ms.saturating_sub(pending.commit.answered_ms);
            self.context
                .metrics
                .acknowledge_wait_ms
                .record(waited_ms as f64, &[]);
            // A caller that went away has learnt nothing.
            let _ = pending.reply.send(decided);
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

    fn expire(&mut self, now_ms: u64) {
        let has_primary = self.primary().is_some();
        for acquire in self.writes.expire(now_ms) {
            let code = match has_primary {
                true => Code::QueueTimeout,
                false => Code::NoPrimary,
            };
            refuse(acquire, code);
        }
        for member in &mut self.members {
            for ready in member.ready.expire(now_ms) {
                refuse(ready.acquire, Code::QueueTimeout);
            }
        }
        let (expired, kept) = std::mem::take(&mut self.reading)
            .into_iter()
            .partition(|r| now_ms > r.acquire.deadline_ms);
        self.reading = kept;
        let expired: Vec<Reading> = expired;
        for reading in expired {
            refuse(reading.acquire, Code::NoPrimary);
        }
    }

    /// Decides again for reads whose member no longer answers.
    fn rescue_reads(&mut self, now_ms: u64) {
        for index in 0..self.members.len() {
            let view = &self.members[index].view;
            let is_usable = view.is_usable() || self.primary() == Some(index);
            if is_usable || self.members[index].ready.is_empty() {
                continue;
            }
            for ready in self.members[index].ready.drain() {
                let Want::Read { max_age_ms, .. } = ready.acquire.want else {
                    continue;
                };
                let floor = ready.floor.map_or(Floor::Unknown, Floor::Known);
                let request = ReadRequest {
                    floor,
                    max_age_ms,
                    arrived_ms: now_ms,
                    wait_until_ms: now_ms,
                };
                let reading = Reading {
                    acquire: ready.acquire,
                    request,
                    is_begin: false,
                };
                self.decide_read(reading, now_ms);
            }
        }
    }

    /// Lends connections of one member and opens more when requests wait.
    fn serve(&mut self, index: usize, now_ms: u64) {
        let is_primary = self.primary() == Some(index);
        loop {
            let wants_write =
                is_primary && !self.writes.is_empty() && self.is_verified(index, now_ms);
            if self.members[index].ready.is_empty() && !wants_write {
                return;
            }
            let Some(link) = self.members[index].pop_idle() else {
                break;
            };
            if wants_write && let Some(acquire) = self.writes.pop() {
                self.grant_write(index, link, acquire);
            } else if let Some(ready) = self.members[index].ready.pop() {
                self.grant_read(index, link, ready, is_primary, now_ms);
            }
        }
        let mut wanted = self.members[index].ready.len();
        if is_primary {
            wanted += self.writes.len();
        }
        self.open(index, wanted, now_ms);
    }

    /// Whether a member has answered lately. A write must not be sent to a
    /// primary that was replaced or froze while this slot was idle: its
    /// outcome would not be known.
    fn is_verified(&self, index: usize, now_ms: u64) -> bool {
        let member = &self.members[index];
        let answered_ms = member.view.observation.map_or(0, |o| o.answered_ms);
        now_ms <= answered_ms.max(member.served_ms) + VERIFIED_MS
    }

    fn grant_write(&mut self, index: usize, link: Link, acquire: Acquire) {
        let floor = match acquire.want {
            Want::Begin {
                floor: Floor::Known(position),
            } => Some(position),
            _ => None,
        };
        decision!(
            "route", service = &*self.context.service, member = &*self.members[index].name,
            reason = "write"; "granted"
        );
        self.grant(index, link, acquire, floor, "write", true);
    }

    fn grant_read(
        &mut self,
        index: usize,
        link: Link,
        ready: Ready,
        is_primary: bool,
        now_ms: u64,
    ) {
        let waited_ms = now_ms.saturating_sub(ready.since_ms);
        let kind = if is_primary { "primary" } else { "replica" };
        decision!(
            "route", service = &*self.context.service, member = &*self.members[index].name,
            reason = ready.reason, waited_ms = waited_ms; "granted"
        );
        let labels = [
            label("kind", kind),
            label("reason", ready.reason),
            name_label("service", &self.context.service),
        ];
        self.context.metrics.reads.add(1, &labels);
        self.context
            .metrics
            .queue_wait_ms
            .record(waited_ms as f64, &[]);
        self.grant(
            index,
            link,
            ready.acquire,
            ready.floor,
            ready.reason,
            is_primary,
        );
    }

    fn grant(
        &mut self,
        index: usize,
        mut link: Link,
        acquire: Acquire,
        floor: Option<Position>,
        reason: &'static str,
        is_primary: bool,
    ) {
        let term = self.members[index]
            .view
            .observation
            .map_or(0, |o| o.status.term);
        link.target = LinkTarget::Member {
            member: index,
            term,
        };
        self.members[index].view.in_use += 1;
        let granted = Granted {
            link,
            floor,
            reason,
            is_primary,
        };
        if let Err(Ok(granted)) = acquire.reply.send(Ok(granted)) {
            // The caller went away while it waited.
            self.members[index].view.in_use -= 1;
            self.members[index].idle.push(granted.link);
        }
    }

    fn open(&mut self, index: usize, wanted: usize, now_ms: u64) {
        let capacity = self.capacity;
        let member = &mut self.members[index];
        if now_ms < member.open_after_ms || !member.view.answers() {
            return;
        }
        while member.opening < wanted && member.open < capacity {
            member.open += 1;
            member.opening += 1;
            let target = member.target.clone();
            let handle = self.handle.clone();
            let give_back = self.handle.clone();
            let permit = Permit::new(move || give_back.send(SlotMessage::Closed { member: index }));
            compio::runtime::spawn(async move {
                let result = connect(target, Some(permit)).await;
                handle.send(SlotMessage::Opened {
                    member: index,
                    result,
                });
            })
            .detach();
        }
    }

    fn ask_needed(&mut self, now_ms: u64) {
        let mut wanted = vec![false; self.members.len()];
        let primary = self.primary();
        let awaits_reports = !self.reading.is_empty();
        let lacks_primary = primary.is_none() && !self.writes.is_empty();
        for (index, wanted) in wanted.iter_mut().enumerate() {
            let view = &self.members[index].view;
            let is_failed = view.failures > 0 || view.observation.is_none();
            let confirms = !self.commits.is_empty() && primary != Some(index);
            let is_checked = self.checks.iter().any(|(member, ..)| *member == index);
            let is_doubted = !self.writes.is_empty()
                && primary == Some(index)
                && !self.is_verified(index, now_ms);
            *wanted = is_doubted
                || awaits_reports
                || lacks_primary
                || is_failed
                || confirms
                || is_checked;
        }
        for (member, wanted) in self.members.iter_mut().zip(wanted) {
            if wanted && !member.is_asked && now_ms >= member.next_ask_ms {
                member.is_asked = true;
                // The watch lives as long as this sender.
                let _ = member.ask.send(());
            }
        }
    }

    fn ask_all(&mut self) {
        for member in &mut self.members {
            if !member.is_asked {
                member.is_asked = true;
                let _ = member.ask.send(());
            }
        }
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
