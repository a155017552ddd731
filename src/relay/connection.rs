//! Connections to members.

use bytes::Bytes;

use super::socket::Socket;
use crate::{decide::holders::MemberPath, prelude::*, proxy::connection::Permit};

/// Values of a session, by name.
pub type SessionVariables = BTreeMap<Bytes, Bytes>;

/// Prepared statements after which a connection is reset before it is reused.
const PREPARED_MAX: usize = 500;

/// A connection to a member, or to another VM that stands for it.
pub struct Connection {
    /// The socket.
    pub socket: Socket,
    /// Id of the member.
    pub member: Name,
    /// How it leads there.
    pub way: MemberPath,
    /// Values that are set on it.
    pub variables: SessionVariables,
    /// Names of the statements that are prepared on it.
    pub prepared: BTreeSet<Name>,
    /// Ends the count as a request that runs when it is dropped.
    pub run: Option<Permit>,
    /// Time since which nobody uses it, in milliseconds.
    pub idle_since_ms: u64,
    /// Gives its place back when it is dropped.
    pub _permit: Permit,
}

impl Connection {
    /// Whether it must be reset before a session with these variables uses it: a
    /// value can be set over but not removed.
    pub fn needs_reset(&self, variables: &SessionVariables) -> bool {
        let has_more = self
            .variables
            .keys()
            .any(|name| !variables.contains_key(name));
        has_more || self.prepared.len() >= PREPARED_MAX
    }
}
