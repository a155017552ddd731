//! Statements outside transactions.

use super::{
    attempt::{is_not_run, is_write, refused},
    *,
};
use crate::{
    decide::retry::Backoff,
    relay::{
        Consistency, StatusReport,
        exchange::{Call, Outcome, run},
        message::{Granted, Purpose, ServiceMessage},
    },
};

/// Part of a route's time-out after which a read is tried elsewhere.
const READ_SHARE: f64 = 0.45;
/// Pause before a statement that was not run is tried again, in milliseconds.
/// The first is about one statement; the last lets a queue drain.
const BACKOFF: Backoff = Backoff {
    base_ms: 10,
    max_ms: 100,
};
/// When to come back after attempts that all failed, in milliseconds.
const RETRY_MS: u64 = 300;

/// What follows from an attempt.
enum Step {
    Reply(Reply),
    /// Try again.
    Again {
        reason: &'static str,
        /// Whether another member should be tried.
        elsewhere: bool,
    },
}

impl Step {
    fn elsewhere(reason: &'static str) -> Step {
        Step::Again {
            reason,
            elsewhere: true,
        }
    }

    fn again(reason: &'static str) -> Step {
        Step::Again {
            reason,
            elsewhere: false,
        }
    }
}

/// A statement outside a transaction.
struct Alone<'a> {
    statement: &'a Statement,
    prepared_statement: Option<&'a PreparedStatement>,
    arrived_us: u64,
}

impl Session<'_> {
    pub(super) async fn run_alone(
        &mut self,
        statement: &Statement,
        prepared_statement: Option<Rc<PreparedStatement>>,
        arrived_us: u64,
    ) -> Reply {
        let alone = Alone {
            statement,
            prepared_statement: prepared_statement.as_deref(),
            arrived_us,
        };
        let writes = is_write(statement, alone.prepared_statement);
        let mut avoid = BTreeSet::new();
        let mut failures = 0;
        loop {
            // A change of the route applies to the next attempt.
            let Some(route) = self.shared.route(&self.database) else {
                return no_route();
            };
            let purpose = match self.freshness(&route, arrived_us) {
                Some(freshness) if !writes => Purpose::Read(freshness),
                _ => Purpose::Primary(None),
            };
            let granted = self
                .acquire(
                    &route,
                    statement,
                    (purpose, false),
                    avoid.clone(),
                    arrived_us,
                )
                .await;
            let granted = match granted {
                Ok(granted) => granted,
                Err(refusal) => return refused(refusal),
            };
            let member = granted.connection.member.clone();
            let step = match writes {
                true => self.try_write(&route, &alone, granted).await,
                false => self.try_read(&route, &alone, granted).await,
            };
            let (reason, elsewhere) = match step {
                Step::Reply(reply) => return reply,
                Step::Again { reason, elsewhere } => (reason, elsewhere),
            };
            failures += 1;
            let labels = [label("code", reason)];
            self.shared.metrics.retries.add(1, &labels);
            decision!(
                "retry", request = String::from_utf8_lossy(&statement.id),
                member = &*member, failures = failures, reason = reason; "trying again"
            );
            if left_ms(&route, arrived_us) == 0 {
                return out_of_time(reason);
            }
            if elsewhere {
                avoid.insert(member);
            } else {
                let delay_ms = BACKOFF.delay_ms(failures);
                compio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }

    async fn try_read(&mut self, route: &Route, alone: &Alone<'_>, granted: Granted) -> Step {
        let service = &route.service;
        let Granted {
            connection: mut link,
            after,
            ..
        } = granted;
        let member = link.member.clone();
        let needs_proof = route.consistency == Consistency::Primary;
        let proof = needs_proof.then(|| self.prove(service, &member, alone.arrived_us));
        let call = Call {
            statement: alone.statement,
            prepared_statement: alone.prepared_statement,
            after,
            wants_report: needs_proof,
        };
        let sent_us = clock::boot_us();
        let limit_ms = (route.timeout_ms as f64 * READ_SHARE) as u64;
        let limit_ms = limit_ms.min(left_ms(route, alone.arrived_us)).max(1);
        let codec = &self.shared.options.codecs.member;
        let values = self.values.clone();
        let attempt = run(&mut link, codec, &values, &call);
        let result = self.watch(service, &member, false, limit_ms, attempt).await;
        let Outcome { answer, report } = match result {
            Ok(outcome) => outcome,
            Err(error) => {
                decision!(
                    "request_broken", request = String::from_utf8_lossy(&alone.statement.id),
                    member = &*member, reason = error.to_string(); "read broken"
                );
                self.suspect(service, &member, false);
                return Step::elsewhere("no answer to a read");
            }
        };
        let read_us = clock::boot_us() - sent_us;
        if let Some(class) = answer.error {
            return self.read_failed(route, link, answer, class);
        }
        self.give_back(service, link, false, Some(read_us));
        if let Some(proof) = proof {
            let others_term = proof.await.ok().flatten();
            let leads =
                |r: &StatusReport| others_term.is_some_and(|term| r.confirms_leadership(term));
            let Some(report) = report.filter(leads) else {
                return Step::again("the primary is not proved to lead");
            };
            let since_ms = alone.arrived_us / 1_000;
            let position = report.received;
            self.send(service, ServiceMessage::Observed { since_ms, position });
        }
        self.position = answer.position.or(self.position);
        Step::Reply(Reply::Answer(answer))
    }

    fn read_failed(
        &self,
        route: &Route,
        mut link: super::super::connection::Connection,
        answer: Answer,
        class: ErrorClass,
    ) -> Step {
        let service = &route.service;
        let member = link.member.clone();
        self.note_refusal(service, &member, class);
        if class == ErrorClass::WrongMember {
            return Step::elsewhere("another member stands at the address");
        }
        if class == ErrorClass::NoStatement {
            link.prepared.clear();
            self.give_back(service, link, false, None);
            return Step::again("the prepared statement was lost");
        }
        self.give_back(service, link, answer.state != SessionState::Idle, None);
        match class {
            ErrorClass::Failed | ErrorClass::Timeout => Step::elsewhere("a read failed"),
            class if is_not_run(class) && route.consistency == Consistency::Primary => {
                Step::again("the primary did not run it")
            }
            class if is_not_run(class) => Step::elsewhere("the member did not run it"),
            _ => Step::Reply(Reply::Answer(answer)),
        }
    }

    async fn try_write(&mut self, route: &Route, alone: &Alone<'_>, granted: Granted) -> Step {
        let service = &route.service;
        let mut link = granted.connection;
        let member = link.member.clone();
        let call = Call {
            statement: alone.statement,
            prepared_statement: alone.prepared_statement,
            after: None,
            wants_report: false,
        };
        let sent_us = clock::boot_us();
        let limit_ms = left_ms(route, alone.arrived_us).max(1);
        let codec = &self.shared.options.codecs.member;
        let values = self.values.clone();
        let attempt = run(&mut link, codec, &values, &call);
        let result = self.watch(service, &member, true, limit_ms, attempt).await;
        let answer = match result {
            Ok(outcome) => outcome.answer,
            Err(error) => {
                self.suspect(service, &member, false);
                return Step::Reply(in_doubt(&error));
            }
        };
        let Some(class) = answer.error else {
            self.committed(route, &answer, sent_us);
            self.position = answer.position.or(self.position);
            self.give_back(service, link, false, None);
            return Step::Reply(Reply::Answer(answer));
        };
        self.note_refusal(service, &member, class);
        match class {
            ErrorClass::WrongMember => return Step::again("another member stands at the address"),
            ErrorClass::NoStatement => link.prepared.clear(),
            _ => {}
        }
        self.give_back(service, link, answer.state != SessionState::Idle, None);
        match is_not_run(class) {
            true => Step::again("the primary did not run it"),
            false => Step::Reply(Reply::Answer(answer)),
        }
    }
}

/// Time left of a statement's time-out, in milliseconds.
pub(super) fn left_ms(route: &Route, arrived_us: u64) -> u64 {
    let deadline_ms = arrived_us / 1_000 + route.timeout_ms;
    deadline_ms.saturating_sub(clock::boot_ms())
}

/// The reply to a statement that was not run, or only read, when its time is over.
pub(super) fn out_of_time(reason: &str) -> Reply {
    let text = format!("{reason}; retry after {RETRY_MS} ms");
    Reply::Error(ErrorClass::Busy, text)
}

/// The reply to a write or a commit whose answer was lost.
pub(super) fn in_doubt(error: &RelayError) -> Reply {
    Reply::Error(ErrorClass::InDoubt, format!("the answer was lost: {error}"))
}
