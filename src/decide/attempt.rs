//! One attempt to replace a primary, as steps that need no network.
//!
//! A promotion takes effect some time after it was ordered, with the log that the
//! member has by then. What an attempt has seen must therefore hold until the promoted
//! member leads: either the old primary has stepped down, so that nothing more is
//! acknowledged, or no VM that was asked reaches it and all others have stopped
//! receiving.

mod leadership;
mod order;
mod outcome;
mod step;

pub use self::{leadership::Leadership, outcome::PromoteOutcome, step::Step};
use crate::{
    decide::takeover::{Candidate, Choice, Fenced, Knowledge, Reason, choose},
    prelude::*,
};

/// Longest time from the claim, or from its renewal, to the last promotion order, in
/// milliseconds.
pub const ATTEMPT_MS: u64 = 2_500;
/// Longest time from the claim, or from its renewal, to the promoted member's report that
/// it is primary, in milliseconds.
pub const LEADERSHIP_MS: u64 = 4_800;
/// Latest time after the claim, or its renewal, at which replicas are ordered to resume, in
/// milliseconds: with the order's own time-out, less than the claim lasts.
pub const RESUME_MS: u64 = 5_300;
/// Time after the primary has stepped down in which replicas may catch up with it,
/// before the primary itself is promoted again, in milliseconds.
const CATCH_UP_MS: u64 = 500;
/// The same when a member has restarted under an id that is not known yet: it may
/// hold commits that the others lack, and is listed within about a second.
const RESTART_MS: u64 = 1_200;
/// Time before the end of an attempt at which a primary that has stepped down is promoted
/// again, in milliseconds: later there is nobody whose log is known to have everything.
const LAST_ROUND_MS: u64 = 1_000;
/// Time within which a member that receives is listed, in milliseconds, while the store
/// answers.
pub const LISTING_MS: u64 = 300;
/// Time within which all members are listed again after the store was away, in
/// milliseconds.
const RETURN_MS: u64 = 2_000;

/// A member of the group, as an attempt knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptMember {
    /// Id.
    pub member: Name,
    /// Whether it is the primary to be replaced.
    pub is_primary: bool,
    /// Whether it is leaving, or missing from the list beyond the grace period.
    pub is_leaving: bool,
    /// Whether it counts as permanently gone.
    pub is_gone: bool,
    /// Whether it has restarted under its id shortly before.
    pub is_restarted: bool,
    /// Highest position that it has reported to this VM in its term.
    pub highest_received: Option<Position>,
}

/// What an order to a member, or a question about its position, has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has stepped down, or receives nothing.
    Fenced {
        /// Last position received.
        received: Position,
    },
    /// It is a replica that may go on receiving.
    Receiving {
        /// Last position received.
        received: Position,
    },
    /// It leads, and is not the primary to be replaced.
    Leads,
    /// It still leads, although it was ordered to step down.
    NotSteppedDown,
    /// Another member answers at its address, since recently: this one has probably
    /// restarted under a new id.
    Restarted,
    /// Its process is gone or another one stands at its address; a fence is lost.
    Lost,
    /// It gave no answer, or was too busy for one.
    Silent,
}

/// A reading of the member list from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListRead {
    /// Time at which the list was asked for, in milliseconds.
    pub asked_ms: u64,
    /// Time since the store is known to have been away, in milliseconds; `None` if it
    /// is not known to have been away.
    pub back_ms: Option<u64>,
}

impl ListRead {
    /// Whether every member is listed that has received a commit by `since_ms`.
    pub fn is_complete(&self, since_ms: u64) -> bool {
        self.asked_ms >= since_ms + LISTING_MS && self.has_settled()
    }

    /// Whether the members that an outage of the store kept from the list are back.
    fn has_settled(&self) -> bool {
        self.back_ms.is_none_or(|back_ms| back_ms >= RETURN_MS)
    }
}

/// An attempt to replace a primary.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Time at which the claim was asked for, in milliseconds.
    started_ms: u64,
    /// Whether this VM knows of members that left the list and may come back.
    knows_departed: bool,
    members: Vec<AttemptMember>,
    /// Position of the primary and time of its answer, once it has stepped down.
    stepped_down: Option<(Position, u64)>,
    /// Positions of the other members that are fenced, or that have answered after
    /// the primary had stepped down, and times of their first such answers.
    positions: BTreeMap<Name, (Position, u64)>,
    /// Highest position that each of them has told.
    highest: BTreeMap<Name, Position>,
    /// Members whose position fell or that hold nothing: they have restarted without
    /// their logs.
    forgetful: BTreeSet<Name>,
    refused: BTreeSet<Name>,
    /// The member list, as last read in this attempt.
    list: Option<ListRead>,
    has_restarted: bool,
    step: Step,
    /// Time at which the claim was asked for, or renewed, in milliseconds.
    claimed_ms: u64,
    /// Time from which the claim is renewed while an order is open, in milliseconds.
    renewal_ms: u64,
    /// The only member that may be ordered, since an order for it may be carried out.
    ordered: Option<Name>,
    /// Whether an order of this attempt was sent.
    has_sent: bool,
    /// Whether an order waits for its answer on an open connection.
    is_order_open: bool,
    /// Whether an order that nobody waits for may still arrive.
    is_order_lost: bool,
    is_order_unsent: bool,
    is_outcome_unknown: bool,
    /// Time from which an order of unknown outcome is repeated, in milliseconds.
    repeat_ms: u64,
    promoted: Option<Name>,
}

impl Attempt {
    /// Creates an attempt. An unfinished one only lets the replicas receive again.
    pub fn new(
        started_ms: u64,
        reason: Reason,
        knows_departed: bool,
        members: Vec<AttemptMember>,
    ) -> Attempt {
        Attempt {
            started_ms,
            knows_departed,
            members,
            stepped_down: None,
            positions: BTreeMap::new(),
            highest: BTreeMap::new(),
            forgetful: BTreeSet::new(),
            refused: BTreeSet::new(),
            list: None,
            has_restarted: false,
            step: match reason {
                Reason::Unfinished => Step::Resume,
                _ => Step::Fence,
            },
            claimed_ms: started_ms,
            renewal_ms: started_ms + order::RENEWAL_MS,
            ordered: None,
            has_sent: false,
            is_order_open: false,
            is_order_lost: false,
            is_order_unsent: false,
            is_outcome_unknown: false,
            repeat_ms: 0,
            promoted: None,
        }
    }

    /// The same attempt where an order for `member`, given before it, may still be carried
    /// out: no other member is ordered, and replicas do not resume before it leads.
    pub fn after_open_order(self, member: Option<Name>) -> Attempt {
        Attempt {
            is_order_lost: member.is_some(),
            step: match self.step {
                Step::Resume if member.is_some() => Step::End,
                step => step,
            },
            ordered: member,
            ..self
        }
    }

    /// The step to be taken now.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Whether the primary has stepped down.
    pub fn has_stepped_down(&self) -> bool {
        self.stepped_down.is_some()
    }

    /// Whether a member has answered, so that its answer is checked before an order.
    pub fn has_answered(&self, member: &Name) -> bool {
        self.positions.contains_key(member)
    }

    /// Member that is known to lead after this attempt.
    pub fn promoted(&self) -> Option<&Name> {
        self.promoted.as_ref()
    }

    /// Whether an order may still be carried out by which no member is known to lead yet,
    /// so that its record must be kept.
    pub fn has_open_order(&self) -> bool {
        self.is_order_open || self.is_order_lost
    }

    /// Whether no order was sent that this attempt knows of, so that the claim may be
    /// released.
    pub fn has_ordered_nothing(&self) -> bool {
        !self.has_sent && !self.has_open_order()
    }

    /// Whether an order waits for its answer on an open connection.
    pub fn is_order_open(&self) -> bool {
        self.is_order_open
    }

    /// Whether other VMs should go first next time: this one could not give an order, or
    /// got no answer that settles it.
    pub fn has_failed_to_order(&self) -> bool {
        self.promoted.is_none() && (self.is_order_unsent || self.has_sent)
    }

    /// Replaces the members by those that are known now. The primary to be replaced
    /// stays the same.
    pub fn update_members(&mut self, mut members: Vec<AttemptMember>) {
        let replaced = self.members.iter().find(|m| m.is_primary);
        let replaced = replaced.map(|m| m.member.clone());
        for member in &mut members {
            member.is_primary = Some(&member.member) == replaced.as_ref();
        }
        self.members = members;
    }

    /// The members, with what they have answered.
    pub fn candidates(&self) -> Vec<Candidate> {
        let members = self.members.iter().map(|m| {
            let is_refused = self.refused.contains(&m.member);
            let position = match m.is_primary {
                true => self.stepped_down.map(|(position, _)| position),
                false => self.positions.get(&m.member).map(|(position, _)| *position),
            };
            let fenced = position.map(|received| Fenced { received });
            Candidate {
                member: m.member.clone(),
                is_primary: m.is_primary,
                is_leaving: m.is_leaving || is_refused,
                is_gone: m.is_gone,
                is_restarted: m.is_restarted || self.forgetful.contains(&m.member),
                fenced: fenced.filter(|_| !is_refused),
            }
        });
        members.collect()
    }

    /// The successor, as far as one can be chosen by what is known.
    pub fn choice(&self) -> Choice {
        let knowledge = Knowledge {
            knows_departed: self.knows_departed,
            is_list_complete: self.is_list_complete(),
        };
        choose(&self.candidates(), knowledge)
    }

    /// Time since which nothing can be acknowledged, as far as the listed members are
    /// known to be the only ones, in milliseconds.
    fn quiet_since_ms(&self) -> u64 {
        let fenced_ms = self.positions.values().map(|(_, at_ms)| *at_ms);
        match self.stepped_down {
            Some((_, at_ms)) => at_ms,
            None => fenced_ms.max().unwrap_or(0),
        }
    }

    /// Whether every member that may have received an acknowledged commit is listed.
    fn is_list_complete(&self) -> bool {
        let since_ms = self.quiet_since_ms();
        self.list.is_some_and(|list| list.is_complete(since_ms))
    }

    /// Like [`Attempt::choice`], provided that no further member is listed meanwhile.
    fn choice_by_list(&self) -> Choice {
        let knowledge = Knowledge {
            knows_departed: self.knows_departed,
            is_list_complete: match self.stepped_down {
                Some(_) => self.is_list_complete(),
                None => self.list.is_some_and(|list| list.has_settled()),
            },
        };
        choose(&self.candidates(), knowledge)
    }

    /// Records the end of [`Step::Fence`].
    pub fn fenced(
        &mut self,
        answers: &BTreeMap<Name, OrderAnswer>,
        list: Option<ListRead>,
        now_ms: u64,
    ) {
        self.list = list;
        self.has_restarted = false;
        if self.record_answers(answers, now_ms) {
            self.step = Step::Resume;
            return;
        }
        self.step = self.weigh(now_ms);
    }

    /// Records answers; `true` if another member leads already.
    fn record_answers(&mut self, answers: &BTreeMap<Name, OrderAnswer>, now_ms: u64) -> bool {
        let mut is_replaced = false;
        let primary = self.members.iter().find(|m| m.is_primary);
        let primary = primary.map(|m| m.member.clone());
        if let Some(answer) = primary.as_ref().and_then(|primary| answers.get(primary))
            && let OrderAnswer::Fenced { received } = *answer
        {
            self.record_step_down(primary.as_ref(), received, now_ms);
        }
        for (member, answer) in answers {
            let is_primary = Some(member) == primary.as_ref();
            self.has_restarted |= *answer == OrderAnswer::Restarted;
            if is_primary {
                continue;
            }
            match *answer {
                OrderAnswer::Fenced { received } => self.record(member, received, now_ms),
                OrderAnswer::Receiving { received } if self.stepped_down.is_some() => {
                    self.record(member, received, now_ms);
                }
                OrderAnswer::Leads => is_replaced = true,
                OrderAnswer::Receiving { .. } | OrderAnswer::Restarted | OrderAnswer::Lost => {
                    self.positions.remove(member);
                }
                OrderAnswer::NotSteppedDown | OrderAnswer::Silent => {}
            }
        }
        is_replaced
    }

    /// Highest position that a member has reported before the attempt.
    fn known_position(&self, member: Option<&Name>) -> Option<Position> {
        let known = self.members.iter().find(|m| Some(&m.member) == member);
        known.and_then(|m| m.highest_received)
    }

    /// Records that the primary has stepped down. One that holds less than before has
    /// restarted without its log.
    fn record_step_down(&mut self, primary: Option<&Name>, received: Position, now_ms: u64) {
        let told_before = self.stepped_down.map(|(received, _)| received);
        if Some(received) < told_before.max(self.known_position(primary)) {
            self.forgetful.extend(primary.cloned());
            return;
        }
        let since_ms = self.stepped_down.map_or(now_ms, |(_, since_ms)| since_ms);
        self.stepped_down = Some((received, since_ms));
    }

    fn record(&mut self, member: &Name, received: Position, now_ms: u64) {
        let known = self.known_position(Some(member));
        let highest = self.highest.entry(member.clone()).or_insert(received);
        let is_empty = received.lsn == Lsn(0) && self.stepped_down.is_some();
        if received < *highest || Some(received) < known || is_empty {
            self.forgetful.insert(member.clone());
        }
        *highest = received.max(*highest);
        let position = self.positions.entry(member.clone());
        position.or_insert((received, now_ms)).0 = received;
    }

    /// The step after a round.
    fn weigh(&self, now_ms: u64) -> Step {
        if self.is_late(now_ms) {
            return self.give_up();
        }
        let Choice::Promote(member) = self.choice_by_list() else {
            return Step::Pause;
        };
        if self.ordered.as_ref().is_some_and(|only| *only != member) {
            return Step::Pause;
        }
        let catch_up_ms = match self.has_restarted {
            true => RESTART_MS,
            false => CATCH_UP_MS,
        };
        let last_ms = self.started_ms + ATTEMPT_MS - LAST_ROUND_MS;
        let is_early = |(_, at_ms): (Position, u64)| now_ms < last_ms.min(at_ms + catch_up_ms);
        let is_primary = |m: &AttemptMember| m.is_primary && m.member == member;
        match self.members.iter().any(is_primary) && self.stepped_down.is_some_and(is_early) {
            true => Step::Pause,
            false => self.connect(member, now_ms),
        }
    }

    fn connect(&self, member: Name, now_ms: u64) -> Step {
        let until_ms = self.quiet_since_ms() + LISTING_MS;
        match self.stepped_down.is_none() && now_ms < until_ms {
            true => Step::Settle { until_ms },
            false => Step::Connect { member },
        }
    }

    /// Whether no order may be sent before the claim is renewed.
    fn is_late(&self, now_ms: u64) -> bool {
        now_ms >= self.claimed_ms + ATTEMPT_MS
    }

    /// The step after an attempt that promotes nobody. Replicas that resumed would receive
    /// what a member lacks that an open order makes the primary.
    fn give_up(&self) -> Step {
        match self.ordered {
            Some(_) => Step::End,
            None => Step::Resume,
        }
    }

    /// Records the end of [`Step::Settle`].
    pub fn settled(&mut self, now_ms: u64) {
        self.step = self.weigh(now_ms);
    }

    /// Records the end of [`Step::Pause`].
    pub fn paused(&mut self, now_ms: u64) {
        self.step = match self.is_late(now_ms) {
            true => self.give_up(),
            false => Step::Fence,
        };
    }

    /// Whether replicas may still be ordered to resume: shortly before the claim expires
    /// this is left to the next attempt, which may already have fenced them.
    pub fn may_resume(&self, now_ms: u64) -> bool {
        now_ms < self.claimed_ms + RESUME_MS
    }

    /// Records the end of [`Step::Resume`].
    pub fn resumed(&mut self) {
        self.step = Step::End;
    }
}
