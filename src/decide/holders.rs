//! Which VMs hold connections to a member, and the ways by which others reach it.
//!
//! Connections to a member are few, VMs may be many. Where each VM of a region
//! can have one of its own, all do; otherwise a few of them hold all of the
//! region's connections and the others send their statements through those.

use std::cmp::Ordering;

use super::{dispatch::connections_for_region, placement::score};
use crate::prelude::*;

/// Fewest connections that a holder has. Transactions that pause hold about half
/// of them, and a pool is full by chance the less often the larger it is.
const HOLDER_CONNECTIONS: usize = 16;
/// Ways through other VMs that are kept besides the first choice.
const SPARE_WAYS: usize = 4;
/// Index of the score that chooses holders, among those of a key.
const AS_HOLDER: usize = 0;
/// Index of the score that chooses ways for one VM.
const AS_WAY: usize = 1;

/// A VM that may hold connections.
#[derive(Clone, Debug, PartialEq)]
pub struct VmPlace {
    /// Availability zone.
    pub zone: Name,
    /// Region of the zone.
    pub region: Name,
    /// Its power, relative to that of others.
    pub weight: f64,
}

/// How a VM reaches a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberPath {
    /// On connections of its own.
    Direct,
    /// Through another VM.
    Through(Name),
}

impl MemberPath {
    /// Name of the VM that it leads through, for logs.
    pub fn through(&self) -> &str {
        match self {
            MemberPath::Direct => "none",
            MemberPath::Through(vm) => vm,
        }
    }
}

/// Chooses the VMs of a region that hold connections to a member; `None` if each
/// VM of the region may.
///
/// Weighted rendezvous hashing: a VM is chosen in proportion to its weight, and
/// one that joins or leaves moves only what it holds.
pub fn holders(
    member: &str,
    connections_max: usize,
    vms: &BTreeMap<Name, VmPlace>,
    region: &Name,
) -> Option<Vec<Name>> {
    let regions: BTreeSet<&Name> = vms.values().map(|vm| &vm.region).collect();
    let dealt = connections_for_region(connections_max, regions.len());
    let here = vms.iter().filter(|(_, vm)| vm.region == *region);
    let here: Vec<(&Name, &VmPlace)> = here.collect();
    if here.len() <= dealt.max(1) {
        return None;
    }
    let count = (dealt / HOLDER_CONNECTIONS).max(1);
    Some(ranked(member, AS_HOLDER, here, count))
}

/// Ways by which the VM `own` reaches a member, best first.
///
/// A holder goes itself, and through others while it is cut off from the
/// member. Any other VM goes through holders of its region, then of others, and
/// itself only when none of them answers.
pub fn member_paths(
    own: &Name,
    member: &str,
    connections_max: usize,
    vms: &BTreeMap<Name, VmPlace>,
) -> Vec<MemberPath> {
    let Some(place) = vms.get(own) else {
        return vec![MemberPath::Direct];
    };
    // Each VM ranks the others differently, so that the load spreads.
    let key = format!("{own}/{member}");
    let holders_in = |region: &Name| -> Vec<(&Name, &VmPlace)> {
        let chosen = holders(member, connections_max, vms, region);
        let here = vms
            .iter()
            .filter(|(vm, p)| p.region == *region && *vm != own);
        let holds = |vm: &Name| chosen.as_ref().is_none_or(|chosen| chosen.contains(vm));
        here.filter(|(vm, _)| holds(vm)).collect()
    };
    let own_holders = holders(member, connections_max, vms, &place.region);
    let is_holder = own_holders.is_none_or(|chosen| chosen.contains(own));
    let regions: BTreeSet<&Name> = vms.values().map(|vm| &vm.region).collect();
    let others = regions
        .into_iter()
        .filter(|region| **region != place.region);
    let far: Vec<(&Name, &VmPlace)> = others.flat_map(holders_in).collect();
    let near = ranked(&key, AS_WAY, holders_in(&place.region), SPARE_WAYS / 2);
    let far = ranked(&key, AS_WAY, far, SPARE_WAYS - near.len());
    let through = near.into_iter().chain(far).map(MemberPath::Through);
    match is_holder {
        true => std::iter::once(MemberPath::Direct).chain(through).collect(),
        false => through.chain(std::iter::once(MemberPath::Direct)).collect(),
    }
}

/// The first `count` VMs by weighted rendezvous hashing.
fn ranked(key: &str, index: usize, vms: Vec<(&Name, &VmPlace)>, count: usize) -> Vec<Name> {
    let mut scored: Vec<(f64, &Name)> = vms
        .into_iter()
        .map(|(vm, place)| (weighted_score(key, index, vm, place.weight), vm))
        .collect();
    scored.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(Ordering::Equal));
    let first = scored.into_iter().take(count);
    first.map(|(_, vm)| vm.clone()).collect()
}

/// Score whose maximum falls on a VM with a probability in proportion to its weight.
fn weighted_score(key: &str, index: usize, vm: &str, weight: f64) -> f64 {
    let hash = score(key, index, vm) as f64;
    let unit = hash / u64::MAX as f64;
    let unit = unit.clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON);
    -weight.max(f64::MIN_POSITIVE) / unit.ln()
}
