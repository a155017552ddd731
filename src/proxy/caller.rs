//! The session of one caller: reads its requests and answers them.

mod attempt;
mod conclude;

use std::pin::pin;

use compio::net::TcpStream;
use futures::future::{Either, select};
use pgwire::messages::response::TransactionStatus;

use super::{
    cancel::RunningRequest,
    connection::{Connection, ConnectionTarget},
    context::Context,
    error::{ProxyError, Refusal, Result},
    exchange::{Answer, Exchange, ExchangeError, IDLE_STATUS},
    frame::{Frame, from_caller},
    local, message,
    request::{Ending, Request, read_request},
    route_table::Route,
    session::{Session, TOKEN_PARAMETER},
    slot::{Purpose, SlotHandle},
    startup::{self, StartupRequest},
    wire::Wire,
};
use crate::{
    clock,
    decide::{
        acknowledge::{AcknowledgeMode, Commit, CommitOutcome, Decision, commit_outcome},
        classify::Class,
        retry::Backoff,
        route::Floor,
    },
    metrics::label,
    prelude::*,
    settings::Authentication,
};

/// Longest time for a caller to send its startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time to find out whether an unconfirmed commit survived a change of
/// primary.
const COMMIT_RESOLUTION_TIMEOUT_MS: u64 = 8_000;
/// Longest wait for a refused caller to close its side: a few round trips.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delays between attempts at a request that may be repeated.
const RETRY_BACKOFF: Backoff = Backoff {
    base_ms: 5,
    max_ms: 100,
};
/// Severity of an error that leaves the connection open.
const ERROR: &str = "ERROR";
/// Severity of an error that closes the connection.
const FATAL: &str = "FATAL";

/// Listener that accepted a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// The listener for callers.
    Public,
    /// The listener for requests that other VMs forward.
    Internal,
}

/// A connection in use by a request or transaction, and the slot that it is
/// returned to; without a slot it is from the peer pool.
struct BorrowedConnection {
    connection: Connection,
    slot: Option<SlotHandle>,
    since_us: u64,
    is_primary: bool,
}

/// How an attempt ended.
enum Attempt {
    /// The answer or a final refusal is queued for the caller.
    Done,
    /// The request was not run or is safe to repeat; the refusal is sent if the
    /// deadline has passed.
    Retry(Refusal),
}

struct Caller {
    wire: Wire,
    session: Session,
    context: Context,
    listener_kind: ListenerKind,
    key: (i32, i32),
    borrowed: Option<BorrowedConnection>,
}

/// Serves a caller until its connection ends.
pub async fn serve(context: Context, stream: TcpStream, listener_kind: ListenerKind) {
    let mut wire = Wire::new(stream, context.settings.request_max_bytes);
    let request = compio::time::timeout(STARTUP_TIMEOUT, startup::read_startup(&mut wire)).await;
    let startup = match request {
        Ok(Ok(StartupRequest::Session(startup))) => startup,
        Ok(Ok(StartupRequest::Cancel(request))) => return context.cancels.cancel(&request).await,
        Ok(Err(ProxyError::Closed)) | Err(_) => return,
        Ok(Err(error)) => {
            let refusal = Refusal::new(Code::ProtocolViolation, error.to_string());
            return refuse_and_close(&mut wire, &refusal).await;
        }
    };
    let session = match admit(&context, &startup, listener_kind).await {
        Ok(session) => session,
        Err(refusal) => return refuse_and_close(&mut wire, &refusal).await,
    };
    let key = context.cancels.register();
    context.metrics.callers.add(1, &[]);
    let mut caller = Caller {
        wire,
        session,
        context: context.clone(),
        listener_kind,
        key,
        borrowed: None,
    };
    if let Err(error) = caller.run().await {
        log::debug!(target: "caller", "connection ended: {error}");
    }
    context.metrics.callers.add(-1, &[]);
    context.cancels.remove(key);
}

async fn admit(
    context: &Context,
    startup: &pgwire::messages::startup::Startup,
    listener_kind: ListenerKind,
) -> std::result::Result<Session, Refusal> {
    if context.is_draining() {
        return Err(Refusal::new(Code::Stopping, "this VM is stopping"));
    }
    let trusts = context.settings.authentication == Authentication::Trust;
    if listener_kind == ListenerKind::Public && !trusts {
        let text = "authentication is not set up on this listener";
        return Err(Refusal::new(Code::StartupRefused, text));
    }
    let session = startup::start_session(startup)?;
    context.find_route(&session.service, false).await?;
    Ok(session)
}

async fn refuse_and_close(wire: &mut Wire, refusal: &Refusal) {
    message::put_refusal(wire.output(), FATAL, refusal);
    if let Err(error) = wire.close_gracefully(CLOSE_TIMEOUT).await {
        // The connection ends either way.
        log::debug!(target: "caller", "connection not closed in order: {error}");
    }
}

impl Caller {
    async fn run(&mut self) -> Result<()> {
        startup::put_startup_reply(&mut self.wire, &self.session, self.key);
        self.wire.flush().await?;
        while let Some(first) = self.next_request().await? {
            if first.tag() == from_caller::TERMINATE {
                return Ok(());
            }
            let max_bytes = self.context.settings.request_max_bytes;
            let request = read_request(first, &mut self.wire, &mut self.session, max_bytes).await;
            let request = match request {
                Ok(request) => request,
                Err(error) => return self.refuse_connection(error).await,
            };
            self.serve(&request).await?;
            self.wire.flush().await?;
        }
        Ok(())
    }

    /// Waits for the first message of a request. Returns `None` when the caller
    /// has closed or was refused, or when the VM is stopping; an open
    /// transaction may finish first.
    async fn next_request(&mut self) -> Result<Option<Frame>> {
        if let Some(frame) = self.take_buffered().await? {
            return Ok(Some(frame));
        }
        let mut draining = self.context.draining.clone();
        let may_stop = self.borrowed.is_none();
        let frame = {
            let next = pin!(self.wire.next_frame());
            let stopping = pin!(async {
                match may_stop {
                    true => draining.wait_for(|is_draining| *is_draining).await.is_ok(),
                    false => futures::future::pending().await,
                }
            });
            match select(next, stopping).await {
                Either::Left((frame, _)) => Some(frame),
                Either::Right(_) => None,
            }
        };
        match frame {
            Some(Err(ProxyError::TooLarge { bytes })) => {
                self.refuse_connection(ProxyError::TooLarge { bytes })
                    .await?;
                Ok(None)
            }
            Some(Err(ProxyError::Closed)) => Ok(None),
            Some(frame) => frame.map(Some),
            None => {
                let refusal = Refusal::new(Code::Stopping, "this VM is stopping");
                refuse_and_close(&mut self.wire, &refusal).await;
                Ok(None)
            }
        }
    }

    async fn take_buffered(&mut self) -> Result<Option<Frame>> {
        match self.wire.take_frame() {
            Err(error) => {
                self.refuse_connection(error).await?;
                Err(ProxyError::Closed)
            }
            taken => taken,
        }
    }

    async fn refuse_connection(&mut self, error: ProxyError) -> Result<()> {
        let code = match error {
            ProxyError::Protocol { .. } => Code::ProtocolViolation,
            ProxyError::TooLarge { .. } => Code::RequestTooLarge,
            _ => return Err(error),
        };
        let refusal = Refusal::new(code, error.to_string());
        self.count_refusal(&refusal);
        refuse_and_close(&mut self.wire, &refusal).await;
        Ok(())
    }

    async fn serve(&mut self, request: &Request) -> Result<()> {
        let class: &'static str = class_label(request.class);
        self.context
            .metrics
            .requests
            .add(1, &[label("class", class)]);
        if let Some(refusal) = &request.refusal {
            self.refuse(request, refusal);
            return Ok(());
        }
        match request.class {
            Class::Own | Class::Session => {
                let status = match self.borrowed {
                    Some(_) => TransactionStatus::Transaction,
                    None => TransactionStatus::Idle,
                };
                let output = self.wire.output();
                if let Err(refusal) = local::run(request, &mut self.session, status, output) {
                    self.refuse(request, &refusal);
                }
                return Ok(());
            }
            Class::Copy => {
                let refusal = Refusal::new(Code::CopyRefused, "COPY is not carried");
                self.refuse(request, &refusal);
                return Ok(());
            }
            _ => {}
        }
        self.attempt_until_deadline(request).await
    }

    /// Refuses a request. Dropping the connection rolls back an open
    /// transaction, so the caller is told that none is open.
    fn refuse(&mut self, request: &Request, refusal: &Refusal) {
        self.borrowed = None;
        self.count_refusal(refusal);
        message::put_refusal(self.wire.output(), ERROR, refusal);
        if request.ending != Ending::Flush {
            message::put_ready(self.wire.output());
        }
    }

    fn count_refusal(&self, refusal: &Refusal) {
        log::info!(
            target: "refusal", service = &*self.session.service,
            code = refusal.code.number(), outcome = refusal.code.outcome().to_string().as_str();
            "{refusal}"
        );
        self.context
            .metrics
            .refusals
            .add(1, &[label("code", refusal.code)]);
    }
}

/// Finds out whether a commit whose term ended before it was confirmed survived
/// the change of primary. Returns its position in the new term if it did.
async fn resolve_commit(
    slot: &SlotHandle,
    commit: Commit,
) -> std::result::Result<Position, Refusal> {
    let unknown = |text: &str| Refusal::new(Code::CommitUnconfirmed, text);
    let deadline_ms = clock::now_ms() + COMMIT_RESOLUTION_TIMEOUT_MS;
    let floor = Floor::Unknown;
    let granted = slot.acquire(Purpose::Begin { floor }, deadline_ms).await;
    let mut granted = granted.map_err(|_| unknown("no primary tells what became of the commit"))?;
    let (Some(barrier), ConnectionTarget::Member { member, term }) =
        (granted.floor, granted.connection.target.clone())
    else {
        return Err(unknown("no primary tells what became of the commit"));
    };
    if term != barrier.term {
        return Err(unknown("the primary changed again meanwhile"));
    }
    let query = super::status_query::term_at(&mut granted.connection, commit.position.lsn);
    let found_term = compio::time::timeout(clock::until(deadline_ms), query).await;
    let Ok(Ok(found_term)) = found_term else {
        return Err(unknown(
            "the new primary did not tell what became of the commit",
        ));
    };
    slot.release(granted.connection, true, 0);
    match commit_outcome(&commit, barrier, member, found_term) {
        CommitOutcome::Discarded => {
            let text = "the primary failed before the commit was safe; it was not run";
            Err(Refusal::new(Code::TransactionDiscarded, text))
        }
        CommitOutcome::Inherited(commit) if slot.confirm(commit).await == Decision::Acknowledge => {
            Ok(commit.position)
        }
        _ => Err(unknown("the commit was not confirmed")),
    }
}

fn is_holder(context: &Context, service: &str, vm: &Name) -> bool {
    let route = context.route(service);
    route.is_some_and(|r| r.holders.iter().any(|h| h.vm == *vm))
}

fn class_label(class: Class) -> &'static str {
    match class {
        Class::Read | Class::BeginReadOnly | Class::Empty => "read",
        Class::Own | Class::Session => "session",
        Class::Copy => "copy",
        _ => "write",
    }
}
