//! Placeholder.
/// x
pub fn run() {}
/// x
pub fn control(_length: std::time::Duration) {}
