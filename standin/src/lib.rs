//! Stand-ins for the systems that foxtailknot depends on, a test bench that runs
//! them, a checker of recorded histories, and the load tool.
//!
//! The stand-ins for the platform and the database endpoints are separate
//! programs, used only by tests, the demo and measurements.

pub mod bench;
pub mod endpoint;
pub mod history;
pub mod load;
pub mod platform;
