//! Members' status reports requested by other VMs.
//!
//! Many VMs request the report of the same member. One probe answers all
//! requests that arrived before it was sent.

use super::*;

/// Time after which a request for a report is given up, in microseconds: shortly
/// before the requesting VM gives up.
const REPORT_TIMEOUT_US: u64 = 350_000;

impl Service {
    /// Answers the requests that can be answered, and requests probes for the others.
    pub(super) fn resolve_reports(&mut self) {
        let now_us = clock::boot_us();
        for pending in std::mem::take(&mut self.pending_reports) {
            if let Some(answer) = self.report_for(&pending, now_us) {
                // The other VM may have given up.
                let _ = pending.reply.send(answer);
                continue;
            }
            self.request_report_since(&pending.member, pending.since_us);
            self.pending_reports.push(pending);
        }
    }

    /// The answer to a request for a report; `None` while it has to wait.
    fn report_for(
        &self,
        pending: &PendingReport,
        now_us: u64,
    ) -> Option<std::result::Result<StatusReport, ReportError>> {
        let Some(member) = self.members.get(&pending.member) else {
            return Some(Err(ReportError::NotReached));
        };
        if *member.path() != MemberPath::Direct {
            return Some(Err(ReportError::NotReached));
        }
        match member.report {
            Some((asked_us, report)) if asked_us > pending.since_us => return Some(Ok(report)),
            _ => {}
        }
        if member.failures > 0 {
            return Some(Err(ReportError::Silent));
        }
        let is_over = now_us >= pending.since_us + REPORT_TIMEOUT_US;
        is_over.then_some(Err(ReportError::Busy))
    }
}
