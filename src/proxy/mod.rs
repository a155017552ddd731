//! The path of a statement: callers, slots and connections to endpoints.

pub mod caller;
pub mod cancel;
pub mod class_cache;
pub mod connect;
pub mod context;

pub mod error;
pub mod exchange;
pub mod frame;
pub mod link;
pub mod listener;
pub mod local;
pub mod message;
pub mod owed;
pub mod prepared;
pub mod request;
pub mod route_table;
pub mod session;
pub mod slot;
pub mod startup;
pub mod trunk;
pub mod watch;
pub mod wire;
