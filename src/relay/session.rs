//! The task of a caller's session.

mod attempt;
mod autocommit;
mod transact;

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use futures::future::{Either, select};
use rand::Rng;

use super::{
    Answer, CallerMessage, ErrorClass, RelayError, Result, Route, SessionState, Statement,
    StatementKind,
    handle::Shared,
    link::Values,
    prepared::Shape,
    socket::{self, Socket},
    transaction::Transaction,
};
use crate::{clock, decision_log::decision, metrics::label, prelude::*};

/// Largest message before the configuration says otherwise, in bytes.
const MESSAGE_MAX_BYTES: usize = 1 << 20;
/// Messages of a caller that wait for their turn.
const BACKLOG: usize = 16;
/// Time for a caller to open its session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a configuration after the start, less than callers wait.
const CONFIGURATION_WAIT_MS: u64 = 1_500;
/// Pause between two looks for it.
const CONFIGURATION_POLL: Duration = Duration::from_millis(20);
/// Time for which a stopping VM keeps idle sessions, in milliseconds: until
/// the balancer has missed two answers.
pub const STOP_LINGER_MS: u64 = 2_200;
/// Time over which a stopping VM spreads the ends of idle sessions, in milliseconds.
const STOP_SPREAD_MS: u64 = 600;

/// What a statement came to.
enum Reply {
    /// A member's answer.
    Answer(Answer),
    /// Done without a member.
    Done,
    /// An error.
    Error(ErrorClass, String),
}

impl Reply {
    /// Name of the outcome, for logs and metrics.
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
    database: Name,
    values: Rc<Values>,
    prepared: BTreeMap<Bytes, Rc<Shape>>,
    transaction: Option<Transaction>,
    /// Position of the session's last acknowledged commit.
    floor: Option<Position>,
    /// Position that callers are told.
    position: Option<Position>,
}

/// Serves a caller until its session ends.
pub async fn serve(shared: &Rc<Shared>, stream: TcpStream) {
    let Ok(socket) = Socket::new(stream) else {
        return;
    };
    let writer = socket.writer();
    let (sender, messages) = flume::bounded(BACKLOG);
    let limit = message_limit(shared);
    let decode = shared.options.codecs.caller.decode;
    let reader = compio::runtime::spawn(read_messages(socket, sender, decode, limit));
    if let Err(error) = converse(shared, &writer, &messages).await {
        decision!("session", reason = error.to_string(); "session broken");
    }
    // Ends the task, and with it the last handle of the socket.
    drop(reader);
}

fn message_limit(shared: &Shared) -> usize {
    let catalog = shared.catalog.borrow();
    let limit = catalog.as_ref().map(|c| c.limits.message_bytes);
    limit.unwrap_or(MESSAGE_MAX_BYTES).min(MESSAGE_MAX_BYTES)
}

type Decode = fn(&mut BytesMut, usize) -> Result<Option<CallerMessage>>;

/// Reads messages, in a task of its own so that none is lost while the session
/// waits for something else.
async fn read_messages(
    mut socket: Socket,
    messages: flume::Sender<Result<CallerMessage>>,
    decode: Decode,
    limit: usize,
) {
    loop {
        let message = match decode(&mut socket.input, limit) {
            Ok(Some(message)) => Ok(message),
            Ok(None) => match socket.fill().await {
                Ok(()) => continue,
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        let is_over = message.is_err();
        if messages.send_async(message).await.is_err() || is_over {
            return;
        }
    }
}

async fn converse(
    shared: &Rc<Shared>,
    writer: &TcpStream,
    messages: &flume::Receiver<Result<CallerMessage>>,
) -> Result<()> {
    let codec = &shared.options.codecs.caller;
    let first = compio::time::timeout(OPEN_TIMEOUT, messages.recv_async()).await;
    let database = match first {
        Ok(Ok(Ok(CallerMessage::Open { database }))) => database,
        Ok(Ok(Ok(_))) => {
            let text = "a session starts with its opening";
            return refuse(shared, writer, ErrorClass::Malformed, text).await;
        }
        Ok(Ok(Err(error))) => return refuse_broken(shared, writer, error).await,
        _ => return Ok(()),
    };
    await_configuration(shared).await;
    if shared.route(&database).is_none() {
        decision!(
            "session", database = &*database, code = Code::UnknownService.number();
            "database not known"
        );
        return refuse(shared, writer, ErrorClass::NoDatabase, "no such database").await;
    }
    let mut output = BytesMut::new();
    (codec.ready)(&mut output, SessionState::Idle, None);
    socket::write(writer, output).await?;
    shared.metrics.callers.add(1, &[]);
    let mut session = Session {
        shared,
        database,
        values: Rc::default(),
        prepared: BTreeMap::new(),
        transaction: None,
        floor: None,
        position: None,
    };
    let ended = session.run(writer, messages).await;
    shared.metrics.callers.add(-1, &[]);
    ended
}

/// Before the first configuration it is not known which databases there are.
async fn await_configuration(shared: &Shared) {
    let deadline_ms = clock::boot_ms() + CONFIGURATION_WAIT_MS;
    while shared.catalog.borrow().is_none() && clock::boot_ms() < deadline_ms {
        compio::time::sleep(CONFIGURATION_POLL).await;
    }
}

async fn refuse(shared: &Shared, writer: &TcpStream, class: ErrorClass, text: &str) -> Result<()> {
    let mut output = BytesMut::new();
    (shared.options.codecs.caller.error)(&mut output, class, text);
    socket::write(writer, output).await
}

/// Tells a caller what is wrong with its message, if it still listens.
async fn refuse_broken(shared: &Shared, writer: &TcpStream, error: RelayError) -> Result<()> {
    let class = match &error {
        RelayError::Malformed { .. } => ErrorClass::Malformed,
        RelayError::TooLarge { .. } => ErrorClass::TooBig,
        RelayError::Closed => return Ok(()),
        _ => return Err(error),
    };
    decision!(
        "session", reason = error.to_string(), code = Code::ProtocolViolation.number();
        "message refused"
    );
    refuse(shared, writer, class, &error.to_string()).await
}

/// What ends a session's wait.
enum Wake {
    Message(CallerMessage),
    Broken(RelayError),
    Closed,
    /// The VM stops, or the transaction was idle for too long.
    Due,
}

impl Session<'_> {
    async fn run(
        &mut self,
        writer: &TcpStream,
        messages: &flume::Receiver<Result<CallerMessage>>,
    ) -> Result<()> {
        let end_spread_ms = rand::rng().random_range(0..STOP_SPREAD_MS);
        loop {
            match self.wait(messages, end_spread_ms).await {
                Wake::Message(CallerMessage::Statement(statement)) => {
                    let mut output = BytesMut::new();
                    self.answer(&statement, &mut output).await;
                    socket::write(writer, output).await?;
                }
                Wake::Message(CallerMessage::Close) | Wake::Closed => return Ok(()),
                Wake::Message(CallerMessage::Open { .. }) => {
                    let text = "the session is open already";
                    return refuse(self.shared, writer, ErrorClass::Malformed, text).await;
                }
                Wake::Broken(error) => return refuse_broken(self.shared, writer, error).await,
                Wake::Due => {
                    if self.end_due() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Waits for a message, or for the time at which the session or its
    /// transaction must end.
    async fn wait(
        &self,
        messages: &flume::Receiver<Result<CallerMessage>>,
        end_spread_ms: u64,
    ) -> Wake {
        let wake =
            |received: std::result::Result<Result<CallerMessage>, flume::RecvError>| match received
            {
                Ok(Ok(message)) => Wake::Message(message),
                Ok(Err(RelayError::Closed)) | Err(_) => Wake::Closed,
                Ok(Err(error)) => Wake::Broken(error),
            };
        let mut stopping = self.shared.stopping.clone();
        loop {
            let stop_ms = *stopping.borrow_and_update();
            let due_ms = self.due_ms(stop_ms, end_spread_ms);
            let receive = std::pin::pin!(messages.recv_async());
            let changed = std::pin::pin!(stopping.changed());
            let Some(due_ms) = due_ms else {
                match select(receive, changed).await {
                    Either::Left((received, _)) => return wake(received),
                    Either::Right(_) => continue,
                }
            };
            let left_ms = due_ms.saturating_sub(clock::boot_ms());
            let left = std::pin::pin!(compio::time::sleep(Duration::from_millis(left_ms)));
            let timer = select(changed, left);
            match select(receive, timer).await {
                Either::Left((received, _)) => return wake(received),
                Either::Right((Either::Left(_), _)) => continue,
                Either::Right((Either::Right(_), _)) => return Wake::Due,
            }
        }
    }

    /// Time at which the session or its transaction must end, in milliseconds.
    fn due_ms(&self, stop_ms: Option<u64>, end_spread_ms: u64) -> Option<u64> {
        let open = self.transaction.as_ref().filter(|t| t.link.is_some());
        let idle_ms = open.map(|_| clock::boot_ms() + self.transaction_idle_ms());
        let Some(stop_ms) = stop_ms else {
            return idle_ms;
        };
        if self.transaction.is_some() {
            let half_ms = stop_ms + self.shared.options.grace_ms / 2;
            return Some(idle_ms.map_or(half_ms, |idle_ms| idle_ms.min(half_ms)));
        }
        Some(stop_ms + STOP_LINGER_MS + end_spread_ms)
    }

    fn transaction_idle_ms(&self) -> u64 {
        let catalog = self.shared.catalog.borrow();
        catalog
            .as_ref()
            .map_or(u64::MAX / 2, |c| c.limits.transaction_idle_ms)
    }

    /// Ends what is due; `true` if that is the session.
    fn end_due(&mut self) -> bool {
        if self.shared.stopping.borrow().is_some() {
            return true;
        }
        if let Some(transaction) = &mut self.transaction {
            decision!("transaction", database = &*self.database; "idle for too long: ended");
            // The member rolls back when its connection closes.
            transaction.link = None;
            transaction.is_failed = true;
        }
        false
    }

    async fn answer(&mut self, statement: &Statement, output: &mut BytesMut) {
        let arrived_us = clock::boot_us();
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
        self.count(kind, outcome, took_us);
        self.log(statement, kind, outcome, reason, took_ms);
        match reply {
            Reply::Answer(answer) => output.extend_from_slice(&answer.body),
            Reply::Done => (codec.complete)(output),
            Reply::Error(class, text) => (codec.error)(output, class, &text),
        }
        (codec.ready)(output, self.state(), self.position);
    }

    fn count(&self, kind: &'static str, outcome: &'static str, took_us: u64) {
        let labels = [label("kind", kind), label("outcome", outcome)];
        let metrics = &self.shared.metrics;
        metrics.statements.add(1, &labels);
        metrics
            .statement_ms
            .record(took_us as f64 / 1_000.0, &labels[..1]);
    }

    fn log(&self, statement: &Statement, kind: &str, outcome: &str, reason: &str, took_ms: u64) {
        let version = self
            .shared
            .catalog
            .borrow()
            .as_ref()
            .map_or(0, |c| c.version);
        let request = String::from_utf8_lossy(&statement.id);
        if outcome == "done" {
            decision!(
                "request", request = request, kind = kind, database = &*self.database,
                version = version, took_ms = took_ms; "request done"
            );
        } else {
            decision!(
                "request_failed", request = request, kind = kind, database = &*self.database,
                version = version, outcome = outcome, reason = reason, took_ms = took_ms;
                "request failed"
            );
        }
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
            StatementKind::Begin { is_read_only } => self.begin(*is_read_only, arrived_us),
            StatementKind::Set { name, value } => {
                Rc::make_mut(&mut self.values).insert(name.clone(), value.clone());
                Reply::Done
            }
            StatementKind::Prepare {
                name,
                access,
                shape,
            } => {
                let shape = Shape::new(*access, shape.clone());
                self.prepared.insert(name.clone(), Rc::new(shape));
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

    fn begin(&mut self, is_read_only: bool, arrived_us: u64) -> Reply {
        if self.transaction.is_some() {
            return Reply::error(ErrorClass::Malformed, "a transaction is open already");
        }
        let Some(route) = self.shared.route(&self.database) else {
            return no_route();
        };
        self.transaction = Some(Transaction::new(route, is_read_only, arrived_us));
        Reply::Done
    }

    async fn run_statement(&mut self, statement: &Statement, arrived_us: u64) -> Reply {
        let shape = match &statement.kind {
            StatementKind::Execute { name, .. } => match self.prepared.get(name) {
                Some(shape) => Some(shape.clone()),
                None => {
                    return Reply::error(ErrorClass::NoStatement, "no such prepared statement");
                }
            },
            _ => None,
        };
        match self.transaction.take() {
            Some(transaction) => {
                self.run_in_transaction(transaction, statement, shape, arrived_us)
                    .await
            }
            None => self.run_alone(statement, shape, arrived_us).await,
        }
    }
}

fn no_route() -> Reply {
    Reply::error(ErrorClass::NoDatabase, "the database has no route any more")
}
