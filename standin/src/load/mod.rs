//! Load on a bench, and what is measured with it.

pub mod caller;
pub mod failover;
pub mod idle;
pub mod latency;
pub mod share;
pub mod slopes;
pub mod usage;
pub mod writers;
