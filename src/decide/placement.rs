//! Assignment of slots and delegates to VMs by rendezvous hashing.
//!
//! Each VM has a score for each key, and the VM with the highest score is
//! chosen. A VM that joins or leaves moves only the keys that it gains or had.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::prelude::*;

/// A VM that can be chosen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the VM.
    pub vm: Name,
    /// Availability zone.
    pub zone: Name,
}

/// Why a VM was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The current holder is available and keeps the slot.
    Kept,
    /// Highest score in the zone of the slot's member.
    SameZone,
    /// Highest score of all VMs, because the zone has none left.
    OtherZone,
}

/// Maximum number of services that are added to a map without rebuilding it.
const NEW_SERVICES_MAX: usize = 64;
/// Index for a service as a whole, as opposed to one of its slots.
const SERVICE_INDEX: usize = usize::MAX;

/// Score of a VM for a key.
pub fn score(key: &str, index: usize, vm: &str) -> u64 {
    combine(hash_key(key, index), hash_vm(vm))
}

/// Combines the hashes of a key and a VM, so that each name is hashed only once
/// when many pairs are compared.
fn combine(key_hash: u64, vm_hash: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(key_hash);
    hasher.write_u64(vm_hash);
    hasher.finish()
}

fn hash_key(key: &str, index: usize) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.write_usize(index);
    hasher.finish()
}

fn hash_vm(vm: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(vm.as_bytes());
    hasher.finish()
}

/// The standby delegate of a service: the VM with the highest score, which
/// claims the delegate role when the delegate in the service's row is gone.
pub fn standby_delegate<'a>(
    service: &str,
    vms: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    vms.max_by_key(|vm| score(service, SERVICE_INDEX, vm))
}

/// Chooses holders for the slots of a service.
///
/// `zones` gives the zone of each slot's member, `current` the present holders.
/// A holder that is among `vms` keeps its slot. A VM holds at most one slot of
/// a service; slots without a VM stay unassigned.
pub fn place(
    service: &str,
    zones: &[Name],
    current: &[Option<Name>],
    vms: &[Candidate],
) -> Vec<Option<(Name, Reason)>> {
    let is_available = |vm: &Name| vms.iter().any(|c| c.vm == *vm);
    let mut taken = BTreeSet::new();
    let mut chosen: Vec<Option<(Name, Reason)>> = vec![None; zones.len()];
    for (slot, holder) in current.iter().enumerate().take(zones.len()) {
        if let Some(vm) = holder.as_ref().filter(|vm| is_available(vm))
            && taken.insert(vm.clone())
        {
            chosen[slot] = Some((vm.clone(), Reason::Kept));
        }
    }
    for (slot, zone) in zones.iter().enumerate() {
        if chosen[slot].is_some() {
            continue;
        }
        chosen[slot] = choose(service, slot, zone, vms, &taken);
        if let Some((vm, _)) = &chosen[slot] {
            taken.insert(vm.clone());
        }
    }
    chosen
}

fn choose(
    service: &str,
    slot: usize,
    zone: &Name,
    vms: &[Candidate],
    taken: &BTreeSet<Name>,
) -> Option<(Name, Reason)> {
    let best = |same_zone: bool| {
        vms.iter()
            .filter(|c| !taken.contains(&c.vm))
            .filter(|c| !same_zone || c.zone == *zone)
            .max_by_key(|c| score(service, slot, &c.vm))
    };
    if let Some(found) = best(true) {
        return Some((found.vm.clone(), Reason::SameZone));
    }
    best(false).map(|found| (found.vm.clone(), Reason::OtherZone))
}

/// The standby delegate of each service, updated as VMs join and leave.
///
/// A VM that joins costs one score per service. A VM that leaves costs one
/// score per VM for each service that it was standby of.
#[derive(Clone, Debug, Default)]
pub struct StandbyMap {
    vms: BTreeMap<Name, u64>,
    services: BTreeMap<Name, StandbyEntry>,
}

/// The standby delegate of one service.
#[derive(Clone, Debug)]
struct StandbyEntry {
    hash: u64,
    best: Option<(u64, Name)>,
}

impl StandbyEntry {
    fn consider(&mut self, vm: &Name, vm_hash: u64) {
        let score = combine(self.hash, vm_hash);
        if self.best.as_ref().is_none_or(|(best, _)| score > *best) {
            self.best = Some((score, vm.clone()));
        }
    }

    fn consider_all(&mut self, vms: &BTreeMap<Name, u64>) {
        self.best = None;
        for (vm, vm_hash) in vms {
            self.consider(vm, *vm_hash);
        }
    }
}

impl StandbyMap {
    /// Adds services. If there are many new ones, all VMs are removed from the
    /// map, so that [`StandbyMap::converge`] adds them again in steps.
    pub fn add_services<'a>(&mut self, services: impl Iterator<Item = &'a Name>) {
        let known = &self.services;
        let new: Vec<Name> = services
            .filter(|s| !known.contains_key(*s))
            .cloned()
            .collect();
        if new.len() > NEW_SERVICES_MAX {
            self.vms.clear();
            self.services
                .values_mut()
                .for_each(|entry| entry.best = None);
        }
        for service in new {
            let hash = hash_key(&service, SERVICE_INDEX);
            let mut entry = StandbyEntry { hash, best: None };
            entry.consider_all(&self.vms);
            self.services.insert(service, entry);
        }
    }

    /// Removes the services for which `keep` returns false.
    pub fn retain_services(&mut self, keep: impl Fn(&Name) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    /// Adds a VM.
    pub fn add_vm(&mut self, vm: &Name) {
        let vm_hash = hash_vm(vm);
        if self.vms.insert(vm.clone(), vm_hash).is_some() {
            return;
        }
        for entry in self.services.values_mut() {
            entry.consider(vm, vm_hash);
        }
    }

    /// Removes a VM.
    pub fn remove_vm(&mut self, vm: &Name) {
        if self.vms.remove(vm).is_none() {
            return;
        }
        for entry in self.services.values_mut() {
            if entry.best.as_ref().is_some_and(|(_, best)| best == vm) {
                entry.consider_all(&self.vms);
            }
        }
    }

    /// Brings the map's VMs closer to `vms` with at most `most` changes.
    /// Returns `true` once they are equal; until then the standby delegates are
    /// not final.
    pub fn converge(&mut self, vms: &BTreeSet<Name>, most: usize) -> bool {
        let gone = self.vms.keys().filter(|vm| !vms.contains(*vm));
        let gone: Vec<Name> = gone.take(most).cloned().collect();
        for vm in &gone {
            self.remove_vm(vm);
        }
        let known = &self.vms;
        let new = vms.iter().filter(|vm| !known.contains_key(*vm));
        let new: Vec<Name> = new.take(most - gone.len()).cloned().collect();
        for vm in &new {
            self.add_vm(vm);
        }
        self.vms.len() == vms.len() && gone.len() < most
    }

    /// Standby delegate of a service.
    pub fn standby_of(&self, service: &str) -> Option<&Name> {
        let entry = self.services.get(service)?;
        entry.best.as_ref().map(|(_, vm)| vm)
    }

    /// Services of which a VM is the standby delegate.
    pub fn services_of(&self, vm: &str) -> Vec<Name> {
        let is_standby =
            |entry: &StandbyEntry| entry.best.as_ref().is_some_and(|(_, best)| **best == *vm);
        let services = self.services.iter().filter(|(_, entry)| is_standby(entry));
        services.map(|(service, _)| service.clone()).collect()
    }
}
