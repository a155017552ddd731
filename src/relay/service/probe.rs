//! Probes, which ask members for status reports, and what follows from the
//! reports: leadership checks and floors.

use super::{open_purpose::OpenPurpose, *};
use crate::{
    decide::attempt::LISTING_MS,
    decide::leadership::{
        LeadershipCheck, TermReport, check_leadership, members_to_ask, received_by_others,
        term_reports_needed,
    },
    relay::{
        MemberRequest, RelayError, Result, connection::Connection, exchange, message::ProbeAnswer,
    },
};

/// Longest wait for a report: a round trip to another region, and a full queue at
/// the member.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a probe waits for an idle connection while all are in use, in
/// microseconds: the duration of a few statements.
const IDLE_CONNECTION_WAIT_US: u64 = 150_000;
/// Time after which a leadership check asks all members, not only the nearest, in
/// microseconds: more than a round trip to another region.
const ASK_ALL_AFTER_US: u64 = 120_000;
/// Pause between two readings of the member list for a floor, in milliseconds.
const LIST_READ_PAUSE_MS: u64 = 200;
/// Time after which a leadership check or a refresh of the floor is given up, in
/// microseconds.
const LEADERSHIP_CHECK_TIMEOUT_US: u64 = 600_000;

impl Service {
    /// Requests a probe of a member, sent after `since_us`.
    pub(super) fn request_probe(&mut self, id: &Name, since_us: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.probe_requested_us.get_or_insert_with(clock::boot_us);
            let after_us = member.probe_after_us.get_or_insert(since_us);
            *after_us = since_us.max(*after_us);
        }
    }

    /// Requests a probe of every member, sent from now on.
    pub(super) fn request_all_probes(&mut self) {
        let now_us = clock::boot_us();
        let members: Vec<Name> = self.members.keys().cloned().collect();
        for id in members {
            self.request_probe(&id, now_us);
        }
    }

    pub(super) fn start_probes(&mut self, now_ms: u64) {
        if !self.may_connect(now_ms) {
            return;
        }
        let due: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, m)| m.probe_sent_us.is_none() && m.next_probe_ms <= now_ms)
            .filter(|(_, m)| {
                m.probe_after_us.is_some() || m.failures > 0 || m.is_best_path_due(now_ms)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.start_probe(&id);
        }
    }

    fn start_probe(&mut self, id: &Name) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let path = member.probe_path(clock::boot_ms());
        let Some(target) = self.target_by(id, &path) else {
            return;
        };
        let limit = self.members.get(id).map_or(0, |m| self.limit(m));
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let asked_us = clock::boot_us();
        // All connections are in use. One usually becomes idle before it is
        // worth opening another beyond the limit.
        let is_full = member.idle.is_empty() && member.open >= limit;
        let requested_us = member.probe_requested_us.unwrap_or(0);
        if is_full && member.failures == 0 && asked_us < requested_us + IDLE_CONNECTION_WAIT_US {
            return;
        }
        // A failing member is probed on a new connection, since the open ones
        // may be dead.
        let must_open = member.failures > 0 || path != *member.path() || member.idle.is_empty();
        if must_open && member.refuses_connections(asked_us / 1_000) {
            return;
        }
        member.probe_sent_us = Some(asked_us);
        member.probe_after_us = None;
        member.probe_requested_us = None;
        let idle = match member.failures {
            0 if path == *member.path() => member.take_any_idle(),
            _ => None,
        };
        let probe_connection = match idle {
            Some(connection) => ProbeConnection::Open(Box::new(connection)),
            None => ProbeConnection::New(target, self.count_open(id, OpenPurpose::Probe)),
        };
        let context = self.context.clone();
        let member = id.clone();
        compio::runtime::spawn(async move {
            let probed = probe(probe_connection, &context.options);
            let result = compio::time::timeout(PROBE_TIMEOUT, probed).await;
            let result = result.unwrap_or(Err(RelayError::Timeout));
            context.send(ServiceMessage::Probed {
                member,
                path,
                asked_us,
                result,
            });
        })
        .detach();
    }

    /// Answers the leadership checks that the reports decide, and requests reports
    /// for the others.
    pub(super) fn resolve_leadership_checks(&mut self) {
        let now_us = clock::boot_us();
        for check in std::mem::take(&mut self.leadership_checks) {
            let needed = match check.is_commit {
                true => self.commit_reports_needed(&check.primary),
                false => self.reports_needed(),
            };
            let leadership = self.leadership(&check.primary, check.since_us, needed);
            let is_late = now_us >= check.since_us + LEADERSHIP_CHECK_TIMEOUT_US;
            if check.is_commit && (is_late || leadership != LeadershipCheck::Pending) {
                if self.is_replaced(&check.primary) {
                    let _ = check.reply.send(None);
                    continue;
                }
                // This VM is replacing the primary itself.
                if matches!(self.takeover, Takeover::Running) {
                    let _ = check.reply.send(Some(self.highest_term() + 1));
                    continue;
                }
            }
            match leadership {
                LeadershipCheck::Confirmed { term } => {
                    // The caller may have disconnected.
                    let _ = check.reply.send(Some(term));
                }
                LeadershipCheck::Pending if is_late => {
                    let term = check
                        .is_commit
                        .then(|| self.term_of_answering(&check.primary));
                    let _ = check.reply.send(term.flatten());
                }
                LeadershipCheck::Pending => {
                    self.request_confirmations(&check.primary, check.since_us, needed);
                    self.leadership_checks.push(check);
                }
            }
        }
    }

    /// Number of other members whose reports confirm that a member leads.
    fn reports_needed(&self) -> usize {
        let now_ms = clock::boot_ms();
        let counted = self.members.values().filter(|m| !m.is_lost(now_ms));
        term_reports_needed(counted.count(), self.config.sync_replicas)
    }

    /// The same before a commit is told: all that report, since a member that was
    /// promoted is one of them, and a replica may still follow the old primary.
    fn commit_reports_needed(&self, primary: &Name) -> usize {
        let others = self.members.iter().filter(|(id, _)| *id != primary);
        let reporting = others.filter(|(_, m)| m.gives_reports()).count();
        self.reports_needed().max(reporting)
    }

    /// Whether the other members' reports since `since_us` confirm the primary.
    fn leadership(&self, primary: &Name, since_us: u64, needed: usize) -> LeadershipCheck {
        let others = self.members.iter().filter(|(id, _)| *id != primary);
        let reports = others.filter_map(|(_, m)| m.report);
        let term_reports = reports.map(|(asked_us, report)| TermReport {
            asked_us,
            term: report.term.max(report.held_term),
        });
        check_leadership(term_reports, since_us, needed)
    }

    /// Whether another member is known to lead.
    fn is_replaced(&self, primary: &Name) -> bool {
        let found = self.find_primary();
        found.is_some_and(|found| found != *primary)
    }

    /// Highest term that was last reported by the other members; `None` if none of them
    /// answers, not even that it is too busy for a report.
    fn term_of_answering(&self, primary: &Name) -> Option<u64> {
        let others = self.members.iter().filter(|(id, _)| *id != primary);
        let answering = others.filter(|(_, m)| m.failures == 0);
        let reports = answering.filter_map(|(_, m)| m.report);
        reports
            .map(|(_, report)| report.term.max(report.held_term))
            .max()
    }

    /// Requests reports of the members that are to confirm the primary.
    fn request_confirmations(&mut self, primary: &Name, since_us: u64, needed: usize) {
        let others: BTreeMap<Name, (u32, u32)> = self
            .members
            .iter()
            .filter(|(id, _)| *id != primary)
            .map(|(id, m)| (id.clone(), (m.distance, m.failures)))
            .collect();
        let is_slow = clock::boot_us() >= since_us + ASK_ALL_AFTER_US;
        let needed = match is_slow {
            true => others.len(),
            false => needed,
        };
        for id in members_to_ask(&others, needed) {
            self.request_report_since(&id, since_us);
        }
    }

    /// Requests a report whose probe is sent after `since_us`, unless one has arrived
    /// or such a probe is in flight.
    pub(super) fn request_report_since(&mut self, id: &Name, since_us: u64) {
        let Some(member) = self.members.get(id) else {
            return;
        };
        let asked_us = member.report.map(|(asked_us, _)| asked_us);
        let is_known = asked_us.max(member.probe_sent_us) > Some(since_us);
        if !is_known {
            self.request_probe(id, since_us);
        }
    }

    pub(super) fn refresh_floor(&mut self) {
        if self.floor_refresh_since_us.is_none() {
            self.floor_refresh_since_us = Some(clock::boot_us());
        }
    }

    /// Raises the floor once the primary is confirmed to lead, or once all other
    /// members have reported what they received.
    pub(super) fn resolve_floor_refresh(&mut self) {
        let Some(since_us) = self.floor_refresh_since_us else {
            return;
        };
        let primary = self.primary.clone();
        let confirmed = primary.as_ref();
        let confirmed = confirmed.and_then(|primary| self.confirmed_position(primary, since_us));
        let found = match confirmed {
            Some(position) => Some((position, "primary")),
            None => self
                .received_by_others(since_us)
                .filter(|_| self.knows_members_of(since_us))
                .map(|p| (p, "replicas")),
        };
        if let Some((position, source)) = found {
            self.raise_floor(since_us / 1_000, position, source);
            self.floor_refresh_since_us = None;
            return;
        }
        if clock::boot_us() >= since_us + LEADERSHIP_CHECK_TIMEOUT_US {
            self.floor_refresh_since_us = None;
            let labels = [name_label("service", &self.context.service)];
            self.context.metrics.floor_timeouts.add(1, &labels);
            decision!(
                "floor", service = &*self.context.service,
                primary = primary.as_deref().unwrap_or("none"), since_ms = since_us / 1_000,
                waiting = self.waiting_floor.len(); "floor not refreshed in time"
            );
            return;
        }
        match primary {
            Some(primary) if self.is_answering(&primary) => {
                self.request_report_since(&primary, since_us);
                self.request_confirmations(&primary, since_us, self.reports_needed());
            }
            _ => self.request_all_reports(since_us),
        }
    }

    pub(super) fn is_answering(&self, id: &Name) -> bool {
        self.members.get(id).is_some_and(|m| m.failures == 0)
    }

    fn request_all_reports(&mut self, since_us: u64) {
        let members: Vec<Name> = self.members.keys().cloned().collect();
        for id in members {
            self.request_report_since(&id, since_us);
        }
    }

    /// Whether all members are listed that have received a commit by `since_us`. If not,
    /// the list is read again.
    fn knows_members_of(&mut self, since_us: u64) -> bool {
        let since_ms = since_us / 1_000;
        let now_ms = clock::boot_ms();
        if self.list.is_some_and(|list| list.is_complete(since_ms)) {
            return true;
        }
        if now_ms >= self.next_list_read_ms.max(since_ms + LISTING_MS) {
            self.next_list_read_ms = now_ms + LIST_READ_PAUSE_MS;
            let context = self.context.clone();
            compio::runtime::spawn(async move {
                let list = (context.options.authority.read_members)().await;
                context.send(ServiceMessage::ListRead { list });
            })
            .detach();
        }
        false
    }

    fn received_by_others(&self, since_us: u64) -> Option<Position> {
        let now_ms = clock::boot_ms();
        let others = self.members.iter();
        let others = others.filter(|(id, _)| Some(*id) != self.primary.as_ref());
        let others = others.filter(|(_, m)| !m.is_gone(now_ms));
        let received = others.map(|(_, m)| m.report.map(|(at, report)| (at, report.received)));
        received_by_others(received, since_us, self.config.sync_replicas)
    }

    /// Position of the primary, if reports since `since_us` confirm that it leads.
    fn confirmed_position(&self, primary: &Name, since_us: u64) -> Option<Position> {
        let (asked_us, report) = self.members.get(primary)?.report?;
        let LeadershipCheck::Confirmed { term } =
            self.leadership(primary, since_us, self.reports_needed())
        else {
            return None;
        };
        let leads = asked_us > since_us && report.confirms_leadership(term);
        leads.then_some(report.received)
    }
}

/// The connection that a probe is sent on.
enum ProbeConnection {
    Open(Box<Connection>),
    New(Target, Permit),
}

async fn probe(probe_connection: ProbeConnection, options: &RelayOptions) -> Result<ProbeAnswer> {
    let (mut connection, is_new) = match probe_connection {
        ProbeConnection::Open(connection) => (*connection, false),
        ProbeConnection::New(target, permit) => (open(target, options, permit).await?, true),
    };
    let codec = &options.codecs.member;
    let report = exchange::request_report(&mut connection, codec, &MemberRequest::Status).await?;
    Ok(ProbeAnswer {
        connection,
        is_new,
        report,
    })
}
