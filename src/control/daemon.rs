//! Starts the tasks of a daemon and stops them gracefully.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use compio::{net::TcpListener, runtime::spawn};
use futures::future::{Either, select};
use tokio::sync::watch;

use super::{
    admin::{self, AdminState},
    node::{Node, NodeMessage, NodeParts},
    peer_clients::ByteCount,
    peer_server::{self, PeerServer},
};
use crate::{
    clock,
    metrics::Metrics,
    prelude::*,
    proxy::{
        caller::ListenerKind,
        cancel::CancelRegistry,
        context::{Context, RouteRequest},
        listener,
        peer_pool::PeerPool,
        route_table::RouteTable,
    },
    settings::VmSettings,
    signals::{self, SignalWatch},
    store::StoreClient,
};

/// Interval at which a draining VM checks whether all callers have left.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time that slots keep serving after the drain began, for requests
/// that other VMs are still sending here.
const SLOT_LINGER: Duration = Duration::from_millis(500);

/// Error that keeps a daemon from running.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum DaemonError {
    /// An address can't be listened on.
    #[display("{key} {address}: {source}")]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// Address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A component could not be set up.
    #[display("{part}: {text}")]
    Setup {
        /// Name of the component.
        part: &'static str,
        /// Why.
        text: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, DaemonError>;

impl DaemonError {
    /// The numbered code.
    pub fn code(&self) -> Code {
        Code::ListenFailed
    }
}

/// Runs a daemon until a signal or an operator stops it.
///
/// # Errors
///
/// Returns an error when a listener or a component can't be set up.
pub fn run(settings: VmSettings) -> Result<()> {
    let setup = |part| {
        move |error: std::io::Error| DaemonError::Setup {
            part,
            text: error.to_string(),
        }
    };
    // tarpc enforces the deadlines of calls between VMs with Tokio timers.
    let timers = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_time()
        .build()
        .map_err(setup("timers"))?;
    let _entered = timers.enter();
    let runtime = compio::runtime::Runtime::new().map_err(setup("runtime"))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: VmSettings) -> Result<()> {
    let settings = Arc::new(settings);
    let callers = listen("listen.callers", settings.callers).await?;
    let internal = listen("listen.internal", settings.internal).await?;
    let peer = listen("listen.peer", settings.peer).await?;
    let admin = listen("listen.admin", settings.admin).await?;
    let metrics = Metrics::new().map_err(|error| DaemonError::Setup {
        part: "metrics",
        text: error.to_string(),
    })?;
    let platform = StoreClient::new(settings.platform).map_err(|error| DaemonError::Setup {
        part: "platform",
        text: error.to_string(),
    })?;
    let (routes, routes_seen) = watch::channel(Rc::new(RouteTable::new()));
    let (ready, ready_seen) = watch::channel(false);
    let (draining, draining_seen) = watch::channel(false);
    let (mailbox, messages) = flume::unbounded();
    let caller_count = Rc::new(Cell::new(0));
    let (route_requests, route_requests_seen) = flume::unbounded();
    let (primary_failed, primary_failures) = flume::unbounded();
    spawn(forward_messages(
        route_requests_seen,
        mailbox.clone(),
        NodeMessage::RouteRequested,
    ))
    .detach();
    spawn(forward_messages(
        primary_failures,
        mailbox.clone(),
        NodeMessage::PrimaryFailed,
    ))
    .detach();

    let parts = NodeParts {
        settings: settings.clone(),
        metrics: metrics.clone(),
        platform,
        routes,
        ready,
        draining,
        callers: caller_count.clone(),
        primary_failed,
    };
    spawn(Node::new(parts, mailbox.clone()).run(messages)).detach();
    let server = PeerServer {
        node: mailbox.clone(),
    };
    let peer_bytes = ByteCount::new(metrics.peer_bytes.clone());
    spawn(peer_server::accept(peer, server, peer_bytes)).detach();
    let state = AdminState {
        metrics: metrics.clone(),
        ready: ready_seen,
        draining: draining_seen.clone(),
    };
    spawn(admin::serve(admin, state)).detach();
    let context = make_context(
        &settings,
        metrics,
        routes_seen,
        route_requests,
        draining_seen.clone(),
    );
    spawn(listener::accept(
        context.clone(),
        callers,
        ListenerKind::Public,
        caller_count.clone(),
    ))
    .detach();
    spawn(listener::accept(
        context,
        internal,
        ListenerKind::Internal,
        caller_count.clone(),
    ))
    .detach();
    log::info!(
        target: "daemon", callers = settings.callers.to_string().as_str(),
        zone = &*settings.zone; "started"
    );
    // The signal handlers stay installed while the VM drains, so that a second
    // signal does not kill it early.
    let mut terminate = SignalWatch::new(signals::TERMINATE);
    let mut interrupt = SignalWatch::new(signals::INTERRUPT);
    wait_for_stop(&mut terminate, &mut interrupt, &mailbox, draining_seen).await;
    drain(&settings, &caller_count).await;
    Ok(())
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Listen {
            key,
            address,
            source,
        })
}

fn make_context(
    settings: &Arc<VmSettings>,
    metrics: Metrics,
    routes: watch::Receiver<Rc<RouteTable>>,
    route_requests: flume::Sender<RouteRequest>,
    draining: watch::Receiver<bool>,
) -> Context {
    Context {
        settings: settings.clone(),
        metrics,
        routes,
        route_requests,
        peer_pool: PeerPool::start(),
        draining,
        cancels: CancelRegistry::default(),
    }
}

/// Wraps each item of one channel and sends it to the control task.
async fn forward_messages<T>(
    from: flume::Receiver<T>,
    to: flume::Sender<NodeMessage>,
    wrap: impl Fn(T) -> NodeMessage,
) {
    while let Ok(item) = from.recv_async().await {
        if to.send(wrap(item)).is_err() {
            return;
        }
    }
}

/// Starts the drain on a signal; returns then, or once the drain was started by
/// an operator or by the platform's removal of the VM.
async fn wait_for_stop(
    terminate: &mut SignalWatch,
    interrupt: &mut SignalWatch,
    node: &flume::Sender<NodeMessage>,
    mut draining: watch::Receiver<bool>,
) {
    let terminate = std::pin::pin!(terminate.next());
    let interrupt = std::pin::pin!(interrupt.next());
    let signals = std::pin::pin!(select(terminate, interrupt));
    let ordered = std::pin::pin!(draining.wait_for(|is_draining| *is_draining));
    if let Either::Left(_) = select(signals, ordered).await {
        // If the control task has stopped, nothing is left to drain.
        let _ = node.send(NodeMessage::Drain);
    }
}

async fn drain(settings: &VmSettings, callers: &Cell<usize>) {
    let deadline_ms = clock::now_ms() + settings.drain_ms;
    compio::time::sleep(SLOT_LINGER).await;
    while callers.get() > 0 && clock::now_ms() < deadline_ms {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(target: "daemon", callers = callers.get(); "stopped");
}
