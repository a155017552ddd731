//! Histories of what callers did and saw, and an exact checker.

mod check;
mod event;

pub use check::{Violation, check};
pub use event::{Event, History, WriteOutcome};
