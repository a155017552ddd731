//! The part of an attempt from the choice of a member until it leads.

use super::{
    Attempt, AttemptMember, LEADERSHIP_MS, Leadership, ListRead, OrderAnswer, PromoteOutcome, Step,
};
use crate::{decide::takeover::Choice, prelude::*};

/// Interval at which the claim is renewed while an order is open, in milliseconds: well
/// below the time for which a claim lasts.
pub const RENEWAL_MS: u64 = 2_000;
/// Pause before an order of unknown outcome is repeated, in milliseconds: a promotion
/// usually takes effect before.
const REPEAT_MS: u64 = 700;

impl Attempt {
    /// Records the end of [`Step::Connect`].
    pub fn connected(&mut self, is_connected: bool, now_ms: u64) {
        let Step::Connect { member } = &self.step else {
            return;
        };
        let member = member.clone();
        self.step = match is_connected {
            true => Step::Prepare { member },
            false => self.unsent(member, now_ms),
        };
    }

    /// The step after an order that could not be sent.
    fn unsent(&mut self, member: Name, now_ms: u64) -> Step {
        self.repeat_ms = now_ms + REPEAT_MS;
        if self.awaits(&member) {
            return Step::AwaitLeadership { member };
        }
        self.is_order_unsent = true;
        self.give_up()
    }

    /// Whether this attempt has sent an order for `member` that may be carried out.
    fn awaits(&self, member: &Name) -> bool {
        self.has_sent && self.ordered.as_ref() == Some(member)
    }

    /// Records the end of [`Step::Prepare`]: whether the order is recorded, what the
    /// members have answered and the list, read again.
    pub fn prepared(
        &mut self,
        is_recorded: bool,
        answers: &BTreeMap<Name, OrderAnswer>,
        list: Option<ListRead>,
        now_ms: u64,
    ) {
        let Step::Prepare { member } = &self.step else {
            return;
        };
        let member = member.clone();
        self.list = list;
        let is_replaced = self.record_answers(answers, now_ms);
        let is_unchanged = self.choice() == Choice::Promote(member.clone());
        // What it has told before it may have forgotten.
        let is_primary = |m: &AttemptMember| m.is_primary && m.member == member;
        let has_answered = matches!(answers.get(&member), Some(OrderAnswer::Fenced { .. }));
        let is_confirmed = has_answered || !self.members.iter().any(is_primary);
        let is_late = self.is_late(now_ms);
        let holds = is_recorded && is_unchanged && is_confirmed && !is_late && !is_replaced;
        self.repeat_ms = now_ms + REPEAT_MS;
        self.step = match holds {
            true => Step::Promote { member },
            // The earlier order may still be carried out.
            false if self.awaits(&member) => Step::AwaitLeadership { member },
            false if is_replaced => Step::Resume,
            false if is_late => self.give_up(),
            false => Step::Fence,
        };
    }

    /// Records the end of [`Step::Promote`].
    pub fn ordered(&mut self, outcome: PromoteOutcome, now_ms: u64) {
        let Step::Promote { member } = &self.step else {
            return;
        };
        let member = member.clone();
        if outcome == PromoteOutcome::NotSent {
            self.step = self.unsent(member, now_ms);
            return;
        }
        self.repeat_ms = now_ms + REPEAT_MS;
        if outcome == PromoteOutcome::Rejected && !self.awaits(&member) {
            self.is_order_unsent = true;
            self.step = Step::Pause;
            return;
        }
        self.is_order_unsent = false;
        self.has_sent = true;
        self.ordered = Some(member.clone());
        self.step = self.step_after(member, outcome);
    }

    /// The step after an outcome of an order for `member`.
    fn step_after(&mut self, member: Name, outcome: PromoteOutcome) -> Step {
        self.is_order_open = outcome == PromoteOutcome::Open;
        // A refusal after an order of unknown outcome does not tell that the first one
        // was not carried out.
        if outcome == PromoteOutcome::Refused && !self.is_outcome_unknown && !self.is_order_lost {
            self.refused.insert(member);
            self.ordered = None;
            return Step::Fence;
        }
        self.is_order_lost |= outcome == PromoteOutcome::Lost;
        self.is_outcome_unknown |= !matches!(
            outcome,
            PromoteOutcome::Accepted | PromoteOutcome::Refused | PromoteOutcome::Open
        );
        Step::AwaitLeadership { member }
    }

    /// Records the end of [`Step::AwaitLeadership`], with the outcome of the order if it
    /// was open. While the order may still be carried out the replicas are not resumed.
    pub fn awaited(
        &mut self,
        leadership: Leadership,
        outcome: Option<PromoteOutcome>,
        now_ms: u64,
    ) {
        let Step::AwaitLeadership { member } = &self.step else {
            return;
        };
        let member = member.clone();
        if let Some(outcome) = outcome {
            self.step = self.step_after(member.clone(), outcome);
        }
        if leadership != Leadership::No {
            if leadership == Leadership::LaterTerm {
                self.is_order_open = false;
            }
            self.promoted = Some(member);
            self.step = Step::Resume;
            return;
        }
        if !matches!(self.step, Step::AwaitLeadership { .. }) {
            return;
        }
        if now_ms >= self.claimed_ms + LEADERSHIP_MS {
            self.step = Step::End;
        } else if self.is_order_open && now_ms >= self.renewal_ms {
            self.step = Step::Renew { member };
        } else if self.may_repeat(now_ms) {
            self.step = Step::Connect { member };
        }
    }

    fn may_repeat(&self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.repeat_ms && !self.is_late(now_ms);
        self.is_outcome_unknown && !self.is_order_open && is_due
    }

    /// Records the end of [`Step::Renew`]: whether the claim was renewed, and when that was
    /// asked for.
    pub fn renewed(&mut self, is_renewed: bool, asked_ms: u64, now_ms: u64) {
        let Step::Renew { member } = &self.step else {
            return;
        };
        let member = member.clone();
        if is_renewed {
            self.claimed_ms = asked_ms;
        }
        self.renewal_ms = now_ms + RENEWAL_MS;
        self.step = Step::AwaitLeadership { member };
    }
}
