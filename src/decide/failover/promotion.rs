//! Raising the term and promoting a member.

use super::*;

impl Failover {
    pub(super) fn raise_answered(
        &mut self,
        now_ms: u64,
        member: usize,
        status: Option<MemberStatus>,
    ) {
        self.record(now_ms, member, status);
        let Phase::Raising { term, answers, .. } = &mut self.phase else {
            return;
        };
        let Some(status) = status else { return };
        if status.term == *term && status.synced_term > 0 {
            answers.insert(member, status);
        }
    }

    pub(super) fn promotion_answered(
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

    pub(super) fn order_failover(&mut self, now_ms: u64, preferred: usize) -> Vec<Action> {
        let is_busy = matches!(self.phase, Phase::Raising { .. } | Phase::Promoting { .. });
        if is_busy || preferred >= self.members.len() {
            return Vec::new();
        }
        self.preferred = Some(preferred);
        self.raise(now_ms)
    }

    pub(super) fn reserve_if_short(&mut self, now_ms: u64) -> Option<Action> {
        let is_asked = self
            .reserve_asked_ms
            .is_some_and(|at| now_ms < at + RESERVE_RETRY_MS);
        if self.next_term().is_some() || is_asked {
            return None;
        }
        self.reserve_asked_ms = Some(now_ms);
        Some(Action::Reserve)
    }

    pub(super) fn next_term(&self) -> Option<u64> {
        let from = self.reserved.start.max(self.highest_term() + 1);
        (from < self.reserved.end).then_some(from)
    }

    /// Whether a majority of the members has reported since this delegate started.
    ///
    /// The reserved terms do not tell which of them an earlier start of this delegate
    /// has used. A member was promoted only after a majority had accepted the term, so
    /// that each majority names it, and a term is not led by two members.
    fn knows_used_terms(&self) -> bool {
        let reported = self.members.iter().filter(|m| m.status.is_some());
        reported.count() > self.members.len() / 2
    }

    /// Raises the term, once it is known which terms were used.
    pub(super) fn raise(&mut self, now_ms: u64) -> Vec<Action> {
        if !self.knows_used_terms() {
            return Vec::new();
        }
        let Some(term) = self.next_term() else {
            return self.reserve_if_short(now_ms).into_iter().collect();
        };
        let suspect = match self.preferred {
            // An operator's request does not mean that the primary has failed.
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

    pub(super) fn advance_raise(&mut self, now_ms: u64) -> Vec<Action> {
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
        // A suspected primary may have a longer log than its replicas, but a
        // majority without it still holds every acknowledged commit.
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
