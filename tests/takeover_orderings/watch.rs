//! How a VM learns of its members, and when it replaces the primary.

use foxtailknot::{
    decide::{
        attempt::{Attempt, AttemptMember, OrderAnswer},
        takeover::{PrimaryHealth, Reason, TakeoverSettings, replacement_reason},
    },
    prelude::*,
};

use super::{
    call::Request,
    event::Event,
    node::Node,
    run::{Run, Stage},
    vm::Report,
    world::{WATCH_MS, World},
};

/// The product's limits.
const TAKEOVER_SETTINGS: TakeoverSettings = TakeoverSettings {
    silent_ms: 250,
    failures: 2,
    stuck_ms: 700,
    unfinished_ms: 2_500,
    missing_ms: 1_200,
};
/// Added delay of a VM that has just started, in milliseconds.
const START_DELAY_MS: u64 = 400;
/// Time after which a member that is missing from the list counts as leaving, in
/// milliseconds.
const UNLISTED_GRACE_MS: u64 = 2_500;

impl World {
    /// A VM looks at the list and at its members.
    pub fn watch(&mut self, vm: usize) {
        self.after(WATCH_MS, Event::Watch { vm });
        if !self.is_awake(vm) {
            return;
        }
        self.follow_list(vm);
        self.probe(vm);
        if self.vms[vm].run.is_some() || self.now_ms < self.vms[vm].pause_until_ms {
            return;
        }
        let now_ms = self.now_ms;
        let reason = replacement_reason(&self.health(vm), &TAKEOVER_SETTINGS);
        match (self.vms[vm].start_ms, reason) {
            (_, None) => self.vms[vm].start_ms = None,
            (None, Some(_)) => {
                let jitter_ms = self.scenario.timing.jitter_ms[vm];
                let start_ms = match self.vms[vm].knows_departed {
                    true => jitter_ms,
                    false => jitter_ms + START_DELAY_MS,
                };
                self.vms[vm].start_ms = Some(now_ms + start_ms);
            }
            (Some(start_ms), Some(reason)) if now_ms >= start_ms => {
                self.vms[vm].start_ms = None;
                self.start_attempt(vm, reason);
            }
            _ => {}
        }
    }

    fn follow_list(&mut self, vm: usize) {
        let is_up =
            self.passes(Node::Vm(vm), Node::Store) && self.passes(Node::Store, Node::Vm(vm));
        if is_up && self.now_ms >= self.store.away_until_ms {
            let list = self.listed();
            self.vms[vm].apply_list(&list, self.now_ms);
        } else if self.scenario.follow_store {
            self.vms[vm].away_at_ms = Some(self.now_ms);
        }
    }

    /// The member list as the store has it.
    pub fn listed(&self) -> BTreeMap<usize, bool> {
        let members = self.members.iter().enumerate();
        let listed = members.filter(|(_, m)| m.is_listed);
        listed.map(|(index, m)| (index, m.is_leaving)).collect()
    }

    /// Whether a VM gets an answer from a member.
    fn reaches(&self, vm: usize, member: usize) -> bool {
        let (vm_node, member_node) = (Node::Vm(vm), Node::Member(member));
        self.members[member].is_running
            && self.now_ms >= self.members[member].busy_until_ms
            && self.passes(vm_node, member_node)
            && self.passes(member_node, vm_node)
    }

    fn probe(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let reached: Vec<usize> = self.vms[vm].known.keys().copied().collect();
        let reached = reached.into_iter().filter(|m| self.reaches(vm, *m));
        let reached: Vec<usize> = reached.collect();
        for member in &reached {
            let reporting = &self.members[*member];
            let report = Report {
                leads: reporting.leads(),
                term: reporting.term,
                held_term: reporting.held_term,
            };
            let received = Some(reporting.received());
            let known = self.vms[vm].known.entry(*member).or_default();
            known.report = Some(report);
            known.highest_received = known.highest_received.max(received);
        }
        let known = &mut self.vms[vm];
        let primary = known.find_primary();
        if primary.is_none() && known.primary.is_some() {
            known.missing_since_ms = now_ms;
        }
        known.primary = primary;
        if let Some(primary) = primary {
            known.last_primary = Some((primary, known.highest_reported_term()));
        }
        match primary.is_none_or(|primary| reached.contains(&primary)) {
            true => known.silent_since_ms = None,
            false => _ = known.silent_since_ms.get_or_insert(now_ms),
        }
    }

    fn health(&self, vm: usize) -> PrimaryHealth {
        let now_ms = self.now_ms;
        let known = &self.vms[vm];
        let reached: Vec<usize> = known.known.keys().copied().collect();
        let reached = reached.into_iter().filter(|m| self.reaches(vm, *m));
        let reached: Vec<usize> = reached.collect();
        let fenced = reached.iter().map(|m| &self.members[*m]);
        let fenced = fenced.filter(|m| m.held_term > m.term);
        let fenced_since_ms = fenced.map(|m| m.held_since_ms).min();
        let silent_ms = known.silent_since_ms.map_or(0, |at| now_ms - at);
        let stuck = known.primary.map(|p| &self.members[p].waiting);
        let stuck_since_ms = stuck.and_then(|w| w.iter().map(|w| w.written_ms).min());
        PrimaryHealth {
            is_known: known.primary.is_some(),
            is_leaving: known.primary.is_some_and(|p| self.is_leaving(vm, p)),
            silent_ms,
            failures: (silent_ms / WATCH_MS) as u32,
            stuck_ms: match known.silent_since_ms {
                Some(_) => 0,
                None => stuck_since_ms.map_or(0, |at| now_ms - at),
            },
            fenced_ms: fenced_since_ms.map_or(0, |at| now_ms - at),
            missing_ms: now_ms - known.missing_since_ms,
            others_answer: reached.iter().any(|m| Some(*m) != known.primary),
            connects_to_primary: true,
            connects_to_any_member: true,
        }
    }

    fn is_leaving(&self, vm: usize, member: usize) -> bool {
        let Some(known) = self.vms[vm].known.get(&member) else {
            return false;
        };
        let since_ms = known.unlisted_since_ms;
        known.is_leaving || since_ms.is_some_and(|at| self.now_ms >= at + UNLISTED_GRACE_MS)
    }

    /// The members that a VM knows, as input for its attempt. Nobody is missing for so
    /// long that it counts as gone.
    pub fn attempt_members(&self, vm: usize, primary: Option<usize>) -> Vec<AttemptMember> {
        let known = self.vms[vm].known.keys();
        let members = known.map(|member| AttemptMember {
            member: self.members[*member].name.clone(),
            is_primary: Some(*member) == primary,
            is_leaving: self.is_leaving(vm, *member),
            is_gone: false,
            is_restarted: self.is_listed_as_restarted(*member),
            highest_received: self.vms[vm].known[member].highest_received,
        });
        members.collect()
    }

    /// Whether the list tells that a member has restarted under its id.
    fn is_listed_as_restarted(&self, member: usize) -> bool {
        let listing_ms = self.scenario.timing.listing_ms;
        let restarted_ms = self.members[member].restarted_ms;
        restarted_ms.is_some_and(|at_ms| self.now_ms >= at_ms + listing_ms)
    }

    fn start_attempt(&mut self, vm: usize, reason: Reason) {
        let known = &self.vms[vm];
        let primary = known.replaced_primary();
        let primary = primary.filter(|p| known.known.contains_key(p));
        let primary = primary.filter(|p| !self.is_listed_as_restarted(*p));
        self.note(|w| {
            let primary = primary.map_or("none", |p| &*w.members[p].name);
            format!("vm-{vm} starts an attempt: {reason}, primary {primary}")
        });
        let members = self.attempt_members(vm, primary);
        let highest_term = self.vms[vm].highest_reported_term();
        let known = &mut self.vms[vm];
        known.run = Some(Run {
            attempt: Attempt::new(self.now_ms, reason, known.knows_departed, members),
            stage: Stage::Claiming,
            claimed_ms: 0,
            started_ms: self.now_ms,
            primary,
            is_primary_silent: known.silent_since_ms.is_some(),
            term: known.highest_term() + 1,
            highest_term,
            claim: None,
            calls: BTreeMap::new(),
            step_down_calls: BTreeSet::new(),
            relayed_calls: BTreeSet::new(),
            step_down_answer: OrderAnswer::Silent,
            has_ordered_others: false,
            answers: BTreeMap::new(),
            list: None,
            is_recorded: false,
            written: None,
            open_order: None,
            order_reply: None,
            renewal_asked_ms: 0,
            timer: None,
            outcome: None,
        });
        self.call(vm, Request::ReadClaim);
    }
}
