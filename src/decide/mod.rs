//! Pure decision logic: no I/O, no clock, no global randomness.
//!
//! Times, random generators and observations are arguments; decisions and
//! actions are return values.

pub mod acknowledge;
pub mod age;
pub mod attempt;
pub mod barrier;
pub mod certainty;
pub mod claim;
pub mod classify;
pub mod failover;
pub mod floor_news;
pub mod group_floor;
pub mod leadership;
pub mod load;
pub mod member;
pub mod membership;
pub mod news_sources;
pub mod placement;
pub mod retry;
pub mod revision;
pub mod rollout;
pub mod route;
pub mod session_floors;
pub mod table_copy;
pub mod takeover;
