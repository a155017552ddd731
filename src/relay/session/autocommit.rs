//! Statements outside transactions.

use super::{
    attempt::{is_not_run, is_write, pause_before_retry, refusal_reply},
    *,
};
use crate::relay::{
    Consistency, StatusReport,
    connection::Connection,
    exchange::{Call, Outcome, run},
    message::{Granted, Purpose, ServiceMessage},
};

/// Fraction of a route's timeout after which a read is tried on another member.
const READ_ATTEMPT_SHARE: f64 = 0.45;
/// Time after which a caller should retry when all attempts have failed.
const RETRY_MS: u64 = 300;

/// What to do after an attempt.
enum Step {
    Reply(Reply),
    Retry {
        reason: &'static str,
        /// Whether to avoid the member that was tried.
        elsewhere: bool,
    },
}

impl Step {
    fn retry_elsewhere(reason: &'static str) -> Step {
        Step::Retry {
            reason,
            elsewhere: true,
        }
    }

    fn retry(reason: &'static str) -> Step {
        Step::Retry {
            reason,
            elsewhere: false,
        }
    }
}

/// A statement outside a transaction.
struct AutocommitStatement<'a> {
    statement: &'a Statement,
    prepared_statement: Option<&'a PreparedStatement>,
    arrived_us: u64,
}

impl Session<'_> {
    pub(super) async fn run_autocommit(
        &mut self,
        statement: &Statement,
        prepared_statement: Option<Rc<PreparedStatement>>,
        arrived_us: u64,
    ) -> Reply {
        let autocommit = AutocommitStatement {
            statement,
            prepared_statement: prepared_statement.as_deref(),
            arrived_us,
        };
        let writes = is_write(statement, autocommit.prepared_statement);
        let account = match self.admit().await {
            Ok(account) => account,
            Err(reply) => return reply,
        };
        let mut avoid = BTreeSet::new();
        let mut failures = 0;
        loop {
            // Looked up for each attempt, so that a new configuration applies at once.
            let route = match self.permit().await {
                Ok((route, _)) => route,
                Err(reply) => return reply,
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
                Err(refusal) => {
                    if failures == 0 {
                        self.give_back(account.as_deref());
                    }
                    return refusal_reply(refusal);
                }
            };
            // The statement may have waited for the connection.
            if !self.is_permitted_still(&route) {
                self.release(&route.service, granted.connection, false, None);
                continue;
            }
            let member = granted.connection.member.clone();
            self.sent_by = Some(route.clone());
            let step = match writes {
                true => self.try_write(&route, &autocommit, granted).await,
                false => self.try_read(&route, &autocommit, granted).await,
            };
            let (reason, elsewhere) = match step {
                Step::Reply(reply) => return reply,
                Step::Retry { reason, elsewhere } => (reason, elsewhere),
            };
            failures += 1;
            let labels = [label("code", reason)];
            self.shared.metrics.retries.add(1, &labels);
            decision!(
                "retry", request = String::from_utf8_lossy(&statement.id),
                member = &*member, failures = failures, reason = reason; "trying again"
            );
            if left_ms(&route, arrived_us) == 0 {
                return timed_out(reason);
            }
            if elsewhere {
                avoid.insert(member);
            }
            // Another member is tried at once, but not all of them in a circle.
            if !elsewhere || failures > 1 {
                pause_before_retry(failures).await;
            }
        }
    }

    async fn try_read(
        &mut self,
        route: &Route,
        autocommit: &AutocommitStatement<'_>,
        granted: Granted,
    ) -> Step {
        let service = &route.service;
        let Granted {
            mut connection,
            after,
            ..
        } = granted;
        let member = connection.member.clone();
        let needs_leadership_check = route.consistency == Consistency::Primary;
        let leadership_check = needs_leadership_check
            .then(|| self.check_leadership(service, &member, autocommit.arrived_us));
        let call = Call {
            statement: autocommit.statement,
            prepared_statement: autocommit.prepared_statement,
            after,
            wants_report: needs_leadership_check,
        };
        let sent_us = clock::boot_us();
        let limit_ms = (route.timeout_ms as f64 * READ_ATTEMPT_SHARE) as u64;
        let limit_ms = limit_ms.min(left_ms(route, autocommit.arrived_us)).max(1);
        let codec = &self.shared.options.codecs.member;
        let setup = self.setup.clone();
        let attempt = run(&mut connection, codec, &setup, &call);
        let result = self
            .await_answer(service, &member, false, limit_ms, attempt)
            .await;
        let Outcome { answer, report } = match result {
            Ok(outcome) => outcome,
            Err(error) => {
                decision!(
                    "request_broken", request = String::from_utf8_lossy(&autocommit.statement.id),
                    member = &*member, reason = error.to_string(); "read broken"
                );
                self.suspect(service, &member, false);
                return Step::retry_elsewhere("no answer to a read");
            }
        };
        let read_us = clock::boot_us() - sent_us;
        if let Some(class) = answer.error {
            return self.handle_read_error(route, connection, answer, class);
        }
        self.release(service, connection, false, Some(read_us));
        if let Some(leadership_check) = leadership_check {
            let others_term = leadership_check.await.ok().flatten();
            let is_confirmed =
                |r: &StatusReport| others_term.is_some_and(|term| r.confirms_leadership(term));
            let Some(report) = report.filter(is_confirmed) else {
                return Step::retry("the primary is not proved to lead");
            };
            let since_ms = autocommit.arrived_us / 1_000;
            let position = report.received;
            self.send(service, ServiceMessage::Observed { since_ms, position });
        }
        self.record_position(route, &answer);
        Step::Reply(Reply::Answer(answer))
    }

    fn handle_read_error(
        &self,
        route: &Route,
        mut connection: Connection,
        answer: Answer,
        class: ErrorClass,
    ) -> Step {
        let service = &route.service;
        let member = connection.member.clone();
        self.report_refusal(service, &member, class);
        if class == ErrorClass::WrongMember {
            return Step::retry_elsewhere("another member stands at the address");
        }
        if class == ErrorClass::NoStatement {
            connection.prepared.clear();
            self.release(service, connection, false, None);
            return Step::retry("the prepared statement was lost");
        }
        self.release(
            service,
            connection,
            answer.state != SessionState::Idle,
            None,
        );
        match class {
            ErrorClass::Failed | ErrorClass::Timeout => Step::retry_elsewhere("a read failed"),
            class if is_not_run(class) && route.consistency == Consistency::Primary => {
                Step::retry("the primary did not run it")
            }
            class if is_not_run(class) => Step::retry_elsewhere("the member did not run it"),
            _ => Step::Reply(Reply::Answer(answer)),
        }
    }

    async fn try_write(
        &mut self,
        route: &Route,
        autocommit: &AutocommitStatement<'_>,
        granted: Granted,
    ) -> Step {
        let service = &route.service;
        let mut connection = granted.connection;
        let member = connection.member.clone();
        let call = Call {
            statement: autocommit.statement,
            prepared_statement: autocommit.prepared_statement,
            after: None,
            wants_report: false,
        };
        let sent_us = clock::boot_us();
        let limit_ms = left_ms(route, autocommit.arrived_us).max(1);
        let codec = &self.shared.options.codecs.member;
        let setup = self.setup.clone();
        let attempt = run(&mut connection, codec, &setup, &call);
        let result = self
            .await_answer(service, &member, true, limit_ms, attempt)
            .await;
        let answer = match result {
            Ok(outcome) => outcome.answer,
            Err(error) => {
                self.suspect(service, &member, false);
                return Step::Reply(in_doubt(&error));
            }
        };
        let Some(class) = answer.error else {
            let limit_ms = left_ms(route, autocommit.arrived_us);
            self.release(service, connection, false, None);
            let is_kept = self.is_commit_kept(service, &member, &answer, limit_ms);
            if !is_kept.await {
                return Step::Reply(not_proved_kept());
            }
            let committed = (autocommit.statement, &member);
            self.record_commit(route, committed, &answer, sent_us);
            self.record_position(route, &answer);
            return Step::Reply(Reply::Answer(answer));
        };
        self.report_refusal(service, &member, class);
        match class {
            ErrorClass::WrongMember => return Step::retry("another member stands at the address"),
            ErrorClass::NoStatement => connection.prepared.clear(),
            _ => {}
        }
        self.release(
            service,
            connection,
            answer.state != SessionState::Idle,
            None,
        );
        match is_not_run(class) {
            true => Step::retry("the primary did not run it"),
            false => Step::Reply(Reply::Answer(answer)),
        }
    }
}

/// Time left until a statement times out.
pub(super) fn left_ms(route: &Route, arrived_us: u64) -> u64 {
    let deadline_ms = arrived_us / 1_000 + route.timeout_ms;
    deadline_ms.saturating_sub(clock::boot_ms())
}

/// Reply to a statement that timed out and was not run, or only read.
pub(super) fn timed_out(reason: &str) -> Reply {
    let text = format!("{reason}; retry after {RETRY_MS} ms");
    Reply::Error(ErrorClass::Busy, text)
}

/// Reply to a write or a commit that was acknowledged by a primary that may have been
/// replaced.
pub(super) fn not_proved_kept() -> Reply {
    let text = "the primary is being replaced; the commit may be lost";
    Reply::Error(ErrorClass::InDoubt, text.into())
}

/// Reply to a write or a commit whose answer was lost: it may have taken effect.
pub(super) fn in_doubt(error: &RelayError) -> Reply {
    Reply::Error(ErrorClass::InDoubt, format!("the answer was lost: {error}"))
}
