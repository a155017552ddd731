//! The task of one caller.

mod attempt;
mod conclude;

use std::pin::pin;

use compio::net::TcpStream;
use futures::future::{Either, select};
use pgwire::messages::response::TransactionStatus;

use super::{
    cancel::Running,
    connection::{Connection, ConnectionTarget},
    context::Context,
    error::{ProxyError, Refusal, Result},
    exchange::{Answer, Exchange, ExchangeError, IDLE},
    frame::{Frame, from_caller},
    local, message,
    request::{Ending, Request, gather},
    route_table::Route,
    session::{Session, TOKEN_PARAMETER},
    slot::{SlotHandle, Want},
    startup::{self, Opening},
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

/// Longest time for a caller to finish its start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time to find out what became of an unconfirmed commit, in
/// milliseconds.
const FATE_MS: u64 = 8_000;
/// Longest wait for a caller to close after it was refused: a few round trips.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);
/// Delays between attempts at a request that was proved not run.
const RETRY_BACKOFF: Backoff = Backoff {
    base_ms: 5,
    max_ms: 100,
};
/// Severity of an error after which the connection goes on.
const ERROR: &str = "ERROR";
/// Severity of an error after which the connection ends.
const FATAL: &str = "FATAL";

/// Which listener a caller came through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// The listener for callers.
    Public,
    /// The listener for callers that other VMs forward.
    Internal,
}

/// A connection that a request uses, with where it came from.
struct Held {
    connection: Connection,
    slot: Option<SlotHandle>,
    since_us: u64,
    is_primary: bool,
}

/// How an attempt ended.
enum Attempt {
    /// The answer was queued, or the request refused for good.
    Done,
    /// The request was not run, or may be repeated.
    Again(Refusal),
}

struct Caller {
    wire: Wire,
    session: Session,
    context: Context,
    entry: ListenerKind,
    key: (i32, i32),
    held: Option<Held>,
}

/// Serves a caller until it leaves.
pub async fn serve(context: Context, stream: TcpStream, entry: ListenerKind) {
    let mut wire = Wire::new(stream, context.settings.request_max_bytes);
    let opening = compio::time::timeout(STARTUP_TIMEOUT, startup::read_opening(&mut wire)).await;
    let started = match opening {
        Ok(Ok(Opening::Session(started))) => started,
        Ok(Ok(Opening::Cancel(request))) => return context.cancels.cancel(&request).await,
        Ok(Err(ProxyError::Closed)) | Err(_) => return,
        Ok(Err(error)) => {
            let refusal = Refusal::new(Code::ProtocolViolation, error.to_string());
            return refuse_and_close(&mut wire, &refusal).await;
        }
    };
    let session = match admit(&context, &started, entry).await {
        Ok(session) => session,
        Err(refusal) => return refuse_and_close(&mut wire, &refusal).await,
    };
    let key = context.cancels.register();
    context.metrics.callers.add(1, &[]);
    let mut caller = Caller {
        wire,
        session,
        context: context.clone(),
        entry,
        key,
        held: None,
    };
    if let Err(error) = caller.run().await {
        log::debug!(target: "caller", "connection ended: {error}");
    }
    context.metrics.callers.add(-1, &[]);
    context.cancels.remove(key);
}

async fn admit(
    context: &Context,
    started: &pgwire::messages::startup::Startup,
    entry: ListenerKind,
) -> std::result::Result<Session, Refusal> {
    if context.is_draining() {
        return Err(Refusal::new(Code::Stopping, "this VM is stopping"));
    }
    let trusts = context.settings.authentication == Authentication::Trust;
    if entry == ListenerKind::Public && !trusts {
        let text = "authentication is not set up on this listener";
        return Err(Refusal::new(Code::StartupRefused, text));
    }
    let session = startup::start_session(started)?;
    context.find_route(&session.service, false).await?;
    Ok(session)
}

async fn refuse_and_close(wire: &mut Wire, refusal: &Refusal) {
    message::put_refusal(wire.output(), FATAL, refusal);
    if let Err(error) = wire.finish(FINISH_TIMEOUT).await {
        // The connection ends either way.
        log::debug!(target: "caller", "connection not closed in order: {error}");
    }
}

impl Caller {
    async fn run(&mut self) -> Result<()> {
        startup::put_welcome(&mut self.wire, &self.session, self.key);
        self.wire.flush().await?;
        while let Some(first) = self.next_request().await? {
            if first.tag() == from_caller::TERMINATE {
                return Ok(());
            }
            let max_bytes = self.context.settings.request_max_bytes;
            let request = gather(first, &mut self.wire, &mut self.session, max_bytes).await;
            let request = match request {
                Ok(request) => request,
                Err(error) => return self.refuse_connection(error).await,
            };
            self.serve(&request).await?;
            self.wire.flush().await?;
        }
        Ok(())
    }

    /// Waits for the first message of a request; `None` once the VM is
    /// stopping and no request or transaction is open.
    async fn next_request(&mut self) -> Result<Option<Frame>> {
        if let Some(frame) = self.take_first().await? {
            return Ok(Some(frame));
        }
        let mut draining = self.context.draining.clone();
        let may_leave = self.held.is_none();
        let frame = {
            let next = pin!(self.wire.next_frame());
            let stopping = pin!(async {
                match may_leave {
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

    async fn take_first(&mut self) -> Result<Option<Frame>> {
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
                let status = match self.held {
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

    /// Refuses a request. An open transaction is rolled back with its
    /// connection: the caller is told that none is open.
    fn refuse(&mut self, request: &Request, refusal: &Refusal) {
        self.held = None;
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

/// Finds out what became of a commit whose term ended before it was confirmed;
/// its position in the new term if it survived.
async fn find_fate(slot: &SlotHandle, commit: Commit) -> std::result::Result<Position, Refusal> {
    let unknown = |text: &str| Refusal::new(Code::CommitUnconfirmed, text);
    let deadline_ms = clock::now_ms() + FATE_MS;
    let floor = Floor::Unknown;
    let granted = slot.acquire(Want::Begin { floor }, deadline_ms).await;
    let mut granted = granted.map_err(|_| unknown("no primary tells what became of the commit"))?;
    let (Some(now), ConnectionTarget::Member { member, term }) =
        (granted.floor, granted.connection.target.clone())
    else {
        return Err(unknown("no primary tells what became of the commit"));
    };
    if term != now.term {
        return Err(unknown("the primary changed again meanwhile"));
    }
    let asked = super::status_query::term_at(&mut granted.connection, commit.position.lsn);
    let found = compio::time::timeout(clock::until(deadline_ms), asked).await;
    let Ok(Ok(found)) = found else {
        return Err(unknown(
            "the new primary did not tell what became of the commit",
        ));
    };
    slot.release(granted.connection, true, 0);
    match commit_outcome(&commit, now, member, found) {
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
