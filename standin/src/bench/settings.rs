//! Settings of a bench.

use bon::Builder;

/// Settings of a bench.
#[derive(Clone, Debug, Builder)]
pub struct BenchSettings {
    /// Services of three members each.
    #[builder(default = 1)]
    pub services: usize,
    /// Proxies, spread over three zones.
    #[builder(default = 2)]
    pub proxies: usize,
    /// Delay of replication, in milliseconds.
    #[builder(default = 0)]
    pub ship_lag_ms: u64,
    /// Delay of replay after receipt, in milliseconds.
    #[builder(default = 0)]
    pub replay_lag_ms: u64,
    /// Time of a new connection at a member, in milliseconds.
    #[builder(default = 0)]
    pub connect_ms: u64,
    /// Connections of a service to each member.
    #[builder(default = 50)]
    pub connections: u32,
    /// More lines of a service's settings, in YAML.
    #[builder(default)]
    pub extra: Vec<String>,
    /// More lines of a VM's settings, in YAML.
    #[builder(default)]
    pub vm_extra: Vec<String>,
}
