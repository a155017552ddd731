//! Connections to members.

use bytes::Bytes;

use super::socket::{LargeBudget, Socket};
use crate::{decide::load::holders::MemberPath, prelude::*, proxy::connection::Permit};

/// Variables of a session, set by the caller, by name.
pub type SessionVariables = BTreeMap<Bytes, Bytes>;

/// What a caller's session asks of the connections that serve it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionSetup {
    /// Client account in whose name statements run; `None` without accounts.
    pub account: Option<Name>,
    /// Variables of the session.
    pub variables: SessionVariables,
}

/// Number of prepared statements from which a connection is reset before reuse.
const PREPARED_MAX: usize = 500;

/// A connection to a member, direct or through another VM that forwards to it.
pub struct Connection {
    /// The socket.
    pub socket: Socket,
    /// Id of the member.
    pub member: Name,
    /// Path that it takes.
    pub path: MemberPath,
    /// Account and session variables that are set on it. The account of a direct
    /// connection never changes: the member was told when it was opened.
    pub setup: SessionSetup,
    /// Names of the statements that are prepared on it.
    pub prepared: BTreeSet<Name>,
    /// Counts its request as running until dropped.
    pub run_permit: Option<Permit>,
    /// Time since which it is idle, in milliseconds.
    pub idle_since_ms: u64,
    /// Memory for large answers.
    pub large_answers: LargeBudget,
    /// Counts it as open until dropped.
    pub _permit: Permit,
}

impl Connection {
    /// Whether statements of an account may run on it.
    pub fn serves(&self, account: Option<&Name>) -> bool {
        self.path != MemberPath::Direct || self.setup.account.as_ref() == account
    }

    /// Whether it must be reset before a session with these variables uses it: a
    /// variable can be overwritten but not removed.
    pub fn needs_reset(&self, variables: &SessionVariables) -> bool {
        let has_extra = self
            .setup
            .variables
            .keys()
            .any(|name| !variables.contains_key(name));
        has_extra || self.prepared.len() >= PREPARED_MAX
    }
}
