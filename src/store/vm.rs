//! VMs as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A VM in the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Region.
    pub region: Name,
    /// Address for callers forwarded by other VMs.
    pub internal: SocketAddr,
    /// Address for calls between VMs.
    pub peer: SocketAddr,
    /// Set while the VM is about to be taken away.
    #[serde(default)]
    pub leaving: bool,
}
