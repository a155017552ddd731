//! The barrier: the position that a session whose own position is unknown must
//! see.
//!
//! A primary that is cut off still answers as primary. Its position therefore
//! counts only if a majority of the members reports the same term after the
//! request arrived.

use super::{
    acknowledge::AcknowledgeMode,
    member::{MemberStatus, MemberView, Role},
};
use crate::prelude::*;

/// Computes the barrier for a request that arrived at `arrived_ms`; `None`
/// until enough reports are in.
///
/// A report counts only if it was asked for in a later millisecond, because the
/// order of two events within the same millisecond is unknown.
///
/// If commits are acknowledged by a majority, any majority of the members that
/// are synchronized with the term holds every acknowledged commit. The least
/// advanced majority is enough, so that the session does not wait for commits
/// that were never acknowledged. In the other modes the barrier is the
/// primary's position.
pub fn barrier(mode: AcknowledgeMode, members: &[MemberView], arrived_ms: u64) -> Option<Position> {
    match mode {
        AcknowledgeMode::Majority => quorum_barrier(members, arrived_ms),
        _ => primary_barrier(members, arrived_ms),
    }
}

/// Position of the primary, once a majority has reported its term.
pub fn primary_barrier(members: &[MemberView], arrived_ms: u64) -> Option<Position> {
    let fresh = fresh(members, arrived_ms);
    let highest = fresh.iter().map(|status| status.term).max()?;
    let in_term = fresh.iter().filter(|status| status.term == highest);
    let has_majority = in_term.clone().count() > members.len() / 2;
    let mut primaries = in_term.filter(|status| status.role == Role::Primary);
    let primary = primaries.next()?;
    has_majority.then(|| Position::new(highest, primary.received_lsn))
}

/// Highest position within the least advanced majority of the members that are
/// synchronized with the highest term.
fn quorum_barrier(members: &[MemberView], arrived_ms: u64) -> Option<Position> {
    let is_awaited = |m: &MemberView| {
        let is_fresh = m.observation.is_some_and(|o| o.is_after(arrived_ms));
        m.failures == 0 && !is_fresh
    };
    if members.iter().any(is_awaited) {
        return None;
    }
    let fresh = fresh(members, arrived_ms);
    let highest = fresh.iter().map(|status| status.term).max()?;
    let synced = fresh
        .iter()
        .filter(|status| status.term == highest && status.synced_term == highest);
    let mut received: Vec<Lsn> = synced.map(|status| status.received_lsn).collect();
    received.sort_unstable();
    let majority = members.len() / 2 + 1;
    let lsn = received.get(majority - 1)?;
    Some(Position::new(highest, *lsn))
}

fn fresh(members: &[MemberView], arrived_ms: u64) -> Vec<MemberStatus> {
    let observed = members.iter().filter_map(|m| m.observation);
    let fresh = observed.filter(|o| o.is_after(arrived_ms));
    fresh.map(|o| o.status).collect()
}
