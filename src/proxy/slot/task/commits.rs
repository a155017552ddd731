//! Commits that wait for confirmation by replicas.

use super::*;

impl Slot {
    pub(super) fn confirm(&mut self, commit: Commit, reply: oneshot::Sender<Decision>) {
        let deadline_ms = clock::now_ms() + self.context.settings.acknowledge_wait_ms;
        self.commits.push(PendingCommit {
            commit,
            deadline_ms,
            reply,
        });
        self.answer_commits();
    }

    pub(super) fn answer_commits(&mut self) {
        if self.commits.is_empty() {
            return;
        }
        let now_ms = clock::now_ms();
        let mode = self.context.settings.acknowledge;
        let views = self.views();
        let commits = std::mem::take(&mut self.commits);
        for pending in commits {
            let mut decided = acknowledge(mode, &pending.commit, &views);
            if decided == Decision::Wait && now_ms >= pending.deadline_ms {
                decided = Decision::Unknown;
            }
            if decided == Decision::Wait {
                self.commits.push(pending);
                continue;
            }
            let outcome = match decided {
                Decision::Acknowledge => "acknowledged",
                _ => "unknown",
            };
            self.context
                .metrics
                .commits
                .add(1, &[label("outcome", outcome)]);
            let waited_ms = now_ms.saturating_sub(pending.commit.answered_ms);
            self.context
                .metrics
                .acknowledge_wait_ms
                .record(waited_ms as f64, &[]);
            // The caller may have disconnected.
            let _ = pending.reply.send(decided);
        }
    }
}
