//! State of one member, as a slot sees it.

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
    /// Replicates from a primary.
    Replica,
}

/// Status that a member reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Role.
    pub role: Role,
    /// Highest term that the member has accepted.
    pub term: u64,
    /// Term that the member's log is synchronized with: the log contains
    /// everything that the term's primary had when the term began, and nothing
    /// that this primary lacks.
    pub synced_term: u64,
    /// Last LSN received.
    pub received_lsn: Lsn,
    /// Last LSN replayed.
    pub replayed_lsn: Lsn,
    /// Time since a replica last heard from its primary, in milliseconds.
    pub primary_seen_ms: u64,
}

impl MemberStatus {
    /// Position up to which reads on this member see data.
    pub fn replayed(&self) -> Position {
        Position::new(self.synced_term, self.replayed_lsn)
    }

    /// Whether reads on this member see everything up to `position`.
    pub fn has_replayed(&self, position: Position) -> bool {
        self.synced_term >= position.term && self.replayed_lsn >= position.lsn
    }

    /// Whether the member has received `position` and is still in its term.
    pub fn confirms(&self, position: Position) -> bool {
        self.term == position.term
            && self.synced_term == position.term
            && self.received_lsn >= position.lsn
    }
}

/// A status report with the times of the status query and the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The reported status.
    pub status: MemberStatus,
    /// Time at which the query was sent, in milliseconds.
    pub asked_ms: u64,
    /// Time at which the answer arrived, in milliseconds.
    pub answered_ms: u64,
}

impl Observation {
    /// Whether the report was asked for after an event at `event_ms`.
    pub fn is_after(&self, event_ms: u64) -> bool {
        asked_after(self.asked_ms, event_ms)
    }
}

/// Whether a status query sent at `asked_ms` came after an event at `event_ms`.
/// Within the same millisecond the order is unknown, so that does not count.
pub fn asked_after(asked_ms: u64, event_ms: u64) -> bool {
    asked_ms > event_ms
}

/// State of one member, as a slot sees it.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Name of the member.
    pub name: Option<Name>,
    /// Whether it is in the zone of this VM.
    pub is_near: bool,
    /// Latest report.
    pub observation: Option<Observation>,
    /// Number of consecutive status queries without an answer.
    pub failures: u32,
    /// Whether the member is leaving and gets no new requests.
    pub is_leaving: bool,
    /// Requests that are running on it.
    pub in_use: usize,
}

impl MemberView {
    /// Whether requests may be sent to it.
    pub fn is_usable(&self) -> bool {
        self.answers() && !self.is_leaving
    }

    /// Whether it has answered the latest status query.
    pub fn answers(&self) -> bool {
        self.failures == 0 && self.observation.is_some()
    }
}

/// Index of the current primary: the member that answers and is primary of the
/// highest term that any member has reported. A primary that is leaving gets
/// writes until the delegate has replaced it.
pub fn primary(members: &[MemberView]) -> Option<usize> {
    primary_of(members.iter())
}

/// Same as [`primary`], for an iterator of references.
pub fn primary_of<'a>(members: impl Iterator<Item = &'a MemberView> + Clone) -> Option<usize> {
    let observed = members.clone().filter_map(|m| m.observation);
    let highest = observed.map(|o| o.status.term).max()?;
    let leads = |m: &MemberView| {
        let status = m.observation.map(|o| o.status);
        status.is_some_and(|s| s.role == Role::Primary && s.term == highest)
    };
    members.clone().position(|m| m.answers() && leads(m))
}
