//! One member of a replicated database group: PostgreSQL protocol, an
//! embedded SQL engine, and a statement log that is shipped asynchronously.

mod call;
mod entry;
mod follow;
mod member;
mod operator;
mod role;
mod server;
mod session;
mod settings;
mod state;

pub use entry::{Entry, Statement};
pub use member::Member;
pub use role::Role;
pub use server::serve;
pub use settings::{EndpointSettings, endpoint_settings};
