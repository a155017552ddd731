//! Confirmation that a primary still leads, needed because a primary that was
//! cut off and replaced goes on answering as primary.

use crate::prelude::*;

/// A member's report about its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermReport {
    /// Time at which the report was requested, in microseconds.
    pub asked_us: u64,
    /// Term of the member, or the higher term of a replacement of the primary
    /// that is in progress and has fenced the member.
    pub term: u64,
}

/// Result of a leadership check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipCheck {
    /// Enough of the other members have reported this term or an earlier one.
    Confirmed {
        /// Highest term that they reported.
        term: u64,
    },
    /// More reports are needed.
    Pending,
}

/// Number of other members that must report their term to confirm the primary
/// of a group of `members`.
///
/// A new primary needs one more member to acknowledge a commit, so the report
/// of one of the others may be missing. Without synchronous replicas it
/// acknowledges alone, and all the others must report.
pub fn term_reports_needed(members: usize, sync_replicas: u32) -> usize {
    let others = members.saturating_sub(1);
    match sync_replicas {
        0 => others,
        _ => others.saturating_sub(1).max(others.min(1)),
    }
}

/// Evaluates the reports of the other members that were asked for after
/// `since_us`.
pub fn check_leadership(
    others: impl Iterator<Item = TermReport>,
    since_us: u64,
    needed: usize,
) -> LeadershipCheck {
    let mut terms: Vec<u64> = others
        .filter(|t| t.asked_us > since_us)
        .map(|t| t.term)
        .collect();
    if terms.len() < needed {
        return LeadershipCheck::Pending;
    }
    // A single report of a later term counts, even if enough others report an
    // earlier one.
    terms.sort_unstable();
    LeadershipCheck::Confirmed {
        term: terms.last().copied().unwrap_or(0),
    }
}

/// Position that includes all commits acknowledged before `since_us`, from the
/// members other than the primary. `others` gives the time each was asked and
/// the position it has received, or `None` if it has not reported.
///
/// A commit is acknowledged once one of them has received it, so the most
/// advanced has received all of them. This works without a primary, so that
/// replicas keep serving reads while it is replaced.
pub fn received_by_others(
    others: impl Iterator<Item = Option<(u64, Position)>>,
    since_us: u64,
    sync_replicas: u32,
) -> Option<Position> {
    if sync_replicas == 0 {
        return None;
    }
    let mut highest = None;
    for other in others {
        let (_, received) = other.filter(|(asked_us, _)| *asked_us > since_us)?;
        highest = highest.max(Some(received));
    }
    highest
}

/// Chooses `needed` members to ask for their term, by fewest failures, then by
/// distance. `others` gives the distance and the failures of each.
pub fn members_to_ask(others: &BTreeMap<Name, (u32, u32)>, needed: usize) -> Vec<Name> {
    let mut ranked: Vec<(&Name, &(u32, u32))> = others.iter().collect();
    ranked.sort_by_key(|(name, (distance, failures))| (*failures, *distance, (*name).clone()));
    let chosen = ranked.into_iter().take(needed);
    chosen.map(|(name, _)| name.clone()).collect()
}
