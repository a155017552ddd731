//! foxtailknot: a database proxy with session consistency.
//!
//! - `decide`: decision logic as pure functions, without I/O.
//! - `proxy`: statement processing in PostgreSQL's protocol.
//! - `relay`: statement processing for any protocol, given a pair of codecs.
//! - `control`: coordination between VMs: membership, placement, failover and
//!   configuration.
//! - `news`: copies of the store's tables, passed between VMs.
//! - `store`: client of the platform's table service, object store and VM list.
//! - `settings`: the settings files that operators write.
//! - `cmd`: the daemon and the command-line tool.

pub mod clock;
pub mod cmd;
pub mod code;
pub mod control;
pub mod decide;
pub mod decision_log;
pub mod group_id;
pub mod http;
pub mod lag;
pub mod logging;
pub mod lsn;
pub mod metrics;
pub mod news;
pub mod position;
pub mod prelude;
pub mod proxy;
pub mod relay;
pub mod settings;
pub mod signals;
pub mod store;
pub mod token;
