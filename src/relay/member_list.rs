//! Members as the platform lists them.

use std::net::SocketAddr;

use crate::{decide::member::Role, prelude::*};

/// A member as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Service that it belongs to.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// How it sees itself.
    pub role: Option<Role>,
    /// Unix time of its start, in milliseconds: its incarnation.
    pub started_ms: Option<u64>,
}

/// All members by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Members by id.
    pub members: BTreeMap<Name, MemberEntry>,
}
