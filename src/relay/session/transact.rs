//! Statements inside transactions, and their ends.

use super::{
    attempt::{is_not_run, is_write, refused},
    autocommit::{in_doubt, left_ms, out_of_time},
    *,
};
use crate::relay::{
    Consistency,
    connection::Connection,
    exchange::{Call, begin, run},
    message::{Granted, Purpose},
};

/// Pause before a transaction that has not run anything is begun elsewhere, in
/// milliseconds: about one statement.
const BEGIN_PAUSE_MS: u64 = 15;

/// What became of a transaction's beginning.
enum Begun {
    Link(Connection, Option<u64>),
    Again(&'static str),
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
        let reply = match transaction.link.take() {
            Some(link) => {
                self.run_pinned(
                    &mut transaction,
                    link,
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
        // Without its connection the transaction is rolled back.
        transaction.is_failed |= transaction.link.is_none();
        self.transaction = Some(transaction);
        reply
    }

    /// Begins at a member and runs the first statement. Until that is done,
    /// nothing has happened that could not happen elsewhere.
    async fn run_first(
        &mut self,
        transaction: &mut Transaction,
        statement: &Statement,
        prepared_statement: Option<Rc<PreparedStatement>>,
        arrived_us: u64,
    ) -> Reply {
        let mut avoid = BTreeSet::new();
        loop {
            let route = transaction.route.clone();
            let begun = self
                .begin_at_member(transaction, statement, &avoid, arrived_us)
                .await;
            let reason = match begun {
                Begun::Refused(reply) => return reply,
                Begun::Again(reason) => reason,
                Begun::Link(link, led_term) => {
                    let member = link.member.clone();
                    transaction.led_term = led_term;
                    transaction.has_written = false;
                    let reply = self
                        .run_pinned(
                            transaction,
                            link,
                            statement,
                            prepared_statement.clone(),
                            arrived_us,
                        )
                        .await;
                    if transaction.link.is_some() || !is_repeatable(&reply) {
                        return reply;
                    }
                    avoid.insert(member);
                    "the first statement did not run"
                }
            };
            decision!(
                "retry", request = String::from_utf8_lossy(&statement.id), reason = reason;
                "beginning again"
            );
            if left_ms(&route, arrived_us) == 0 {
                return out_of_time(reason);
            }
            compio::time::sleep(Duration::from_millis(BEGIN_PAUSE_MS)).await;
        }
    }

    async fn begin_at_member(
        &mut self,
        transaction: &Transaction,
        statement: &Statement,
        avoid: &BTreeSet<Name>,
        arrived_us: u64,
    ) -> Begun {
        let route = &transaction.route;
        let purpose = match self.freshness(route, transaction.began_us) {
            Some(freshness) if transaction.is_read_only => Purpose::Read(freshness),
            freshness => Purpose::Primary(freshness),
        };
        // A read at the primary begins as if it wrote: the member then refuses
        // once it does not lead any longer.
        let is_read_only = !purpose.is_primary();
        let granted = self
            .acquire(route, statement, (purpose, true), avoid.clone(), arrived_us)
            .await;
        let Granted {
            connection: mut link,
            after,
            led_term,
        } = match granted {
            Ok(granted) => granted,
            Err(refusal) => return Begun::Refused(refused(refusal)),
        };
        let member = link.member.clone();
        let codec = &self.shared.options.codecs.member;
        let values = self.values.clone();
        let attempt = begin(&mut link, codec, &values, after, is_read_only);
        let limit_ms = left_ms(route, arrived_us).max(1);
        let result = self
            .watch(&route.service, &member, false, limit_ms, attempt)
            .await;
        let answer = match result {
            Ok(answer) => answer,
            Err(_) => {
                self.suspect(&route.service, &member, false);
                return Begun::Again("no answer to the beginning");
            }
        };
        let Some(class) = answer.error else {
            return Begun::Link(link, led_term);
        };
        self.note_refusal(&route.service, &member, class);
        self.give_back(&route.service, link, true, None);
        Begun::Again("the member did not begin")
    }

    /// Runs a statement on the transaction's connection.
    async fn run_pinned(
        &mut self,
        transaction: &mut Transaction,
        mut link: Connection,
        statement: &Statement,
        prepared_statement: Option<Rc<PreparedStatement>>,
        arrived_us: u64,
    ) -> Reply {
        let route = transaction.route.clone();
        let service = &route.service;
        let member = link.member.clone();
        let writes = is_write(statement, prepared_statement.as_deref());
        let needs_proof =
            !writes && !transaction.is_proved && route.consistency == Consistency::Primary;
        let proof = needs_proof.then(|| self.prove(service, &member, transaction.began_us));
        transaction.has_written |= writes;
        let call = Call {
            statement,
            prepared_statement: prepared_statement.as_deref(),
            after: None,
            wants_report: false,
        };
        let limit_ms = left_ms(&route, arrived_us).max(1);
        let codec = &self.shared.options.codecs.member;
        let values = self.values.clone();
        let attempt = run(&mut link, codec, &values, &call);
        let result = self.watch(service, &member, false, limit_ms, attempt).await;
        let answer = match result {
            Ok(outcome) => outcome.answer,
            Err(error) => {
                self.suspect(service, &member, false);
                return aborted(format!("the connection of the transaction failed: {error}"));
            }
        };
        self.position = answer.position.or(self.position);
        if let Some(class) = answer.error {
            self.note_refusal(service, &member, class);
            self.give_back(service, link, true, None);
            return match class {
                ErrorClass::Failed | ErrorClass::Timeout => {
                    aborted("a statement failed; the transaction is rolled back")
                }
                _ => Reply::Answer(answer),
            };
        }
        if let Some(proof) = proof {
            let others_term = proof.await.ok().flatten();
            let is_proved = others_term.is_some_and(|term| Some(term) <= transaction.led_term);
            if !is_proved {
                self.give_back(service, link, true, None);
                return aborted("the primary is not proved to lead");
            }
            transaction.is_proved = true;
        }
        transaction.link = Some(link);
        Reply::Answer(answer)
    }

    pub(super) fn roll_back(&mut self) -> Reply {
        let Some(mut transaction) = self.transaction.take() else {
            return Reply::error(ErrorClass::Malformed, "no transaction is open");
        };
        if let Some(link) = transaction.link.take() {
            self.give_back(&transaction.route.service, link, true, None);
        }
        Reply::Done
    }

    pub(super) async fn commit(&mut self, statement: &Statement) -> Reply {
        let Some(mut transaction) = self.transaction.take() else {
            return Reply::error(ErrorClass::Malformed, "no transaction is open");
        };
        let Some(mut link) = transaction.link.take() else {
            // It failed, or it has run nothing that a member could confirm.
            return aborted("nothing was run; the transaction is rolled back");
        };
        let route = transaction.route.clone();
        let service = &route.service;
        let member = link.member.clone();
        let sent_us = clock::boot_us();
        let call = Call {
            statement,
            prepared_statement: None,
            after: None,
            wants_report: false,
        };
        let codec = &self.shared.options.codecs.member;
        let values = link.variables.clone();
        let attempt = run(&mut link, codec, &values, &call);
        let is_commit = transaction.has_written;
        let limit_ms = route.timeout_ms;
        let result = self
            .watch(service, &member, is_commit, limit_ms, attempt)
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
        self.position = answer.position.or(self.position);
        if answer.error.is_none() && transaction.has_written {
            self.committed(&route, &answer, sent_us);
        }
        if let Some(class) = answer.error {
            self.note_refusal(service, &member, class);
        }
        self.give_back(service, link, answer.state != SessionState::Idle, None);
        match answer.error {
            Some(_) if !transaction.has_written => aborted("nothing was written"),
            _ => Reply::Answer(answer),
        }
    }
}

fn aborted(text: impl Into<String>) -> Reply {
    Reply::error(ErrorClass::Aborted, text)
}

/// Whether a first statement that brought this reply may be run elsewhere: the
/// transaction is rolled back, and its commit was not asked for.
fn is_repeatable(reply: &Reply) -> bool {
    match reply {
        Reply::Answer(answer) => answer.error.is_some_and(is_not_run),
        Reply::Error(class, _) => *class == ErrorClass::Aborted,
        Reply::Done => false,
    }
}
