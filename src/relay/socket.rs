//! A socket with its input buffer.

use bytes::BytesMut;
use compio::{
    BufResult,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{RelayError, Result};
use crate::proxy::wire::is_open_and_idle;

/// Bytes reserved before a read: most requests and answers fit.
const READ_BYTES: usize = 2 << 10;

/// A socket with its input buffer, owned by one task.
pub struct Socket {
    stream: TcpStream,
    /// Received bytes that are not decoded yet.
    pub input: BytesMut,
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
        buffer.reserve(READ_BYTES);
        let BufResult(result, buffer) = (&self.stream).append(buffer).await;
        self.input = buffer;
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

/// Reads messages into a channel until the first error, which is sent as well.
/// Runs as a task of its own: a receiver that stops waiting for a message does
/// not cancel a read half-way, which would lose data.
pub async fn read_messages<T>(
    mut socket: Socket,
    messages: flume::Sender<Result<T>>,
    decode: impl Fn(&mut BytesMut) -> Result<Option<T>>,
) {
    loop {
        let message = match decode(&mut socket.input) {
            Ok(Some(message)) => Ok(message),
            Ok(None) => match socket.fill().await {
                Ok(()) => continue,
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        let is_last = message.is_err();
        if messages.send_async(message).await.is_err() || is_last {
            return;
        }
    }
}
