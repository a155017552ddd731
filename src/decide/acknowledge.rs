//! When a commit may be acknowledged.

use serde::{Deserialize, Serialize};

use super::member::MemberView;
use crate::prelude::*;

/// What must be known before a commit is acknowledged.
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
#[serde(rename_all = "snake_case")]
pub enum AcknowledgeMode {
    /// A majority of the members holds the commit in the same term.
    #[default]
    Majority,
    /// A majority of the members still stands by the term.
    Term,
    /// Nothing: the primary's answer is enough.
    Primary,
}

/// Decision for a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Tell the caller that it is done.
    Acknowledge,
    /// Wait for more reports.
    Wait,
    /// The term is over, or the time is: the outcome is not known.
    Unknown,
}

/// A commit that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Its position.
    pub position: Position,
    /// Index of the primary that ran it.
    pub primary: usize,
    /// Time the primary answered, in milliseconds.
    pub answered_ms: u64,
}

/// What became of a commit whose term ended before it was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CommitOutcome {
    /// The successor's log holds it; it is safe once a majority holds it in
    /// the successor's term.
    Inherited(Commit),
    /// No later primary can hold it: it was never run.
    Discarded,
    /// The term has not ended.
    Open,
}

/// Decides the fate of a commit from `found`, the term of the entry that the
/// current primary holds at its position.
///
/// `now` is the position of a barrier by majority, taken after the commit's
/// term ended: a majority is in step with the term of `now`, and every later
/// primary is chosen from a majority by the term it is in step with. So what
/// this primary lacks can't come back.
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
/// A confirmation in the commit's own term is final: the promotion to any
/// later term chooses a member that holds the commit, because it hears from
/// a majority and takes the most advanced.
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
