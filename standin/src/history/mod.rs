//! Histories of what callers wrote and read, and a checker of the consistency
//! guarantees.

mod check;
mod event;

pub use check::{Violation, check};
pub use event::{Event, History, WriteOutcome};
