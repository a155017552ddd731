//! Command line of the endpoint stand-in.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Settings of one member.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub struct EndpointSettings {
    /// Name of the member.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of another member; repeat for each.
    #[bpaf(argument("ADDR"))]
    pub peer: Vec<SocketAddr>,
    /// Start as the primary of term 1.
    pub primary: bool,
    /// Delay before an entry reaches this member, in milliseconds.
    #[bpaf(fallback(0))]
    pub ship_lag_ms: u64,
    /// Delay between receiving and replaying an entry, in milliseconds.
    #[bpaf(fallback(0))]
    pub replay_lag_ms: u64,
    /// Time a new connection takes, in milliseconds.
    #[bpaf(fallback(0))]
    pub connect_ms: u64,
    /// Most connections accepted at once.
    #[bpaf(fallback(100))]
    pub max_connections: usize,
}
