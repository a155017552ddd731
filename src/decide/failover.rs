//! Detection and replacement of a failed primary, run by the delegate.
//!
//! A failover raises the term on a majority of the members, then promotes the
//! most advanced member that answered. Terms come from a range that the
//! service's row reserves for this delegate, so that a failover needs no access
//! to the table service.

mod action;
mod detection;
mod event;
mod promotion;
mod settings;

pub use action::Action;
pub use event::Event;
pub use settings::FailoverSettings;

use super::member::{MemberStatus, Role};
use crate::prelude::*;

/// Time after which an unanswered reservation request is repeated, in
/// milliseconds.
const RESERVE_RETRY_MS: u64 = 1_000;

/// Name of a phase of the failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PhaseName {
    /// The primary is healthy.
    Watching,
    /// The primary is suspected to have failed.
    #[strum(serialize = "doubting")]
    Suspecting,
    /// The term is being raised on the members.
    Raising,
    /// A member is being promoted.
    Promoting,
}

#[derive(Clone, Debug)]
enum Phase {
    Watching,
    Suspecting {
        holders_asked_ms: Option<u64>,
        no_holder_reaches: bool,
    },
    Raising {
        term: u64,
        since_ms: u64,
        answers: BTreeMap<usize, MemberStatus>,
        suspect: Option<usize>,
    },
    Promoting {
        term: u64,
        member: usize,
        since_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct MemberState {
    status: Option<MemberStatus>,
    answered_ms: Option<u64>,
    asked_ms: Option<u64>,
    failing_since_ms: Option<u64>,
    failures: u32,
}

/// The delegate's failover state for one service.
#[derive(Clone, Debug)]
pub struct Failover {
    settings: FailoverSettings,
    members: Vec<MemberState>,
    phase: Phase,
    reserved: std::ops::Range<u64>,
    reserve_asked_ms: Option<u64>,
    preferred: Option<usize>,
    leaving: BTreeSet<usize>,
    started_ms: u64,
    paused_until_ms: u64,
}

impl Failover {
    /// Starts watching a service with `members` members at `now_ms`.
    pub fn new(settings: FailoverSettings, members: usize, now_ms: u64) -> Failover {
        Failover {
            settings,
            members: vec![MemberState::default(); members],
            phase: Phase::Watching,
            reserved: 0..0,
            reserve_asked_ms: None,
            preferred: None,
            leaving: BTreeSet::new(),
            started_ms: now_ms,
            paused_until_ms: 0,
        }
    }

    /// Marks members that are leaving: a leaving primary is replaced, and a
    /// leaving member is promoted only if no other can be.
    pub fn leaving(mut self, members: impl IntoIterator<Item = usize>) -> Failover {
        self.leaving = members.into_iter().collect();
        self
    }

    /// Name of the current phase.
    pub fn phase(&self) -> PhaseName {
        match self.phase {
            Phase::Watching => PhaseName::Watching,
            Phase::Suspecting { .. } => PhaseName::Suspecting,
            Phase::Raising { .. } => PhaseName::Raising,
            Phase::Promoting { .. } => PhaseName::Promoting,
        }
    }

    /// Highest term that any member has reported.
    pub fn highest_term(&self) -> u64 {
        let terms = self.members.iter().filter_map(|m| m.status);
        terms.map(|s| s.term).max().unwrap_or(0)
    }

    /// Index of the member whose latest report says it is primary of the
    /// highest term.
    pub fn primary(&self) -> Option<usize> {
        let highest = self.highest_term();
        self.members.iter().position(|m| {
            m.status
                .is_some_and(|s| s.role == Role::Primary && s.term == highest)
        })
    }

    /// Processes an event at `now_ms` and returns the actions to take.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Probed { member, status } => self.record(now_ms, member, status),
            Event::TrafficFailed => self.probe_all_now(),
            Event::Reachability { reaches_primary } => self.reachability_answered(reaches_primary),
            Event::Raised { member, status } => self.raise_answered(now_ms, member, status),
            Event::Promoted { member, status } => {
                return self.promotion_answered(now_ms, member, status);
            }
            Event::Reserved { from, until } => {
                self.reserved = from..until;
                self.reserve_asked_ms = None;
            }
            Event::Order { preferred } => return self.order_failover(now_ms, preferred),
        }
        let mut actions = self.due_probes(now_ms);
        actions.extend(self.reserve_if_short(now_ms));
        actions.extend(self.advance(now_ms));
        actions
    }

    fn record(&mut self, now_ms: u64, member: usize, status: Option<MemberStatus>) {
        let state = &mut self.members[member];
        if status.is_some() {
            state.status = status;
            state.answered_ms = Some(now_ms);
            state.failing_since_ms = None;
            state.failures = 0;
        } else {
            state.failing_since_ms.get_or_insert(now_ms);
            state.failures += 1;
        }
    }

    fn probe_all_now(&mut self) {
        for state in &mut self.members {
            state.asked_ms = None;
        }
    }

    fn suspect_primary(&mut self) {
        if matches!(self.phase, Phase::Watching) {
            self.phase = Phase::Suspecting {
                holders_asked_ms: None,
                no_holder_reaches: false,
            };
        }
    }

    fn reachability_answered(&mut self, reaches_primary: bool) {
        if let Phase::Suspecting {
            holders_asked_ms,
            no_holder_reaches,
        } = &mut self.phase
        {
            *no_holder_reaches = !reaches_primary;
            if reaches_primary {
                *holders_asked_ms = None;
            }
        }
    }

    fn due_probes(&mut self, now_ms: u64) -> Vec<Action> {
        let interval_ms = match self.phase {
            Phase::Watching if !self.needs_fast_probes() => self.settings.probe_interval_ms,
            _ => self.settings.suspect_interval_ms,
        };
        let mut actions = Vec::new();
        for (i, state) in self.members.iter_mut().enumerate() {
            let is_due = state
                .asked_ms
                .is_none_or(|asked_ms| now_ms >= asked_ms + interval_ms);
            if is_due {
                state.asked_ms = Some(now_ms);
                actions.push(Action::Probe(i));
            }
        }
        actions
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Action> {
        match &self.phase {
            Phase::Watching => {
                // An order that came too early for the term to be raised.
                if self.preferred.is_some() {
                    return self.raise(now_ms);
                }
                if self.is_primary_suspect(now_ms) {
                    self.suspect_primary();
                } else if self.must_hand_over(now_ms) {
                    return self.raise(now_ms);
                }
                Vec::new()
            }
            Phase::Suspecting { .. } => self.advance_suspicion(now_ms),
            Phase::Raising { .. } => self.advance_raise(now_ms),
            Phase::Promoting { since_ms, .. } => {
                // If the answer was lost, the member may already be primary.
                // Choosing another one is safe only in a higher term.
                if now_ms >= since_ms + self.settings.step_ms {
                    return self.raise(now_ms);
                }
                Vec::new()
            }
        }
    }
}

fn most_advanced(
    answers: &BTreeMap<usize, MemberStatus>,
    preferred: Option<usize>,
) -> Option<usize> {
    let rank = |status: &MemberStatus| Position::new(status.synced_term, status.received_lsn);
    let best = answers.values().map(rank).max()?;
    let mut equal = answers.iter().filter(|(_, s)| rank(s) == best);
    let first = equal.clone().next().map(|(member, _)| *member);
    let wanted = equal.find(|(member, _)| Some(**member) == preferred);
    wanted.map(|(member, _)| *member).or(first)
}
