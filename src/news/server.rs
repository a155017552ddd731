//! Gives news to other VMs.

use compio::net::{TcpListener, TcpStream};
use futures::{StreamExt, channel::oneshot};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};

use super::{
    hub::NewsHub,
    message::{NewsAnswer, NewsFeed, NewsRequest},
};
use crate::{
    control::peer_clients::{ByteCount, transport},
    prelude::*,
};

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request and the channel for its answer.
type Question = (NewsRequest, oneshot::Sender<Option<NewsAnswer>>);

/// Passes requests to the task that answers them: the copies stay on its thread.
#[derive(Clone)]
struct NewsServer {
    questions: flume::Sender<Question>,
}

impl NewsFeed for NewsServer {
    async fn changes(self, _: Context, request: NewsRequest) -> Option<NewsAnswer> {
        let (reply, answer) = oneshot::channel();
        self.questions.send((request, reply)).ok()?;
        answer.await.ok().flatten()
    }
}

/// Accepts and serves other VMs that subscribe to this one. Never returns.
pub async fn accept(listener: TcpListener, hub: NewsHub, byte_count: ByteCount) {
    let (questions, asked) = flume::unbounded();
    compio::runtime::spawn(answer_all(hub, asked)).detach();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "news", "can't accept a connection: {error}");
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let server = NewsServer {
            questions: questions.clone(),
        };
        compio::runtime::spawn(serve(stream, server, byte_count.clone())).detach();
    }
}

async fn serve(stream: TcpStream, server: NewsServer, byte_count: ByteCount) {
    if let Err(error) = stream.set_nodelay(true) {
        return log::info!(target: "news", "connection of a subscriber lost: {error}");
    }
    let channel = BaseChannel::with_defaults(transport(stream, byte_count));
    let mut requests = std::pin::pin!(channel.requests());
    while let Some(request) = requests.next().await {
        match request {
            Ok(request) => {
                let execution = request.execute(server.clone().serve());
                compio::runtime::spawn(execution).detach();
            }
            Err(error) => {
                return log::warn!(
                    target: "news", reason = error.to_string();
                    "message of a subscriber refused; connection closed"
                );
            }
        }
    }
}

async fn answer_all(hub: NewsHub, asked: flume::Receiver<Question>) {
    while let Ok((request, reply)) = asked.recv_async().await {
        let hub = hub.0.clone();
        let answer = async move {
            // The subscriber may have left.
            let _ = reply.send(hub.answer(&request).await);
        };
        compio::runtime::spawn(answer).detach();
    }
}
