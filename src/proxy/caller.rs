//! The task of one caller.

use std::pin::pin;

use compio::net::TcpStream;
use futures::future::{Either, select};
use pgwire::messages::response::TransactionStatus;

use super::{
    cancel::Running,
    context::Context,
    error::{ProxyError, Refusal, Result},
    exchange::{Answer, Broken, Exchange, IDLE},
    frame::{Frame, from_caller},
    link::{Link, LinkTarget},
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
        acknowledge::{Acknowledge, Commit, Decision, Fate, fate},
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
pub enum Entry {
    /// The listener for callers.
    Public,
    /// The listener for callers that other VMs forward.
    Internal,
}

/// A connection that a request uses, with where it came from.
struct Held {
    link: Link,
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
    entry: Entry,
    key: (i32, i32),
    held: Option<Held>,
}

/// Serves a caller until it leaves.
pub async fn serve(context: Context, stream: TcpStream, entry: Entry) {
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
    entry: Entry,
) -> std::result::Result<Session, Refusal> {
    if context.is_draining() {
        return Err(Refusal::new(Code::Stopping, "this VM is stopping"));
    }
    let trusts = context.settings.authentication == Authentication::Trust;
    if entry == Entry::Public && !trusts {
        let text = "authentication is not set up on this listener";
        return Err(Refusal::new(Code::StartupRefused, text));
    }
    let session = startup::start_session(started)?;
    context.locate(&session.service, false).await?;
    Ok(session)
}

async fn refuse_and_close(wire: &mut Wire, refusal: &Refusal) {
    message::put_refusal(wire.output(), FATAL, refusal);
    // The connection ends either way.
    let _ = wire.flush().await;
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

    /// Runs a request, again if it is proved that it was not run.
    async fn attempt_until_deadline(&mut self, request: &Request) -> Result<()> {
        let route = match self.context.locate(&self.session.service, false).await {
            Ok(route) => route,
            Err(refusal) => {
                self.refuse(request, &refusal);
                return Ok(());
            }
        };
        let deadline_ms = clock::now_ms() + route.settings.queue_deadline_ms;
        let mut must_write = false;
        let mut failures = 0;
        loop {
            let attempt = self.attempt(request, deadline_ms, must_write).await?;
            let refusal = match attempt {
                Attempt::Done => return Ok(()),
                Attempt::Again(refusal) => refusal,
            };
            failures += 1;
            must_write |= refusal.code == Code::ReadOnly;
            if clock::now_ms() >= deadline_ms {
                self.refuse(request, &refusal);
                return Ok(());
            }
            self.context
                .metrics
                .retries
                .add(1, &[label("code", refusal.code)]);
            self.pause(failures).await;
        }
    }

    async fn pause(&self, failures: u32) {
        let delay_ms = RETRY_BACKOFF.delay_ms(failures);
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }

    async fn attempt(
        &mut self,
        request: &Request,
        deadline_ms: u64,
        must_write: bool,
    ) -> Result<Attempt> {
        let is_pinned = self.held.is_some();
        if !is_pinned {
            let want = self.want(request, must_write);
            match self.acquire(want, deadline_ms, must_write).await {
                Ok(held) => self.held = Some(held),
                Err(refusal) if matches!(refusal.code, Code::NoSlot | Code::Stopping) => {
                    return Ok(Attempt::Again(refusal));
                }
                Err(refusal) => {
                    self.refuse(request, &refusal);
                    return Ok(Attempt::Done);
                }
            }
        }
        self.exchange(request, is_pinned).await
    }

    fn want(&self, request: &Request, must_write: bool) -> Want {
        let floor = self.session.floor;
        match request.class {
            _ if must_write => Want::Write,
            Class::Empty | Class::Read | Class::BeginReadOnly => Want::Read {
                floor,
                max_age_ms: self.session.max_age_ms,
            },
            Class::Begin => Want::Begin { floor },
            _ => Want::Write,
        }
    }

    async fn acquire(
        &mut self,
        want: Want,
        deadline_ms: u64,
        is_stale: bool,
    ) -> std::result::Result<Held, Refusal> {
        let route = self.context.locate(&self.session.service, is_stale).await?;
        if let Some(slot) = route.slot.clone() {
            let granted = slot.acquire(want, deadline_ms).await?;
            if let Some(position) = granted.floor {
                self.session.reach(position);
            }
            return Ok(Held {
                link: granted.link,
                slot: Some(slot),
                since_us: clock::now_us(),
                is_primary: granted.is_primary,
            });
        }
        self.acquire_remote(&route).await
    }

    async fn acquire_remote(&mut self, route: &Route) -> std::result::Result<Held, Refusal> {
        let mut last = Refusal::new(Code::NoSlot, "no VM holds a slot of the service");
        if self.entry == Entry::Internal {
            // Forwarding again could go in circles.
            let text = "this VM holds no slot of the service";
            return Err(Refusal::new(Code::NoSlot, text));
        }
        for holder in &route.holders {
            let trunks = &self.context.trunks;
            let service = &self.session.service;
            match trunks.acquire(service, &holder.vm, holder.internal).await {
                Ok(link) => {
                    return Ok(Held {
                        link,
                        slot: None,
                        since_us: clock::now_us(),
                        is_primary: false,
                    });
                }
                Err(refusal) => last = refusal,
            }
        }
        // What is known of the holders has failed: look again.
        let _ = self.context.locate(&self.session.service, true).await;
        Err(last)
    }

    async fn exchange(&mut self, request: &Request, is_pinned: bool) -> Result<Attempt> {
        let Some(mut held) = self.held.take() else {
            return Ok(Attempt::Done);
        };
        let asks_position = held.slot.is_some()
            && held.is_primary
            && request.ending != Ending::Flush
            && match is_pinned {
                true => request.class == Class::Commit,
                false => request.may_write(),
            };
        self.context.cancels.set(
            self.key,
            Some(Running {
                address: held.link.address,
                key: held.link.key,
            }),
        );
        let slot = held.slot.clone();
        let target = held.link.target.clone();
        let context = self.context.clone();
        let service = self.session.service.clone();
        let is_dead = async || match (&slot, &target) {
            (Some(slot), LinkTarget::Member { member, term }) => slot.is_gone(*member, *term).await,
            (_, LinkTarget::Vm { vm }) => !is_holder(&context, &service, vm),
            _ => false,
        };
        let exchange = Exchange::new(&mut held.link, &mut self.wire, &mut self.session);
        let outcome = exchange.run(request, asks_position, is_dead).await;
        self.context.cancels.set(self.key, None);
        match outcome {
            Ok(answer) => self.conclude(request, held, answer, is_pinned).await,
            Err(Broken::Caller(error)) => Err(error),
            Err(Broken::Link(error, is_passed)) => {
                self.report_failure(&held);
                drop(held);
                self.conclude_broken(request, &error, is_passed, is_pinned)
            }
        }
    }

    fn report_failure(&self, held: &Held) {
        if let (Some(slot), LinkTarget::Member { member, .. }) = (&held.slot, &held.link.target) {
            slot.send(super::slot::SlotMessage::Failed { member: *member });
        }
    }

    fn conclude_broken(
        &mut self,
        request: &Request,
        error: &ProxyError,
        is_passed: bool,
        is_pinned: bool,
    ) -> Result<Attempt> {
        let is_read = matches!(
            request.class,
            Class::Read | Class::Empty | Class::BeginReadOnly
        );
        let was_not_run = matches!(error, ProxyError::NotRun { .. });
        let may_repeat =
            was_not_run || is_read || self.session.is_idempotent || !request.is_executed;
        if is_passed {
            let refusal = Refusal::new(Code::AnswerCut, error.to_string());
            self.count_refusal(&refusal);
            return Err(ProxyError::Closed);
        }
        if may_repeat && !is_pinned {
            return Ok(Attempt::Again(Refusal::new(
                Code::AnswerCut,
                error.to_string(),
            )));
        }
        let refusal = match request.class {
            Class::Begin => {
                return Ok(Attempt::Again(Refusal::new(
                    Code::NoPrimary,
                    error.to_string(),
                )));
            }
            _ if is_pinned && request.class != Class::Commit => {
                let text = format!("the transaction was rolled back: {error}");
                Refusal::new(Code::AnswerCut, text)
            }
            _ => Refusal::new(Code::OutcomeUnknown, error.to_string()),
        };
        self.refuse(request, &refusal);
        Ok(Attempt::Done)
    }

    async fn conclude(
        &mut self,
        request: &Request,
        mut held: Held,
        mut answer: Answer,
        is_pinned: bool,
    ) -> Result<Attempt> {
        if request.ending == Ending::Flush {
            self.wire.push(&answer.held);
            self.held = Some(held);
            return Ok(Attempt::Done);
        }
        let was_refused = answer.is_refused_as_write() && !answer.is_passed;
        if was_refused && !is_pinned && request.class != Class::BeginReadOnly {
            return Ok(self.rerun(held));
        }
        if answer.status != IDLE {
            self.wire.push(&answer.held);
            self.held = Some(held);
            return Ok(Attempt::Done);
        }
        let has_committed = answer.error_state.is_none() && !answer.is_rollback;
        let wrote = request.may_write() || is_pinned;
        if held.is_primary && has_committed && wrote && held.slot.is_some() {
            if answer.lsn.is_none() {
                answer.lsn = Exchange::position(&mut held.link).await.ok().flatten();
            }
            if let Err(refusal) = self.acknowledge(&held, answer.lsn).await {
                self.release(held, true);
                let may_rerun = !is_pinned && !answer.is_passed;
                if refusal.code == Code::TransactionDiscarded && may_rerun {
                    return Ok(Attempt::Again(refusal));
                }
                self.refuse(request, &refusal);
                return Ok(Attempt::Done);
            }
        }
        self.session.portals.clear();
        self.wire.push(&answer.held);
        self.release(held, true);
        Ok(Attempt::Done)
    }

    /// The member proved that the statement was not run.
    fn rerun(&mut self, held: Held) -> Attempt {
        let was_primary = held.is_primary;
        if let Some(slot) = &held.slot
            && was_primary
        {
            slot.send(super::slot::SlotMessage::Refresh);
        }
        // What the member sent is dropped with the refused answer.
        self.release(held, true);
        let text = "the member refused the statement as a write";
        Attempt::Again(Refusal::new(Code::ReadOnly, text))
    }

    /// Waits until a commit may be acknowledged; raises the session's position.
    async fn acknowledge(
        &mut self,
        held: &Held,
        lsn: Option<Lsn>,
    ) -> std::result::Result<(), Refusal> {
        let unknown = |text: &str| Refusal::new(Code::CommitUnconfirmed, text);
        let (Some(slot), LinkTarget::Member { member, term }) = (&held.slot, &held.link.target)
        else {
            return Ok(());
        };
        let lsn = lsn.ok_or_else(|| unknown("the position of the commit is not known"))?;
        let position = Position::new(*term, lsn);
        let commit = Commit {
            position,
            primary: *member,
            answered_ms: clock::now_ms(),
        };
        let position = match slot.confirm(commit).await {
            Decision::Acknowledge => position,
            // Only the barrier by majority tells what can't come back.
            _ if self.acknowledges_by_majority() => find_fate(slot, commit).await?,
            _ => return Err(unknown("the commit was not confirmed in its term")),
        };
        if self.session.reach(position) {
            let token = self.session.token();
            message::put_parameter(self.wire.output(), TOKEN_PARAMETER, &token);
        }
        Ok(())
    }

    fn acknowledges_by_majority(&self) -> bool {
        let route = self.context.route(&self.session.service);
        route.is_some_and(|r| r.settings.acknowledge == Acknowledge::Majority)
    }

    fn release(&mut self, held: Held, is_clean: bool) {
        let held_us = clock::now_us().saturating_sub(held.since_us);
        match held.slot {
            Some(slot) => slot.release(held.link, is_clean, held_us),
            None => self
                .context
                .trunks
                .release(&self.session.service, held.link),
        }
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
    let (Some(now), LinkTarget::Member { member, term }) =
        (granted.floor, granted.link.target.clone())
    else {
        return Err(unknown("no primary tells what became of the commit"));
    };
    if term != now.term {
        return Err(unknown("the primary changed again meanwhile"));
    }
    let asked = super::watch::term_at(&mut granted.link, commit.position.lsn);
    let found = compio::time::timeout(clock::until(deadline_ms), asked).await;
    let Ok(Ok(found)) = found else {
        return Err(unknown(
            "the new primary did not tell what became of the commit",
        ));
    };
    slot.release(granted.link, true, 0);
    match fate(&commit, now, member, found) {
        Fate::Discarded => {
            let text = "the primary failed before the commit was safe; it was not run";
            Err(Refusal::new(Code::TransactionDiscarded, text))
        }
        Fate::Inherited(commit) if slot.confirm(commit).await == Decision::Acknowledge => {
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
