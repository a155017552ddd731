//! Status reports of members: when they are requested and what is derived from
//! them.

use super::*;

impl Slot {
    pub(super) fn handle_report(
        &mut self,
        index: usize,
        asked_ms: u64,
        observation: Option<Observation>,
    ) {
        let now_ms = clock::now_ms();
        let before = self.primary();
        let member = &mut self.members[index];
        member.is_report_requested = false;
        match observation {
            Some(observation) => {
                member.next_report_ms = now_ms + REPORT_INTERVAL_MS;
                member.view.failures = 0;
                if is_demoted(&member.view, &observation) {
                    member.idle.clear();
                }
                member.view.observation = Some(observation);
            }
            None => {
                member.next_report_ms = now_ms + FAILED_REPORT_INTERVAL_MS;
                member.view.failures += 1;
                if before == Some(index) {
                    self.suspect_primary();
                }
            }
        }
        self.log_primary_change(before);
        self.record_primary_position();
        self.answer_checks(index, asked_ms);
        self.answer_commits();
    }

    /// Logs a change of primary.
    pub(super) fn log_primary_change(&mut self, before: Option<usize>) {
        let after = self.primary();
        if before == after {
            return;
        }
        let name = after.map(|i| self.members[i].name.clone());
        decision!(
            "placement", service = &*self.context.service,
            primary = name.as_deref().unwrap_or("none"); "primary changed"
        );
    }

    /// Records the primary's position for the age of replicas' data, once its term
    /// is confirmed.
    pub(super) fn record_primary_position(&mut self) {
        let Some(primary) = self.primary() else {
            return;
        };
        let Some(asked_ms) = self.members[primary].asked_ms() else {
            return;
        };
        // Only reports requested after `since_ms` count, so it is one millisecond
        // earlier.
        let since_ms = asked_ms.saturating_sub(1);
        if let Some(position) = primary_barrier(&self.views(), since_ms) {
            self.ages.observe(since_ms, position);
        }
    }

    pub(super) fn check(&mut self, member: usize, term: u64, reply: oneshot::Sender<bool>) {
        self.checks.push((member, term, clock::now_ms(), reply));
        if self.primary() == Some(member) {
            self.suspect_primary();
        }
    }

    /// Makes the delegate probe the primary at once.
    pub(super) fn suspect_primary(&mut self) {
        self.suspected_ms = clock::now_ms();
        // Without this message the delegate's own probes still detect a failure.
        let _ = self
            .context
            .primary_failed
            .send(self.context.service.clone());
    }

    /// Suspects a primary whose commits stay unconfirmed: it may be cut off from
    /// its replicas.
    pub(super) fn suspect_unconfirmed_primary(&mut self, now_ms: u64) {
        let oldest_ms = self.commits.iter().map(|p| p.commit.answered_ms).min();
        let is_late = oldest_ms.is_some_and(|at| now_ms >= at + UNCONFIRMED_SUSPECT_MS);
        if is_late && now_ms >= self.suspected_ms + UNCONFIRMED_SUSPECT_MS {
            self.suspect_primary();
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
            let is_recent = answered.is_some_and(|at| now_ms < at + ALIVE_ANSWER_MS);
            let is_reported_since = member == index && asked_after(asked_ms, since_ms);
            let is_failed = members[member].view.failures > 0;
            let is_gone = members[member].view.failures >= GONE_FAILURES;
            if is_replaced || is_gone || (is_failed && !is_recent) {
                let _ = reply.send(true);
            } else if is_reported_since && !is_failed {
                let _ = reply.send(false);
            } else {
                self.checks.push((member, term, since_ms, reply));
            }
        }
    }

    pub(super) fn request_needed_reports(&mut self, now_ms: u64) {
        let mut wanted = vec![false; self.members.len()];
        let primary = self.primary();
        let awaits_reports = !self.unrouted.is_empty();
        let lacks_primary = primary.is_none() && !self.writes.is_empty();
        for (index, wanted) in wanted.iter_mut().enumerate() {
            let view = &self.members[index].view;
            let is_failed = view.failures > 0 || view.observation.is_none();
            let confirms = !self.commits.is_empty() && primary != Some(index);
            let is_checked = self.checks.iter().any(|(member, ..)| *member == index);
            let needs_verification = !self.writes.is_empty()
                && primary == Some(index)
                && !self.is_verified(index, now_ms);
            *wanted = needs_verification
                || awaits_reports
                || lacks_primary
                || is_failed
                || confirms
                || is_checked;
        }
        for (member, wanted) in self.members.iter_mut().zip(wanted) {
            if wanted && !member.is_report_requested && now_ms >= member.next_report_ms {
                member.is_report_requested = true;
                // The polling task lives as long as this sender.
                let _ = member.report_requests.send(());
            }
        }
    }

    pub(super) fn request_all_reports(&mut self) {
        for member in &mut self.members {
            if !member.is_report_requested {
                member.is_report_requested = true;
                let _ = member.report_requests.send(());
            }
        }
    }
}
