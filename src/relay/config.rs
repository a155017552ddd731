//! What operators configure: routes and services.

use crate::prelude::*;

/// What reads on a route must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Everything acknowledged before they came.
    Primary,
    /// Everything acknowledged more than this time before they came.
    Bounded {
        /// Oldest data allowed, in milliseconds.
        max_staleness_ms: u64,
    },
    /// As bounded, and all that the session has committed.
    ReadYourWrites {
        /// Oldest data allowed, in milliseconds.
        max_staleness_ms: u64,
    },
}

/// The way to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Service that holds the database.
    pub service: Name,
    /// What reads must see.
    pub consistency: Consistency,
    /// Longest time of a single statement, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which callers hope for the whole operation, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority; zero goes first.
    pub priority: u32,
}

/// A service as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Most connections to a member, from all VMs together.
    pub connections_max: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time after which an idle transaction may be ended, in milliseconds.
    pub transaction_idle_ms: u64,
    /// Largest message, in bytes.
    pub message_bytes: usize,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfig {
    /// Version; it only rises.
    pub version: u64,
    /// Routes by the name of their database.
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceConfig>,
    /// Limits.
    pub limits: Limits,
}
