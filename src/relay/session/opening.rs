//! Opening of a session, and the refusals sent to callers.

use std::future::Future;

use futures::future::{Either, select};

use super::*;
use crate::relay::{
    callers::ConnectedCaller,
    socket::{MESSAGE_MAX_BYTES, read_messages},
};

/// Messages of a caller that are read ahead, so that its leaving is noticed.
const BACKLOG: usize = 1;
/// Time within which a caller must open its session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the first configuration: shorter than the timeouts of callers.
const CONFIGURATION_WAIT_MS: u64 = 1_500;
const CONFIGURATION_POLL: Duration = Duration::from_millis(20);

/// Serves a caller until its connection ends.
pub async fn serve(shared: &Rc<Shared>, stream: TcpStream, mut connected: ConnectedCaller) {
    let Ok(socket) = Socket::new(stream) else {
        return;
    };
    let writer = socket.writer();
    let (sender, messages) = flume::bounded(BACKLOG);
    let limit = message_limit(shared);
    let decode = shared.options.codecs.caller.decode;
    let reader = compio::runtime::spawn(read_messages(
        socket,
        sender,
        move |input| decode(input, limit),
        shared.options.large_messages.clone(),
    ));
    let phase = connected.phase.clone();
    let served = serve_session(shared, &writer, &messages, &phase);
    if let Err(error) = serve_until_closed(&mut connected, &messages, served).await {
        decision!("session", reason = error.to_string(); "session failed");
    }
    // Cancels the reader task, which owns the last handle of the socket.
    drop(reader);
}

/// Serves a caller until its session ends, or until it is to make room for another one
/// while it waits for nothing.
async fn serve_until_closed(
    connected: &mut ConnectedCaller,
    messages: &flume::Receiver<Received<CallerMessage>>,
    served: impl Future<Output = Result<()>>,
) -> Result<()> {
    let served = std::pin::pin!(served);
    match select(served, &mut connected.closing).await {
        Either::Left((ended, _)) => ended,
        Either::Right((_, served)) => {
            if connected.phase.get() != CallerPhase::Busy && messages.is_empty() {
                return Ok(());
            }
            // It has begun to run a statement meanwhile.
            served.await
        }
    }
}

fn message_limit(shared: &Shared) -> usize {
    let config = shared.config.borrow();
    let limit = config.as_ref().map(|c| c.limits.message_bytes);
    limit.unwrap_or(MESSAGE_MAX_BYTES).min(MESSAGE_MAX_BYTES)
}

async fn serve_session(
    shared: &Rc<Shared>,
    writer: &TcpStream,
    messages: &flume::Receiver<Received<CallerMessage>>,
    phase: &Cell<CallerPhase>,
) -> Result<()> {
    let codec = &shared.options.codecs.caller;
    let first = compio::time::timeout(OPEN_TIMEOUT, messages.recv_async()).await;
    let first = first.map(|received| received.map(|received| received.message));
    let (database, key) = match first {
        Ok(Ok(Ok(CallerMessage::Open { database, key }))) => (database, key),
        Ok(Ok(Ok(_))) => {
            let text = "a session starts with its opening";
            return refuse(shared, writer, ErrorClass::Malformed, text).await;
        }
        Ok(Ok(Err(error))) => return refuse_invalid(shared, writer, error).await,
        _ => return Ok(()),
    };
    await_configuration(shared).await;
    if !shared.await_certainty().await {
        return refuse(shared, writer, ErrorClass::Busy, &shared.late_text()).await;
    }
    let Some(route) = shared.route(&database) else {
        let known = shared.config_knowledge();
        decision!(
            "session", database = &*database, code = Code::UnknownService.number(),
            version = known.version, in_force_ms = known.in_force_ms,
            config_age_ms = known.age_ms; "unknown database requested"
        );
        let (class, text) = shared.refusal(ErrorClass::NoDatabase, "no such database");
        return refuse(shared, writer, class, &text).await;
    };
    if let Err(error) = shared.account(&route, &key) {
        shared
            .metrics
            .account_refusals
            .add(1, &[label("reason", "unknown_key")]);
        let known = shared.config_knowledge();
        decision!(
            "session", database = &*database, version = known.version,
            in_force_ms = known.in_force_ms, config_age_ms = known.age_ms;
            "unknown key refused"
        );
        let (class, text) = shared.refusal(ErrorClass::Unauthorized, &error.to_string());
        return refuse(shared, writer, class, &text).await;
    }
    let mut output = BytesMut::new();
    (codec.ready)(&mut output, SessionState::Idle, None);
    socket::write_to_caller(writer, output).await?;
    shared.metrics.callers.add(1, &[]);
    let mut session = Session {
        shared,
        phase,
        database,
        key,
        setup: Rc::default(),
        prepared: BTreeMap::new(),
        transaction: None,
        sent_by: None,
        floors: SessionFloors::default(),
        position: None,
        memory: SessionMemory::default(),
    };
    let ended = session.run(writer, messages).await;
    shared.metrics.callers.add(-1, &[]);
    ended
}

/// Waits for the first configuration: until then, no database is known.
async fn await_configuration(shared: &Shared) {
    let deadline_ms = clock::boot_ms() + CONFIGURATION_WAIT_MS;
    while shared.config.borrow().is_none() && clock::boot_ms() < deadline_ms {
        compio::time::sleep(CONFIGURATION_POLL).await;
    }
}

pub(super) async fn refuse(
    shared: &Shared,
    writer: &TcpStream,
    class: ErrorClass,
    text: &str,
) -> Result<()> {
    let mut output = BytesMut::new();
    (shared.options.codecs.caller.error)(&mut output, class, text);
    socket::write_to_caller(writer, output).await
}

/// Reports an invalid message to the caller, unless the connection is closed.
pub(super) async fn refuse_invalid(
    shared: &Shared,
    writer: &TcpStream,
    error: RelayError,
) -> Result<()> {
    let class = match &error {
        RelayError::Malformed { .. } => ErrorClass::Malformed,
        RelayError::TooLarge { .. } => ErrorClass::TooBig,
        RelayError::Closed => return Ok(()),
        _ => return Err(error),
    };
    decision!(
        "session", reason = error.to_string(), code = Code::ProtocolViolation.number();
        "invalid message refused"
    );
    refuse(shared, writer, class, &error.to_string()).await
}
