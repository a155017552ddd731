//! Clients for calls to other VMs, kept for reuse.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures::StreamExt;
use opentelemetry::metrics::Counter;
use tarpc::{client, context, tokio_serde::formats::Json};
use tokio_util::{
    codec::LengthDelimitedCodec,
    compat::FuturesAsyncReadCompatExt,
    io::{InspectReader, InspectWriter},
};

use super::peer::PeerClient;
use crate::{metrics::label, prelude::*};

/// Largest message between VMs, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 64 << 20;
/// Longest time to connect to a VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most clients kept.
const CLIENTS_MAX: usize = 64;

/// Error of a call to another VM.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("VM at {address} does not answer: {text}")]
pub struct PeerError {
    address: SocketAddr,
    text: String,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Wraps a socket as a transport for calls; `byte_count` counts the bytes in
/// both directions.
pub fn transport<In, Out>(
    stream: TcpStream,
    byte_count: ByteCount,
) -> impl tarpc::Transport<Out, In, TransportError = std::io::Error> + 'static
where
    In: for<'de> serde::Deserialize<'de> + Unpin + 'static,
    Out: serde::Serialize + Unpin + 'static,
{
    let (received, sent) = (byte_count.clone(), byte_count);
    let stream = AsyncStream::new(stream).compat();
    let stream = InspectReader::new(stream, move |bytes: &[u8]| received.add("in", bytes));
    let stream = InspectWriter::new(stream, move |bytes: &[u8]| sent.add("out", bytes));
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_MAX_BYTES)
        .new_framed(stream);
    tarpc::serde_transport::new(framed, Json::default())
}

/// Counts the bytes of calls by direction; the default counts nothing.
#[derive(Clone, Default)]
pub struct ByteCount(Option<Counter<u64>>);

impl ByteCount {
    /// Adds the bytes to a metric.
    pub fn new(counter: Counter<u64>) -> ByteCount {
        ByteCount(Some(counter))
    }

    fn add(&self, direction: &'static str, bytes: &[u8]) {
        if let Some(counter) = &self.0 {
            counter.add(bytes.len() as u64, &[label("direction", direction)]);
        }
    }
}

/// Context of a call that may take up to `timeout`.
pub fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Clients of other VMs by address.
#[derive(Clone, Default)]
pub struct PeerClients {
    byte_count: ByteCount,
    clients: Rc<RefCell<BTreeMap<SocketAddr, PeerClient>>>,
}

impl PeerClients {
    /// Creates an empty set of clients that count their bytes.
    pub fn new(byte_count: ByteCount) -> PeerClients {
        PeerClients {
            byte_count,
            clients: Rc::default(),
        }
    }

    /// Calls the VM at `address`. After a failed call the client is dropped, so
    /// that the next call connects again.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM can't be reached or does not answer in time.
    pub async fn call<T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl AsyncFn(PeerClient, context::Context) -> std::result::Result<T, client::RpcError>,
    ) -> Result<T> {
        let error = |text: String| PeerError { address, text };
        let cached = self.clients.borrow().get(&address).cloned();
        let client = match cached {
            Some(client) => client,
            None => self.connect(address).await?,
        };
        match call(client, context_with_timeout(timeout)).await {
            Ok(answer) => Ok(answer),
            Err(failure) => {
                self.clients.borrow_mut().remove(&address);
                Err(error(failure.to_string()))
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient> {
        let error = |text: String| PeerError { address, text };
        let stream = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| error("no answer in time".into()))?
            .map_err(|e| error(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| error(e.to_string()))?;
        let new = PeerClient::new(
            client::Config::default(),
            transport(stream, self.byte_count.clone()),
        );
        let dispatch = new.dispatch;
        compio::runtime::spawn(async move {
            // Calls on a broken connection fail, which drops the client.
            let _ = dispatch.await;
        })
        .detach();
        let mut clients = self.clients.borrow_mut();
        if clients.len() >= CLIENTS_MAX {
            clients.pop_first();
        }
        clients.insert(address, new.client.clone());
        Ok(new.client)
    }
}

/// Spawns the future of each request of a server on this thread's runtime.
pub async fn spawn_each<F>(requests: impl futures::Stream<Item = F>)
where
    F: Future<Output = ()> + 'static,
{
    requests
        .for_each(|request| async move { compio::runtime::spawn(request).detach() })
        .await;
}
