//! Outcomes of probes: reports, refusals and failures.

use super::*;
use crate::relay::{RelayError, Result, StatusReport, message::ProbeAnswer};

/// Pause before the next path is tried after a VM refused to forward to a member or
/// failed, in milliseconds.
const NEXT_PATH_PAUSE_MS: u64 = 20;

impl Service {
    /// Updates the member by the outcome of a probe, and takes back its connection.
    pub(super) fn handle_probe_result(
        &mut self,
        id: &Name,
        path: &MemberPath,
        asked_us: u64,
        result: Result<ProbeAnswer>,
    ) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.probe_sent_us = None;
        let is_in_use = path == member.path();
        if let Ok(ProbeAnswer { is_new: true, .. }) = result {
            member.record_open();
        }
        match result {
            Ok(ProbeAnswer {
                connection,
                report: Ok(report),
                ..
            }) => {
                self.count_probe("done");
                self.handle_report(id, path, (asked_us, report));
                self.release(connection, false, None);
            }
            // The connection is kept: opening another costs the member more than
            // the report that it refused.
            Ok(ProbeAnswer {
                connection,
                report: Err(class),
                ..
            }) if is_full(class) && is_in_use => {
                member.record_probe_refusal(clock::boot_ms());
                self.mark_answering(id);
                self.note_probe_refusal(id, path, class);
                self.release(connection, false, None);
            }
            Ok(ProbeAnswer {
                report: Err(class), ..
            }) => self.handle_probe_error(id, path, asked_us, &RelayError::Refused { class }),
            Err(error) => self.handle_probe_error(id, path, asked_us, &error),
        }
    }

    /// Records that a member answers.
    fn mark_answering(&mut self, id: &Name) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.failures > 0 {
            decision!(
                "dependency", service = &*self.context.service, member = &**id,
                failures = member.failures; "member answers again"
            );
        }
        member.record_alive();
    }

    /// Takes a report that was asked for at `asked_us`.
    fn handle_report(
        &mut self,
        id: &Name,
        path: &MemberPath,
        (asked_us, report): (u64, StatusReport),
    ) {
        if let Some(member) = self.members.get_mut(id) {
            member.record_answer(path);
        }
        self.mark_answering(id);
        if let Some(member) = self.members.get_mut(id) {
            member.record_report(asked_us, report);
        }
        self.update_stuck_commit(id, &report);
    }

    /// Handles a probe without a report, except a refusal on an open connection.
    fn handle_probe_error(
        &mut self,
        id: &Name,
        path: &MemberPath,
        asked_us: u64,
        error: &RelayError,
    ) {
        let now_ms = clock::boot_ms();
        let refusal = match error {
            RelayError::Refused { class } => Some(*class),
            _ => None,
        };
        let is_wrong_member = refusal == Some(ErrorClass::WrongMember);
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        // The best path is only tried again while another one works.
        if path != member.path() {
            decision!(
                "dependency", service = &*self.context.service, member = &**id,
                through = path.through(), reason = error.to_string(); "way tried in vain"
            );
            return self.count_probe(outcome(error));
        }
        // The VM that forwards answers but does not reach the member.
        if is_wrong_member && *path != MemberPath::Direct {
            member.use_next_path();
            member.next_probe_ms = now_ms + NEXT_PATH_PAUSE_MS;
            self.request_probe(id, asked_us);
            return self.count_probe(outcome(error));
        }
        if let Some(class) = refusal.filter(|class| is_full(*class)) {
            member.record_open_refusal(now_ms);
            return self.note_probe_refusal(id, path, class);
        }
        if member.failures == 0 {
            decision!(
                "dependency", service = &*self.context.service, member = &**id,
                through = path.through(), reason = error.to_string(); "member lost"
            );
        }
        if is_wrong_member {
            member.displaced_since_ms.get_or_insert(now_ms);
        }
        member.record_failure(asked_us, NEXT_PATH_PAUSE_MS);
        self.reroute(id);
        self.count_probe(outcome(error));
    }

    /// Logs and counts that a member is too full for a probe.
    fn note_probe_refusal(&self, id: &Name, path: &MemberPath, class: ErrorClass) {
        let open = self.members.get(id).map_or(0, |m| m.open);
        decision!(
            "probe", service = &*self.context.service, member = &**id,
            through = path.through(), class = class.to_string(), open = open;
            "probe refused"
        );
        self.count_probe(class.into());
    }

    fn count_probe(&self, outcome: &'static str) {
        let labels = [label("outcome", outcome)];
        self.context.metrics.probes.add(1, &labels);
    }
}

/// Outcome of a failed probe, for metrics.
fn outcome(error: &RelayError) -> &'static str {
    match error {
        RelayError::Refused { class } => class.into(),
        RelayError::Timeout => "timeout",
        _ => "broken",
    }
}

fn is_full(class: ErrorClass) -> bool {
    matches!(class, ErrorClass::Busy | ErrorClass::ConnectionLimit)
}
