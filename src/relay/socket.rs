//! A socket with its input buffer.

use bytes::BytesMut;
use compio::{
    BufResult,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    RelayError, Result,
    byte_budget::{ByteBudget, Reservation},
};
use crate::{
    decide::load::memory::CallerLimits, decision_log::decision, prelude::*,
    proxy::wire::is_open_and_idle,
};

/// Bytes reserved before a read: most requests and answers fit.
const READ_BYTES: usize = 2 << 10;

/// Largest message of a caller; the configuration may lower it.
pub const MESSAGE_MAX_BYTES: usize = 1 << 20;
/// Size from which memory is reserved for a message before more of it is read.
const LARGE_BYTES: usize = 8 << 10;
/// Longest wait for the memory of a large message. A caller whose message is not read
/// until then is closed.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for the rest of a large message, once its memory is reserved: one of 1 MiB
/// takes a second at 10 Mbit/s.
const LARGE_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time in which a caller must read an answer.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A socket with its input buffer, owned by one task.
pub struct Socket {
    stream: TcpStream,
    /// Received bytes that are not decoded yet.
    pub input: BytesMut,
    /// Whether the buffer has grown for a large message.
    has_grown: bool,
}

impl Socket {
    /// Wraps a stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream is already closed.
    pub fn new(stream: TcpStream) -> Result<Socket> {
        // Small answers must not wait until earlier ones are acknowledged.
        stream.set_nodelay(true)?;
        Ok(Socket {
            stream,
            input: BytesMut::new(),
            has_grown: false,
        })
    }

    /// Discards what was not sent yet when the stream is closed: bytes that a partition
    /// holds up do not arrive after it.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream is already closed.
    pub fn reset_when_closed(&self) -> Result<()> {
        Ok(self.stream.set_zero_linger()?)
    }

    /// Another handle of the same stream, to write while this one is reading.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Reads more bytes.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::Closed`] at the end of the stream.
    pub async fn fill(&mut self) -> Result<()> {
        let mut buffer = std::mem::take(&mut self.input);
        if buffer.is_empty() && self.has_grown {
            // The empty rest would keep the memory of the large message.
            buffer = BytesMut::new();
            self.has_grown = false;
        }
        buffer.reserve(READ_BYTES);
        let BufResult(result, buffer) = (&self.stream).append(buffer).await;
        self.input = buffer;
        self.has_grown |= self.input.len() >= LARGE_BYTES;
        match result? {
            0 => Err(RelayError::Closed),
            _ => Ok(()),
        }
    }

    /// Writes all of `output`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails.
    pub async fn write(&self, output: BytesMut) -> Result<()> {
        write(&self.stream, output).await
    }

    /// Whether the peer closed the connection or sent data that was not requested.
    pub fn is_stale(&self) -> bool {
        !is_open_and_idle(&self.stream) || !self.input.is_empty()
    }
}

/// Writes all of `output` to a stream.
///
/// # Errors
///
/// Returns an error when the connection fails.
pub async fn write(stream: &TcpStream, output: BytesMut) -> Result<()> {
    let mut stream = stream;
    let BufResult(result, _) = stream.write_all(output).await;
    Ok(result?)
}

/// Writes all of `output` to a caller, which must read it in a reasonable time.
///
/// # Errors
///
/// Returns an error when the connection fails or the caller does not read.
pub async fn write_to_caller(stream: &TcpStream, output: BytesMut) -> Result<()> {
    let written = compio::time::timeout(CALLER_WRITE_TIMEOUT, write(stream, output)).await;
    written.map_err(|_| RelayError::Timeout)?
}

/// A message, with the memory that is reserved for it.
pub struct Received<T> {
    /// The message, or the error that ends the connection.
    pub message: Result<T>,
    /// Memory of a large message, given back once it is handled.
    pub reservation: Option<Reservation>,
}

impl<T> Received<T> {
    /// The message and the memory reserved for it.
    ///
    /// # Errors
    ///
    /// Returns the error that ends the connection.
    pub fn into_parts(self) -> Result<(T, Option<Reservation>)> {
        self.message.map(|message| (message, self.reservation))
    }
}

/// Memory for messages, or for answers, that are larger than usual.
#[derive(Clone)]
pub struct LargeBudget {
    /// What it is for, in logs.
    kind: &'static str,
    /// The memory of all connections.
    pub bytes: ByteBudget,
    /// What is reserved for one, in bytes.
    cost_bytes: u64,
}

impl LargeBudget {
    /// Creates the memory for messages that the limits allow.
    pub fn for_messages(limits: &CallerLimits) -> LargeBudget {
        LargeBudget {
            kind: "large_messages",
            bytes: ByteBudget::new(limits.messages_bytes),
            cost_bytes: limits.large_cost_bytes(MESSAGE_MAX_BYTES),
        }
    }

    /// Creates the memory for answers that the limits allow.
    pub fn for_answers(limits: &CallerLimits) -> LargeBudget {
        LargeBudget {
            kind: "large_answers",
            bytes: ByteBudget::new(limits.answers_bytes),
            cost_bytes: limits.large_cost_bytes(MESSAGE_MAX_BYTES),
        }
    }

    /// Reserves the memory of one.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::Timeout`] when none becomes free in time.
    pub async fn reserve(&self) -> Result<Reservation> {
        let reserved = self.bytes.reserve(self.cost_bytes, RESERVE_TIMEOUT).await;
        reserved.ok_or_else(|| {
            decision!(
                "memory", limit = self.kind, cost_bytes = self.cost_bytes;
                "no memory became free in time"
            );
            RelayError::Timeout
        })
    }
}

/// Reads messages into a channel until the first error, which is sent as well.
/// Runs as a task of its own: a receiver that stops waiting for a message does
/// not cancel a read half-way, which would lose data.
///
/// A large message is read once memory is reserved for it, and must then arrive in time.
pub async fn read_messages<T>(
    mut socket: Socket,
    messages: flume::Sender<Received<T>>,
    decode: impl Fn(&mut BytesMut) -> Result<Option<T>>,
    large: LargeBudget,
) {
    loop {
        let (message, reservation) = match read_message(&mut socket, &decode, &large).await {
            Ok((message, reservation)) => (Ok(message), reservation),
            Err(error) => (Err(error), None),
        };
        let is_last = message.is_err();
        let received = Received {
            message,
            reservation,
        };
        if messages.send_async(received).await.is_err() || is_last {
            return;
        }
    }
}

async fn read_message<T>(
    socket: &mut Socket,
    decode: &impl Fn(&mut BytesMut) -> Result<Option<T>>,
    large: &LargeBudget,
) -> Result<(T, Option<Reservation>)> {
    if let Some(message) = read_up_to(socket, decode, LARGE_BYTES).await? {
        return Ok((message, None));
    }
    let reservation = large.reserve().await?;
    let rest = read_up_to(socket, decode, usize::MAX);
    let message = compio::time::timeout(LARGE_MESSAGE_TIMEOUT, rest).await;
    let message = message.map_err(|_| RelayError::Timeout)??;
    let message = message.ok_or(RelayError::Closed)?;
    Ok((message, Some(reservation)))
}

/// Reads the next message; `None` once `max_bytes` of it are buffered.
async fn read_up_to<T>(
    socket: &mut Socket,
    decode: &impl Fn(&mut BytesMut) -> Result<Option<T>>,
    max_bytes: usize,
) -> Result<Option<T>> {
    loop {
        if let Some(message) = decode(&mut socket.input)? {
            return Ok(Some(message));
        }
        if socket.input.len() >= max_bytes {
            return Ok(None);
        }
        socket.fill().await?;
    }
}
