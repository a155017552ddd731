//! Coordination between VMs: membership, placement, failover and configuration.

pub mod admin;
pub mod apply;
pub mod daemon;
pub mod delegate;
pub mod ids;
pub mod keys;
pub mod node;
pub mod operation;
pub mod peer;
pub mod peer_clients;
pub mod peer_server;
pub mod service_row;
pub mod status;
