//! A socket with its read and write buffers, split into protocol messages.

use bytes::{Buf, BytesMut};
use compio::{
    BufResult,
    io::{AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    error::{ProxyError, Result},
    frame::{Chunk, Frame, HEADER_BYTES, from_endpoint},
};
use crate::prelude::*;

/// Buffer space reserved for a read.
const READ_BYTES: usize = 4 << 10;
/// Buffer space reserved for a read after one that returned at least
/// `READ_BYTES`.
const BULK_READ_BYTES: usize = 32 << 10;
/// Rows longer than this are forwarded in pieces.
const LARGE_ROW_BYTES: usize = 64 << 10;
/// Size of the output buffer at which it is written to the socket.
const FLUSH_BYTES: usize = 32 << 10;
/// Largest output buffer that is kept between requests.
const OUTPUT_KEEP_BYTES: usize = 8 << 10;

/// A socket with its read and write buffers, owned by one task.
pub struct Wire {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    row_remaining: usize,
    frame_max: usize,
    reads_bulk: bool,
}

/// Whether a socket is open and has no bytes to read.
pub fn is_open_and_idle(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    match socket2::SockRef::from(stream).peek(&mut byte) {
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

impl Wire {
    /// Wraps a socket that accepts messages up to `frame_max` bytes.
    pub fn new(stream: TcpStream, frame_max: usize) -> Wire {
        Wire {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            row_remaining: 0,
            frame_max,
            reads_bulk: false,
        }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read but not yet decoded.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Bytes to be written.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Whether the other side has closed the connection or sent unexpected
    /// bytes.
    pub fn is_stale(&self) -> bool {
        !is_open_and_idle(&self.stream) || !self.input.is_empty()
    }

    /// Reads more bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ProxyError::Closed`] at the end of the stream.
    pub async fn fill(&mut self) -> Result<()> {
        let mut buffer = std::mem::take(&mut self.input);
        let wanted = match self.reads_bulk {
            true => BULK_READ_BYTES,
            false => READ_BYTES,
        };
        if buffer.capacity() - buffer.len() < wanted {
            buffer.reserve(wanted);
        }
        let BufResult(result, buffer) = (&self.stream).append(buffer).await;
        self.input = buffer;
        match result? {
            0 => Err(ProxyError::Closed),
            count => {
                self.reads_bulk = count >= READ_BYTES;
                Ok(())
            }
        }
    }

    /// Takes a whole message from the read buffer if it holds one.
    ///
    /// # Errors
    ///
    /// Returns an error for a bad or too large length.
    pub fn take_frame(&mut self) -> Result<Option<Frame>> {
        let Some(total) = self.frame_bytes()? else {
            return Ok(None);
        };
        if total > self.frame_max {
            return Err(ProxyError::TooLarge { bytes: total });
        }
        if self.input.len() < total {
            return Ok(None);
        }
        let bytes = self.input.split_to(total).freeze();
        Ok(Some(Frame { bytes }))
    }

    /// Takes a whole message, or a piece of a long row, from the read buffer.
    ///
    /// # Errors
    ///
    /// Returns an error for a bad length.
    pub fn take_chunk(&mut self) -> Result<Option<Chunk>> {
        if self.row_remaining > 0 {
            return Ok(self.take_part());
        }
        let Some(total) = self.frame_bytes()? else {
            return Ok(None);
        };
        if self.input.len() >= total {
            let bytes = self.input.split_to(total).freeze();
            return Ok(Some(Chunk::Frame(Frame { bytes })));
        }
        if total > LARGE_ROW_BYTES && self.input[0] == from_endpoint::ROW {
            self.row_remaining = total;
            return Ok(self.take_part());
        }
        Ok(None)
    }

    /// Waits for a whole message.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends or the message is bad.
    pub async fn next_frame(&mut self) -> Result<Frame> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Queues bytes to be written.
    pub fn push(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Whether enough output is queued that it should be written.
    pub fn is_full(&self) -> bool {
        self.output.len() >= FLUSH_BYTES
    }

    /// Writes the queued output; waits while the other side reads slowly.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends.
    pub async fn flush(&mut self) -> Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        let buffer = std::mem::take(&mut self.output);
        let BufResult(result, mut buffer) = (&self.stream).write_all(buffer).await;
        buffer.clear();
        if buffer.capacity() <= OUTPUT_KEEP_BYTES {
            self.output = buffer;
        }
        Ok(result?)
    }

    /// Writes the queued output, then waits up to `limit` for the other side to
    /// close. Closing with unread input would reset the connection, and the other
    /// side could lose the last output.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks.
    pub async fn close_gracefully(&mut self, limit: Duration) -> Result<()> {
        self.flush().await?;
        (&self.stream).shutdown().await?;
        let closed = compio::time::timeout(limit, async {
            while self.fill().await.is_ok() {
                self.input.clear();
            }
        });
        closed.await.map_err(|_| ProxyError::Timeout)
    }

    fn take_part(&mut self) -> Option<Chunk> {
        let count = self.row_remaining.min(self.input.len());
        if count == 0 {
            return None;
        }
        self.row_remaining -= count;
        Some(Chunk::Part(self.input.split_to(count).freeze()))
    }

    fn frame_bytes(&self) -> Result<Option<usize>> {
        if self.input.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.input[1..]).get_u32() as usize;
        if length < 4 {
            return Err(ProxyError::protocol(format!("message length {length}")));
        }
        Ok(Some(length + 1))
    }
}
