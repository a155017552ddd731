//! Reports of members that other VMs ask this one for.
//!
//! Many VMs ask for the same member; one question to it answers all that came
//! before it was sent.

use super::*;

/// Time after which a report is given up, in microseconds: shortly before the
/// VM that asks gives up.
const REPORT_TIMEOUT_US: u64 = 350_000;

impl Service {
    /// Answers the requests for reports that can be answered.
    pub(super) fn settle_reports(&mut self) {
        let now_us = clock::boot_us();
        for pending in std::mem::take(&mut self.reports) {
            if let Some(answer) = self.report_for(&pending, now_us) {
                // The other VM may have given up.
                let _ = pending.reply.send(answer);
                continue;
            }
            self.want_report_since(&pending.member, pending.since_us);
            self.reports.push(pending);
        }
    }

    /// The answer to a request for a report, once it is known.
    fn report_for(
        &self,
        pending: &PendingReport,
        now_us: u64,
    ) -> Option<std::result::Result<StatusReport, ReportError>> {
        let Some(member) = self.members.get(&pending.member) else {
            return Some(Err(ReportError::NotReached));
        };
        if *member.way() != MemberPath::Direct {
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
