//! Detection of a failed primary and its replacement, run by the delegate.
//!
//! A promotion raises the term on a majority, then promotes the most advanced
//! of those that answered. Terms come from a block that the service's row
//! reserves for this delegate, so that a promotion needs no table.

use bon::Builder;

use super::member::{MemberStatus, Role};
use crate::prelude::*;

/// Time after which a reservation that was not answered is asked for again, in
/// milliseconds.
const RESERVE_RETRY_MS: u64 = 1_000;

/// Times of the failover, in milliseconds.
#[derive(Clone, Copy, Debug, Builder)]
pub struct FailoverSettings {
    /// Interval of probes while all is well.
    #[builder(default = 1_000)]
    pub probe_interval_ms: u64,
    /// Interval of probes while the primary is in doubt.
    #[builder(default = 100)]
    pub doubt_interval_ms: u64,
    /// Silence after which a primary counts as failed.
    #[builder(default = 1_000)]
    pub detect_ms: u64,
    /// Time that opinions, raises and promotions may take.
    #[builder(default = 500)]
    pub step_ms: u64,
    /// Time after a promotion before the next may start.
    #[builder(default = 2_000)]
    pub pause_ms: u64,
}

/// What the delegate hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A member answered a probe, or did not.
    Probed {
        /// Index of the member.
        member: usize,
        /// Its report.
        status: Option<MemberStatus>,
    },
    /// Requests to the primary failed.
    TrafficFailed,
    /// Another slot holder said whether it reaches the primary.
    Opinion {
        /// Whether it reaches it.
        reaches_primary: bool,
    },
    /// A member answered a raise, or did not.
    Raised {
        /// Index of the member.
        member: usize,
        /// Its report.
        status: Option<MemberStatus>,
    },
    /// A member answered a promotion, or did not.
    Promoted {
        /// Index of the member.
        member: usize,
        /// Its report.
        status: Option<MemberStatus>,
    },
    /// Terms were reserved.
    Reserved {
        /// First term.
        from: u64,
        /// First term that is not reserved.
        until: u64,
    },
    /// An operator asks for another primary.
    Order {
        /// Member that is preferred if it is as advanced as any.
        preferred: usize,
    },
}

/// What the delegate does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a member for its report.
    Probe(usize),
    /// Ask the other slot holders whether they reach the primary.
    AskOpinions(usize),
    /// Raise the term on a member.
    Raise {
        /// Index of the member.
        member: usize,
        /// New term.
        term: u64,
    },
    /// Promote a member.
    Promote {
        /// Index of the member.
        member: usize,
        /// Term raised before.
        term: u64,
    },
    /// Tell everybody; write the row.
    Announce {
        /// Index of the new primary.
        member: usize,
        /// Its term.
        term: u64,
    },
    /// Reserve more terms.
    Reserve,
}

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
        opinion_reaches: bool,
    },
    Raising {
        term: u64,
        since_ms: u64,
        answers: BTreeMap<usize, MemberStatus>,
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
            started_ms: now_ms,
            paused_until_ms: 0,
        }
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
            Event::TrafficFailed => self.doubt(),
            Event::Opinion { reaches_primary } => self.hear_opinion(reaches_primary),
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
        }
    }

    fn doubt(&mut self) {
        if matches!(self.phase, Phase::Watching) {
            self.phase = Phase::Doubting {
                opinions_asked_ms: None,
                opinion_reaches: false,
            };
        }
    }

    fn hear_opinion(&mut self, reaches: bool) {
        if let Phase::Doubting {
            opinion_reaches, ..
        } = &mut self.phase
        {
            *opinion_reaches |= reaches;
        }
    }

    fn hear_raise(&mut self, now_ms: u64, member: usize, status: Option<MemberStatus>) {
        self.record(now_ms, member, status);
        let Phase::Raising { term, answers, .. } = &mut self.phase else {
            return;
        };
        let Some(status) = status else { return };
        if status.term == *term && status.synced_term > 0 {
            answers.insert(member, status);
        }
    }

    fn hear_promotion(
        &mut self,
        now_ms: u64,
        member: usize,
        status: Option<MemberStatus>,
    ) -> Vec<Action> {
        self.record(now_ms, member, status);
        let Phase::Promoting {
            term,
            member: chosen,
            ..
        } = self.phase
        else {
            return Vec::new();
        };
        let leads = status.is_some_and(|s| s.role == Role::Primary && s.term == term);
        if member != chosen || !leads {
            return Vec::new();
        }
        self.phase = Phase::Watching;
        self.preferred = None;
        self.paused_until_ms = now_ms + self.settings.pause_ms;
        vec![Action::Announce { member, term }]
    }

    fn order(&mut self, now_ms: u64, preferred: usize) -> Vec<Action> {
        let is_busy = matches!(self.phase, Phase::Raising { .. } | Phase::Promoting { .. });
        if is_busy || preferred >= self.members.len() {
            return Vec::new();
        }
        self.preferred = Some(preferred);
        self.raise(now_ms)
    }

    fn due_probes(&mut self, now_ms: u64) -> Vec<Action> {
        let interval_ms = match self.phase {
            Phase::Watching => self.settings.probe_interval_ms,
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

    fn reserve_if_short(&mut self, now_ms: u64) -> Option<Action> {
        let is_asked = self
            .reserve_asked_ms
            .is_some_and(|at| now_ms < at + RESERVE_RETRY_MS);
        if self.next_term().is_some() || is_asked {
            return None;
        }
        self.reserve_asked_ms = Some(now_ms);
        Some(Action::Reserve)
    }

    fn next_term(&self) -> Option<u64> {
        let from = self.reserved.start.max(self.highest_term() + 1);
        (from < self.reserved.end).then_some(from)
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Action> {
        match &self.phase {
            Phase::Watching => {
                if self.is_in_doubt(now_ms) {
                    self.doubt();
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

    fn is_in_doubt(&self, now_ms: u64) -> bool {
        let settings = &self.settings;
        let slack_ms = settings.probe_interval_ms + settings.doubt_interval_ms * 2;
        !self.answers_as_primary(now_ms, slack_ms) || self.replicas_miss_primary(now_ms)
    }

    fn answers_as_primary(&self, now_ms: u64, within_ms: u64) -> bool {
        let Some(primary) = self.primary() else {
            return now_ms < self.started_ms + within_ms;
        };
        let answered = self.members[primary].answered_ms;
        answered.is_some_and(|at| now_ms <= at + within_ms)
    }

    /// Whether all but a minority of the members have lost the primary.
    fn replicas_miss_primary(&self, now_ms: u64) -> bool {
        let missing = self.members.iter().filter(|m| {
            let Some(status) = m.status else { return false };
            let Some(answered_ms) = m.answered_ms else {
                return false;
            };
            let recent = now_ms <= answered_ms + self.settings.detect_ms;
            let silent_ms = status.primary_seen_ms + (now_ms - answered_ms);
            recent && status.role == Role::Replica && silent_ms >= self.settings.detect_ms
        });
        missing.count() > self.members.len() / 2
    }

    fn advance_doubt(&mut self, now_ms: u64) -> Vec<Action> {
        let detect_ms = self.settings.detect_ms;
        let answers = self.answers_as_primary(now_ms, self.settings.doubt_interval_ms * 3);
        let missed = self.replicas_miss_primary(now_ms);
        if answers && !missed {
            self.phase = Phase::Watching;
            return Vec::new();
        }
        if now_ms < self.paused_until_ms {
            return Vec::new();
        }
        if missed {
            return self.raise(now_ms);
        }
        if self.answers_as_primary(now_ms, detect_ms) {
            return Vec::new();
        }
        self.weigh_opinions(now_ms)
    }

    /// Only this VM may have lost the primary: the other holders decide.
    fn weigh_opinions(&mut self, now_ms: u64) -> Vec<Action> {
        let primary = self.primary();
        let step_ms = self.settings.step_ms;
        let Phase::Doubting {
            opinions_asked_ms,
            opinion_reaches,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        let Some(asked_ms) = *opinions_asked_ms else {
            *opinions_asked_ms = Some(now_ms);
            return primary.map(Action::AskOpinions).into_iter().collect();
        };
        if now_ms < asked_ms + step_ms {
            return Vec::new();
        }
        if *opinion_reaches {
            *opinions_asked_ms = None;
            *opinion_reaches = false;
            return Vec::new();
        }
        self.raise(now_ms)
    }

    fn raise(&mut self, now_ms: u64) -> Vec<Action> {
        let Some(term) = self.next_term() else {
            return self.reserve_if_short(now_ms).into_iter().collect();
        };
        self.reserved.start = term + 1;
        self.phase = Phase::Raising {
            term,
            since_ms: now_ms,
            answers: BTreeMap::new(),
        };
        let members = 0..self.members.len();
        members
            .map(|member| Action::Raise { member, term })
            .collect()
    }

    fn advance_raise(&mut self, now_ms: u64) -> Vec<Action> {
        let Phase::Raising {
            term,
            since_ms,
            answers,
        } = &self.phase
        else {
            return Vec::new();
        };
        let (term, since_ms) = (*term, *since_ms);
        let has_majority = answers.len() > self.members.len() / 2;
        if has_majority {
            let Some(member) = most_advanced(answers, self.preferred) else {
                return Vec::new();
            };
            self.phase = Phase::Promoting {
                term,
                member,
                since_ms: now_ms,
            };
            return vec![Action::Promote { member, term }];
        }
        if now_ms >= since_ms + self.settings.step_ms {
            return self.raise(now_ms);
        }
        Vec::new()
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
