//! When a commit may be acknowledged to the caller.

use serde::{Deserialize, Serialize};

use super::member::MemberView;
use crate::prelude::*;

/// What must be confirmed before a commit is acknowledged.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename = "Acknowledge", rename_all = "snake_case")]
pub enum AcknowledgeMode {
    /// A majority of the members has received the commit in the same term.
    #[default]
    Majority,
    /// A majority of the members still reports the commit's term.
    Term,
    /// Nothing beyond the primary's answer.
    Primary,
}

/// Decision about a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Report success to the caller.
    Acknowledge,
    /// Wait for more member reports.
    Wait,
    /// The term has ended or the deadline has passed: the outcome is unknown.
    Unknown,
}

/// A commit that waits for confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Position of the commit in the log.
    pub position: Position,
    /// Index of the primary that executed it.
    pub primary: usize,
    /// Time the primary answered, in milliseconds.
    pub answered_ms: u64,
}

/// Outcome of a commit whose term ended before it was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CommitOutcome {
    /// The new primary's log contains it; it is safe once a majority holds it
    /// in the new primary's term.
    Inherited(Commit),
    /// No later primary can have it, so it counts as never executed.
    Discarded,
    /// The commit's term has not ended yet.
    Open,
}

/// Determines the outcome of a commit from `found`, the term of the log entry
/// that the current primary holds at the commit's position.
///
/// `now` is the position of a majority barrier taken after the commit's term
/// ended. A majority is synchronized with the term of `now`, and every later
/// primary is chosen from a majority by the term it is synchronized with, so a
/// commit that this primary lacks cannot reappear.
pub fn commit_outcome(
    commit: &Commit,
    now: Position,
    primary: usize,
    found: Option<u64>,
) -> CommitOutcome {
    if now.term <= commit.position.term {
        return CommitOutcome::Open;
    }
    if found != Some(commit.position.term) {
        return CommitOutcome::Discarded;
    }
    CommitOutcome::Inherited(Commit {
        position: Position::new(now.term, commit.position.lsn),
        primary,
        ..*commit
    })
}

/// Decides whether a commit may be acknowledged.
///
/// A confirmation in the commit's own term is final: a promotion to a later
/// term chooses the most advanced member of a majority, and that member has the
/// commit.
pub fn acknowledge(mode: AcknowledgeMode, commit: &Commit, members: &[MemberView]) -> Decision {
    if mode == AcknowledgeMode::Primary {
        return Decision::Acknowledge;
    }
    let others = members
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != commit.primary)
        .filter_map(|(_, m)| m.observation);
    let confirms = |o: &super::member::Observation| match mode {
        AcknowledgeMode::Term => {
            o.status.term == commit.position.term && o.is_after(commit.answered_ms)
        }
        _ => o.status.confirms(commit.position),
    };
    let needed = members.len() / 2;
    if others.clone().filter(confirms).count() >= needed {
        return Decision::Acknowledge;
    }
    let is_over = others.clone().any(|o| o.status.term > commit.position.term);
    match is_over {
        true => Decision::Unknown,
        false => Decision::Wait,
    }
}
