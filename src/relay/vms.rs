//! Active VMs, as the platform lists them.

use std::net::SocketAddr;

use crate::{decide::load::holders::VmPlace, prelude::*};

/// Active VMs, including this one. Empty until they are known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Vms {
    /// Zone, region and weight of each VM.
    pub places: BTreeMap<Name, VmPlace>,
    /// Address at which each listens for other VMs' statements.
    pub addresses: BTreeMap<Name, SocketAddr>,
    /// Address at which each gives news of the store to other VMs, if it does.
    pub news_addresses: BTreeMap<Name, SocketAddr>,
}

impl Vms {
    /// Adds a VM.
    pub fn add(&mut self, vm: Name, place: VmPlace, address: SocketAddr) {
        self.places.insert(vm.clone(), place);
        self.addresses.insert(vm, address);
    }
}
