//! Detection of a failed primary.

use super::*;

impl Failover {
    pub(super) fn is_primary_suspect(&self, now_ms: u64) -> bool {
        !self.primary_answers() || self.replicas_lost_primary(now_ms)
    }

    /// Whether a replica has not heard from its primary for so long that
    /// members must be probed at the shorter interval.
    pub(super) fn needs_fast_probes(&self) -> bool {
        let limit_ms = self.settings.detect_ms / 2;
        let statuses = self.members.iter().filter_map(|m| m.status);
        let mut replicas = statuses.filter(|s| s.role == Role::Replica);
        replicas.any(|s| s.primary_seen_ms >= limit_ms)
    }

    /// Whether a leaving primary can be replaced now: all members answer, and
    /// not all of them are leaving.
    pub(super) fn must_hand_over(&self, now_ms: u64) -> bool {
        let is_leaving = self.primary().is_some_and(|p| self.leaving.contains(&p));
        let all_answer = self
            .members
            .iter()
            .all(|m| m.status.is_some() && m.failures == 0);
        let has_other = self.leaving.len() < self.members.len();
        is_leaving && all_answer && has_other && now_ms >= self.paused_until_ms
    }

    /// Whether the last probe of the primary was answered.
    pub(super) fn primary_answers(&self) -> bool {
        match self.primary() {
            Some(primary) => self.members[primary].failures == 0,
            // Before the first reports there is no primary to suspect.
            None => self.members.iter().all(|m| m.status.is_none()),
        }
    }

    /// Whether a majority of the members are replicas that have lost the
    /// primary.
    pub(super) fn replicas_lost_primary(&self, now_ms: u64) -> bool {
        let detect_ms = self.settings.detect_ms;
        let has_lost = |state: &&MemberState| {
            let (Some(status), Some(answered_ms)) = (state.status, state.answered_ms) else {
                return false;
            };
            // An older report says nothing about the time since it was given.
            let is_recent = now_ms <= answered_ms + self.settings.suspect_interval_ms * 2;
            is_recent && status.role == Role::Replica && status.primary_seen_ms >= detect_ms
        };
        self.members.iter().filter(has_lost).count() > self.members.len() / 2
    }

    pub(super) fn advance_suspicion(&mut self, now_ms: u64) -> Vec<Action> {
        let lost = self.replicas_lost_primary(now_ms);
        if self.primary_answers() && !lost && self.primary().is_some() {
            self.phase = Phase::Watching;
            return Vec::new();
        }
        if now_ms < self.paused_until_ms {
            return Vec::new();
        }
        if lost {
            return self.raise(now_ms);
        }
        self.check_reachability(now_ms)
    }

    /// Asks the other slot holders whether they reach the primary, because it
    /// may be only this VM that has lost it. Raises the term if none of them
    /// does.
    pub(super) fn check_reachability(&mut self, now_ms: u64) -> Vec<Action> {
        let primary = self.primary();
        let failed_long_enough = match primary {
            Some(primary) => {
                let state = &self.members[primary];
                let since_ms = state.failing_since_ms.unwrap_or(now_ms);
                state.failures > 1 && now_ms >= since_ms + self.settings.suspect_ms
            }
            None => now_ms >= self.started_ms + self.settings.detect_ms,
        };
        let Phase::Suspecting {
            holders_asked_ms,
            no_holder_reaches,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if !failed_long_enough {
            return Vec::new();
        }
        if *no_holder_reaches || primary.is_none() {
            return self.raise(now_ms);
        }
        let is_asked = holders_asked_ms.is_some_and(|at| now_ms < at + self.settings.step_ms);
        if is_asked {
            return Vec::new();
        }
        *holders_asked_ms = Some(now_ms);
        primary.map(Action::CheckReachability).into_iter().collect()
    }
}
