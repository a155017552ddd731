//! Watching the primary, and having it replaced.

use rand::Rng;

use super::*;
use crate::{
    decide::takeover::{PrimaryHealth, TakeoverSettings, replacement_reason},
    relay::{
        StatusReport,
        takeover::{self, GroupMember, TakeoverPlan},
    },
};

/// Limits of the decision to replace a primary. Silence: two questions of the
/// probe's length; stuck: longer than a route's usual timeout; unfinished: the
/// time of one attempt; missing: time for all members to report after a start.
const SETTINGS: TakeoverSettings = TakeoverSettings {
    silent_ms: 250,
    failures: 2,
    stuck_ms: 700,
    unfinished_ms: 2_500,
    missing_ms: 1_200,
};
/// Time by which VMs spread their first attempts, in milliseconds.
const SPREAD_MS: u64 = 150;
/// Pause after an attempt, in milliseconds.
const PAUSE_MS: u64 = 800;
/// Time after which a member that is missing from the list is forgotten, in
/// milliseconds.
pub(super) const FORGET_MS: u64 = 60_000;
/// Time between questions to a member while the primary is in doubt, in microseconds.
const RECENT_US: u64 = 1_500_000;

impl Service {
    /// A statement on a member broke off or is late: ask it.
    pub(super) fn suspect(&mut self, id: &Name, is_commit: bool) {
        if is_commit && self.primary.as_ref() == Some(id) {
            self.stuck.get_or_insert_default();
        }
        self.want_probe(id, clock::boot_us());
    }

    pub(super) fn not_primary(&mut self, id: &Name) {
        if let Some(member) = self.members.get_mut(id)
            && let Some((_, report)) = &mut member.report
        {
            report.role = Role::Replica;
        }
        self.want_all_probes();
    }

    /// Compares the reports with the commit that waits.
    pub(super) fn note_stuck(&mut self, id: &Name, report: &StatusReport) {
        let Some(stuck) = &mut self.stuck else { return };
        if self.primary.as_ref() == Some(id) {
            stuck.note_primary(report.received);
        } else if stuck.note_replica(report.received, clock::boot_ms()) {
            self.stuck = None;
        }
    }

    fn health(&self, now_ms: u64) -> PrimaryHealth {
        let now_us = clock::boot_us();
        let is_recent = |m: &Member| {
            let asked_us = m.report.map(|(asked_us, _)| asked_us);
            m.failures == 0 && asked_us.is_some_and(|at| now_us < at + RECENT_US)
        };
        // What a member that is lost said last holds nobody up.
        let answering = self.members.values().filter(|m| is_recent(m));
        let held = answering.filter_map(|m| m.held_since_us).min();
        let mut health = PrimaryHealth {
            held_ms: held.map_or(0, |at| now_us.saturating_sub(at) / 1_000),
            stuck_ms: self.stuck.map_or(0, |stuck| stuck.stuck_ms(now_ms)),
            missing_ms: now_ms.saturating_sub(self.missing_since_ms),
            connects_to_any_member: self.looks_after(),
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
        health.is_leaving = primary.is_going(now_ms);
        health.failures = primary.failures;
        health.connects_to_primary = primary.is_own();
        health.silent_ms = since.map_or(0, |at| now_us.saturating_sub(at) / 1_000);
        health.others_answer = others.into_iter().any(|(_, m)| is_recent(m));
        health
    }

    pub(super) fn watch_primary(&mut self, now_ms: u64) {
        let health = self.health(now_ms);
        self.ask_in_doubt(&health);
        let reason = replacement_reason(&health, &SETTINGS);
        match (self.takeover, reason) {
            (Takeover::Pausing { until_ms }, _) if now_ms >= until_ms => {
                self.takeover = Takeover::Calm;
            }
            (Takeover::Calm, Some(reason)) => {
                let spread_ms = rand::rng().random_range(0..SPREAD_MS);
                self.takeover = Takeover::Due {
                    reason,
                    start_ms: now_ms + spread_ms,
                };
            }
            (Takeover::Due { .. }, None) => self.takeover = Takeover::Calm,
            (Takeover::Due { reason, start_ms }, Some(_)) if now_ms >= start_ms => {
                self.start_takeover(reason, &health);
            }
            _ => {}
        }
    }

    /// While the primary is in doubt, or somebody else may be replacing it,
    /// the members are asked until it is clear who leads.
    fn ask_in_doubt(&mut self, health: &PrimaryHealth) {
        let is_doubtful = !health.is_known
            || health.failures > 0
            || health.is_leaving
            || self.stuck.is_some()
            || health.held_ms > 0;
        if !is_doubtful {
            return;
        }
        let now_us = clock::boot_us();
        let stale: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, m)| m.probing_us.is_none())
            .filter(|(_, m)| m.report.is_none_or(|(at, _)| now_us >= at + 100_000))
            .map(|(id, _)| id.clone())
            .collect();
        for id in stale {
            self.want_probe(&id, now_us);
        }
    }

    /// The members, as an attempt to replace the primary sees them.
    pub(super) fn rivals(&self) -> Vec<GroupMember> {
        let now_ms = clock::boot_ms();
        let rivals = self.members.iter().map(|(id, m)| GroupMember {
            target: Target {
                service: self.context.service.clone(),
                member: id.clone(),
                way: MemberPath::Direct,
                address: m.entry.address,
            },
            is_primary: self.primary.as_ref() == Some(id),
            is_leaving: m.is_going(now_ms),
            is_gone: m.is_gone(now_ms),
            is_displaced: m.is_displaced(now_ms),
        });
        rivals.collect()
    }

    fn start_takeover(&mut self, reason: Reason, health: &PrimaryHealth) {
        decision!(
            "takeover", service = &*self.context.service,
            primary = self.primary.as_deref().unwrap_or("none"),
            reason = reason.to_string(), silent_ms = health.silent_ms,
            failures = health.failures, stuck_ms = health.stuck_ms,
            held_ms = health.held_ms, term = self.highest_term();
            "replacing the primary"
        );
        let held = self.members.values().filter_map(|m| m.report);
        let highest = held.map(|(_, r)| r.term.max(r.held_term)).max();
        let plan = TakeoverPlan {
            context: self.context.clone(),
            rivals: self.rivals(),
            term: highest.unwrap_or(0) + 1,
            reason,
        };
        self.takeover = Takeover::Running;
        compio::runtime::spawn(takeover::run(plan)).detach();
    }

    pub(super) fn takeover_ended(&mut self, promoted: Option<Name>) {
        let now_ms = clock::boot_ms();
        self.takeover = Takeover::Pausing {
            until_ms: now_ms + PAUSE_MS,
        };
        self.stuck = None;
        match promoted {
            Some(id) => self.want_probe(&id, clock::boot_us()),
            None => self.want_all_probes(),
        }
    }
}
