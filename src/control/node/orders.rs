//! Failover and operators: reachability of a primary, promotions, status and
//! orders.

use futures::{channel::oneshot, future::join_all};

use super::{Node, NodeMessage};
use crate::{
    control::{
        peer::OrderAnswer,
        status::{MemberReport, SlotStatus, VmStatus},
    },
    decide::{failover::Event, member::Role},
    prelude::*,
    proxy::slot::SlotHandle,
};

/// Longest wait for the answer of a slot holder.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(400);

impl Node {
    /// Asks the other slot holders whether they reach the primary.
    pub(super) fn check_reachability(&mut self, service: &Name, member: &Name) {
        let Some(known) = self.rows.get(service) else {
            return;
        };
        let holders = known.row.value.holders();
        let others = holders.iter().flatten().filter(|vm| **vm != self.own_vm);
        let addresses: Vec<_> = others.filter_map(|vm| self.address_of(vm)).collect();
        let peers = self.peers.clone();
        let service = service.clone();
        let member = member.clone();
        self.spawn_task(async move {
            let calls = addresses.into_iter().map(|address| {
                let (peers, service, member) = (peers.clone(), service.clone(), member.clone());
                async move {
                    let call =
                        peers.call(address, REACHABILITY_TIMEOUT, async |client, context| {
                            client
                                .reaches_primary(context, service.clone(), member.clone())
                                .await
                        });
                    call.await.unwrap_or(false)
                }
            });
            let reaches_primary = join_all(calls).await.into_iter().any(|reaches| reaches);
            NodeMessage::Reachability {
                service,
                reaches_primary,
            }
        });
    }

    pub(super) fn reachability(&mut self, service: &Name, reaches_primary: bool) {
        self.notify_delegate(service, Event::Reachability { reaches_primary });
    }

    pub(super) fn answer_reaches_primary(
        &mut self,
        service: &Name,
        member: Name,
        reply: oneshot::Sender<bool>,
    ) {
        let Some(slot) = self.slots.get(service).map(|local| local.handle.clone()) else {
            let _ = reply.send(false);
            return;
        };
        compio::runtime::spawn(async move {
            // The delegate may have timed out.
            let _ = reply.send(reaches_primary(&slot, &member).await);
        })
        .detach();
    }

    /// Records a promotion by the delegate here: the slot holders are notified
    /// first, then the row is written.
    pub(super) fn promoted(&mut self, service: Name, member: Name, term: u64) {
        log::info!(
            target: "placement", service = &*service, member = &*member, term = term;
            "promoted"
        );
        self.promotions
            .insert(service.clone(), (term, member.clone()));
        self.refresh_slot(&service);
        if let Some(known) = self.rows.get(&service) {
            let mut row = known.row.clone();
            row.value.term = term;
            row.value.primary = Some(member);
            // With the old version the holders do not store this row: its new term
            // only makes them look for the primary.
            self.push_row(&service, &row);
        }
        self.due.rows_ms = 0;
    }

    pub(super) fn order_failover(&mut self, service: &Name, member: &Name) -> OrderAnswer {
        let refused = |text: &str| OrderAnswer::Refused(text.into());
        let Some(settings) = self.services.get(service) else {
            return refused("the service is not configured");
        };
        let Some(preferred) = settings.members.keys().position(|name| name == member) else {
            return refused("the service has no such member");
        };
        if !self.delegates.contains_key(service) {
            return refused("this VM is not the delegate of the service");
        }
        self.notify_delegate(service, Event::Order { preferred });
        OrderAnswer::Accepted
    }

    pub(super) fn status(&mut self, reply: oneshot::Sender<VmStatus>) {
        let delegate_of = self.delegates.iter().map(|(service, local)| {
            let phase = local.handle.phase().to_string();
            (service.clone(), Name::from(phase))
        });
        let peers = self.membership.peers().iter().map(|(vm, peer)| {
            let liveness = peer.liveness.to_string();
            (vm.clone(), Name::from(liveness))
        });
        let mut status = VmStatus {
            vm: self.own_vm.clone(),
            zone: self.parts.settings.zone.clone(),
            config_version: self.config_version(),
            callers: self.parts.callers.get(),
            is_draining: self.is_draining(),
            slots: Vec::new(),
            delegate_of: delegate_of.collect(),
            peers: peers.collect(),
        };
        let slots: Vec<(Name, SlotHandle)> = self
            .slots
            .iter()
            .map(|(service, local)| (service.clone(), local.handle.clone()))
            .collect();
        compio::runtime::spawn(async move {
            for (service, slot) in slots {
                let report = slot.report().await;
                status.slots.push(SlotStatus {
                    service,
                    members: report.members.iter().map(MemberReport::new).collect(),
                    waiting: report.waiting,
                    open: report.open,
                });
            }
            // The operator may have timed out.
            let _ = reply.send(status);
        })
        .detach();
    }

    /// Starts the graceful stop: the VM accepts no new callers and its slots move
    /// to other VMs.
    pub(super) fn drain(&mut self) {
        if self.is_draining() {
            return;
        }
        log::info!(target: "control", "stopping");
        self.announce_leaving();
        self.parts.draining.send_replace(true);
    }
}

async fn reaches_primary(slot: &SlotHandle, member: &Name) -> bool {
    let report = slot.report().await;
    let index = report
        .members
        .iter()
        .position(|view| view.name.as_ref() == Some(member));
    let Some(index) = index else { return false };
    let is_primary = report.members[index]
        .observation
        .is_some_and(|o| o.status.role == Role::Primary);
    is_primary && !slot.is_gone(index, 0).await
}
