//! Proof that no other member has taken over: a member that was cut off answers
//! as if it led.

use crate::prelude::*;

/// What another member said of its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermReport {
    /// Time the question was sent, in microseconds.
    pub asked_us: u64,
    /// Term that the member stands by, or is held for by a replacement of the
    /// primary that is under way.
    pub term: u64,
}

/// What is known about a term at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipCheck {
    /// Enough of the other members stand by this term or an earlier one.
    Confirmed {
        /// Highest term among them.
        term: u64,
    },
    /// More testimonies are needed.
    Pending,
}

/// Number of other members whose testimony proves that a member of a group of
/// `members` leads.
///
/// A successor acknowledges a commit together with one more member, so it is
/// enough that at most one of the others has not been heard. Without
/// synchronous replicas it acknowledges alone, and all must be heard.
pub fn term_reports_needed(members: usize, sync_replicas: u32) -> usize {
    let others = members.saturating_sub(1);
    match sync_replicas {
        0 => others,
        _ => others.saturating_sub(1).max(others.min(1)),
    }
}

/// Weighs the testimonies of the other members, asked for after `since_us`.
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
    // A later term refutes the proof even where enough others stand by an
    // earlier one.
    terms.sort_unstable();
    LeadershipCheck::Confirmed {
        term: terms.last().copied().unwrap_or(0),
    }
}

/// Position that covers all that was acknowledged before `since_us`, from the
/// members other than the primary: `others` gives the time each was asked and
/// what it has received; `None` for one that was not heard.
///
/// A commit is acknowledged once one of them has received it, so the most
/// advanced has received all of them. It needs no primary: replicas go on
/// serving reads while it is being replaced.
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

/// Members to ask, nearest first, when `needed` testimonies are to come:
/// `others` gives distance and failures of each.
pub fn members_to_ask(others: &BTreeMap<Name, (u32, u32)>, needed: usize) -> Vec<Name> {
    let mut ranked: Vec<(&Name, &(u32, u32))> = others.iter().collect();
    ranked.sort_by_key(|(name, (distance, failures))| (*failures, *distance, (*name).clone()));
    let chosen = ranked.into_iter().take(needed);
    chosen.map(|(name, _)| name.clone()).collect()
}
