//! VMs, the store and the time.

use std::collections::BTreeMap;

use foxtailknot::{
    decide::{
        load::holders::VmPlace,
        news_sources::{Pace, is_follower, pace, sources},
    },
    prelude::Name,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{faults::Faults, vm::Vm};

pub const ZONES: &[(&str, &str)] = &[
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];
const STEP_MS: u64 = 10;
/// Faults begin after this time.
pub const START_MS: u64 = 8_000;
pub const END_MS: u64 = 36_000;
/// Longest wait for changes of a table.
const WAIT_MAX_MS: u64 = 3_400;

/// A VM in touch that lacks a change after its bound.
#[derive(derive_more::Debug, derive_more::Display)]
#[display("at {at_ms} ms {vm} (follower: {is_follower}) lacks the change of {changed_ms} ms")]
#[debug("{self}")]
pub struct Late {
    pub vm: Name,
    pub at_ms: u64,
    pub is_follower: bool,
    pub changed_ms: u64,
}

/// Which VMs must know of changes in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Owed {
    /// Those that the store answers.
    InTouch,
    All,
}

pub struct World {
    pub rng: StdRng,
    pub now_ms: u64,
    pub bound_ms: u64,
    pub pace: Pace,
    pub faults: Faults,
    pub vms: Vec<Vm>,
    pub names: Vec<Name>,
    pub numbers: BTreeMap<Name, usize>,
    /// Sources of each VM, best first.
    rankings: Vec<Vec<Name>>,
    /// Number of changes that the store has acknowledged.
    pub changes: u64,
    changed_ms: Vec<u64>,
}

impl World {
    pub fn new(seed: u64, per_zone: usize, bound_ms: u64, faults: Faults) -> World {
        let mut places = BTreeMap::new();
        for (zone, region) in ZONES {
            for number in 0..per_zone {
                let place = VmPlace {
                    zone: (*zone).into(),
                    region: (*region).into(),
                    weight: 0.1,
                };
                places.insert(Name::from(format!("{zone}-{number}")), place);
            }
        }
        let names: Vec<Name> = places.keys().cloned().collect();
        let numbers = names.iter().cloned().zip(0..).collect();
        let rankings: Vec<Vec<Name>> = names.iter().map(|name| sources(name, &places)).collect();
        let vms = names
            .iter()
            .zip(&rankings)
            .map(|(name, ranking)| Vm::new(is_follower(name, &places), ranking.clone()));
        World {
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            now_ms: 1,
            bound_ms,
            pace: pace(bound_ms, WAIT_MAX_MS),
            faults,
            vms: vms.collect(),
            names,
            numbers,
            rankings,
            changes: 0,
            changed_ms: Vec::new(),
        }
    }

    /// Plays to the end, or until a VM is late.
    pub fn play(mut self, owed: Owed) -> Option<Late> {
        let mut next_change_ms = 2_000;
        while self.now_ms < END_MS {
            if self.now_ms >= next_change_ms && self.faults.takes_changes(self.now_ms) {
                self.changes += 1;
                self.changed_ms.push(self.now_ms);
                next_change_ms = self.now_ms + self.rng.random_range(200..2_000);
            }
            for vm in 0..self.vms.len() {
                self.step(vm);
            }
            let late = self.late(owed);
            if late.is_some() {
                return late;
            }
            self.now_ms += STEP_MS;
        }
        None
    }

    fn step(&mut self, vm: usize) {
        if !self.faults.is_up(vm, self.now_ms) {
            self.vms[vm] = Vm::new(self.vms[vm].is_follower, self.rankings[vm].clone());
            return;
        }
        self.step_reader(vm);
        for index in 0..self.vms[vm].subscribers.len() {
            self.step_subscriber(vm, index);
        }
    }

    fn late(&self, owed: Owed) -> Option<Late> {
        let before = |at_ms: &&u64| **at_ms + self.bound_ms <= self.now_ms;
        let due = self.changed_ms.iter().take_while(before).count() as u64;
        let is_late = |vm: &usize| {
            let is_owed =
                owed == Owed::All || self.faults.is_in_touch(*vm, self.now_ms, self.bound_ms);
            self.vms[*vm].known < due && is_owed
        };
        let vm = (0..self.vms.len()).find(is_late)?;
        Some(Late {
            vm: self.names[vm].clone(),
            at_ms: self.now_ms,
            is_follower: self.vms[vm].is_follower,
            changed_ms: self.changed_ms[self.vms[vm].known as usize],
        })
    }
}
