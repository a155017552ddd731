//! The status of a VM, as operators see it.

use serde::{Deserialize, Serialize};

use crate::{
    decide::member::{MemberStatus, MemberView},
    prelude::*,
};

/// A member as seen from a slot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name.
    pub name: Name,
    /// Status that the member reported last.
    pub status: Option<MemberStatus>,
    /// Whether the slot sends requests to it.
    pub is_usable: bool,
    /// Requests running on it now.
    pub in_use: usize,
}

/// A slot on a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotStatus {
    /// Service.
    pub service: Name,
    /// Members.
    pub members: Vec<MemberReport>,
    /// Requests waiting for a connection.
    pub waiting: usize,
    /// Open connections.
    pub open: usize,
}

/// Status of a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmStatus {
    /// Name.
    pub vm: Name,
    /// Availability zone.
    pub zone: Name,
    /// Configuration version in force.
    pub config_version: Option<u64>,
    /// Callers connected now.
    pub callers: usize,
    /// Whether it is stopping.
    pub is_draining: bool,
    /// Slots.
    pub slots: Vec<SlotStatus>,
    /// Services that the VM is the delegate of, with the phase of the failover.
    pub delegate_of: BTreeMap<Name, Name>,
    /// Other VMs with their liveness.
    pub peers: BTreeMap<Name, Name>,
}

impl MemberReport {
    /// Summarizes a slot's view of a member.
    pub fn new(view: &MemberView) -> MemberReport {
        MemberReport {
            name: view.name.clone().unwrap_or_else(|| "?".into()),
            status: view.observation.map(|o| o.status),
            is_usable: view.is_usable(),
            in_use: view.in_use,
        }
    }
}
