//! The server side of calls between VMs: it hands them to the control task.

use compio::net::TcpListener;
use futures::channel::oneshot;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};

use super::{
    node::NodeMessage,
    peer::{ConfigUpdate, FullConfig, OrderAnswer, Peer, Ping, Pong},
    peer_clients::{ByteCount, spawn_each, transport},
    service_row::ServiceRow,
    status::VmStatus,
};
use crate::{
    decide::{
        membership::Change,
        rollout::{Head, SiteChange},
    },
    prelude::*,
    store::Row,
};

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers calls to this VM.
#[derive(Clone)]
pub struct PeerServer {
    /// Mailbox of the control task.
    pub node: flume::Sender<NodeMessage>,
}

/// Accepts connections of other VMs and of the command-line tool.
pub async fn accept(listener: TcpListener, server: PeerServer, byte_count: ByteCount) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Nagle's algorithm would hold small answers back until the other side
        // acknowledges the previous ones.
        let _ = stream.set_nodelay(true);
        let channel = BaseChannel::with_defaults(transport(stream, byte_count.clone()));
        let requests = channel.execute(server.clone().serve());
        compio::runtime::spawn(spawn_each(requests)).detach();
    }
}

impl PeerServer {
    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> NodeMessage) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.node.send(message(reply)).ok()?;
        answer.await.ok()
    }
}

impl Peer for PeerServer {
    async fn ping(self, _: Context, ping: Ping) -> Option<Pong> {
        self.ask(|reply| NodeMessage::Ping { ping, reply }).await
    }

    async fn probe(self, _: Context, vm: Name) -> bool {
        let answer = self
            .ask(|reply| NodeMessage::IndirectProbe { vm, reply })
            .await;
        answer.unwrap_or(false)
    }

    async fn members(self, _: Context) -> Vec<Change> {
        let answer = self.ask(|reply| NodeMessage::Members { reply }).await;
        answer.unwrap_or_default()
    }

    async fn push(self, _: Context, news: ConfigUpdate) -> Option<u64> {
        let update = Box::new(news);
        let answer = self
            .ask(|reply| NodeMessage::ConfigPushed { update, reply })
            .await;
        answer.flatten()
    }

    async fn changes(self, _: Context, after: u64) -> Option<(Head, Vec<SiteChange>)> {
        let answer = self
            .ask(|reply| NodeMessage::ChangesAfter { after, reply })
            .await;
        answer.flatten()
    }

    async fn site(self, _: Context) -> Option<FullConfig> {
        let answer = self.ask(|reply| NodeMessage::FullConfig { reply }).await;
        answer.flatten()
    }

    async fn row(self, _: Context, service: Name) -> Option<Row<ServiceRow>> {
        let answer = self.ask(|reply| NodeMessage::Row { service, reply }).await;
        answer.flatten()
    }

    async fn row_changed(self, _: Context, service: Name, row: Row<ServiceRow>) {
        // Nothing is lost if the control task has stopped.
        let _ = self.node.send(NodeMessage::RowPushed { service, row });
    }

    async fn reaches_primary(self, _: Context, service: Name, member: Name) -> bool {
        let answer = self
            .ask(|reply| NodeMessage::ReachesPrimary {
                service,
                member,
                reply,
            })
            .await;
        answer.unwrap_or(false)
    }

    async fn doubt_primary(self, _: Context, service: Name) {
        // A VM whose control task has stopped is no delegate.
        let _ = self.node.send(NodeMessage::PrimarySuspected(service));
    }

    async fn status(self, _: Context) -> Option<VmStatus> {
        self.ask(|reply| NodeMessage::Status { reply }).await
    }

    async fn order_failover(self, _: Context, service: Name, member: Name) -> OrderAnswer {
        let answer = self
            .ask(|reply| NodeMessage::OrderFailover {
                service,
                member,
                reply,
            })
            .await;
        answer.unwrap_or_else(|| OrderAnswer::Refused("the VM is stopping".into()))
    }

    async fn drain(self, _: Context) -> OrderAnswer {
        match self.node.send(NodeMessage::Drain) {
            Ok(()) => OrderAnswer::Accepted,
            Err(_) => OrderAnswer::Refused("the VM is stopping".into()),
        }
    }
}
