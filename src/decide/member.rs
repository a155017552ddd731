//! What a slot knows of one member.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Role that a member reports.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// A member's own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Role.
    pub role: Role,
    /// Highest term it has promised to.
    pub term: u64,
    /// Term that its log is in step with: it holds all that the term's primary
    /// held when the term began, and nothing that this primary lacks.
    pub synced_term: u64,
    /// Last position received.
    pub received_lsn: Lsn,
    /// Last position replayed.
    pub replayed_lsn: Lsn,
    /// Time since a replica last heard from its primary, in milliseconds.
    pub primary_seen_ms: u64,
}

impl MemberStatus {
    /// Position that readers of this member see.
    pub fn replayed(&self) -> Position {
        Position::new(self.synced_term, self.replayed_lsn)
    }

    /// Whether readers of this member see all up to `position`.
    pub fn has_replayed(&self, position: Position) -> bool {
        self.synced_term >= position.term && self.replayed_lsn >= position.lsn
    }

    /// Whether the member holds `position` and still stands by its term.
    pub fn confirms(&self, position: Position) -> bool {
        self.term == position.term
            && self.synced_term == position.term
            && self.received_lsn >= position.lsn
    }
}

/// A report with the time it was asked for and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The report.
    pub status: MemberStatus,
    /// Time the question was sent, in milliseconds.
    pub asked_ms: u64,
    /// Time the answer came, in milliseconds.
    pub answered_ms: u64,
}

impl Observation {
    /// Whether the report was asked for after an event at `event_ms`.
    pub fn is_after(&self, event_ms: u64) -> bool {
        asked_after(self.asked_ms, event_ms)
    }
}

/// Whether a question at `asked_ms` was sent after an event at `event_ms`.
/// Within one millisecond the order is not known, so it does not count.
pub fn asked_after(asked_ms: u64, event_ms: u64) -> bool {
    asked_ms > event_ms
}

/// What a slot knows of one member.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Name of the member.
    pub name: Option<Name>,
    /// Whether it stands in the zone of this VM.
    pub is_near: bool,
    /// Last report.
    pub observation: Option<Observation>,
    /// Questions in a row that got no answer.
    pub failures: u32,
    /// Set while the member is to get no new work.
    pub is_leaving: bool,
    /// Requests that run on it now.
    pub in_use: usize,
}

impl MemberView {
    /// Whether requests may be sent to it.
    pub fn is_usable(&self) -> bool {
        self.answers() && !self.is_leaving
    }

    /// Whether it answers.
    pub fn answers(&self) -> bool {
        self.failures == 0 && self.observation.is_some()
    }
}

/// Index of the current primary: the one that answers and leads in the highest
/// term that any member has promised to. A primary that is leaving keeps its
/// writes until the delegate has replaced it.
pub fn primary(members: &[MemberView]) -> Option<usize> {
    primary_of(members.iter())
}

/// As [`primary`], over references.
pub fn primary_of<'a>(members: impl Iterator<Item = &'a MemberView> + Clone) -> Option<usize> {
    let observed = members.clone().filter_map(|m| m.observation);
    let highest = observed.map(|o| o.status.term).max()?;
    let leads = |m: &MemberView| {
        let status = m.observation.map(|o| o.status);
        status.is_some_and(|s| s.role == Role::Primary && s.term == highest)
    };
    members.clone().position(|m| m.answers() && leads(m))
}
