//! The path of a statement without a protocol of its own.
//!
//! A session task owns the socket of a caller, a service task the connections
//! to the members of one service; they talk by messages. What is said on the
//! sockets is left to two codecs, plain structs of functions.

mod answer;
mod catalog;
mod codec;
mod error;
mod exchange;
mod forward;
mod handle;
mod link;
mod member;
mod message;
mod open;
mod options;
mod prepared;
mod roster;
mod service;
mod session;
mod socket;
mod statement;
mod takeover;
mod transaction;
mod vms;

pub use answer::{Answer, ErrorClass, SessionState, StatusReport};
pub use catalog::{Catalog, Consistency, Limits, Route, ServiceEntry};
pub use codec::{
    CallerCodec, CallerMessage, Codecs, ForwardCodec, ForwardMessage, MemberCodec, MemberRequest,
};
pub use error::{RelayError, Result};
pub use handle::Relay;
pub use options::{Authority, Claim, PromoteOutcome, Promotion, RelayOptions};
pub use prepared::PreparedStatement;
pub use roster::{MemberEntry, Roster};
pub use statement::{Access, Statement, StatementKind};
pub use vms::Vms;
