//! Limits on the operations of client accounts, over all VMs.
//!
//! One VM counts the operations of an account; see [`crate::decide::load::counters`].
//! The meter of each VM buys tokens there and spends one for each operation.

mod client;
mod handle;
mod message;
mod meter;
mod take;

pub use handle::AccountMeter;
pub use take::Take;
