//! Subscriptions to the news of other VMs.

use std::{net::SocketAddr, rc::Rc};

use compio::net::TcpStream;
use tarpc::client;

use super::{hub::Hub, message::NewsFeedClient};
use crate::{
    clock,
    control::peer_clients::{ByteCount, context_with_timeout, transport},
    decide::{
        floor_news::LastAnswer,
        news_sources::{CONNECT_TIMEOUT_MS, NEWS_MARGIN_MS},
    },
    decision_log::decision,
    prelude::*,
};

/// Pause while there is no source.
const NO_SOURCE_PAUSE_MS: u64 = 500;

/// Error of a subscription.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{text}")]
struct SubscriptionError {
    text: String,
}

type Result<T> = std::result::Result<T, SubscriptionError>;

impl SubscriptionError {
    fn new(error: impl std::fmt::Display) -> SubscriptionError {
        SubscriptionError {
            text: error.to_string(),
        }
    }
}

/// A source that a subscription is connected to.
struct Source {
    vm: Name,
    address: SocketAddr,
    client: NewsFeedClient,
    last: Option<LastAnswer>,
}

/// Asks one source after the other for news, always the best usable one.
pub(super) async fn run(hub: Rc<Hub>, index: usize) {
    let mut connected: Option<Source> = None;
    loop {
        let Some((source, address)) = hub.choose_source(index) else {
            connected = None;
            hub.await_vms(NO_SOURCE_PAUSE_MS).await;
            continue;
        };
        let current = connected.take();
        let current = current.filter(|c| c.vm == source && c.address == address);
        let mut current = match current {
            Some(current) => current,
            None => match connect(address).await {
                Ok(client) => {
                    decision!(
                        "news", source = &*source, address = address.to_string(),
                        subscription = index; "source of news changed"
                    );
                    Source {
                        vm: source.clone(),
                        address,
                        client,
                        last: None,
                    }
                }
                Err(error) => {
                    hub.record_failure(&source, &error.text);
                    continue;
                }
            },
        };
        match ask(&hub, index, &mut current).await {
            Ok(()) => connected = Some(current),
            Err(error) => hub.record_failure(&source, &error.text),
        }
    }
}

async fn ask(hub: &Hub, index: usize, source: &mut Source) -> Result<()> {
    let asked_ms = clock::boot_ms();
    let request = hub.request(index, source.last);
    let timeout = Duration::from_millis(request.wait_ms + NEWS_MARGIN_MS);
    let call = source
        .client
        .changes(context_with_timeout(timeout), request);
    let answer = compio::time::timeout(timeout, call).await;
    let answer = answer.map_err(|_| SubscriptionError::new("no answer in time"))?;
    let answer = answer.map_err(SubscriptionError::new)?;
    let answer = answer.ok_or_else(|| SubscriptionError::new("the source is stopping"))?;
    source.last = Some(LastAnswer {
        written_ms: answer.written_ms,
        arrived_ms: clock::boot_ms(),
    });
    match hub.apply_answer(index, &source.vm, answer, asked_ms) {
        true => Ok(()),
        false => Err(SubscriptionError::new("its news is old or not usable")),
    }
}

async fn connect(address: SocketAddr) -> Result<NewsFeedClient> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = compio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| SubscriptionError::new("no connection in time"))?;
    let stream = stream.map_err(SubscriptionError::new)?;
    stream.set_nodelay(true).map_err(SubscriptionError::new)?;
    let new = NewsFeedClient::new(
        client::Config::default(),
        transport(stream, ByteCount::default()),
    );
    compio::runtime::spawn(async move {
        if let Err(error) = new.dispatch.await {
            // Its calls fail as well, which ends the subscription.
            log::info!(target: "news", reason = error.to_string(); "connection to a source lost");
        }
    })
    .detach();
    Ok(new.client)
}
