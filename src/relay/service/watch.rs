//! Monitoring of the primary, and the start of takeovers.

use rand::{Rng, seq::SliceRandom};

use super::*;
use crate::{
    decide::takeover::{PrimaryHealth, TakeoverSettings, replacement_reason},
    relay::{
        MemberRequest, StatusReport,
        member::GONE_MS,
        takeover::{self, GroupMember, TakeoverPlan, orders::Orders},
    },
};

/// Limits of the decision to replace a primary. Silent: the length of two probes;
/// stuck: longer than the usual timeout of a route; unfinished: the length of one
/// attempt; missing: time for all members to report after a start.
const TAKEOVER_SETTINGS: TakeoverSettings = TakeoverSettings {
    silent_ms: 250,
    failures: 2,
    stuck_ms: 700,
    unfinished_ms: 2_500,
    missing_ms: 1_200,
};
/// Longest random delay before an attempt, in milliseconds, so that VMs do not
/// start at the same time.
const START_JITTER_MS: u64 = 150;
/// Added to this delay on a VM that started so recently that it may not know all
/// members that can come back, in milliseconds: other VMs go first.
const START_DELAY_MS: u64 = 400;
/// Pause after an attempt, in milliseconds.
const COOLDOWN_MS: u64 = 800;
/// The same after one in which this VM could not give an order, or got no answer that
/// settles it, in milliseconds: once the claim has ended, another VM goes first.
const FAILED_ORDER_COOLDOWN_MS: u64 = 3_000;
/// Most VMs that are asked at a time to make a primary step down.
const RELAYED_MAX: usize = 24;
/// Time after which a member that is missing from the list is removed, in
/// milliseconds.
pub(super) const MEMBER_RETENTION_MS: u64 = 60_000;
/// Age up to which a member's report counts as recent, in microseconds.
const RECENT_REPORT_US: u64 = 1_500_000;

impl Service {
    /// Requests a probe of a member on which a statement failed or is late.
    pub(super) fn suspect(&mut self, id: &Name, is_commit: bool) {
        if is_commit && self.primary.as_ref() == Some(id) {
            self.stuck_commit.get_or_insert_default();
        }
        self.request_probe(id, clock::boot_us());
    }

    /// Treats a member as a replica until its next report, after it refused a
    /// statement because it is not the primary.
    pub(super) fn not_primary(&mut self, id: &Name) {
        if let Some(member) = self.members.get_mut(id)
            && let Some((_, report)) = &mut member.report
        {
            report.role = Role::Replica;
        }
        self.request_all_probes();
    }

    /// Compares a report with the commit that is late.
    pub(super) fn update_stuck_commit(&mut self, id: &Name, report: &StatusReport) {
        let Some(stuck_commit) = &mut self.stuck_commit else {
            return;
        };
        if self.primary.as_ref() == Some(id) {
            stuck_commit.note_primary(report.received);
        } else if stuck_commit.note_replica(report.received, clock::boot_ms()) {
            self.stuck_commit = None;
        }
    }

    fn health(&self, now_ms: u64) -> PrimaryHealth {
        let now_us = clock::boot_us();
        let is_recent = |m: &Member| {
            let asked_us = m.report.map(|(asked_us, _)| asked_us);
            m.failures == 0 && asked_us.is_some_and(|at| now_us < at + RECENT_REPORT_US)
        };
        // The last report of a member that no longer answers must not delay a
        // takeover.
        let answering = self.members.values().filter(|m| is_recent(m));
        let fenced = answering.filter_map(|m| m.fenced_since_us).min();
        let mut health = PrimaryHealth {
            fenced_ms: fenced.map_or(0, |at| now_us.saturating_sub(at) / 1_000),
            stuck_ms: self
                .stuck_commit
                .map_or(0, |commit| commit.stuck_ms(now_ms)),
            missing_ms: now_ms.saturating_sub(self.primary_missing_since_ms),
            connects_to_any_member: self.connects_to_any_member(),
            ..PrimaryHealth::default()
        };
        let Some((id, primary)) = self
            .primary
            .as_ref()
            .and_then(|p| self.members.get_key_value(p))
        else {
            health.others_answer = self.members.values().any(is_recent);
            return health;
        };
        let others = self.members.iter().filter(|(other, _)| *other != id);
        let since = primary.silent_since_us;
        health.is_known = true;
        health.is_leaving = primary.is_departing(now_ms);
        health.failures = primary.failures;
        health.connects_to_primary = primary.prefers_direct();
        health.silent_ms = since.map_or(0, |at| now_us.saturating_sub(at) / 1_000);
        health.others_answer = others.into_iter().any(|(_, m)| is_recent(m));
        health
    }

    /// Decides whether the primary is to be replaced, and schedules or starts a
    /// takeover.
    pub(super) fn watch_primary(&mut self, now_ms: u64) {
        if !self.may_connect(now_ms) {
            // Nobody has been asked yet who leads.
            self.primary_missing_since_ms = now_ms;
            return;
        }
        let health = self.health(now_ms);
        self.probe_while_suspected(&health);
        let reason = replacement_reason(&health, &TAKEOVER_SETTINGS);
        match (self.takeover, reason) {
            (Takeover::CoolingDown { until_ms }, _) if now_ms >= until_ms => {
                self.takeover = Takeover::Idle;
            }
            (Takeover::Idle, Some(reason)) => {
                let mut delay_ms = rand::rng().random_range(0..START_JITTER_MS);
                if !self.knows_departed(now_ms) {
                    delay_ms += START_DELAY_MS;
                }
                self.takeover = Takeover::Scheduled {
                    reason,
                    start_ms: now_ms + delay_ms,
                };
            }
            (Takeover::Scheduled { .. }, None) => self.takeover = Takeover::Idle,
            (Takeover::Scheduled { reason, start_ms }, Some(_)) if now_ms >= start_ms => {
                self.start_takeover(reason, &health);
            }
            _ => {}
        }
    }

    /// While the primary is suspected, or another VM may be replacing it, probes
    /// all members every 100 ms until it is clear which one is the primary.
    fn probe_while_suspected(&mut self, health: &PrimaryHealth) {
        let is_suspected = !health.is_known
            || health.failures > 0
            || health.is_leaving
            || self.stuck_commit.is_some()
            || health.fenced_ms > 0;
        if !is_suspected {
            return;
        }
        let now_us = clock::boot_us();
        let stale: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, m)| m.probe_sent_us.is_none())
            .filter(|(_, m)| m.report.is_none_or(|(at, _)| now_us >= at + 100_000))
            .map(|(id, _)| id.clone())
            .collect();
        for id in stale {
            self.request_probe(&id, now_us);
        }
    }

    /// Whether a member that left the list and may come back would be known here: this
    /// VM has seen the list for long enough, or the group is as young as the VM.
    fn knows_departed(&self, now_ms: u64) -> bool {
        self.context.options.is_first_start || now_ms >= self.started_ms + GONE_MS
    }

    /// The primary, or the member that has led the present term and has stepped down: what
    /// it holds and no other member has was never acknowledged.
    fn replaced_primary(&self) -> Option<&Name> {
        let highest_term = self.highest_term();
        let now_ms = clock::boot_ms();
        let last = self.last_primary.as_ref();
        let last = last.filter(|(_, term)| *term == highest_term);
        let is_known = |id: &&Name| {
            let member = self.members.get(*id);
            member.is_some_and(|m| !m.is_restarted(now_ms))
        };
        let former = last.map(|(id, _)| id).filter(is_known);
        self.primary.as_ref().or(former)
    }

    /// The group's members, as input for a takeover that replaces `primary`.
    pub(super) fn group_members(&self, primary: Option<&Name>) -> Vec<GroupMember> {
        let now_ms = clock::boot_ms();
        let members = self.members.iter().map(|(id, m)| GroupMember {
            target: Target {
                service: self.context.service.clone(),
                member: id.clone(),
                account: None,
                path: MemberPath::Direct,
                address: m.entry.address,
            },
            is_primary: primary == Some(id),
            is_leaving: m.is_departing(now_ms),
            is_gone: m.is_gone(now_ms),
            is_restarted: m.is_restarted(now_ms),
            highest_received: m.highest_received,
            is_displaced: m.is_displaced(now_ms),
        });
        members.collect()
    }

    fn start_takeover(&mut self, reason: Reason, health: &PrimaryHealth) {
        decision!(
            "takeover", service = &*self.context.service,
            primary = self.replaced_primary().map_or("none", |id| &**id),
            reason = reason.to_string(), silent_ms = health.silent_ms,
            failures = health.failures, stuck_ms = health.stuck_ms,
            held_ms = health.fenced_ms, term = self.highest_term();
            "replacing the primary"
        );
        let primary = self.replaced_primary();
        let reports = self.members.values().filter_map(|m| m.report);
        let highest = reports.map(|(_, r)| r.term.max(r.held_term)).max();
        let plan = TakeoverPlan {
            context: self.context.clone(),
            members: self.group_members(primary),
            relayed: self.relayed_targets(primary),
            is_primary_silent: health.failures > 0,
            term: highest.unwrap_or(0) + 1,
            highest_term: self.highest_term(),
            knows_departed: self.knows_departed(clock::boot_ms()),
            reason,
        };
        self.takeover = Takeover::Running;
        compio::runtime::spawn(takeover::run(plan)).detach();
    }

    /// Paths to the primary through other VMs: those of the VMs that are to connect to it
    /// first, the others in random order.
    fn relayed_targets(&self, primary: Option<&Name>) -> Vec<Target> {
        let Some(primary) = primary else {
            return Vec::new();
        };
        let known = self.members.get(primary).map(Member::paths);
        let known = known.into_iter().flatten().cloned();
        let mut others: Vec<MemberPath> = self
            .vms
            .addresses
            .keys()
            .cloned()
            .map(MemberPath::Through)
            .collect();
        others.shuffle(&mut rand::rng());
        let mut paths: Vec<MemberPath> = Vec::new();
        for path in known.chain(others) {
            let is_own = path.through() == &*self.context.options.vm;
            if path != MemberPath::Direct && !is_own && !paths.contains(&path) {
                paths.push(path);
            }
        }
        let paths = paths.into_iter().take(RELAYED_MAX);
        paths
            .filter_map(|path| self.target_by(primary, &path))
            .collect()
    }

    /// Orders a member to step down, for another VM that replaces it.
    pub(super) fn step_down(&mut self, id: &Name, term: u64, reply: oneshot::Sender<StatusReport>) {
        let Some(target) = self.target_by(id, &MemberPath::Direct) else {
            return;
        };
        let context = self.context.clone();
        compio::runtime::spawn(async move {
            let orders = Orders::new(context.clone());
            let order = MemberRequest::StepDown { term };
            let report = orders.send(&target, &order).await;
            let text = match &report {
                Ok(report) => report.role.to_string(),
                Err(error) => error.to_string(),
            };
            decision!(
                "takeover", service = &*context.service, member = &*target.member,
                term = term, outcome = text; "ordered to step down for another VM"
            );
            if let Ok(report) = report {
                if report.role == Role::Replica {
                    let member = target.member.clone();
                    context.send(ServiceMessage::NotPrimary { member });
                }
                // The other VM may have given up.
                let _ = reply.send(report);
            }
        })
        .detach();
    }

    pub(super) fn takeover_ended(&mut self, promoted: Option<Name>, has_failed_to_order: bool) {
        let now_ms = clock::boot_ms();
        let pause_ms = match has_failed_to_order {
            true => FAILED_ORDER_COOLDOWN_MS,
            false => COOLDOWN_MS,
        };
        self.takeover = Takeover::CoolingDown {
            until_ms: now_ms + pause_ms,
        };
        self.stuck_commit = None;
        match promoted {
            Some(id) => self.request_probe(&id, clock::boot_us()),
            None => self.request_all_probes(),
        }
    }
}
