//! The opening of a session, and what is refused there.

use super::*;
use crate::relay::socket::read_messages;

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

/// Serves a caller until its session ends.
pub async fn serve(shared: &Rc<Shared>, stream: TcpStream) {
    let Ok(socket) = Socket::new(stream) else {
        return;
    };
    let writer = socket.writer();
    let (sender, messages) = flume::bounded(BACKLOG);
    let limit = message_limit(shared);
    let decode = shared.options.codecs.caller.decode;
    let reader = compio::runtime::spawn(read_messages(socket, sender, move |input| {
        decode(input, limit)
    }));
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

pub(super) async fn refuse(
    shared: &Shared,
    writer: &TcpStream,
    class: ErrorClass,
    text: &str,
) -> Result<()> {
    let mut output = BytesMut::new();
    (shared.options.codecs.caller.error)(&mut output, class, text);
    socket::write(writer, output).await
}

/// Tells a caller what is wrong with its message, if it still listens.
pub(super) async fn refuse_broken(
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
        "message refused"
    );
    refuse(shared, writer, class, &error.to_string()).await
}
