//! Stand-ins for what foxtailknot meets outside itself, and the load tool.
//!
//! The platform and the endpoints are programs of their own; they exist for
//! tests, the demo and measurements only.

pub mod bench;
pub mod endpoint;
pub mod history;
pub mod load;
pub mod platform;
