//! Connections that requests run on: to a member, or to a VM that holds a slot.

use std::net::SocketAddr;

use super::{session::Parameters, wire::Wire};
use crate::prelude::*;

/// Number of prepared statements from which a connection is not reused.
const PREPARED_MAX: usize = 1_000;

/// The other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionTarget {
    /// A member.
    Member {
        /// Index of the member.
        member: usize,
        /// Term of the member when the connection was granted.
        term: u64,
    },
    /// Another VM that holds a slot.
    Vm {
        /// Name of the VM.
        vm: Name,
    },
}

/// Runs a function when a connection is dropped, so that it no longer counts
/// as open.
pub struct Permit(Option<Box<dyn FnOnce()>>);

impl Permit {
    /// Creates a permit that runs `on_drop` when dropped.
    pub fn new(on_drop: impl FnOnce() + 'static) -> Permit {
        Permit(Some(Box::new(on_drop)))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(on_drop) = self.0.take() {
            on_drop();
        }
    }
}

/// A connection and its protocol state.
pub struct Connection {
    /// Socket.
    pub wire: Wire,
    /// The other end.
    pub target: ConnectionTarget,
    /// Address of the other end.
    pub address: SocketAddr,
    /// Keys of the statements that are prepared on it.
    pub prepared: BTreeSet<Name>,
    /// Key of its unnamed statement.
    pub unnamed: Option<Name>,
    /// Parameters set on it.
    pub parameters: Parameters,
    /// Process id and secret key for cancel requests.
    pub key: (i32, i32),
    /// Counts it as open while it lives.
    pub permit: Option<Permit>,
}

impl Connection {
    /// Whether it may serve another request now.
    pub fn is_reusable(&self) -> bool {
        !self.needs_replacement() && !self.wire.is_stale()
    }

    /// Whether it holds so many prepared statements that a new one replaces it.
    pub fn needs_replacement(&self) -> bool {
        self.prepared.len() >= PREPARED_MAX
    }
}
