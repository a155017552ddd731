//! Standing for a member towards VMs that don't reach it themselves.
//!
//! Such a VM opens a connection here as it would open one to the member. Its
//! session values and prepared statements are remembered; each statement or
//! transaction borrows one of this VM's own connections to the member.

mod conversation;

use std::rc::Rc;

use bytes::BytesMut;
use compio::net::TcpStream;

use self::conversation::Conversation;
use super::{
    ErrorClass, ForwardMessage, Result, SessionState,
    handle::Shared,
    socket::{Socket, read_messages},
};
use crate::{decision_log::decision, prelude::*};

/// Messages of a VM that wait for their turn.
const BACKLOG: usize = 16;
/// Time after which a connection on which nothing is said is closed: a VM that
/// lost power closes none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time by which a transaction here outlives the limit that the other VM
/// keeps: it ends its transactions itself unless it is lost.
const TRANSACTION_MARGIN: Duration = Duration::from_secs(1);

/// Serves a connection of another VM until it ends.
pub async fn serve(shared: &Rc<Shared>, stream: TcpStream) {
    let Ok(socket) = Socket::new(stream) else {
        return;
    };
    let writer = socket.writer();
    let (sender, messages) = flume::bounded(BACKLOG);
    let decode = shared.options.codecs.forward.decode;
    let reader = compio::runtime::spawn(read_messages(socket, sender, decode));
    if let Err(error) = converse(shared, &writer, &messages).await {
        decision!("forward", reason = error.to_string(); "connection of another VM broken");
    }
    // Ends the task, and with it the last handle of the socket.
    drop(reader);
}

async fn converse(
    shared: &Rc<Shared>,
    writer: &TcpStream,
    messages: &flume::Receiver<Result<ForwardMessage>>,
) -> Result<()> {
    let Some(ForwardMessage::Open { service, member }) = next(messages, IDLE_TIMEOUT).await? else {
        return Ok(());
    };
    let codec = &shared.options.codecs.caller;
    let mut output = BytesMut::new();
    if shared.service(&service).is_none() {
        (codec.error)(&mut output, ErrorClass::WrongMember, "no such service");
        return super::socket::write(writer, output).await;
    }
    (codec.ready)(&mut output, SessionState::Idle, None);
    super::socket::write(writer, output).await?;
    let mut conversation = Conversation::new(shared.clone(), service, member, messages.clone());
    let ended = talk(shared, writer, messages, &mut conversation).await;
    conversation.finish();
    ended
}

async fn talk(
    shared: &Shared,
    writer: &TcpStream,
    messages: &flume::Receiver<Result<ForwardMessage>>,
    conversation: &mut Conversation,
) -> Result<()> {
    let mut early = None;
    loop {
        let limit = match conversation.is_in_transaction() {
            true => Duration::from_millis(shared.transaction_idle_ms()) + TRANSACTION_MARGIN,
            false => IDLE_TIMEOUT,
        };
        let message = match early.take() {
            Some(message) => Some(message),
            None => next(messages, limit).await?,
        };
        let Some(message) = message else {
            return Ok(());
        };
        let mut output = BytesMut::new();
        // A report that was asked for right behind a statement goes with it.
        let mut wants_report = false;
        if let ForwardMessage::Run { .. } = message {
            early = messages.try_recv().ok().transpose()?;
            wants_report = matches!(early, Some(ForwardMessage::Status));
            early = early.filter(|_| !wants_report);
        }
        let is_going_on = conversation
            .answer(message, wants_report, &mut output)
            .await?;
        if !is_going_on {
            return Ok(());
        }
        super::socket::write(writer, output).await?;
    }
}

/// The next message; `None` once the connection is closed or idle for too long.
async fn next(
    messages: &flume::Receiver<Result<ForwardMessage>>,
    limit: Duration,
) -> Result<Option<ForwardMessage>> {
    match compio::time::timeout(limit, messages.recv_async()).await {
        Ok(Ok(Ok(message))) => Ok(Some(message)),
        Ok(Ok(Err(super::RelayError::Closed)) | Err(_)) | Err(_) => Ok(None),
        Ok(Ok(Err(error))) => Err(error),
    }
}
