//! The platform's list of members.

use std::net::SocketAddr;

use crate::{decide::member::Role, prelude::*};

/// An entry of the platform's member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Service that the member belongs to.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Role that it claims.
    pub role: Option<Role>,
    /// Unix time of its start, in milliseconds; it tells restarts apart.
    pub started_ms: Option<u64>,
}

impl MemberEntry {
    /// What holds after the list gave another entry of the same member: `None` if that
    /// is older. A list that comes back from an older copy may show a process that has
    /// been replaced, or one that is leaving as it was before.
    pub fn followed_by(&self, next: MemberEntry) -> Option<MemberEntry> {
        let (Some(known_ms), Some(next_ms)) = (self.started_ms, next.started_ms) else {
            return Some(next);
        };
        let is_leaving = next.is_leaving || (self.is_leaving && next_ms == known_ms);
        (next_ms >= known_ms).then_some(MemberEntry { is_leaving, ..next })
    }
}

/// Members of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Members by id.
    pub members: BTreeMap<Name, MemberEntry>,
}
