//! What a VM reports to operators.

use serde::{Deserialize, Serialize};

use crate::{
    decide::member::{MemberStatus, MemberView},
    prelude::*,
};

/// A member as a slot sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name.
    pub name: Name,
    /// Its last report.
    pub status: Option<MemberStatus>,
    /// Whether it gets work.
    pub is_usable: bool,
    /// Requests that run on it now.
    pub in_use: usize,
}

/// A slot on a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotStatus {
    /// Service.
    pub service: Name,
    /// Members.
    pub members: Vec<MemberReport>,
    /// Requests that wait.
    pub waiting: usize,
    /// Connections open.
    pub open: usize,
}

/// A VM's report.
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
    /// Services it is the delegate of, with the phase of the failover.
    pub delegate_of: BTreeMap<Name, Name>,
    /// Other VMs and their state.
    pub peers: BTreeMap<Name, Name>,
}

impl MemberReport {
    /// Summarizes what a slot knows of a member.
    pub fn new(view: &MemberView) -> MemberReport {
        MemberReport {
            name: view.name.clone().unwrap_or_else(|| "?".into()),
            status: view.observation.map(|o| o.status),
            is_usable: view.is_usable(),
            in_use: view.in_use,
        }
    }
}
