//! A socket with its buffers.

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

/// Bytes reserved before a read.
const READ_BYTES: usize = 4 << 10;
/// Bytes reserved for a read once the last one filled its buffer.
const READ_MORE_BYTES: usize = 32 << 10;
/// Rows longer than this are passed on in pieces.
const PART_BYTES: usize = 64 << 10;
/// Bytes of output that are written without waiting for more.
const FLUSH_BYTES: usize = 32 << 10;
/// Capacity that an output buffer keeps between requests, in bytes.
const KEEP_BYTES: usize = 8 << 10;

/// A socket with its buffers, owned by one task.
pub struct Wire {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    part_left: usize,
    frame_max: usize,
    is_bulky: bool,
}

/// Whether a socket is open and nothing waits to be read.
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
            part_left: 0,
            frame_max,
            is_bulky: false,
        }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read and not taken.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Bytes to be written.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Whether the other side has closed the connection or sent anything
    /// that nobody asked for.
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
        let wanted = match self.is_bulky {
            true => READ_MORE_BYTES,
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
                self.is_bulky = count >= READ_BYTES;
                Ok(())
            }
        }
    }

    /// Takes a whole message if one is there.
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

    /// Takes a whole message, or a piece of a long row.
    ///
    /// # Errors
    ///
    /// Returns an error for a bad length.
    pub fn take_chunk(&mut self) -> Result<Option<Chunk>> {
        if self.part_left > 0 {
            return Ok(self.take_part());
        }
        let Some(total) = self.frame_bytes()? else {
            return Ok(None);
        };
        if self.input.len() >= total {
            let bytes = self.input.split_to(total).freeze();
            return Ok(Some(Chunk::Frame(Frame { bytes })));
        }
        if total > PART_BYTES && self.input[0] == from_endpoint::ROW {
            self.part_left = total;
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

    /// Queues bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Whether so much is queued that it should be written.
    pub fn is_full(&self) -> bool {
        self.output.len() >= FLUSH_BYTES
    }

    /// Writes what is queued. A slow reader makes this wait.
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
        if buffer.capacity() <= KEEP_BYTES {
            self.output = buffer;
        }
        Ok(result?)
    }

    /// Writes what is queued and waits until the other side has closed, or for
    /// `limit`: closing while input is unread resets the connection, and the
    /// other side may lose what was written last.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks.
    pub async fn finish(&mut self, limit: Duration) -> Result<()> {
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
        let count = self.part_left.min(self.input.len());
        if count == 0 {
            return None;
        }
        self.part_left -= count;
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
