//! Decisions under load: who is served where, who waits, and who is refused.

pub mod admission;
pub mod dispatch;
pub mod holders;
pub mod window;
