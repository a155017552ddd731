//! Pool of connections to VMs that hold slots.

use std::net::SocketAddr;

use futures::channel::oneshot;

use super::{
    connect::{ConnectOptions, connect},
    connection::{Connection, ConnectionTarget, Permit},
    error::Refusal,
};
use crate::prelude::*;

/// Maximum number of open connections to one VM for one service.
const OPEN_MAX: usize = 256;
/// Maximum number of idle connections to one VM for one service.
const IDLE_MAX: usize = 32;

/// Key of a group of connections: service and VM.
type Key = (Name, Name);

enum PeerPoolMessage {
    Acquire {
        service: Name,
        vm: Name,
        address: SocketAddr,
        reply: oneshot::Sender<Result<Connection, Refusal>>,
    },
    Release {
        service: Name,
        connection: Connection,
    },
    Closed(Key),
}

#[derive(Default)]
struct Group {
    idle: Vec<Connection>,
    open: usize,
}

/// Handle to the task that owns the pool.
#[derive(Clone)]
pub struct PeerPool {
    sender: flume::Sender<PeerPoolMessage>,
}

impl PeerPool {
    /// Starts the pool's task.
    pub fn start() -> PeerPool {
        let (sender, mailbox) = flume::unbounded();
        let handle = PeerPool { sender };
        compio::runtime::spawn(run(handle.clone(), mailbox)).detach();
        handle
    }

    /// Takes a connection to the slot of `service` on `vm` from the pool, or opens
    /// one.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the VM can't be reached.
    pub async fn acquire(
        &self,
        service: &Name,
        vm: &Name,
        address: SocketAddr,
    ) -> Result<Connection, Refusal> {
        let (reply, answer) = oneshot::channel();
        let message = PeerPoolMessage::Acquire {
            service: service.clone(),
            vm: vm.clone(),
            address,
            reply,
        };
        let gone = || Refusal::new(Code::Stopping, "this VM is stopping");
        self.sender.send(message).map_err(|_| gone())?;
        answer.await.map_err(|_| gone())?
    }

    /// Returns a connection that is in a clean state.
    pub fn release(&self, service: &Name, connection: Connection) {
        // A stopped task drops the connection.
        let _ = self.sender.send(PeerPoolMessage::Release {
            service: service.clone(),
            connection,
        });
    }
}

async fn run(handle: PeerPool, mailbox: flume::Receiver<PeerPoolMessage>) {
    let mut groups: BTreeMap<Key, Group> = BTreeMap::new();
    while let Ok(message) = mailbox.recv_async().await {
        match message {
            PeerPoolMessage::Acquire {
                service,
                vm,
                address,
                reply,
            } => {
                let key = (service, vm);
                let group = groups.entry(key.clone()).or_default();
                acquire(&handle, group, key, address, reply);
            }
            PeerPoolMessage::Release {
                service,
                connection,
            } => {
                let ConnectionTarget::Vm { vm } = &connection.target else {
                    continue;
                };
                let group = groups.entry((service, vm.clone())).or_default();
                if group.idle.len() < IDLE_MAX && !connection.needs_replacement() {
                    group.idle.push(connection);
                }
            }
            PeerPoolMessage::Closed(key) => {
                if let Some(group) = groups.get_mut(&key) {
                    group.open = group.open.saturating_sub(1);
                }
                groups.retain(|_, group| group.open > 0);
            }
        }
    }
}

fn acquire(
    handle: &PeerPool,
    group: &mut Group,
    key: Key,
    address: SocketAddr,
    reply: oneshot::Sender<Result<Connection, Refusal>>,
) {
    while let Some(connection) = group.idle.pop() {
        if connection.address == address && connection.is_reusable() {
            // The caller may have disconnected.
            let _ = reply.send(Ok(connection));
            return;
        }
    }
    if group.open >= OPEN_MAX {
        let refusal = Refusal::new(Code::Overloaded, "too many connections to the slot");
        let _ = reply.send(Err(refusal));
        return;
    }
    group.open += 1;
    let (service, vm) = key.clone();
    let sender = handle.sender.clone();
    let permit = Permit::new(move || {
        let _ = sender.send(PeerPoolMessage::Closed(key));
    });
    let options = ConnectOptions {
        address,
        user: "foxtailknot".into(),
        database: service,
        target: ConnectionTarget::Vm { vm: vm.clone() },
    };
    compio::runtime::spawn(async move {
        let connection = connect(options, Some(permit)).await.map_err(|error| {
            Refusal::new(Code::NoSlot, format!("VM {vm} can't be reached: {error}"))
        });
        let _ = reply.send(connection);
    })
    .detach();
}
