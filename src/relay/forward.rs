//! Forwards the statements of other VMs to members that they can't reach.
//!
//! Another VM opens a connection here as it would open one to the member. This
//! VM keeps the session variables and prepared statements of that connection, and
//! runs each statement or transaction on one of its own pooled connections to
//! the member.

mod session;

use std::rc::Rc;

use bytes::BytesMut;
use compio::net::TcpStream;

use self::session::ForwardSession;
use super::{
    ErrorClass, ForwardMessage, Result, SessionState, Take,
    byte_budget::Reservation,
    handle::Shared,
    socket::{Received, Socket, read_messages},
};
use crate::{decision_log::decision, prelude::*};

/// Messages of another VM that are read ahead.
const BACKLOG: usize = 16;
/// Time after which an idle connection is closed: a VM that lost power does not
/// close its connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Added to the limit for idle transactions: the other VM ends its idle
/// transactions itself, so that this VM ends only those of a lost VM.
const TRANSACTION_MARGIN: Duration = Duration::from_secs(1);

/// Serves a connection of another VM until it ends.
pub async fn serve(shared: &Rc<Shared>, stream: TcpStream) {
    let Ok(socket) = Socket::new(stream) else {
        return;
    };
    let writer = socket.writer();
    let (sender, messages) = flume::bounded(BACKLOG);
    let decode = shared.options.codecs.forward.decode;
    let large = shared.options.large_messages.clone();
    let reader = compio::runtime::spawn(read_messages(socket, sender, decode, large));
    if let Err(error) = serve_session(shared, &writer, &messages).await {
        decision!("forward", reason = error.to_string(); "connection of another VM failed");
    }
    // Cancels the reader task, which owns the last handle of the socket.
    drop(reader);
}

async fn serve_session(
    shared: &Rc<Shared>,
    writer: &TcpStream,
    messages: &flume::Receiver<Received<ForwardMessage>>,
) -> Result<()> {
    let first = next_message(messages, IDLE_TIMEOUT).await?;
    let (service, member) = match first.map(|(message, _)| message) {
        Some(ForwardMessage::Open { service, member }) => (service, member),
        Some(ForwardMessage::Take(take)) => {
            return serve_takes(shared, writer, messages, take).await;
        }
        _ => return Ok(()),
    };
    let codec = &shared.options.codecs.caller;
    let mut output = BytesMut::new();
    if shared.mailbox(&service).is_none() {
        (codec.error)(&mut output, ErrorClass::WrongMember, "no such service");
        return super::socket::write(writer, output).await;
    }
    (codec.ready)(&mut output, SessionState::Idle, None);
    super::socket::write(writer, output).await?;
    let mut session = ForwardSession::new(shared.clone(), service, member, messages.clone());
    let ended = run_session(shared, writer, messages, &mut session).await;
    session.finish();
    ended
}

/// Answers requests for tokens in order, until the connection ends.
async fn serve_takes(
    shared: &Shared,
    writer: &TcpStream,
    messages: &flume::Receiver<Received<ForwardMessage>>,
    first: Take,
) -> Result<()> {
    let mut take = first;
    let mut output = BytesMut::new();
    loop {
        let Some(grant) = shared.meter.take(take).await else {
            return Ok(());
        };
        (shared.options.codecs.forward.encode_grant)(&mut output, &grant);
        if messages.is_empty() {
            super::socket::write(writer, std::mem::take(&mut output)).await?;
        }
        let next = next_message(messages, IDLE_TIMEOUT).await?;
        let Some((ForwardMessage::Take(next), _)) = next else {
            return Ok(());
        };
        take = next;
    }
}

async fn run_session(
    shared: &Shared,
    writer: &TcpStream,
    messages: &flume::Receiver<Received<ForwardMessage>>,
    session: &mut ForwardSession,
) -> Result<()> {
    let mut read_ahead = None;
    loop {
        let limit = match session.is_in_transaction() {
            true => Duration::from_millis(shared.transaction_idle_ms()) + TRANSACTION_MARGIN,
            false => IDLE_TIMEOUT,
        };
        let message = match read_ahead.take() {
            Some(message) => Some(message),
            None => next_message(messages, limit).await?,
        };
        let Some((message, _reservation)) = message else {
            return Ok(());
        };
        let mut output = BytesMut::new();
        // A report requested right after a statement is answered together with it.
        let mut wants_report = false;
        if let ForwardMessage::Run { .. } = message {
            let received = messages.try_recv().ok();
            read_ahead = received.map(Received::into_parts).transpose()?;
            wants_report = matches!(read_ahead, Some((ForwardMessage::Status, _)));
            read_ahead = read_ahead.filter(|_| !wants_report);
        }
        let stays_open = session.answer(message, wants_report, &mut output).await?;
        if !stays_open {
            return Ok(());
        }
        super::socket::write(writer, output).await?;
    }
}

/// Next message, with the memory reserved for it; `None` once the connection is closed or idle for too long.
async fn next_message(
    messages: &flume::Receiver<Received<ForwardMessage>>,
    limit: Duration,
) -> Result<Option<(ForwardMessage, Option<Reservation>)>> {
    let received = compio::time::timeout(limit, messages.recv_async()).await;
    let Ok(Ok(received)) = received else {
        return Ok(None);
    };
    match received.into_parts() {
        Ok(parts) => Ok(Some(parts)),
        Err(super::RelayError::Closed) => Ok(None),
        Err(error) => Err(error),
    }
}
