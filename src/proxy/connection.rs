//! Connections that requests borrow: to a member, or to a slot on another VM.

use std::net::SocketAddr;

use super::{session::Parameters, wire::Wire};
use crate::prelude::*;

/// Prepared statements after which a connection is not reused.
const PREPARED_MAX: usize = 1_000;

/// Where a connection leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionTarget {
    /// To a member, opened or chosen while it stood in this term.
    Member {
        /// Index of the member.
        member: usize,
        /// Term of the member when the connection was lent.
        term: u64,
    },
    /// To another VM that holds a slot.
    Vm {
        /// Name of the VM.
        vm: Name,
    },
}

/// Gives a connection's place back when the connection is dropped.
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

/// A connection with what is known of its state.
pub struct Connection {
    /// The socket.
    pub wire: Wire,
    /// Where it leads.
    pub target: ConnectionTarget,
    /// Address it leads to.
    pub address: SocketAddr,
    /// Statements it knows by key.
    pub prepared: BTreeSet<Name>,
    /// Key of the statement it knows as the unnamed one.
    pub unnamed: Option<Name>,
    /// Parameters set on it.
    pub parameters: Parameters,
    /// Process id and secret for cancel requests.
    pub key: (i32, i32),
    /// Place in the budget.
    pub permit: Option<Permit>,
}

impl Connection {
    /// Whether it may serve another request now.
    pub fn is_reusable(&self) -> bool {
        !self.needs_replacement() && !self.wire.is_stale()
    }

    /// Whether it has served so many statements that a new one is better.
    pub fn needs_replacement(&self) -> bool {
        self.prepared.len() >= PREPARED_MAX
    }
}
