//! Settings of one member of a service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Result, SettingsError, part::part};
use crate::prelude::*;

part! {
    /// Settings of a member in one file.
    MemberPart {
        /// Address of its PostgreSQL port.
        #[garde(skip)]
        address: SocketAddr,
        /// Availability zone.
        #[garde(length(min = 1))]
        zone: String,
        /// Set while the member must get no new work.
        #[garde(skip)]
        leaving: bool,
    }
}

/// Settings of a member of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSettings {
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Set while the member must get no new work.
    pub leaving: bool,
}

impl MemberSettings {
    /// Builds the settings from the merged files.
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
