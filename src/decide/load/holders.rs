//! Choice of the VMs that hold connections to a member, and of the paths by
//! which other VMs reach it.
//!
//! A member allows few connections, but there may be many VMs. If every VM of a
//! region can have a connection of its own, all do. Otherwise a few VMs hold
//! all of the region's connections, and the others forward their statements to
//! them.

use std::cmp::Ordering;

use super::dispatch::connections_for_region;
use crate::{decide::placement::score, prelude::*};

/// Minimum number of connections per holder. Paused transactions occupy about
/// half of them, and a larger pool is less likely to be full by chance.
const HOLDER_CONNECTIONS: usize = 16;
/// Number of paths through other VMs that are kept as alternatives.
const SPARE_PATHS: usize = 4;
/// Index of the hash score that ranks the holders of a member.
const HOLDER_INDEX: usize = 0;
/// Index of the hash score that ranks the paths of one VM.
const PATH_INDEX: usize = 1;

/// A VM that may hold connections.
#[derive(Clone, Debug, PartialEq)]
pub struct VmPlace {
    /// Availability zone.
    pub zone: Name,
    /// Region of the zone.
    pub region: Name,
    /// Capacity of the VM, relative to that of other VMs.
    pub weight: f64,
}

/// Connections that a member allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSupply {
    /// Most connections, from all VMs together.
    pub connections_max: usize,
    /// Whether a connection serves one client account only.
    pub has_accounts: bool,
}

impl ConnectionSupply {
    /// Connections that a VM needs at least to hold any: one that serves all callers,
    /// or a pool in which accounts find one of theirs.
    fn pool_min(&self) -> usize {
        match self.has_accounts {
            true => HOLDER_CONNECTIONS,
            false => 1,
        }
    }
}

/// Path by which a VM reaches a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberPath {
    /// By its own connections.
    Direct,
    /// Through another VM.
    Through(Name),
}

impl MemberPath {
    /// Name of the VM that the path goes through, for logs.
    pub fn through(&self) -> &str {
        match self {
            MemberPath::Direct => "none",
            MemberPath::Through(vm) => vm,
        }
    }
}

/// Chooses the VMs of a region that hold connections to a member; `None` if
/// every VM of the region may hold some.
///
/// Weighted rendezvous hashing chooses each VM in proportion to its weight, and
/// a VM that joins or leaves changes only its own assignments.
pub fn holders(
    member: &str,
    supply: ConnectionSupply,
    vms: &BTreeMap<Name, VmPlace>,
    region: &Name,
) -> Option<Vec<Name>> {
    let regions: BTreeSet<&Name> = vms.values().map(|vm| &vm.region).collect();
    let region_connections = connections_for_region(supply.connections_max, regions.len());
    let here = vms.iter().filter(|(_, vm)| vm.region == *region);
    let here: Vec<(&Name, &VmPlace)> = here.collect();
    if here.len() * supply.pool_min() <= region_connections.max(1) {
        return None;
    }
    let count = (region_connections / HOLDER_CONNECTIONS).max(1);
    Some(ranked(member, HOLDER_INDEX, here, count))
}

/// Paths by which the VM `own` reaches a member, best first.
///
/// A holder connects directly, and goes through other holders while it cannot
/// reach the member. Any other VM goes through holders in its region, then in
/// other regions, and connects directly only if none of them answers.
pub fn member_paths(
    own: &Name,
    member: &str,
    supply: ConnectionSupply,
    vms: &BTreeMap<Name, VmPlace>,
) -> Vec<MemberPath> {
    let Some(place) = vms.get(own) else {
        return vec![MemberPath::Direct];
    };
    // Each VM ranks the others differently, which spreads the load.
    let key = format!("{own}/{member}");
    let holders_in = |region: &Name| -> Vec<(&Name, &VmPlace)> {
        let chosen = holders(member, supply, vms, region);
        let here = vms
            .iter()
            .filter(|(vm, p)| p.region == *region && *vm != own);
        let holds = |vm: &Name| chosen.as_ref().is_none_or(|chosen| chosen.contains(vm));
        here.filter(|(vm, _)| holds(vm)).collect()
    };
    let own_holders = holders(member, supply, vms, &place.region);
    let is_holder = own_holders.is_none_or(|chosen| chosen.contains(own));
    let regions: BTreeSet<&Name> = vms.values().map(|vm| &vm.region).collect();
    let others = regions
        .into_iter()
        .filter(|region| **region != place.region);
    let far: Vec<(&Name, &VmPlace)> = others.flat_map(holders_in).collect();
    let near = ranked(&key, PATH_INDEX, holders_in(&place.region), SPARE_PATHS / 2);
    let far = ranked(&key, PATH_INDEX, far, SPARE_PATHS - near.len());
    let through = near.into_iter().chain(far).map(MemberPath::Through);
    match is_holder {
        true => std::iter::once(MemberPath::Direct).chain(through).collect(),
        false => through.chain(std::iter::once(MemberPath::Direct)).collect(),
    }
}

/// The `count` VMs with the highest weighted rendezvous scores.
pub(in crate::decide) fn ranked(
    key: &str,
    index: usize,
    vms: Vec<(&Name, &VmPlace)>,
    count: usize,
) -> Vec<Name> {
    let mut scored: Vec<(f64, &Name)> = vms
        .into_iter()
        .map(|(vm, place)| (weighted_score(key, index, vm, place.weight), vm))
        .collect();
    scored.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(Ordering::Equal));
    let first = scored.into_iter().take(count);
    first.map(|(_, vm)| vm.clone()).collect()
}

/// Score with which a VM ranks highest with a probability proportional to its
/// weight.
fn weighted_score(key: &str, index: usize, vm: &str, weight: f64) -> f64 {
    let hash = score(key, index, vm) as f64;
    let unit = hash / u64::MAX as f64;
    let unit = unit.clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON);
    -weight.max(f64::MIN_POSITIVE) / unit.ln()
}
