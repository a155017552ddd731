//! The position that a session of unknown position must see.

use super::member::{MemberView, Role};
use crate::prelude::*;

/// Finds the barrier for a question that came at `arrived_ms`.
///
/// A cut-off primary still answers as if it led, so its position counts only
/// when a majority of the members confirmed its term after the question came.
/// `None` until the answers are in.
pub fn barrier(members: &[MemberView], arrived_ms: u64) -> Option<Position> {
    let since = |m: &&MemberView| m.observation.is_some_and(|o| o.asked_ms >= arrived_ms);
    let fresh: Vec<_> = members
        .iter()
        .filter(since)
        .filter_map(|m| m.observation)
        .collect();
    let highest = fresh.iter().map(|o| o.status.term).max()?;
    let primary = fresh
        .iter()
        .position(|o| o.status.role == Role::Primary && o.status.term == highest)?;
    let standing = fresh.iter().filter(|o| o.status.term == highest).count();
    let is_confirmed = standing > members.len() / 2;
    let lsn = fresh[primary].status.received_lsn;
    is_confirmed.then(|| Position::new(highest, lsn))
}
