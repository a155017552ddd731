//! foxtailknot: a database proxy with session consistency.
//!
//! `decide` holds pure decisions, `proxy` the path of a statement, `control`
//! the work that VMs do together, `platform` the client of the platform's
//! services, and `settings` what operators write.

pub mod clock;
pub mod cmd;
pub mod code;
pub mod control;
pub mod decide;
pub mod logging;
pub mod lsn;
pub mod metrics;
pub mod platform;
pub mod position;
pub mod prelude;
pub mod proxy;
pub mod settings;
pub mod token;
