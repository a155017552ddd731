//! Stand-in for one member of a replicated database group: it speaks the
//! PostgreSQL protocol, runs SQL on embedded SQLite and replicates a log of
//! statements asynchronously.

mod engine;
mod functions;
mod log_entry;
mod member;
mod replication;
mod role;
mod server;
mod session;
mod settings;
mod state;

pub use log_entry::{LogEntry, Statement};
pub use member::Member;
pub use role::Role;
pub use server::serve;
pub use settings::{EndpointSettings, endpoint_settings};
