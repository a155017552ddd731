//! Statements inside transactions, commits and rollbacks.

use super::{
    attempt::{is_not_run, is_write, pause_before_retry, refusal_reply},
    autocommit::{in_doubt, left_ms, not_proved_kept, timed_out},
    *,
};
use crate::relay::{
    Consistency,
    connection::Connection,
    exchange::{Call, begin, run},
    message::{Granted, Purpose},
};

/// Outcome of an attempt to begin a transaction on a member.
enum BeginOutcome {
    /// The connection, and the term that its member leads.
    Begun(Connection, Option<u64>),
    /// The transaction must be begun again, for this reason.
    Retry(&'static str),
    Refused(Reply),
}

impl Session<'_> {
    pub(super) async fn run_in_transaction(
        &mut self,
        mut transaction: Transaction,
        statement: &Statement,
        prepared_statement: Option<Rc<PreparedStatement>>,
        arrived_us: u64,
    ) -> Reply {
        let reply = match transaction.connection.take() {
            Some(connection) => {
                if let Err(reply) = self.check_pinned(&transaction.route, &connection).await {
                    transaction.is_failed = true;
                    self.transaction = Some(transaction);
                    return reply;
                }
                self.run_pinned(
                    &mut transaction,
                    connection,
                    statement,
                    prepared_statement,
                    arrived_us,
                )
                .await
            }
            None => {
                self.run_first(&mut transaction, statement, prepared_statement, arrived_us)
                    .await
            }
        };
        // A member rolls the transaction back when its connection is lost.
        transaction.is_failed |= transaction.connection.is_none();
        self.transaction = Some(transaction);
        reply
    }

    /// Begins the transaction on a member and runs its first statement. Until
    /// that statement is done, the transaction can be begun anew on another
    /// member.
    async fn run_first(
        &mut self,
        transaction: &mut Transaction,
        statement: &Statement,
        prepared_statement: Option<Rc<PreparedStatement>>,
        arrived_us: u64,
    ) -> Reply {
        let account = match self.admit().await {
            Ok(account) => account,
            Err(reply) => return reply,
        };
        let mut avoid = BTreeSet::new();
        let mut failures = 0;
        loop {
            // Until a member has begun it, no route binds the transaction.
            let route = match self.permit().await {
                Ok((route, _)) => route,
                Err(reply) => return reply,
            };
            transaction.route = route.clone();
            let begun = self
                .begin_at_member(transaction, statement, &avoid, arrived_us)
                .await;
            let reason = match begun {
                BeginOutcome::Refused(reply) => {
                    if failures == 0 {
                        self.give_back(account.as_deref());
                    }
                    return reply;
                }
                BeginOutcome::Retry(reason) => reason,
                BeginOutcome::Begun(connection, led_term) => {
                    let member = connection.member.clone();
                    transaction.led_term = led_term;
                    transaction.has_written = false;
                    let reply = self
                        .run_pinned(
                            transaction,
                            connection,
                            statement,
                            prepared_statement.clone(),
                            arrived_us,
                        )
                        .await;
                    if transaction.connection.is_some() || !is_repeatable(&reply) {
                        return reply;
                    }
                    avoid.insert(member);
                    "the first statement did not run"
                }
            };
            decision!(
                "retry", request = String::from_utf8_lossy(&statement.id), reason = reason;
                "beginning the transaction again"
            );
            if left_ms(&route, arrived_us) == 0 {
                return timed_out(reason);
            }
            failures += 1;
            pause_before_retry(failures).await;
        }
    }

    async fn begin_at_member(
        &mut self,
        transaction: &Transaction,
        statement: &Statement,
        avoid: &BTreeSet<Name>,
        arrived_us: u64,
    ) -> BeginOutcome {
        let route = &transaction.route;
        let purpose = match self.freshness(route, transaction.began_us) {
            Some(freshness) if transaction.is_read_only => Purpose::Read(freshness),
            freshness => Purpose::Primary(freshness),
        };
        // On the primary, a read-only transaction begins as read-write: the
        // member then refuses it once it no longer leads.
        let is_read_only = !purpose.is_primary();
        let granted = self
            .acquire(route, statement, (purpose, true), avoid.clone(), arrived_us)
            .await;
        let Granted {
            mut connection,
            after,
            led_term,
        } = match granted {
            Ok(granted) => granted,
            Err(refusal) => return BeginOutcome::Refused(refusal_reply(refusal)),
        };
        if !self.is_permitted_still(route) {
            self.release(&route.service, connection, false, None);
            return BeginOutcome::Retry("the configuration has changed");
        }
        let member = connection.member.clone();
        let codec = &self.shared.options.codecs.member;
        let setup = self.setup.clone();
        let attempt = begin(&mut connection, codec, &setup, after, is_read_only);
        let limit_ms = left_ms(route, arrived_us).max(1);
        let result = self
            .await_answer(&route.service, &member, false, limit_ms, attempt)
            .await;
        let answer = match result {
            Ok(answer) => answer,
            Err(_) => {
                self.suspect(&route.service, &member, false);
                return BeginOutcome::Retry("no answer to the beginning");
            }
        };
        let Some(class) = answer.error else {
            return BeginOutcome::Begun(connection, led_term);
        };
        self.report_refusal(&route.service, &member, class);
        self.release(&route.service, connection, true, None);
        BeginOutcome::Retry("the member did not begin")
    }

    /// Whether the transaction of a connection may go on: the caller's key still belongs to
    /// its account, and this VM is not late. A change of its route applies to later
    /// transactions only.
    async fn check_pinned(
        &self,
        route: &Route,
        connection: &Connection,
    ) -> std::result::Result<(), Reply> {
        if !self.shared.await_certainty().await {
            return Err(aborted(self.shared.late_text()));
        }
        let account = self.shared.account(route, &self.key);
        let name = account.map(|account| account.map(|a| a.name.clone()));
        match name {
            Ok(name) if name == connection.setup.account => Ok(()),
            _ => Err(lost_account()),
        }
    }

    /// Runs a statement on the transaction's connection.
    async fn run_pinned(
        &mut self,
        transaction: &mut Transaction,
        mut connection: Connection,
        statement: &Statement,
        prepared_statement: Option<Rc<PreparedStatement>>,
        arrived_us: u64,
    ) -> Reply {
        let route = transaction.route.clone();
        self.sent_by = Some(route.clone());
        let service = &route.service;
        let member = connection.member.clone();
        let writes = is_write(statement, prepared_statement.as_deref());
        let needs_leadership_check = !writes
            && !transaction.is_leadership_confirmed
            && route.consistency == Consistency::Primary;
        let leadership_check = needs_leadership_check
            .then(|| self.check_leadership(service, &member, transaction.began_us));
        transaction.has_written |= writes;
        let call = Call {
            statement,
            prepared_statement: prepared_statement.as_deref(),
            after: None,
            wants_report: false,
        };
        let limit_ms = left_ms(&route, arrived_us).max(1);
        let codec = &self.shared.options.codecs.member;
        let setup = self.setup.clone();
        let attempt = run(&mut connection, codec, &setup, &call);
        let result = self
            .await_answer(service, &member, false, limit_ms, attempt)
            .await;
        let answer = match result {
            Ok(outcome) => outcome.answer,
            Err(error) => {
                self.suspect(service, &member, false);
                return aborted(format!("the connection of the transaction failed: {error}"));
            }
        };
        self.record_position(&route, &answer);
        if let Some(class) = answer.error {
            self.report_refusal(service, &member, class);
            self.release(service, connection, true, None);
            return match class {
                ErrorClass::Failed | ErrorClass::Timeout => {
                    aborted("a statement failed; the transaction is rolled back")
                }
                _ => Reply::Answer(answer),
            };
        }
        if let Some(leadership_check) = leadership_check {
            let others_term = leadership_check.await.ok().flatten();
            let is_confirmed = others_term.is_some_and(|term| Some(term) <= transaction.led_term);
            if !is_confirmed {
                self.release(service, connection, true, None);
                return aborted("the primary is not proved to lead");
            }
            transaction.is_leadership_confirmed = true;
        }
        transaction.connection = Some(connection);
        Reply::Answer(answer)
    }

    pub(super) fn roll_back(&mut self) -> Reply {
        let Some(mut transaction) = self.transaction.take() else {
            return Reply::error(ErrorClass::Malformed, "no transaction is open");
        };
        if let Some(connection) = transaction.connection.take() {
            self.release(&transaction.route.service, connection, true, None);
        }
        Reply::Done
    }

    pub(super) async fn commit(&mut self, statement: &Statement) -> Reply {
        let Some(mut transaction) = self.transaction.take() else {
            return Reply::error(ErrorClass::Malformed, "no transaction is open");
        };
        let Some(mut connection) = transaction.connection.take() else {
            // It failed, or has run nothing that a member could commit.
            return aborted("nothing was run; the transaction is rolled back");
        };
        let route = transaction.route.clone();
        if let Err(reply) = self.check_pinned(&route, &connection).await {
            return reply;
        }
        self.sent_by = Some(route.clone());
        let service = &route.service;
        let member = connection.member.clone();
        let sent_us = clock::boot_us();
        let call = Call {
            statement,
            prepared_statement: None,
            after: None,
            wants_report: false,
        };
        let codec = &self.shared.options.codecs.member;
        let setup = connection.setup.clone();
        let attempt = run(&mut connection, codec, &setup, &call);
        let is_commit = transaction.has_written;
        let limit_ms = route.timeout_ms;
        let result = self
            .await_answer(service, &member, is_commit, limit_ms, attempt)
            .await;
        let answer = match result {
            Ok(outcome) => outcome.answer,
            Err(error) => {
                self.suspect(service, &member, false);
                return match transaction.has_written {
                    true => in_doubt(&error),
                    false => aborted("the answer was lost; nothing was written"),
                };
            }
        };
        if let Some(class) = answer.error {
            self.report_refusal(service, &member, class);
        }
        let needs_rollback = answer.state != SessionState::Idle;
        self.release(service, connection, needs_rollback, None);
        if answer.error.is_none() && transaction.has_written {
            let limit_ms = left_ms(&route, sent_us);
            let is_kept = self.is_commit_kept(service, &member, &answer, limit_ms);
            if !is_kept.await {
                return not_proved_kept();
            }
            self.record_commit(&route, (statement, &member), &answer, sent_us);
        }
        self.record_position(&route, &answer);
        match answer.error {
            Some(_) if !transaction.has_written => aborted("nothing was written"),
            _ => Reply::Answer(answer),
        }
    }
}

/// Reply to a statement in a transaction whose caller's key was taken away. Its member
/// rolls back when the connection closes.
fn lost_account() -> Reply {
    aborted("the key was taken away; the transaction is rolled back")
}

fn aborted(text: impl Into<String>) -> Reply {
    Reply::error(ErrorClass::Aborted, text)
}

/// Whether a transaction whose first statement got this reply may be begun on
/// another member: it is rolled back, and no commit was requested.
fn is_repeatable(reply: &Reply) -> bool {
    match reply {
        Reply::Answer(answer) => answer.error.is_some_and(is_not_run),
        Reply::Error(class, _) => *class == ErrorClass::Aborted,
        Reply::Done => false,
    }
}
