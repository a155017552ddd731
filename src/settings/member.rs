//! Settings of one member of a service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Result, SettingsError, part::part};
use crate::prelude::*;

part! {
    /// A member as one file gives it.
    MemberPart {
        /// Address of its PostgreSQL port.
        #[garde(skip)]
        address: SocketAddr,
        /// Availability zone.
        #[garde(length(min = 1))]
        zone: String,
        /// Set while the member is to get no new work.
        #[garde(skip)]
        leaving: bool,
    }
}

/// A member of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSettings {
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Set while the member is to get no new work.
    pub leaving: bool,
}

impl MemberSettings {
    /// Checks that nothing needed is missing.
    ///
    /// # Errors
    ///
    /// Returns an error that names the missing key.
    pub fn build(key: &str, part: &MemberPart) -> Result<MemberSettings> {
        let missing = |field: &str| SettingsError::merged(format!("{key}.{field}"), "is missing");
        Ok(MemberSettings {
            address: part.address.ok_or_else(|| missing("address"))?,
            zone: part.zone.as_deref().ok_or_else(|| missing("zone"))?.into(),
            leaving: part.leaving.unwrap_or(false),
        })
    }
}
