//! foxtailknot: a database proxy with session consistency.
//!
//! `decide` holds pure decisions, `proxy` the path of a statement in
//! PostgreSQL's protocol, `relay` the same path without a protocol of its own,
//! `control` the work that VMs do together, `store` the client of the
//! platform's services, and `settings` what operators write.

pub mod clock;
pub mod cmd;
pub mod code;
pub mod control;
pub mod decide;
pub mod decision_log;
pub mod http;
pub mod logging;
pub mod lsn;
pub mod metrics;
pub mod position;
pub mod prelude;
pub mod proxy;
pub mod relay;
pub mod settings;
pub mod signals;
pub mod store;
pub mod token;
