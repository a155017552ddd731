//! Membership: probes, the platform's VM list, and the reaction to VMs that
//! come and go.

use futures::{channel::oneshot, future::join_all};
use rand::{Rng, seq::IteratorRandom};

use super::{Node, NodeMessage};
use crate::{
    clock,
    control::peer::{Ping, Pong},
    decide::membership::{Change, Place},
    decision_log::decision,
    prelude::*,
    store::ListedVm,
};

/// Interval of probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the result of an indirect probe through a third VM.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of VMs asked to probe one that does not answer.
const INDIRECT_PROBES: usize = 2;
/// Number of VMs, besides delegates, told directly that this one is leaving.
const LEAVE_NOTICES: usize = 8;
/// Shortest interval between two reads of the platform's VM list, in
/// milliseconds.
const LIST_INTERVAL_MS: u64 = 3_000;
/// Interval between requests to seeds, in milliseconds.
const SEED_INTERVAL_MS: u64 = 500;
/// Most VMs that join or leave the map of standby delegates in one tick.
const STANDBY_STEP: usize = 32;
/// Bytes of the platform's VM list that a VM may read per second, on average;
/// a longer list is read less often.
const LIST_BYTES_PER_S: u64 = 200;
/// Size of one VM's entry in the platform's list, in bytes.
const LIST_ROW_BYTES: u64 = 160;

impl Node {
    pub(super) fn tick_members(&mut self, now_ms: u64) {
        if now_ms >= self.due.vm_list_ms {
            let listed_bytes = self.membership.peers().len() as u64 * LIST_ROW_BYTES;
            let interval_ms = LIST_INTERVAL_MS.max(listed_bytes * 1_000 / LIST_BYTES_PER_S);
            let jitter_ms = self.rng.random_range(0..=interval_ms / 2);
            self.due.vm_list_ms = now_ms + interval_ms + jitter_ms;
            let platform = self.parts.platform.clone();
            self.spawn_task(async move { NodeMessage::VmsListed(platform.list_vms().await) });
        }
        if now_ms >= self.due.probe_ms {
            self.due.probe_ms = now_ms + PROBE_INTERVAL_MS;
            self.probe();
        }
        let dead = self.membership.tick(now_ms);
        for vm in &dead {
            log::warn!(target: "membership", peer = &**vm; "VM is dead");
        }
        self.update_working();
        for standby in self.standbys_for_lost_delegates(&dead) {
            self.ping(&standby);
        }
    }

    pub(super) fn vms_listed(&mut self, result: crate::store::Result<Vec<ListedVm>>) {
        let vms = match result {
            Ok(vms) => vms,
            Err(error) => {
                log::warn!(target: "control", code = error.code().number(); "{error}");
                self.due.vm_list_ms = clock::now_ms() + LIST_INTERVAL_MS;
                self.ask_seed();
                return;
            }
        };
        self.has_listed_vms = true;
        let now_ms = clock::now_ms();
        for vm in &vms {
            let place = Place {
                zone: vm.zone.clone(),
                internal: vm.internal,
                peer: vm.peer,
            };
            self.membership.listed(now_ms, &vm.name, &place, vm.leaving);
            if vm.leaving && vm.name == self.own_vm && !self.is_draining() {
                log::info!(target: "control", "the platform is removing this VM");
                self.drain();
            }
        }
        let names = vms.into_iter().map(|vm| vm.name).collect();
        self.membership.forget(now_ms, &names);
        self.update_working();
    }

    /// Asks a seed for the VMs it knows, for a VM that starts while the platform's
    /// list can't be read.
    fn ask_seed(&mut self) {
        let is_alone = self.membership.peers().is_empty();
        let seeds = self.parts.settings.seeds.iter();
        let Some(seed) = seeds.copied().filter(|_| is_alone).choose(&mut self.rng) else {
            return;
        };
        self.due.vm_list_ms = clock::now_ms() + SEED_INTERVAL_MS;
        let peers = self.peers.clone();
        self.spawn_task(async move {
            let members = peers
                .call(seed, PROBE_TIMEOUT, async |client, context| {
                    client.members(context).await
                })
                .await;
            NodeMessage::SeedMembers(members.unwrap_or_default())
        });
    }

    pub(super) fn seed_members(&mut self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        self.membership.merge(clock::now_ms(), changes);
        self.has_listed_vms = true;
        self.due.head_ms = 0;
        self.update_working();
    }

    fn probe(&mut self) {
        let Some(vm) = self.membership.next_probe(&mut self.rng) else {
            return;
        };
        self.ping(&vm);
    }

    pub(super) fn ping(&mut self, vm: &Name) {
        let Some(address) = self.address_of(vm) else {
            return;
        };
        let ping = self.make_ping();
        let peers = self.peers.clone();
        let vm = vm.clone();
        let helpers: Vec<_> = self
            .membership
            .helpers(&vm, INDIRECT_PROBES, &mut self.rng)
            .iter()
            .filter_map(|helper| self.address_of(helper))
            .collect();
        self.spawn_task(async move {
            let pong = peers
                .call(address, PROBE_TIMEOUT, async |client, context| {
                    client.ping(context, ping.clone()).await
                })
                .await;
            if let Ok(Some(pong)) = pong {
                let pong = Some(pong);
                return NodeMessage::ProbeResult { vm, pong };
            }
            let indirect_probes = helpers.into_iter().map(|helper| {
                let peers = peers.clone();
                let vm = vm.clone();
                async move {
                    let probe =
                        peers.call(helper, INDIRECT_PROBE_TIMEOUT, async |client, context| {
                            client.probe(context, vm.clone()).await
                        });
                    probe.await.unwrap_or(false)
                }
            });
            let is_reached = join_all(indirect_probes)
                .await
                .into_iter()
                .any(|reached| reached);
            // An indirect probe shows that the VM is alive, but not its incarnation:
            // zero leaves the known one.
            let pong = is_reached.then(|| Ping {
                from: vm.clone(),
                incarnation: 0,
                changes: Vec::new(),
                config_version: None,
            });
            NodeMessage::ProbeResult { vm, pong }
        });
    }

    pub(super) fn probe_result(&mut self, vm: &Name, pong: Option<Pong>) {
        let now_ms = clock::now_ms();
        match pong {
            Some(pong) => {
                self.membership.answered(now_ms, vm, pong.incarnation);
                self.membership.merge(now_ms, &pong.changes);
                self.catch_up_with(vm, pong.config_version);
            }
            None => self.membership.silent(now_ms, vm),
        }
        self.update_working();
    }

    pub(super) fn answer_ping(&mut self, ping: &Ping) -> Pong {
        let now_ms = clock::now_ms();
        self.membership
            .answered(now_ms, &ping.from, ping.incarnation);
        self.membership.merge(now_ms, &ping.changes);
        self.catch_up_with(&ping.from, ping.config_version);
        self.update_working();
        self.make_ping()
    }

    pub(super) fn indirect_probe(&mut self, vm: &Name, reply: oneshot::Sender<bool>) {
        let Some(address) = self.address_of(vm) else {
            let _ = reply.send(false);
            return;
        };
        let ping = self.make_ping();
        let peers = self.peers.clone();
        compio::runtime::spawn(async move {
            let pong = peers
                .call(address, PROBE_TIMEOUT, async |client, context| {
                    client.ping(context, ping.clone()).await
                })
                .await;
            // The VM that asked may have timed out.
            let _ = reply.send(matches!(pong, Ok(Some(_))));
        })
        .detach();
    }

    /// Tells some VMs, and the delegates of the slots here, that this VM is leaving.
    pub(super) fn announce_leaving(&mut self) {
        self.membership.leave();
        let delegates = self.slots.keys().filter_map(|service| {
            let known = self.rows.get(service)?;
            known.row.value.delegate.clone()
        });
        let mut notified: BTreeSet<Name> = delegates.collect();
        let others = self.membership.peers().keys();
        notified.extend(
            others
                .choose_multiple(&mut self.rng, LEAVE_NOTICES)
                .into_iter()
                .cloned(),
        );
        for vm in notified {
            self.ping(&vm);
        }
    }

    pub(super) fn address_of(&self, vm: &str) -> Option<std::net::SocketAddr> {
        let peer = self.membership.peers().get(vm)?;
        Some(peer.place.peer)
    }

    fn make_ping(&mut self) -> Ping {
        Ping {
            from: self.own_vm.clone(),
            incarnation: self.membership.incarnation(),
            changes: self.membership.outgoing(),
            config_version: self.config_version(),
        }
    }

    /// Updates the standby delegates in steps, so that the VM's only thread serves
    /// callers in between.
    pub(super) fn converge_standbys(&mut self) {
        let is_done = self.standbys.converge(&self.working, STANDBY_STEP);
        self.knows_standbys = is_done;
    }

    /// Updates the set of VMs that may get new work, and everything that depends
    /// on it if it changed.
    fn update_working(&mut self) {
        let working: BTreeSet<Name> = self
            .membership
            .working()
            .map(|(vm, _)| vm.clone())
            .collect();
        if working == self.working {
            return;
        }
        for vm in working.difference(&self.working) {
            decision!("placement", peer = &**vm; "VM is eligible for new work");
        }
        for vm in self.working.difference(&working) {
            decision!("placement", peer = &**vm; "VM is not eligible for new work");
        }
        self.working = working;
        self.converge_standbys();
        self.due.rows_ms = 0;
        self.publish();
    }
}
