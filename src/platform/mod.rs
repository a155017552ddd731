//! Client of the platform's table service, object store and VM list.

mod client;
mod error;
mod row;
mod vm;

pub use client::PlatformClient;
pub use error::{PlatformError, Result};
pub use row::{Row, Written};
pub use vm::ListedVm;
