//! The relay, which carries statements from callers to members.
//!
//! A session task owns the socket of one caller; a service task owns the
//! connections to the members of one service. They communicate by messages. The
//! relay has no wire protocol of its own: the codecs, plain structs of
//! functions, define what is read and written on the sockets.

mod accounts;
mod answer;
mod byte_budget;
mod callers;
mod codec;
mod config;
mod connection;
mod error;
mod exchange;
mod forward;
mod handle;
mod member;
mod member_list;
mod message;
mod open;
mod options;
mod prepared;
mod service;
mod session;
mod socket;
mod statement;
mod takeover;
mod transaction;
mod vms;

pub use accounts::Take;
pub use answer::{Answer, ErrorClass, SessionState, StatusReport};
pub use codec::{
    CallerCodec, CallerMessage, Codecs, ForwardCodec, ForwardMessage, MemberCodec, MemberRequest,
};
pub use config::{Consistency, Limits, RelayConfig, Route, ServiceConfig};
pub use error::{RelayError, Result};
pub use handle::Relay;
pub use member_list::{MemberEntry, MemberList};
pub use options::{
    Authority, Claim, ListRead, OrderRecord, PromoteOutcome, Promotion, RelayOptions,
};
pub use prepared::PreparedStatement;
pub use statement::{Access, Statement, StatementKind};
pub use vms::Vms;
