//! Services: starts and stops the slots and delegates of this VM, and publishes
//! the routes.

use std::rc::Rc;

use super::{LocalDelegate, LocalSlot, Node, NodeMessage};
use crate::{
    control::delegate::{DelegateContext, DelegateHandle},
    decide::{failover::Event, membership::Liveness},
    decision_log::decision,
    prelude::*,
    proxy::{
        context::RouteRequest,
        route_table::{Holder, Route, RouteTable},
        slot::{self, SlotContext, SlotHandle, SlotMessage},
    },
    settings::ServiceSettings,
};

/// Longest wait for a delegate that is told that its primary is suspected.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(300);

impl Node {
    /// Applies the configuration in force to the services here.
    pub(super) fn apply_site(&mut self) {
        let mut services = BTreeMap::new();
        for (name, settings) in &self.site.services {
            let known = self.services.get(name);
            let kept = known.filter(|known| ***known == *settings).cloned();
            let settings = kept.unwrap_or_else(|| Arc::new(settings.clone()));
            services.insert(name.clone(), settings);
        }
        self.standbys.add_services(services.keys());
        self.converge_standbys();
        self.standbys
            .retain_services(|name| services.contains_key(name));
        self.rows.retain(|name, _| services.contains_key(name));
        self.services = services;
        self.due.rows_ms = 0;
        let names: BTreeSet<Name> = self
            .slots
            .keys()
            .chain(self.delegates.keys())
            .cloned()
            .collect();
        for name in names {
            self.reconcile(&name);
        }
        self.publish();
    }

    /// Starts or stops the slot and the delegate of a service, as its row and the
    /// configuration require.
    pub(super) fn reconcile(&mut self, service: &Name) {
        let settings = self.services.get(service).cloned();
        let known = self.rows.get(service).map(|k| &k.row.value);
        let is_holder = known.is_some_and(|row| row.is_holder(&self.own_vm));
        let is_delegate = known.is_some_and(|row| row.delegate.as_ref() == Some(&self.own_vm));
        let reserved = known.map_or(0..0, |row| row.reserved_from..row.reserved_until);
        self.reconcile_slot(service, settings.clone().filter(|_| is_holder));
        self.reconcile_delegate(service, settings.filter(|_| is_delegate), reserved);
    }

    fn reconcile_slot(&mut self, service: &Name, wanted: Option<Arc<ServiceSettings>>) {
        let Some(settings) = wanted else {
            if let Some(local) = self.slots.remove(service) {
                decision!("placement", service = &**service; "slot given up");
                // Stops the task, which may have ended already.
                let _ = local.stop.send(());
            }
            return;
        };
        if let Some(local) = self.slots.get_mut(service) {
            if Arc::ptr_eq(&local.settings, &settings) {
                return;
            }
            let same_members = same_members(&local.settings, &settings);
            local.settings = settings.clone();
            if same_members {
                local.handle.send(SlotMessage::Settings(settings));
                return;
            }
            let _ = local.stop.send(());
        }
        decision!("placement", service = &**service; "slot taken");
        let local = self.start_slot(service, settings);
        self.slots.insert(service.clone(), local);
    }

    fn start_slot(&self, service: &Name, settings: Arc<ServiceSettings>) -> LocalSlot {
        let (handle, mailbox) = SlotHandle::new(settings.group());
        let (stop, stopped) = flume::bounded(1);
        let context = SlotContext {
            service: service.clone(),
            settings: settings.clone(),
            zone: self.parts.settings.zone.clone(),
            metrics: self.parts.metrics.clone(),
            primary_failed: self.parts.primary_failed.clone(),
        };
        let task = slot::run(context, handle.clone(), mailbox, stopped);
        compio::runtime::spawn(task).detach();
        LocalSlot {
            handle,
            stop,
            settings,
        }
    }

    fn reconcile_delegate(
        &mut self,
        service: &Name,
        wanted: Option<Arc<ServiceSettings>>,
        reserved: std::ops::Range<u64>,
    ) {
        let Some(settings) = wanted else {
            if self.delegates.remove(service).is_some() {
                decision!("placement", service = &**service; "delegate role given up");
            }
            return;
        };
        let known = self.delegates.get(service);
        if known.is_some_and(|local| Arc::ptr_eq(&local.settings, &settings)) {
            return;
        }
        decision!("placement", service = &**service; "delegate role taken");
        let context = DelegateContext {
            service: service.clone(),
            settings: settings.clone(),
            node: self.mailbox.clone(),
            metrics: self.parts.metrics.clone(),
        };
        let handle = DelegateHandle::start(context, reserved);
        self.delegates
            .insert(service.clone(), LocalDelegate { handle, settings });
    }

    /// Publishes the routes to all services, and whether a configuration is in
    /// force.
    pub(super) fn publish(&self) {
        let mut table = RouteTable::new();
        for (service, settings) in &self.services {
            let Some(known) = self.rows.get(service) else {
                // Without a row the route has no holders; a caller's request for it
                // reads the row.
                let route = Route {
                    settings: settings.clone(),
                    slot: None,
                    holders: Vec::new(),
                };
                table.insert(service.clone(), route);
                continue;
            };
            let route = Route {
                settings: settings.clone(),
                slot: self.slots.get(service).map(|local| local.handle.clone()),
                holders: self.holders(&known.row.value.holders()),
            };
            table.insert(service.clone(), route);
        }
        self.parts.routes.send_replace(Rc::new(table));
        self.parts.ready.send_replace(self.head.is_some());
    }

    /// Working slot holders other than this VM, those in this zone first.
    fn holders(&self, vms: &[Option<Name>]) -> Vec<Holder> {
        let own_zone = &self.parts.settings.zone;
        let peers = self.membership.peers();
        let others = vms.iter().flatten().filter(|vm| **vm != self.own_vm);
        let mut holders: Vec<Holder> = others
            .filter(|vm| self.membership.is_working(vm))
            .filter_map(|vm| {
                let peer = peers.get(vm)?;
                Some(Holder {
                    vm: vm.clone(),
                    internal: peer.place.internal,
                    is_near: peer.place.zone == *own_zone,
                })
            })
            .collect();
        holders.sort_by_key(|holder| !holder.is_near);
        holders
    }

    /// Reads a service's row for a caller that lacks its route or whose route has
    /// failed.
    pub(super) fn route_requested(&mut self, request: RouteRequest) {
        if self.head.is_none() {
            self.waiting_for_config.push(request);
            return;
        }
        if !self.services.contains_key(&request.service) {
            // The caller looks at the routes again and is refused.
            let _ = request.reply.send(());
            return;
        }
        let service = request.service.clone();
        self.row_reads
            .entry(service.clone())
            .or_default()
            .push(request.reply);
        self.read_row(&service);
    }

    /// Answers the callers that waited for the first configuration.
    pub(super) fn answer_waiting(&mut self) {
        for request in std::mem::take(&mut self.waiting_for_config) {
            match self.head {
                Some(_) => self.route_requested(request),
                None => {
                    let _ = request.reply.send(());
                }
            }
        }
    }

    /// Tells the delegate of a service that a slot here lost its primary, so that
    /// it probes the primary at once.
    pub(super) fn primary_failed(&mut self, service: &Name) {
        if self.delegates.contains_key(service) {
            self.notify_delegate(service, Event::TrafficFailed);
            return;
        }
        let known = self.rows.get(service);
        let delegate = known.and_then(|known| known.row.value.delegate.clone());
        let Some(vm) = delegate else { return };
        let Some(address) = self.address_of(&vm) else {
            return;
        };
        let peers = self.peers.clone();
        let service = service.clone();
        self.spawn_task(async move {
            let answer = peers
                .call(address, SUSPECT_TIMEOUT, async |client, context| {
                    client.doubt_primary(context, service.clone()).await
                })
                .await;
            let has_answered = answer.is_ok();
            NodeMessage::DelegateNotified { vm, has_answered }
        });
    }

    /// Probes a delegate that did not answer when it was told of a failed primary.
    /// It may be lost together with the primary, and the random probes may reach
    /// it only seconds later.
    pub(super) fn delegate_notified(&mut self, vm: &Name, has_answered: bool) {
        let peer = self.membership.peers().get(vm);
        let is_alive = peer.is_some_and(|peer| peer.liveness == Liveness::Alive);
        if has_answered || !is_alive {
            return;
        }
        decision!("membership", peer = &**vm; "delegate does not answer: probing it");
        self.ping(vm);
    }

    /// The standby delegates of the services whose delegate is among the `dead`
    /// VMs. Once probed, they learn of its death and can claim the role at once.
    pub(super) fn standbys_for_lost_delegates(&self, dead: &[Name]) -> BTreeSet<Name> {
        let lost = self.rows.iter().filter(|(_, known)| {
            let delegate = known.row.value.delegate.as_ref();
            delegate.is_some_and(|vm| dead.contains(vm))
        });
        let standbys = lost.filter_map(|(service, _)| self.standbys.standby_of(service));
        standbys.filter(|vm| **vm != self.own_vm).cloned().collect()
    }

    /// Makes the slot of a service look for its primary.
    pub(super) fn refresh_slot(&self, service: &Name) {
        if let Some(local) = self.slots.get(service) {
            local.handle.send(SlotMessage::Refresh);
        }
    }

    /// Sends an event to the delegate of a service, if it runs here.
    pub(super) fn notify_delegate(&self, service: &Name, event: Event) {
        if let Some(local) = self.delegates.get(service) {
            local.handle.send(event);
        }
    }

    /// Reads a service's row; the result comes back as a message.
    pub(super) fn read_row(&mut self, service: &Name) {
        let platform = self.parts.platform.clone();
        let service = service.clone();
        self.spawn_task(async move {
            let key = crate::control::keys::service(&service);
            let result = platform.read(&key).await;
            NodeMessage::RowRead { service, result }
        });
    }
}

fn same_members(a: &ServiceSettings, b: &ServiceSettings) -> bool {
    let place = |s: &ServiceSettings| -> Vec<_> {
        let members = s.members.iter();
        members
            .map(|(n, m)| (n.clone(), m.address, m.zone.clone()))
            .collect()
    };
    place(a) == place(b)
}
