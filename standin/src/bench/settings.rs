//! Settings of a bench.

use bon::Builder;

/// Settings of a bench.
#[derive(Clone, Debug, Builder)]
pub struct BenchSettings {
    /// Number of services, of three members each.
    #[builder(default = 1)]
    pub services: usize,
    /// Number of proxies, spread over three zones.
    #[builder(default = 2)]
    pub proxies: usize,
    /// Delay before an entry reaches a replica, in milliseconds.
    #[builder(default = 0)]
    pub ship_lag_ms: u64,
    /// Delay between receiving and applying an entry, in milliseconds.
    #[builder(default = 0)]
    pub replay_lag_ms: u64,
    /// Time that a member takes to accept a connection, in milliseconds.
    #[builder(default = 0)]
    pub connect_ms: u64,
    /// Connection limit of a service for each member.
    #[builder(default = 50)]
    pub connections: u32,
    /// Additional lines of each service's settings, in YAML.
    #[builder(default)]
    pub extra: Vec<String>,
    /// Additional lines of each VM's settings, in YAML.
    #[builder(default)]
    pub vm_extra: Vec<String>,
}
