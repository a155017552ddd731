//! Membership and failure detection of VMs (SWIM): probes carry state changes,
//! at a constant load per VM.

use std::net::SocketAddr;

use bon::Builder;
use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State of a VM as seen by other VMs.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// It answers probes.
    Alive,
    /// It did not answer its latest probe.
    Suspect,
    /// It is shutting down and takes no new work.
    Leaving,
    /// It did not refute the suspicion in time.
    Dead,
}

/// Zone and addresses of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Availability zone.
    pub zone: Name,
    /// Address for callers that other VMs forward.
    pub internal: SocketAddr,
    /// Address for calls between VMs.
    pub peer: SocketAddr,
}

/// A change of a VM's state, disseminated with probes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation number, raised by the VM itself to refute a suspicion.
    pub incarnation: u64,
    /// New state.
    pub liveness: Liveness,
    /// Zone and addresses, sent while the VM is alive so that others can add
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
}

/// Timeouts and limits of the membership protocol.
#[derive(Clone, Copy, Debug, Builder)]
pub struct MembershipSettings {
    /// Time that a suspect VM has to refute the suspicion, in milliseconds.
    #[builder(default = 2_000)]
    pub suspect_ms: u64,
    /// Time after which a dead VM is removed, in milliseconds.
    #[builder(default = 60_000)]
    pub forget_ms: u64,
    /// Maximum number of changes per message.
    #[builder(default = 8)]
    pub changes_max: usize,
    /// Percentage of probes that go to other zones.
    #[builder(default = 25)]
    pub far_percent: u32,
}

/// State of another VM.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Zone and addresses.
    pub place: Place,
    /// Incarnation number.
    pub incarnation: u64,
    /// State.
    pub liveness: Liveness,
    /// Time of the last change, in milliseconds.
    pub since_ms: u64,
}

/// The membership as one VM sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: Name,
    own_place: Place,
    incarnation: u64,
    is_leaving: bool,
    peers: BTreeMap<Name, Peer>,
    pending: Vec<(Change, u32)>,
}

impl Membership {
    /// Creates a membership of this VM alone.
    ///
    /// `incarnation` must be higher than that of any earlier process with the
    /// same name, for example the start time in milliseconds.
    pub fn new(
        settings: MembershipSettings,
        own: Name,
        own_place: Place,
        incarnation: u64,
    ) -> Membership {
        Membership {
            settings,
            own,
            own_place,
            incarnation,
            is_leaving: false,
            peers: BTreeMap::new(),
            pending: Vec::new(),
        }
    }

    /// Other VMs.
    pub fn peers(&self) -> &BTreeMap<Name, Peer> {
        &self.peers
    }

    /// Names and zones of the VMs that may get new work, including this one
    /// unless it is leaving.
    pub fn working(&self) -> impl Iterator<Item = (&Name, &Name)> {
        let own = (!self.is_leaving).then_some((&self.own, &self.own_place.zone));
        let peers = self
            .peers
            .iter()
            .filter(|(_, p)| matches!(p.liveness, Liveness::Alive | Liveness::Suspect));
        own.into_iter()
            .chain(peers.map(|(vm, p)| (vm, &p.place.zone)))
    }

    /// Whether a VM may get new work.
    pub fn is_working(&self, vm: &str) -> bool {
        if *vm == *self.own {
            return !self.is_leaving;
        }
        let peer = self.peers.get(vm);
        peer.is_some_and(|p| matches!(p.liveness, Liveness::Alive | Liveness::Suspect))
    }

    /// Records a VM from the platform's list: it is added if unknown, and
    /// marked as leaving if the list says so. The list lags, so it changes no
    /// VM to alive or dead.
    pub fn listed(&mut self, now_ms: u64, vm: &Name, place: &Place, is_leaving: bool) {
        if *vm == self.own {
            return;
        }
        if !self.peers.contains_key(vm) {
            let peer = Peer {
                place: place.clone(),
                incarnation: 0,
                liveness: Liveness::Alive,
                since_ms: now_ms,
            };
            self.peers.insert(vm.clone(), peer);
        }
        if is_leaving {
            self.set(now_ms, vm, Liveness::Leaving);
        }
    }

    /// Removes dead and leaving VMs that the platform no longer lists.
    pub fn forget(&mut self, now_ms: u64, listed: &BTreeSet<Name>) {
        let forget_ms = self.settings.forget_ms;
        self.peers.retain(|vm, peer| {
            let is_gone = matches!(peer.liveness, Liveness::Dead | Liveness::Leaving);
            listed.contains(vm) || !is_gone || now_ms < peer.since_ms + forget_ms
        });
    }

    /// Announces to other VMs that this one is leaving.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.incarnation += 1;
        self.spread(Change {
            vm: self.own.clone(),
            incarnation: self.incarnation,
            liveness: Liveness::Leaving,
            place: None,
        });
    }

    /// Chooses a VM to probe. Most probes stay in this zone and a few go to other
    /// zones. Dead VMs are not excluded: one is chosen now and then, so that a
    /// healed partition is noticed.
    pub fn next_probe(&self, rng: &mut SmallRng) -> Option<Name> {
        let go_far = rng.random_ratio(self.settings.far_percent.min(100), 100);
        let is_wanted = |peer: &Peer| (peer.place.zone == self.own_place.zone) != go_far;
        let present = || {
            let peers = self.peers.iter();
            peers.filter(|(_, p)| p.liveness != Liveness::Leaving)
        };
        let wanted = present().filter(|(_, p)| is_wanted(p)).choose(rng);
        let chosen = match wanted {
            Some(chosen) => Some(chosen),
            None => present().choose(rng),
        };
        chosen.map(|(vm, _)| vm.clone())
    }

    /// Chooses VMs for an indirect probe of a target that did not answer.
    pub fn helpers(&self, target: &str, count: usize, rng: &mut SmallRng) -> Vec<Name> {
        let alive = self
            .peers
            .iter()
            .filter(|(vm, p)| ***vm != *target && p.liveness == Liveness::Alive);
        let chosen = alive.choose_multiple(rng, count);
        chosen.into_iter().map(|(vm, _)| vm.clone()).collect()
    }

    /// Records that a probed VM answered.
    pub fn answered(&mut self, now_ms: u64, vm: &Name, incarnation: u64) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        // An answer with a later incarnation revives a dead VM: it comes from a
        // new process, or from one that was paused and has learned of the
        // suspicion.
        let is_newer = incarnation > peer.incarnation;
        let refutes = peer.liveness == Liveness::Suspect || is_newer;
        peer.incarnation = peer.incarnation.max(incarnation);
        if refutes && peer.liveness != Liveness::Alive {
            self.set(now_ms, vm, Liveness::Alive);
        }
    }

    /// Records that a VM answered neither a direct nor an indirect probe.
    pub fn silent(&mut self, now_ms: u64, vm: &Name) {
        let is_alive = self
            .peers
            .get(vm)
            .is_some_and(|p| p.liveness == Liveness::Alive);
        if is_alive {
            self.set(now_ms, vm, Liveness::Suspect);
        }
    }

    /// Declares suspect VMs dead whose time to refute is over, and returns
    /// them.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Name> {
        let suspect_ms = self.settings.suspect_ms;
        let is_expired =
            |p: &Peer| p.liveness == Liveness::Suspect && now_ms >= p.since_ms + suspect_ms;
        let expired: Vec<Name> = self
            .peers
            .iter()
            .filter(|(_, p)| is_expired(p))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in &expired {
            self.set(now_ms, vm, Liveness::Dead);
        }
        expired
    }

    /// Merges the changes that a message carried.
    pub fn merge(&mut self, now_ms: u64, changes: &[Change]) {
        for change in changes {
            if change.vm == self.own {
                self.refute(change);
                continue;
            }
            let Some(peer) = self.peers.get_mut(&change.vm) else {
                self.add(now_ms, change);
                continue;
            };
            let is_newer =
                (change.incarnation, change.liveness) > (peer.incarnation, peer.liveness);
            if is_newer {
                peer.incarnation = change.incarnation;
                peer.liveness = change.liveness;
                peer.since_ms = now_ms;
                if let Some(place) = &change.place {
                    peer.place = place.clone();
                }
                self.spread(change.clone());
            }
        }
    }

    /// Announces this VM with its addresses after its start.
    pub fn join(&mut self) {
        self.spread(Change {
            vm: self.own.clone(),
            incarnation: self.incarnation,
            liveness: Liveness::Alive,
            place: Some(self.own_place.clone()),
        });
    }

    fn add(&mut self, now_ms: u64, change: &Change) {
        let Some(place) = &change.place else {
            return;
        };
        let peer = Peer {
            place: place.clone(),
            incarnation: change.incarnation,
            liveness: change.liveness,
            since_ms: now_ms,
        };
        self.peers.insert(change.vm.clone(), peer);
        self.spread(change.clone());
    }

    /// Returns the changes to send with the next message, least often sent
    /// first.
    pub fn outgoing(&mut self) -> Vec<Change> {
        let limit = spread_limit(self.peers.len());
        self.pending.sort_by_key(|(_, sent)| *sent);
        let mut changes = Vec::new();
        for (change, sent) in self.pending.iter_mut().take(self.settings.changes_max) {
            *sent += 1;
            changes.push(change.clone());
        }
        self.pending.retain(|(_, sent)| *sent < limit);
        changes
    }

    /// Full state, for a VM that starts while the platform is down.
    pub fn known(&self) -> Vec<Change> {
        let own = Change {
            vm: self.own.clone(),
            incarnation: self.incarnation,
            liveness: Liveness::Alive,
            place: Some(self.own_place.clone()),
        };
        let peers = self.peers.iter().map(|(vm, peer)| Change {
            vm: vm.clone(),
            incarnation: peer.incarnation,
            liveness: peer.liveness,
            place: Some(peer.place.clone()),
        });
        std::iter::once(own).chain(peers).collect()
    }

    /// Incarnation number of this VM.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn refute(&mut self, change: &Change) {
        let is_wrong = change.liveness != Liveness::Alive && !self.is_leaving;
        if !is_wrong || change.incarnation < self.incarnation {
            return;
        }
        self.incarnation = change.incarnation + 1;
        self.spread(Change {
            vm: self.own.clone(),
            incarnation: self.incarnation,
            liveness: Liveness::Alive,
            place: Some(self.own_place.clone()),
        });
    }

    fn set(&mut self, now_ms: u64, vm: &Name, liveness: Liveness) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        if peer.liveness == liveness {
            return;
        }
        peer.liveness = liveness;
        peer.since_ms = now_ms;
        let change = Change {
            vm: vm.clone(),
            incarnation: peer.incarnation,
            liveness,
            place: (liveness == Liveness::Alive).then(|| peer.place.clone()),
        };
        self.spread(change);
    }

    fn spread(&mut self, change: Change) {
        self.pending.retain(|(c, _)| c.vm != change.vm);
        self.pending.push((change, 0));
    }
}

/// Number of messages that carry a change, enough to reach all of `vms` VMs.
fn spread_limit(vms: usize) -> u32 {
    const FACTOR: u32 = 3;
    FACTOR * (usize::BITS - vms.leading_zeros()).max(1)
}
