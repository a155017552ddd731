//! Applying the platform's member list: members are added, changed, superseded
//! and removed.

use std::net::SocketAddr;

use super::*;

impl Service {
    pub(super) fn change_members(&mut self, members: BTreeMap<Name, MemberEntry>) {
        let now_ms = clock::boot_ms();
        for (id, member) in &mut self.members {
            if !members.contains_key(id) {
                member.unlisted_since_ms.get_or_insert(now_ms);
            }
        }
        for (id, entry) in members {
            self.change_member(&id, entry);
        }
        let is_expired = |m: &Member| {
            let since = m.unlisted_since_ms;
            since.is_some_and(|at| now_ms >= at + watch::MEMBER_RETENTION_MS) && m.open == 0
        };
        self.members.retain(|_, member| !is_expired(member));
        self.update_paths();
    }

    fn change_member(&mut self, id: &Name, entry: MemberEntry) {
        let now_ms = clock::boot_ms();
        let distance = self.context.options.distance(&entry.zone);
        let Some(member) = self.members.get_mut(id) else {
            decision!(
                "member", service = &*self.context.service, member = &**id,
                address = entry.address.to_string(), zone = &*entry.zone,
                role = entry.role.map(|r| r.to_string()).unwrap_or_default();
                "member listed"
            );
            let mut member = Member::new(entry, distance);
            member.set_leaving(member.entry.is_leaving);
            if self.context.options.learns_capacity {
                member.learn_capacity();
            }
            self.members.insert(id.clone(), member);
            self.request_probe(id, clock::boot_us());
            return;
        };
        let is_back = member.unlisted_since_ms.take().is_some();
        let Some(entry) = member.entry.followed_by(entry) else {
            return decision!(
                "member", service = &*self.context.service, member = &**id;
                "older entry of a member ignored"
            );
        };
        let is_restarted =
            member.entry.started_ms != entry.started_ms || member.entry.address != entry.address;
        let has_new_role = member.entry.role != entry.role;
        if member.entry.is_leaving != entry.is_leaving || is_restarted {
            decision!(
                "member", service = &*self.context.service, member = &**id,
                is_leaving = entry.is_leaving, is_reborn = is_restarted; "member changed"
            );
        }
        if is_restarted {
            // The connections and the report belong to the previous process.
            member.idle.clear();
            member.report = None;
            member.restarted_ms = Some(now_ms);
        }
        member.set_leaving(entry.is_leaving);
        member.entry = entry;
        if is_restarted || has_new_role || is_back {
            // Whatever pause the failures before have led to is over.
            member.next_probe_ms = 0;
            self.request_probe(id, clock::boot_us());
        }
    }

    /// Removes absent members whose address now answers as another member: a member
    /// that crashed comes back at its address, with its log, under another id.
    pub(super) fn drop_superseded(&mut self) {
        let is_absent = |m: &Member| m.failures > 0 || m.unlisted_since_ms.is_some();
        if !self.members.values().any(is_absent) {
            return;
        }
        let successors: BTreeMap<SocketAddr, Name> = self
            .members
            .iter()
            .filter(|(_, m)| m.failures == 0 && m.report.is_some())
            .map(|(id, m)| (m.entry.address, id.clone()))
            .collect();
        let absent = self.members.iter().filter(|(_, m)| is_absent(m));
        let superseded = absent.filter_map(|(id, m)| {
            let successor = successors.get(&m.entry.address).filter(|s| *s != id)?;
            Some((id.clone(), successor.clone()))
        });
        let superseded: Vec<(Name, Name)> = superseded.collect();
        for (id, successor) in superseded {
            decision!(
                "member", service = &*self.context.service, member = &*id, heir = &*successor;
                "member superseded"
            );
            self.reroute(&id);
            self.members.remove(&id);
        }
    }
}
