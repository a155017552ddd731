//! Decisions under load: who is served where, who waits, and who is refused.

pub mod account;
pub mod admission;
pub mod allotment;
pub mod askers;
pub mod capacity;
pub mod counters;
pub mod dispatch;
pub mod holders;
pub mod memory;
pub mod window;
