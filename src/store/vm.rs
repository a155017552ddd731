//! Entries of the platform's VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A VM in the platform's list, which lags behind the VMs' real state.
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
    /// Set once the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}
