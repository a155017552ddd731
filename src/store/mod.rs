//! Client of the platform's table service, object store and VM list.

mod client;
mod error;
mod row;
mod vm;

pub use client::StoreClient;
pub use error::{Result, StoreError};
pub use row::{Row, WriteOutcome};
pub use vm::ListedVm;
