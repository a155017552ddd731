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
    #[builder(default = 2_000)]
    pub probe_interval_ms: u64,
    /// Interval of probes while the primary is in doubt.
    #[builder(default = 100)]
    pub doubt_interval_ms: u64,
    /// Silence after which a primary counts as failed.
    #[builder(default = 1_000)]
    pub detect_ms: u64,
    /// Time that a primary's probes fail before the others are asked.
    #[builder(default = 300)]
    pub doubt_ms: u64,
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
    /// The other slot holders said whether any of them reaches the primary.
    Opinions {
        /// Whether one reaches it.
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
            Event::Opinions { reaches_primary } => self.hear_opinions(reaches_primary),
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

    fn is_in_doubt(&self, now_ms: u64) -> bool {
        !self.primary_answers() || self.replicas_miss_primary(now_ms)
    }

    /// Whether a replica has not heard from its primary for so long that the
    /// next probes must not wait.
    fn is_uneasy(&self) -> bool {
        let limit_ms = self.settings.detect_ms / 2;
        let statuses = self.members.iter().filter_map(|m| m.status);
        let mut replicas = statuses.filter(|s| s.role == Role::Replica);
        replicas.any(|s| s.primary_seen_ms >= limit_ms)
    }

    /// Whether the primary is leaving and all the others answer.
    fn must_hand_over(&self, now_ms: u64) -> bool {
        let is_leaving = self.primary().is_some_and(|p| self.leaving.contains(&p));
        let all_answer = self
            .members
            .iter()
            .all(|m| m.status.is_some() && m.failures == 0);
        let has_other = self.leaving.len() < self.members.len();
        is_leaving && all_answer && has_other && now_ms >= self.paused_until_ms
    }

    /// Whether the last probe of the primary was answered.
    fn primary_answers(&self) -> bool {
        match self.primary() {
            Some(primary) => self.members[primary].failures == 0,
            // Before the first reports there is nothing to doubt.
            None => self.members.iter().all(|m| m.status.is_none()),
        }
    }

    /// Whether all but a minority of the members have lost the primary.
    fn replicas_miss_primary(&self, now_ms: u64) -> bool {
        let detect_ms = self.settings.detect_ms;
        let misses = |seen: &&Seen| {
            let (Some(status), Some(answered_ms)) = (seen.status, seen.answered_ms) else {
                return false;
            };
            // What a member said earlier says nothing of the time since.
            let is_recent = now_ms <= answered_ms + self.settings.doubt_interval_ms * 2;
            is_recent && status.role == Role::Replica && status.primary_seen_ms >= detect_ms
        };
        self.members.iter().filter(misses).count() > self.members.len() / 2
    }

    fn advance_doubt(&mut self, now_ms: u64) -> Vec<Action> {
        let missed = self.replicas_miss_primary(now_ms);
        if self.primary_answers() && !missed && self.primary().is_some() {
            self.phase = Phase::Watching;
            return Vec::new();
        }
        if now_ms < self.paused_until_ms {
            return Vec::new();
        }
        if missed {
            return self.raise(now_ms);
        }
        self.weigh_opinions(now_ms)
    }

    /// Only this VM may have lost the primary: the other holders decide.
    fn weigh_opinions(&mut self, now_ms: u64) -> Vec<Action> {
        let primary = self.primary();
        let fails_long = match primary {
            Some(primary) => {
                let seen = &self.members[primary];
                let since_ms = seen.failing_since_ms.unwrap_or(now_ms);
                seen.failures > 1 && now_ms >= since_ms + self.settings.doubt_ms
            }
            None => now_ms >= self.started_ms + self.settings.detect_ms,
        };
        let Phase::Doubting {
            opinions_asked_ms,
            nobody_reaches,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if !fails_long {
            return Vec::new();
        }
        if *nobody_reaches || primary.is_none() {
            return self.raise(now_ms);
        }
        let is_asked = opinions_asked_ms.is_some_and(|at| now_ms < at + self.settings.step_ms);
        if is_asked {
            return Vec::new();
        }
        *opinions_asked_ms = Some(now_ms);
        primary.map(Action::AskOpinions).into_iter().collect()
    }

    fn raise(&mut self, now_ms: u64) -> Vec<Action> {
        let Some(term) = self.next_term() else {
            return self.reserve_if_short(now_ms).into_iter().collect();
        };
        let suspect = match self.preferred {
            // An operator's order does not mean that the primary is unwell.
            Some(_) => None,
            None => self.primary(),
        };
        self.reserved.start = term + 1;
        self.phase = Phase::Raising {
            term,
            since_ms: now_ms,
            answers: BTreeMap::new(),
            suspect,
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
            suspect,
        } = &self.phase
        else {
            return Vec::new();
        };
        let (term, since_ms) = (*term, *since_ms);
        let majority = self.members.len() / 2 + 1;
        // A primary that its replicas have lost may hold more than they do,
        // but nothing acknowledged that a majority of the others lacks.
        let mut others = answers.clone();
        if let Some(suspect) = suspect {
            others.remove(suspect);
        }
        let mut staying = others.clone();
        staying.retain(|member, _| !self.leaving.contains(member));
        let is_late = now_ms >= since_ms + self.settings.step_ms / 2;
        let chosen = if staying.len() >= majority {
            most_advanced(&staying, self.preferred)
        } else if others.len() >= majority {
            most_advanced(&others, self.preferred)
        } else if is_late && answers.len() >= majority {
            most_advanced(answers, self.preferred)
        } else {
            None
        };
        if let Some(member) = chosen {
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
