//! Doubt of the primary, and its end.

use super::*;

impl Failover {
    pub(super) fn is_in_doubt(&self, now_ms: u64) -> bool {
        !self.primary_answers() || self.replicas_miss_primary(now_ms)
    }

    /// Whether a replica has not heard from its primary for so long that the
    /// next probes must not wait.
    pub(super) fn is_uneasy(&self) -> bool {
        let limit_ms = self.settings.detect_ms / 2;
        let statuses = self.members.iter().filter_map(|m| m.status);
        let mut replicas = statuses.filter(|s| s.role == Role::Replica);
        replicas.any(|s| s.primary_seen_ms >= limit_ms)
    }

    /// Whether the primary is leaving and all the others answer.
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
            // Before the first reports there is nothing to doubt.
            None => self.members.iter().all(|m| m.status.is_none()),
        }
    }

    /// Whether all but a minority of the members have lost the primary.
    pub(super) fn replicas_miss_primary(&self, now_ms: u64) -> bool {
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

    pub(super) fn advance_doubt(&mut self, now_ms: u64) -> Vec<Action> {
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
    pub(super) fn weigh_opinions(&mut self, now_ms: u64) -> Vec<Action> {
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
        primary.map(Action::CheckReachability).into_iter().collect()
    }
}
