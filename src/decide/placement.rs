//! Which VM holds which slot, and which is a service's delegate.
//!
//! Rendezvous hashing: each VM has a score for each key, and the highest
//! wins. A VM that joins or leaves moves only the keys it wins or won.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::prelude::*;

/// A VM that may be chosen.
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
    /// The holder lives and keeps it.
    Kept,
    /// Highest score in the zone of the member.
    SameZone,
    /// Highest score of all: no VM stands in the zone.
    OtherZone,
}

/// Services that are added to a map of guardians without starting over.
const SERVICES_AT_ONCE: usize = 64;
/// Index that stands for a service as a whole, not for one of its slots.
const WHOLE: usize = usize::MAX;

/// Score of a VM for a key.
pub fn score(key: &str, index: usize, vm: &str) -> u64 {
    combine(hash_key(key, index), hash_vm(vm))
}

/// Scores are made from hashes of both sides, so that a VM that compares many
/// keys hashes each name once.
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

/// VM with the highest score for a service: its guardian, which claims the
/// service when the delegate in its row is gone.
pub fn standby_delegate<'a>(
    service: &str,
    vms: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    vms.max_by_key(|vm| score(service, WHOLE, vm))
}

/// Chooses holders for the slots of a service.
///
/// `zones` gives the zone of the member that each slot stands beside,
/// `current` the holders so far. A holder that still lives keeps its slot. A
/// VM holds at most one slot of a service while there are enough VMs.
pub fn place(
    service: &str,
    zones: &[Name],
    current: &[Option<Name>],
    vms: &[Candidate],
) -> Vec<Option<(Name, Reason)>> {
    let lives = |vm: &Name| vms.iter().any(|c| c.vm == *vm);
    let mut taken = BTreeSet::new();
    let mut chosen: Vec<Option<(Name, Reason)>> = vec![None; zones.len()];
    for (slot, holder) in current.iter().enumerate().take(zones.len()) {
        if let Some(vm) = holder.as_ref().filter(|vm| lives(vm))
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

/// The guardian of each service, kept up to date as VMs come and go.
///
/// A VM that joins costs one score per service; a VM that leaves costs one
/// score per VM for each service it guarded.
#[derive(Clone, Debug, Default)]
pub struct StandbyMap {
    vms: BTreeMap<Name, u64>,
    services: BTreeMap<Name, Guarded>,
}

/// A service with its guardian.
#[derive(Clone, Debug)]
struct Guarded {
    hash: u64,
    best: Option<(u64, Name)>,
}

impl Guarded {
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
    /// Adds services. Many at once make the map start over with no VM, so that
    /// [`StandbyMap::converge`] can spread the work.
    pub fn add_services<'a>(&mut self, services: impl Iterator<Item = &'a Name>) {
        let known = &self.services;
        let new: Vec<Name> = services
            .filter(|s| !known.contains_key(*s))
            .cloned()
            .collect();
        if new.len() > SERVICES_AT_ONCE {
            self.vms.clear();
            self.services
                .values_mut()
                .for_each(|guarded| guarded.best = None);
        }
        for service in new {
            let hash = hash_key(&service, WHOLE);
            let mut guarded = Guarded { hash, best: None };
            guarded.consider_all(&self.vms);
            self.services.insert(service, guarded);
        }
    }

    /// Removes the services that `keep` does not name.
    pub fn retain_services(&mut self, keep: impl Fn(&Name) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    /// Adds a VM.
    pub fn add_vm(&mut self, vm: &Name) {
        let vm_hash = hash_vm(vm);
        if self.vms.insert(vm.clone(), vm_hash).is_some() {
            return;
        }
        for guarded in self.services.values_mut() {
            guarded.consider(vm, vm_hash);
        }
    }

    /// Removes a VM.
    pub fn remove_vm(&mut self, vm: &Name) {
        if self.vms.remove(vm).is_none() {
            return;
        }
        for guarded in self.services.values_mut() {
            if guarded.best.as_ref().is_some_and(|(_, best)| best == vm) {
                guarded.consider_all(&self.vms);
            }
        }
    }

    /// Makes the VMs more like `vms`, with at most `most` changes; `true` once
    /// they are equal. Before that, guardians are not final.
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

    /// Guardian of a service.
    pub fn standby_of(&self, service: &str) -> Option<&Name> {
        let guarded = self.services.get(service)?;
        guarded.best.as_ref().map(|(_, vm)| vm)
    }

    /// Services that a VM guards.
    pub fn services_of(&self, vm: &str) -> Vec<Name> {
        let is_its = |guarded: &Guarded| guarded.best.as_ref().is_some_and(|(_, g)| **g == *vm);
        let services = self.services.iter().filter(|(_, g)| is_its(g));
        services.map(|(service, _)| service.clone()).collect()
    }
}
