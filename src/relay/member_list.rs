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

/// Members of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Members by id.
    pub members: BTreeMap<Name, MemberEntry>,
}
