//! News of the store's tables, passed between VMs.
//!
//! A few VMs follow the store; the others subscribe to them by `tarpc`. Which
//! VMs these are, and what a page of news changes, is decided in
//! [`decide::news_sources`](crate::decide::news_sources) and
//! [`decide::table_copy`](crate::decide::table_copy).

mod copies;
mod exchange;
mod hub;
mod message;
mod options;
mod packed_rows;
mod server;
mod store_source;
mod subscription;

pub use hub::NewsHub;
pub use message::{NewsAnswer, NewsRequest, TableNews};
pub use options::{FloorListener, FollowedTable, NewsOptions};
pub use server::accept;
pub use store_source::{PendingPage, SourceError, StoreSource};
