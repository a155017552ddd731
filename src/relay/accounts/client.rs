//! Connection to a VM that counts operations.

use std::{net::SocketAddr, rc::Rc};

use bytes::BytesMut;
use compio::net::TcpStream;
use futures::channel::oneshot;

use super::Take;
use crate::{
    decide::load::allotment::Grant,
    prelude::*,
    relay::{ForwardCodec, RelayError, Result, socket::Socket},
};

/// Longest time to connect: three round trips to another region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for an answer: longer than any question waits for its own.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A request for tokens, and where its answer goes; dropped when there is none.
pub struct Question {
    pub take: Take,
    pub reply: oneshot::Sender<Grant>,
}

/// Passes questions to the VM at `address`, until the sending half is dropped.
/// Questions that arrive while others are on their way are sent together.
pub async fn run(
    address: SocketAddr,
    codec: Rc<ForwardCodec>,
    questions: flume::Receiver<Question>,
) {
    let mut connected: Option<Socket> = None;
    while let Ok(first) = questions.recv_async().await {
        let batch: Vec<Question> = std::iter::once(first).chain(questions.drain()).collect();
        let socket = match connected.take().filter(|socket| !socket.is_stale()) {
            Some(socket) => Ok(socket),
            None => connect(address).await,
        };
        let asked = match socket {
            Ok(socket) => ask(socket, &codec, batch).await,
            Err(error) => Err(error),
        };
        match asked {
            Ok(socket) => connected = Some(socket),
            Err(error) => log::debug!(
                target: "account", address = address.to_string(), reason = error.to_string();
                "no tokens from a VM"
            ),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Socket> {
    let stream = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    Socket::new(stream.map_err(|_| RelayError::Timeout)??)
}

async fn ask(mut socket: Socket, codec: &ForwardCodec, batch: Vec<Question>) -> Result<Socket> {
    let mut output = BytesMut::new();
    for question in &batch {
        (codec.encode_take)(&mut output, &question.take);
    }
    socket.write(output).await?;
    for question in batch {
        let answer = compio::time::timeout(ANSWER_TIMEOUT, read_grant(&mut socket, codec)).await;
        let grant = answer.map_err(|_| RelayError::Timeout)??;
        // The meter may have stopped waiting; the tokens are then lost.
        let _ = question.reply.send(grant);
    }
    Ok(socket)
}

async fn read_grant(socket: &mut Socket, codec: &ForwardCodec) -> Result<Grant> {
    loop {
        if let Some(grant) = (codec.decode_grant)(&mut socket.input)? {
            return Ok(grant);
        }
        socket.fill().await?;
    }
}
