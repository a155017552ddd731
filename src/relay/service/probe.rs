//! Reports: asked for, and the proofs and floors that follow from them.

use super::*;
use crate::{
    decide::leadership::{
        LeadershipCheck, TermReport, check_leadership, members_to_ask, received_by_others,
        term_reports_needed,
    },
    relay::{
        MemberCodec, MemberRequest, RelayError, Result, StatusReport, connection::Connection,
        exchange,
    },
};

/// Longest wait for a report: a trip to another region and back, and a full
/// queue at the member.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between questions to a member that does not answer, in milliseconds.
const FAILED_PAUSE_MS: u64 = 100;
/// Time for which a question waits for a connection while all are in use, in
/// microseconds: a few statements.
const FULL_WAIT_US: u64 = 150_000;
/// Pause after another VM refused to stand for a member, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 20;
/// Time after which all members are asked for a proof, not only the nearest,
/// in microseconds: over the time of a trip to another region and back.
const WIDEN_US: u64 = 120_000;
/// Time after which a proof is given up, in microseconds.
const PROOF_TIMEOUT_US: u64 = 600_000;

impl Service {
    /// Asks a member for a report that is asked for after `since_us`.
    pub(super) fn want_probe(&mut self, id: &Name, since_us: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.probe_wanted_us.get_or_insert_with(clock::boot_us);
            let wanted = member.probe_after_us.get_or_insert(since_us);
            *wanted = since_us.max(*wanted);
        }
    }

    /// Asks all members for a report from now on.
    pub(super) fn want_all_probes(&mut self) {
        let now_us = clock::boot_us();
        let members: Vec<Name> = self.members.keys().cloned().collect();
        for id in members {
            self.want_probe(&id, now_us);
        }
    }

    pub(super) fn start_probes(&mut self, now_ms: u64) {
        let due: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, m)| m.probing_us.is_none() && m.next_probe_ms <= now_ms)
            .filter(|(_, m)| m.probe_after_us.is_some() || m.failures > 0 || m.is_best_due(now_ms))
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
        let way = member.probe_way(clock::boot_ms());
        let Some(target) = self.target_by(id, &way) else {
            return;
        };
        let limit = self.members.get(id).map_or(0, |m| self.limit(m));
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let asked_us = clock::boot_us();
        // All connections are in use; one is free again as a rule before it
        // is worth to open one beyond the limit.
        let is_full = member.idle.is_empty() && member.open >= limit;
        let waits_since_us = member.probe_wanted_us.unwrap_or(0);
        if is_full && member.failures == 0 && asked_us < waits_since_us + FULL_WAIT_US {
            return;
        }
        member.probing_us = Some(asked_us);
        member.probe_after_us = None;
        member.probe_wanted_us = None;
        // A member that fails is asked on a new connection: the old ones may
        // have gone silent.
        let idle = match member.failures {
            0 if way == *member.way() => member.take_idle(&SessionVariables::new()),
            _ => None,
        };
        let connection = match idle {
            Some(connection) => ProbeConnection::Open(Box::new(connection)),
            None => ProbeConnection::New(target, self.count_open(id)),
        };
        let context = self.context.clone();
        let member = id.clone();
        compio::runtime::spawn(async move {
            let codec = context.options.codecs.member;
            let result = compio::time::timeout(PROBE_TIMEOUT, ask(connection, &codec)).await;
            let result = result.unwrap_or(Err(RelayError::Timeout));
            context.send(ServiceMessage::Probed {
                member,
                way,
                asked_us,
                result,
            });
        })
        .detach();
    }

    pub(super) fn probed(
        &mut self,
        id: &Name,
        way: &MemberPath,
        asked_us: u64,
        result: Result<(Connection, StatusReport)>,
    ) {
        let now_ms = clock::boot_ms();
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.probing_us = None;
        match result {
            Ok((connection, report)) => {
                if member.failures > 0 {
                    decision!(
                        "dependency", service = &*self.context.service, member = &**id,
                        failures = member.failures; "member regained"
                    );
                }
                member.note_answer(way);
                member.failures = 0;
                member.silent_since_us = None;
                member.displaced_since_ms = None;
                let is_held = report.held_term > report.term;
                member.held_since_us = match is_held {
                    true => member.held_since_us.or(Some(asked_us)),
                    false => None,
                };
                member.report = Some((asked_us, report));
                self.note_stuck(id, &report);
                self.release(connection, false, None);
            }
            // The best way is only tried while another one works.
            Err(error) if *way != *member.way() => {
                decision!(
                    "dependency", service = &*self.context.service, member = &**id,
                    through = way.through(), reason = error.to_string(); "way tried in vain"
                );
            }
            // The VM on the way does not reach it, but is well.
            Err(RelayError::Refused {
                class: ErrorClass::WrongMember,
            }) if *way != MemberPath::Direct => {
                member.use_next_way();
                member.next_probe_ms = now_ms + REFUSED_PAUSE_MS;
                self.want_probe(id, asked_us);
            }
            // It answers, but has too much to do.
            Err(RelayError::Refused { class }) if is_full(class) => {
                member.next_probe_ms = now_ms + FAILED_PAUSE_MS;
            }
            Err(error) => {
                if member.failures == 0 {
                    decision!(
                        "dependency", service = &*self.context.service, member = &**id,
                        through = way.through(), reason = error.to_string(); "member lost"
                    );
                }
                let is_other = ErrorClass::WrongMember;
                if matches!(error, RelayError::Refused { class } if class == is_other) {
                    member.displaced_since_ms.get_or_insert(now_ms);
                }
                member.use_next_way();
                member.failures += 1;
                member.silent_since_us.get_or_insert(asked_us);
                member.next_probe_ms = now_ms + FAILED_PAUSE_MS;
                member.idle.clear();
                self.reroute(id);
            }
        }
    }

    /// Answers the proofs that the reports give, and asks for more.
    pub(super) fn settle_proofs(&mut self) {
        let now_us = clock::boot_us();
        for proof in std::mem::take(&mut self.proofs) {
            let standing = self.standing(&proof.primary, proof.since_us);
            let is_late = now_us >= proof.since_us + PROOF_TIMEOUT_US;
            match standing {
                LeadershipCheck::Confirmed { term } => {
                    // The caller may have gone away.
                    let _ = proof.reply.send(Some(term));
                }
                LeadershipCheck::Pending if is_late => {
                    let _ = proof.reply.send(None);
                }
                LeadershipCheck::Pending => {
                    self.ask_witnesses(&proof.primary, proof.since_us);
                    self.proofs.push(proof);
                }
            }
        }
    }

    fn needed(&self) -> usize {
        let now_ms = clock::boot_ms();
        let counted = self.members.values().filter(|m| !m.is_lost(now_ms));
        term_reports_needed(counted.count(), self.entry.sync_replicas)
    }

    fn standing(&self, primary: &Name, since_us: u64) -> LeadershipCheck {
        let others = self.members.iter().filter(|(id, _)| *id != primary);
        let reports = others.filter_map(|(_, m)| m.report);
        let testimonies = reports.map(|(asked_us, report)| TermReport {
            asked_us,
            term: report.term.max(report.held_term),
        });
        check_leadership(testimonies, since_us, self.needed())
    }

    fn ask_witnesses(&mut self, primary: &Name, since_us: u64) {
        let others: BTreeMap<Name, (u32, u32)> = self
            .members
            .iter()
            .filter(|(id, _)| *id != primary)
            .map(|(id, m)| (id.clone(), (m.distance, m.failures)))
            .collect();
        let is_slow = clock::boot_us() >= since_us + WIDEN_US;
        let needed = match is_slow {
            true => others.len(),
            false => self.needed(),
        };
        for id in members_to_ask(&others, needed) {
            self.want_report_since(&id, since_us);
        }
    }

    /// Asks unless a report asked for after `since_us` is there or on its way.
    pub(super) fn want_report_since(&mut self, id: &Name, since_us: u64) {
        let Some(member) = self.members.get(id) else {
            return;
        };
        let asked_us = member.report.map(|(asked_us, _)| asked_us);
        let is_known = asked_us.max(member.probing_us) > Some(since_us);
        if !is_known {
            self.want_probe(id, since_us);
        }
    }

    pub(super) fn refresh_floor(&mut self) {
        if self.refresh_since_us.is_none() {
            self.refresh_since_us = Some(clock::boot_us());
        }
    }

    /// Takes a new floor once the primary is proved to lead, or once all the
    /// others have told what they received.
    pub(super) fn settle_floor(&mut self) {
        let Some(since_us) = self.refresh_since_us else {
            return;
        };
        let primary = self.primary.clone();
        let proved = primary.as_ref();
        let proved = proved.and_then(|primary| self.proved_position(primary, since_us));
        let found = match proved {
            Some(position) => Some((position, "primary")),
            None => self.received_by_others(since_us).map(|p| (p, "replicas")),
        };
        if let Some((position, source)) = found {
            self.observe(since_us / 1_000, position, source);
            self.refresh_since_us = None;
            return;
        }
        if clock::boot_us() >= since_us + PROOF_TIMEOUT_US {
            self.refresh_since_us = None;
            return;
        }
        match primary {
            Some(primary) if self.answers(&primary) => {
                self.want_report_since(&primary, since_us);
                self.ask_witnesses(&primary, since_us);
            }
            _ => self.ask_all_since(since_us),
        }
    }

    pub(super) fn answers(&self, id: &Name) -> bool {
        self.members.get(id).is_some_and(|m| m.failures == 0)
    }

    fn ask_all_since(&mut self, since_us: u64) {
        let members: Vec<Name> = self.members.keys().cloned().collect();
        for id in members {
            self.want_report_since(&id, since_us);
        }
    }

    fn received_by_others(&self, since_us: u64) -> Option<Position> {
        let now_ms = clock::boot_ms();
        let others = self.members.iter();
        let others = others.filter(|(id, _)| Some(*id) != self.primary.as_ref());
        let others = others.filter(|(_, m)| !m.is_gone(now_ms));
        let received = others.map(|(_, m)| m.report.map(|(at, report)| (at, report.received)));
        received_by_others(received, since_us, self.entry.sync_replicas)
    }

    fn proved_position(&self, primary: &Name, since_us: u64) -> Option<Position> {
        let (asked_us, report) = self.members.get(primary)?.report?;
        let LeadershipCheck::Confirmed { term } = self.standing(primary, since_us) else {
            return None;
        };
        let leads = asked_us > since_us && report.confirms_leadership(term);
        leads.then_some(report.received)
    }
}

fn is_full(class: ErrorClass) -> bool {
    matches!(class, ErrorClass::Busy | ErrorClass::ConnectionLimit)
}

/// The connection that a question goes on.
enum ProbeConnection {
    Open(Box<Connection>),
    New(Target, Permit),
}

async fn ask(
    connection: ProbeConnection,
    codec: &MemberCodec,
) -> Result<(Connection, StatusReport)> {
    let mut connection = match connection {
        ProbeConnection::Open(connection) => *connection,
        ProbeConnection::New(target, permit) => open(target, *codec, permit).await?,
    };
    let report = exchange::request_report(&mut connection, codec, &MemberRequest::Status).await?;
    Ok((connection, report))
}
