//! The task that serves one caller's session.

mod attempt;
mod autocommit;
mod memory;
mod opening;
mod transact;
mod wait;

use memory::SessionMemory;
pub use opening::serve;
use opening::{refuse, refuse_invalid};
use wait::Wake;

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use rand::Rng;

use super::{
    Answer, CallerMessage, ErrorClass, RelayError, Result, Route, SessionState, Statement,
    StatementKind,
    byte_budget::Reservation,
    connection::SessionSetup,
    handle::{Shared, UnknownKey},
    prepared::PreparedStatement,
    socket::{self, Received, Socket},
    transaction::Transaction,
};
use crate::{
    clock,
    decide::{
        load::{
            account::{Account, AccountKey},
            memory::CallerPhase,
        },
        session_floors::SessionFloors,
    },
    decision_log::decision,
    metrics::label,
    prelude::*,
};

/// Time for which a stopping VM keeps idle sessions open: the load balancer
/// stops sending callers after two failed health checks.
pub const STOP_LINGER_MS: u64 = 2_200;
/// Idle sessions are closed at random times over this period, so that their
/// callers do not all reconnect at once.
const STOP_SPREAD_MS: u64 = 600;

/// Result of a statement, to be sent to the caller.
enum Reply {
    /// A member's answer.
    Answer(Answer),
    /// Success of a statement that needs no member.
    Done,
    /// An error that the relay itself reports.
    Error(ErrorClass, String),
}

impl Reply {
    /// Outcome for logs and metrics: `done` or the class of the error.
    fn outcome(&self) -> &'static str {
        match self {
            Reply::Answer(answer) => answer.error.map_or("done", Into::into),
            Reply::Done => "done",
            Reply::Error(class, _) => (*class).into(),
        }
    }

    fn error(class: ErrorClass, text: impl Into<String>) -> Reply {
        Reply::Error(class, text.into())
    }
}

struct Session<'a> {
    shared: &'a Shared,
    /// What the caller is doing, for those that may have to make room.
    phase: &'a Cell<CallerPhase>,
    database: Name,
    /// Key that the caller gave.
    key: AccountKey,
    setup: Rc<SessionSetup>,
    prepared: BTreeMap<Bytes, Rc<PreparedStatement>>,
    transaction: Option<Transaction>,
    /// Route by which the statement in progress was sent to a member.
    sent_by: Option<Arc<Route>>,
    /// The session's acknowledged commits, which its reads see on a route with read-your-writes
    /// consistency.
    floors: SessionFloors,
    /// Position that the session has last been answered with, and the service that it is of.
    position: Option<(Name, Position)>,
    /// Memory of its variables and prepared statements.
    memory: SessionMemory,
}

impl Session<'_> {
    async fn run(
        &mut self,
        writer: &TcpStream,
        messages: &flume::Receiver<Received<CallerMessage>>,
    ) -> Result<()> {
        let stop_delay_ms = rand::rng().random_range(0..STOP_SPREAD_MS);
        loop {
            self.phase.set(match self.transaction {
                None => CallerPhase::Idle(clock::boot_ms()),
                Some(_) => CallerPhase::Busy,
            });
            let wake = self.wait(messages, stop_delay_ms).await;
            self.phase.set(CallerPhase::Busy);
            match wake {
                Wake::Message(CallerMessage::Statement(statement), _reservation) => {
                    let mut output = BytesMut::new();
                    let _answer_reservation = self.answer(&statement, &mut output).await;
                    socket::write_to_caller(writer, output).await?;
                }
                Wake::Message(CallerMessage::Close, _) | Wake::Closed => return Ok(()),
                Wake::Message(CallerMessage::Open { .. }, _) => {
                    let text = "the session is open already";
                    return refuse(self.shared, writer, ErrorClass::Malformed, text).await;
                }
                Wake::Broken(error) => return refuse_invalid(self.shared, writer, error).await,
                Wake::Deadline => {
                    if self.handle_deadline() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Writes the answer to a statement. Returns the memory that is reserved for it.
    async fn answer(
        &mut self,
        statement: &Statement,
        output: &mut BytesMut,
    ) -> Option<Rc<Reservation>> {
        let arrived_us = clock::boot_us();
        self.sent_by = None;
        let reply = self.execute(statement, arrived_us).await;
        let codec = &self.shared.options.codecs.caller;
        let kind: &'static str = (&statement.kind).into();
        let outcome = reply.outcome();
        let reason = match &reply {
            Reply::Error(_, text) => text,
            _ => "",
        };
        let took_us = clock::boot_us() - arrived_us;
        let took_ms = took_us / 1_000;
        self.record_metrics(kind, outcome, took_us);
        self.log_statement(statement, kind, outcome, reason, took_ms);
        let mut reservation = None;
        match reply {
            Reply::Answer(answer) => {
                output.extend_from_slice(&answer.body);
                reservation = answer.reservation;
            }
            Reply::Done => (codec.complete)(output),
            Reply::Error(class, text) => (codec.error)(output, class, &text),
        }
        (codec.ready)(output, self.state(), self.reported_position());
        reservation
    }

    /// Records the position in a member's answer.
    fn record_position(&mut self, route: &Route, answer: &Answer) {
        if let Some(position) = answer.position {
            self.position = Some((route.service.clone(), position));
        }
    }

    /// Position to report to the caller: none where the last one is of the log of a service that
    /// no longer serves the session.
    fn reported_position(&self) -> Option<Position> {
        let (service, position) = self.position.as_ref()?;
        let pinned = self.transaction.as_ref().map(|t| &t.route);
        let serves = |route: &Arc<Route>| route.service == *service;
        let is_present = match self.sent_by.as_ref().or(pinned) {
            Some(route) => serves(route),
            None => self
                .shared
                .route(&self.database)
                .is_some_and(|r| serves(&r)),
        };
        is_present.then_some(*position)
    }

    fn record_metrics(&self, kind: &'static str, outcome: &'static str, took_us: u64) {
        let labels = [label("kind", kind), label("outcome", outcome)];
        let metrics = &self.shared.metrics;
        metrics.statements.add(1, &labels);
        metrics
            .statement_ms
            .record(took_us as f64 / 1_000.0, &labels[..1]);
    }

    fn log_statement(
        &self,
        statement: &Statement,
        kind: &str,
        outcome: &str,
        reason: &str,
        took_ms: u64,
    ) {
        let version = self.shared.version().unwrap_or(0);
        let request = String::from_utf8_lossy(&statement.id);
        let known = self.shared.config_knowledge();
        let sent_by = self.sent_by.as_deref();
        let sent_version = sent_by.map_or(0, |route| route.version);
        let service = sent_by.map_or("", |route| &route.service);
        if outcome == "done" {
            decision!(
                "request", request = request, kind = kind, database = &*self.database,
                version = version, config_age_ms = known.age_ms, sent_version = sent_version,
                service = service, took_ms = took_ms; "request done"
            );
        } else {
            decision!(
                "request_failed", request = request, kind = kind, database = &*self.database,
                version = version, in_force_ms = known.in_force_ms,
                config_age_ms = known.age_ms, sent_version = sent_version, service = service,
                outcome = outcome, reason = reason, took_ms = took_ms; "request failed"
            );
        }
    }

    fn unknown_key(&self) -> Reply {
        let text = UnknownKey.to_string();
        let (class, text) = self.shared.refusal(ErrorClass::Unauthorized, &text);
        Reply::Error(class, text)
    }

    fn no_route(&self) -> Reply {
        let text = "the database has no route any more";
        let (class, text) = self.shared.refusal(ErrorClass::NoDatabase, text);
        Reply::Error(class, text)
    }

    /// Accounts for a variable or prepared statement of `bytes` that the caller adds.
    fn grow(&mut self, bytes: usize) -> std::result::Result<(), Reply> {
        let budget = &self.shared.options.large_messages.bytes;
        self.memory.grow(bytes, budget).map_err(|reason| {
            decision!("session", limit = "session_state", reason = reason; "session may not grow");
            Reply::error(ErrorClass::TooBig, reason)
        })
    }

    fn state(&self) -> SessionState {
        match &self.transaction {
            None => SessionState::Idle,
            Some(transaction) if transaction.is_failed => SessionState::Failed,
            Some(_) => SessionState::Transaction,
        }
    }

    async fn execute(&mut self, statement: &Statement, arrived_us: u64) -> Reply {
        let is_failed = self.transaction.as_ref().is_some_and(|t| t.is_failed);
        match &statement.kind {
            StatementKind::Rollback => self.roll_back(),
            StatementKind::Commit => self.commit(statement).await,
            _ if is_failed => Reply::error(
                ErrorClass::Malformed,
                "the transaction failed; end it first",
            ),
            StatementKind::Begin { is_read_only } => self.begin(*is_read_only, arrived_us).await,
            StatementKind::Set { name, value } => {
                if let Err(reply) = self.grow(name.len() + value.len()) {
                    return reply;
                }
                Rc::make_mut(&mut self.setup)
                    .variables
                    .insert(name.clone(), value.clone());
                Reply::Done
            }
            StatementKind::Prepare {
                name,
                access,
                definition,
            } => {
                if let Err(reply) = self.grow(name.len() + definition.len()) {
                    return reply;
                }
                let prepared_statement = PreparedStatement::new(*access, definition.clone());
                self.prepared
                    .insert(name.clone(), Rc::new(prepared_statement));
                Reply::Done
            }
            StatementKind::Deallocate { name } => match self.prepared.remove(name) {
                Some(_) => Reply::Done,
                None => Reply::error(ErrorClass::NoStatement, "no such prepared statement"),
            },
            StatementKind::Unknown => {
                Reply::error(ErrorClass::Malformed, "the statement can't be read")
            }
            StatementKind::Read | StatementKind::Write | StatementKind::Execute { .. } => {
                self.run_statement(statement, arrived_us).await
            }
        }
    }

    async fn begin(&mut self, is_read_only: bool, arrived_us: u64) -> Reply {
        if self.transaction.is_some() {
            return Reply::error(ErrorClass::Malformed, "a transaction is open already");
        }
        match self.permit().await {
            Ok((route, _)) => {
                self.transaction = Some(Transaction::new(route, is_read_only, arrived_us));
                Reply::Done
            }
            Err(reply) => reply,
        }
    }

    async fn run_statement(&mut self, statement: &Statement, arrived_us: u64) -> Reply {
        let prepared_statement = match &statement.kind {
            StatementKind::Execute { name, .. } => match self.prepared.get(name) {
                Some(prepared_statement) => Some(prepared_statement.clone()),
                None => {
                    return Reply::error(ErrorClass::NoStatement, "no such prepared statement");
                }
            },
            _ => None,
        };
        match self.transaction.take() {
            Some(transaction) => {
                self.run_in_transaction(transaction, statement, prepared_statement, arrived_us)
                    .await
            }
            None => {
                self.run_autocommit(statement, prepared_statement, arrived_us)
                    .await
            }
        }
    }
}
