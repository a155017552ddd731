//! VMs that are at work, as the platform lists them.

use std::net::SocketAddr;

use crate::{decide::holders::VmPlace, prelude::*};

/// VMs that are at work, this one among them. Empty until they are known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Vms {
    /// Where each stands.
    pub places: BTreeMap<Name, VmPlace>,
    /// Where each listens for other VMs.
    pub addresses: BTreeMap<Name, SocketAddr>,
}

impl Vms {
    /// Adds a VM.
    pub fn add(&mut self, vm: Name, place: VmPlace, address: SocketAddr) {
        self.places.insert(vm.clone(), place);
        self.addresses.insert(vm, address);
    }
}
