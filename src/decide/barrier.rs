//! The position that a session of unknown position must see.
//!
//! A cut-off primary still answers as if it led, so nothing counts unless a
//! majority of the members stood by its term after the question came.

use super::{
    acknowledge::AcknowledgeMode,
    member::{MemberStatus, MemberView, Role},
};
use crate::prelude::*;

/// Finds the barrier for a question that came at `arrived_ms`; `None` until
/// the reports are in.
///
/// A report counts only if it was asked for in a later millisecond: within the
/// same one the order of the two is not known.
///
/// Where commits are acknowledged by a majority, any majority of the members
/// that are in step with the term holds every acknowledged commit, so the
/// least advanced majority will do: the session need not wait for commits that
/// nobody was told of. Otherwise it is the primary's position.
pub fn barrier(mode: AcknowledgeMode, members: &[MemberView], arrived_ms: u64) -> Option<Position> {
    match mode {
        AcknowledgeMode::Majority => quorum_barrier(members, arrived_ms),
        _ => primary_barrier(members, arrived_ms),
    }
}

/// Position of the primary, once its term is confirmed.
pub fn primary_barrier(members: &[MemberView], arrived_ms: u64) -> Option<Position> {
    let fresh = fresh(members, arrived_ms);
    let highest = fresh.iter().map(|status| status.term).max()?;
    let standing = fresh.iter().filter(|status| status.term == highest);
    let has_majority = standing.clone().count() > members.len() / 2;
    let mut leading = standing.filter(|status| status.role == Role::Primary);
    let primary = leading.next()?;
    has_majority.then(|| Position::new(highest, primary.received_lsn))
}

/// Least position that a majority in step with the highest term covers.
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
    let in_step = fresh
        .iter()
        .filter(|status| status.term == highest && status.synced_term == highest);
    let mut received: Vec<Lsn> = in_step.map(|status| status.received_lsn).collect();
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
