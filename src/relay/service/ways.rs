//! Ways to the members: direct, or through VMs that hold connections to them.

use super::*;
use crate::decide::holders::{holders, member_paths};

impl Service {
    pub(super) fn change_vms(&mut self, vms: Rc<Vms>) {
        self.vms = vms;
        self.find_ways();
    }

    pub(super) fn change_entry(&mut self, entry: ServiceConfig) {
        if self.entry != entry {
            self.entry = entry;
            self.find_ways();
        }
    }

    /// Finds the ways to all members anew.
    pub(super) fn find_ways(&mut self) {
        if self.vms.places.is_empty() {
            return;
        }
        let places = &self.vms.places;
        let connections_max = self.entry.connections_max;
        let own = &self.context.options.vm;
        let region = self.context.options.region();
        let regions: BTreeSet<&Name> = places.values().map(|place| &place.region).collect();
        let here = places.values().filter(|place| place.region == *region);
        let here = here.count();
        for (id, member) in &mut self.members {
            let chosen = holders(id, connections_max, places, region);
            let holders = chosen.map_or(here, |chosen| chosen.len());
            let before = member.way().clone();
            let ways = member_paths(own, id, connections_max, places);
            member.set_ways(ways, regions.len(), holders);
            if before != *member.way() {
                decision!(
                    "placement", service = &*self.context.service, member = &**id,
                    through = member.way().through(), before = before.through(),
                    holders = holders, vms = places.len(); "way to a member"
                );
            }
        }
    }

    /// Where a member is reached by the way in use.
    pub(super) fn target(&self, id: &Name) -> Option<Target> {
        let member = self.members.get(id)?;
        self.target_by(id, member.way())
    }

    pub(super) fn target_by(&self, id: &Name, way: &MemberPath) -> Option<Target> {
        let member = self.members.get(id)?;
        let address = match way {
            MemberPath::Direct => member.entry.address,
            MemberPath::Through(vm) => *self.vms.addresses.get(vm)?,
        };
        Some(Target {
            service: self.context.service.clone(),
            member: id.clone(),
            way: way.clone(),
            address,
        })
    }

    /// Whether this VM is one of those that look after the service: it goes to
    /// some of the members itself.
    pub(super) fn looks_after(&self) -> bool {
        self.members.values().any(Member::is_own)
    }

    /// Whether this VM itself reaches a member, so that others may send
    /// statements through it.
    pub(super) fn reaches(&self, id: &Name) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|m| *m.way() == MemberPath::Direct && m.failures == 0)
    }
}
