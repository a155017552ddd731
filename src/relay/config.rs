//! The configuration of the relay: routes, services and limits.

use crate::{decide::load::account::Accounts, prelude::*};

/// Commits that reads on a route must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// All that were acknowledged before the read arrived.
    Primary,
    /// All that were acknowledged more than `max_staleness_ms` before the read
    /// arrived.
    Bounded {
        /// Greatest staleness allowed, in milliseconds.
        max_staleness_ms: u64,
    },
    /// As `Bounded`, and all of the session's own.
    ReadYourWrites {
        /// Greatest staleness allowed, in milliseconds.
        max_staleness_ms: u64,
    },
}

/// A route to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Version of the configuration that it is part of.
    pub version: u64,
    /// Name of the route.
    pub name: Name,
    /// Service that holds the database.
    pub service: Name,
    /// Commits that reads must see.
    pub consistency: Consistency,
    /// Longest time of a single statement, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which callers expect a whole operation to be done, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority of its requests; zero is the highest.
    pub priority: u32,
    /// Whether it serves callers of no client account.
    pub is_keyless: bool,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Most connections to a member from all VMs together.
    pub connections_max: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Whether a connection to a member serves one client account only.
    pub has_accounts: bool,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time after which an idle transaction may be ended, in milliseconds.
    pub transaction_idle_ms: u64,
    /// Largest message, in bytes.
    pub message_bytes: usize,
}

/// A version of the relay's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Version; a later one has a higher number.
    pub version: u64,
    /// Routes by database name.
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceConfig>,
    /// Client accounts; `None` where callers need none.
    pub accounts: Option<Accounts>,
    /// Limits.
    pub limits: Limits,
}
