//! Paths to the members: direct, or through VMs that hold connections to them.

use super::*;
use crate::decide::load::holders::{ConnectionSupply, holders, member_paths};

impl Service {
    pub(super) fn change_vms(&mut self, vms: Rc<Vms>) {
        self.vms = vms;
        self.update_paths();
    }

    pub(super) fn change_config(&mut self, config: ServiceConfig) {
        if self.config != config {
            self.config = config;
            self.update_paths();
        }
    }

    /// Computes the paths to all members and applies them.
    pub(super) fn update_paths(&mut self) {
        if self.vms.places.is_empty() {
            return;
        }
        let places = &self.vms.places;
        let supply = ConnectionSupply {
            connections_max: self.config.connections_max,
            has_accounts: self.config.has_accounts,
        };
        let own = &self.context.options.vm;
        let region = self.context.options.region();
        let regions: BTreeSet<&Name> = places.values().map(|place| &place.region).collect();
        let in_region = places.values().filter(|place| place.region == *region);
        let in_region = in_region.count();
        for (id, member) in &mut self.members {
            let chosen = holders(id, supply, places, region);
            let holders = chosen.map_or(in_region, |chosen| chosen.len());
            let before = member.path().clone();
            let paths = member_paths(own, id, supply, places);
            member.set_paths(paths, regions.len(), holders);
            if before != *member.path() {
                decision!(
                    "placement", service = &*self.context.service, member = &**id,
                    through = member.path().through(), before = before.through(),
                    holders = holders, vms = places.len(); "way to a member"
                );
            }
        }
    }

    /// Whether the VM knows which connections it may open, or has waited for that
    /// long enough.
    pub(super) fn may_connect(&self, now_ms: u64) -> bool {
        !self.vms.places.is_empty() || now_ms >= self.started_ms + VMS_WAIT_MS
    }

    /// Target of the path in use.
    pub(super) fn target(&self, id: &Name) -> Option<Target> {
        let member = self.members.get(id)?;
        self.target_by(id, member.path())
    }

    /// Target of a given path; `None` while the address of its VM is not known.
    pub(super) fn target_by(&self, id: &Name, path: &MemberPath) -> Option<Target> {
        let member = self.members.get(id)?;
        let address = match path {
            MemberPath::Direct => member.entry.address,
            MemberPath::Through(vm) => *self.vms.addresses.get(vm)?,
        };
        Some(Target {
            service: self.context.service.clone(),
            member: id.clone(),
            account: None,
            path: path.clone(),
            address,
        })
    }

    /// Whether this VM is meant to connect directly to some of the members. Only such
    /// VMs replace the service's primary.
    pub(super) fn connects_to_any_member(&self) -> bool {
        self.members.values().any(Member::prefers_direct)
    }

    /// Whether this VM has a working direct path to a member, so that other VMs may
    /// send statements through it.
    pub(super) fn has_direct_path(&self, id: &Name) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|m| *m.path() == MemberPath::Direct && m.failures == 0)
    }
}
