//! Reports of members: asked for, and what follows from them.

use super::*;

impl Slot {
    pub(super) fn observed(
        &mut self,
        index: usize,
        asked_ms: u64,
        observation: Option<Observation>,
    ) {
        let now_ms = clock::now_ms();
        let before = self.primary();
        let member = &mut self.members[index];
        member.is_asked = false;
        match observation {
            Some(observation) => {
                member.next_ask_ms = now_ms + PACE_MS;
                member.view.failures = 0;
                if is_demoted(&member.view, &observation) {
                    member.idle.clear();
                }
                member.view.observation = Some(observation);
            }
            None => {
                member.next_ask_ms = now_ms + FAILED_PACE_MS;
                member.view.failures += 1;
                if before == Some(index) {
                    self.doubt_primary();
                }
            }
        }
        self.note_primary(before);
        self.note_age();
        self.answer_checks(index, asked_ms);
        self.answer_commits();
    }

    /// Logs a change of primary.
    pub(super) fn note_primary(&mut self, before: Option<usize>) {
        let after = self.primary();
        if before == after {
            return;
        }
        let name = after.map(|i| self.members[i].name.clone());
        decision!(
            "placement", service = &*self.context.service,
            primary = name.as_deref().unwrap_or("none"); "primary seen"
        );
    }

    /// Records where the primary stands, once its term is confirmed.
    pub(super) fn note_age(&mut self) {
        let Some(primary) = self.primary() else {
            return;
        };
        let Some(asked_ms) = self.members[primary].asked_ms() else {
            return;
        };
        // Reports of the same millisecond count from the one before.
        let since_ms = asked_ms.saturating_sub(1);
        if let Some(position) = primary_barrier(&self.views(), since_ms) {
            self.ages.observe(since_ms, position);
        }
    }

    pub(super) fn check(&mut self, member: usize, term: u64, reply: oneshot::Sender<bool>) {
        self.checks.push((member, term, clock::now_ms(), reply));
        if self.primary() == Some(member) {
            self.doubt_primary();
        }
    }

    /// Lets the delegate probe at once.
    pub(super) fn doubt_primary(&mut self) {
        self.doubted_ms = clock::now_ms();
        // The delegate may be this VM or hear of it from its own probes.
        let _ = self
            .context
            .primary_failed
            .send(self.context.service.clone());
    }

    /// A primary whose commits nobody confirms may be cut off.
    pub(super) fn doubt_if_unconfirmed(&mut self, now_ms: u64) {
        let oldest_ms = self.commits.iter().map(|p| p.commit.answered_ms).min();
        let is_late = oldest_ms.is_some_and(|at| now_ms >= at + UNCONFIRMED_MS);
        if is_late && now_ms >= self.doubted_ms + UNCONFIRMED_MS {
            self.doubt_primary();
        }
    }

    pub(super) fn answer_checks(&mut self, index: usize, asked_ms: u64) {
        let now_ms = clock::now_ms();
        let highest = self.highest_term();
        let members = &self.members;
        let checks = std::mem::take(&mut self.checks);
        for (member, term, since_ms, reply) in checks {
            let is_replaced = term > 0 && highest > term;
            let answered = members[member].view.observation.map(|o| o.answered_ms);
            let is_recent = answered.is_some_and(|at| now_ms < at + ALIVE_MS);
            let is_asked = member == index && asked_after(asked_ms, since_ms);
            let is_failed = members[member].view.failures > 0;
            let fails_again = members[member].view.failures >= FAILURES_GONE;
            if is_replaced || fails_again || (is_failed && !is_recent) {
                let _ = reply.send(true);
            } else if is_asked && !is_failed {
                let _ = reply.send(false);
            } else {
                self.checks.push((member, term, since_ms, reply));
            }
        }
    }

    pub(super) fn ask_needed(&mut self, now_ms: u64) {
        let mut wanted = vec![false; self.members.len()];
        let primary = self.primary();
        let awaits_reports = !self.reading.is_empty();
        let lacks_primary = primary.is_none() && !self.writes.is_empty();
        for (index, wanted) in wanted.iter_mut().enumerate() {
            let view = &self.members[index].view;
            let is_failed = view.failures > 0 || view.observation.is_none();
            let confirms = !self.commits.is_empty() && primary != Some(index);
            let is_checked = self.checks.iter().any(|(member, ..)| *member == index);
            let is_doubted = !self.writes.is_empty()
                && primary == Some(index)
                && !self.is_verified(index, now_ms);
            *wanted = is_doubted
                || awaits_reports
                || lacks_primary
                || is_failed
                || confirms
                || is_checked;
        }
        for (member, wanted) in self.members.iter_mut().zip(wanted) {
            if wanted && !member.is_asked && now_ms >= member.next_ask_ms {
                member.is_asked = true;
                // The watch lives as long as this sender.
                let _ = member.ask.send(());
            }
        }
    }

    pub(super) fn ask_all(&mut self) {
        for member in &mut self.members {
            if !member.is_asked {
                member.is_asked = true;
                let _ = member.ask.send(());
            }
        }
    }
}
