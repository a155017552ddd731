//! Detection of a failed primary and its replacement, run by the delegate.
//!
//! A promotion raises the term on a majority, then promotes the most advanced
//! of those that answered. Terms come from a block that the service's row
//! reserves for this delegate, so that a promotion needs no table.

mod action;
mod doubt;
mod event;
mod promotion;
mod settings;

pub use action::Action;
pub use event::Event;
pub use settings::FailoverSettings;

use super::member::{MemberStatus, Role};
use crate::prelude::*;

/// Time after which a reservation that was not answered is asked for again, in
/// milliseconds.
const RESERVE_RETRY_MS: u64 = 1_000;

/// Why the failover is where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PhaseName {
    /// The primary is well.
    Watching,
    /// The primary is in doubt.
    Doubting,
    /// The term is being raised.
    Raising,
    /// A member is being promoted.
    Promoting,
}

#[derive(Clone, Debug)]
enum Phase {
    Watching,
    Doubting {
        opinions_asked_ms: Option<u64>,
        nobody_reaches: bool,
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
struct Seen {
    status: Option<MemberStatus>,
    answered_ms: Option<u64>,
    asked_ms: Option<u64>,
    failing_since_ms: Option<u64>,
    failures: u32,
}

/// The delegate's state for one service.
#[derive(Clone, Debug)]
pub struct Failover {
    settings: FailoverSettings,
    members: Vec<Seen>,
    phase: Phase,
    reserved: std::ops::Range<u64>,
    reserve_asked_ms: Option<u64>,
    preferred: Option<usize>,
    leaving: BTreeSet<usize>,
    started_ms: u64,
    paused_until_ms: u64,
}

impl Failover {
    /// Starts to watch `members` members at `now_ms`.
    pub fn new(settings: FailoverSettings, members: usize, now_ms: u64) -> Failover {
        Failover {
            settings,
            members: vec![Seen::default(); members],
            phase: Phase::Watching,
            reserved: 0..0,
            reserve_asked_ms: None,
            preferred: None,
            leaving: BTreeSet::new(),
            started_ms: now_ms,
            paused_until_ms: 0,
        }
    }

    /// Marks members that are leaving: a primary among them is replaced, and
    /// none of them is promoted while another can be.
    pub fn leaving(mut self, members: impl IntoIterator<Item = usize>) -> Failover {
        self.leaving = members.into_iter().collect();
        self
    }

    /// Name of the current phase.
    pub fn phase(&self) -> PhaseName {
        match self.phase {
            Phase::Watching => PhaseName::Watching,
            Phase::Doubting { .. } => PhaseName::Doubting,
            Phase::Raising { .. } => PhaseName::Raising,
            Phase::Promoting { .. } => PhaseName::Promoting,
        }
    }

    /// Highest term that a member has reported.
    pub fn highest_term(&self) -> u64 {
        let terms = self.members.iter().filter_map(|m| m.status);
        terms.map(|s| s.term).max().unwrap_or(0)
    }

    /// Index of the member that led in the highest term when last heard.
    pub fn primary(&self) -> Option<usize> {
        let highest = self.highest_term();
        self.members.iter().position(|m| {
            m.status
                .is_some_and(|s| s.role == Role::Primary && s.term == highest)
        })
    }

    /// Takes an event at `now_ms` and says what to do.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Probed { member, status } => self.record(now_ms, member, status),
            Event::TrafficFailed => self.probe_now(),
            Event::Reachability { reaches_primary } => self.hear_opinions(reaches_primary),
            Event::Raised { member, status } => self.hear_raise(now_ms, member, status),
            Event::Promoted { member, status } => {
                return self.hear_promotion(now_ms, member, status);
            }
            Event::Reserved { from, until } => {
                self.reserved = from..until;
                self.reserve_asked_ms = None;
            }
            Event::Order { preferred } => return self.order(now_ms, preferred),
        }
        let mut actions = self.due_probes(now_ms);
        actions.extend(self.reserve_if_short(now_ms));
        actions.extend(self.advance(now_ms));
        actions
    }

    fn record(&mut self, now_ms: u64, member: usize, status: Option<MemberStatus>) {
        let seen = &mut self.members[member];
        if status.is_some() {
            seen.status = status;
            seen.answered_ms = Some(now_ms);
            seen.failing_since_ms = None;
            seen.failures = 0;
        } else {
            seen.failing_since_ms.get_or_insert(now_ms);
            seen.failures += 1;
        }
    }

    fn probe_now(&mut self) {
        for seen in &mut self.members {
            seen.asked_ms = None;
        }
    }

    fn doubt(&mut self) {
        if matches!(self.phase, Phase::Watching) {
            self.phase = Phase::Doubting {
                opinions_asked_ms: None,
                nobody_reaches: false,
            };
        }
    }

    fn hear_opinions(&mut self, reaches_primary: bool) {
        if let Phase::Doubting {
            opinions_asked_ms,
            nobody_reaches,
        } = &mut self.phase
        {
            *nobody_reaches = !reaches_primary;
            if reaches_primary {
                *opinions_asked_ms = None;
            }
        }
    }

    fn due_probes(&mut self, now_ms: u64) -> Vec<Action> {
        let interval_ms = match self.phase {
            Phase::Watching if !self.is_uneasy() => self.settings.probe_interval_ms,
            _ => self.settings.doubt_interval_ms,
        };
        let mut actions = Vec::new();
        for (i, seen) in self.members.iter_mut().enumerate() {
            let is_due = seen
                .asked_ms
                .is_none_or(|asked_ms| now_ms >= asked_ms + interval_ms);
            if is_due {
                seen.asked_ms = Some(now_ms);
                actions.push(Action::Probe(i));
            }
        }
        actions
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Action> {
        match &self.phase {
            Phase::Watching => {
                if self.is_in_doubt(now_ms) {
                    self.doubt();
                } else if self.must_hand_over(now_ms) {
                    return self.raise(now_ms);
                }
                Vec::new()
            }
            Phase::Doubting { .. } => self.advance_doubt(now_ms),
            Phase::Raising { .. } => self.advance_raise(now_ms),
            Phase::Promoting { since_ms, .. } => {
                // A lost answer leaves it open whether the member leads; only
                // a higher term makes another choice safe.
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
