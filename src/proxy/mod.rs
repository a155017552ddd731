//! PostgreSQL proxy: callers' sessions, slots, and connections to endpoints and
//! other VMs.

pub mod caller;
pub mod cancel;
pub mod class_cache;
pub mod connect;
pub mod connection;
pub mod context;
pub mod error;
pub mod exchange;
pub mod frame;
pub mod listener;
pub mod local;
pub mod message;
pub mod peer_pool;
pub mod pending;
pub mod prepared;
pub mod request;
pub mod route_table;
pub mod session;
pub mod slot;
pub mod startup;
pub mod status_query;
pub mod wire;
