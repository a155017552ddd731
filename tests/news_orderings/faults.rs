//! What fails when.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::world::{END_MS, START_MS, ZONES};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The store answers nobody.
    Outage,
    /// The store is silent to a part of the VMs, or refuses their calls.
    Deaf,
    /// The store is silent to half of the VMs.
    DeafHalf,
    /// An outage, from the end of which on the store is silent to most VMs.
    OutageThenDeaf,
    /// A part of the VMs reaches no other VM.
    Cut,
    /// An outage, during and after which most VMs reach no other VM.
    OutageThenCut,
    /// VMs are down for some time and start again.
    Killed,
    /// One call of each VM to the store fails.
    FailedCalls,
}

impl Fault {
    pub const ALL: &[Fault] = &[
        Fault::Outage,
        Fault::Deaf,
        Fault::OutageThenDeaf,
        Fault::Cut,
        Fault::OutageThenCut,
        Fault::Killed,
        Fault::FailedCalls,
    ];
}

/// What the store does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreState {
    Answers,
    Refuses,
    Silent,
}

#[derive(Clone, Debug)]
struct Window {
    from_ms: u64,
    to_ms: u64,
    /// Affected VMs; `None` for all.
    vms: Option<BTreeSet<usize>>,
}

impl Window {
    fn holds(&self, vm: usize, now_ms: u64) -> bool {
        let is_due = (self.from_ms..self.to_ms).contains(&now_ms);
        is_due && self.vms.as_ref().is_none_or(|vms| vms.contains(&vm))
    }

    /// Whether it holds at any moment of the last `span_ms`.
    fn held(&self, vm: usize, now_ms: u64, span_ms: u64) -> bool {
        let is_recent = self.from_ms <= now_ms && now_ms < self.to_ms + span_ms;
        is_recent && self.vms.as_ref().is_none_or(|vms| vms.contains(&vm))
    }
}

/// All faults of a play.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    store: Vec<(Window, StoreState)>,
    cuts: Vec<Window>,
    kills: Vec<Window>,
    /// Time from which on the next call of a VM fails, and whether it is refused at once.
    failing_calls: Vec<(u64, bool)>,
}

impl Faults {
    /// Draws one to three faults of some kinds.
    pub fn draw(seed: u64, per_zone: usize, kinds: &[Fault]) -> Faults {
        let mut rng = StdRng::seed_from_u64(seed);
        let vms = per_zone * ZONES.len();
        let mut faults = Faults::default();
        let count = match kinds.len() {
            0 => 0,
            1 | 2 => kinds.len(),
            _ => rng.random_range(1..4),
        };
        for index in 0..count {
            let kind = match kinds.len() {
                1 | 2 => kinds[index],
                all => kinds[rng.random_range(0..all)],
            };
            faults.add(kind, vms, &mut rng);
        }
        faults
    }

    fn add(&mut self, kind: Fault, vms: usize, rng: &mut StdRng) {
        let from_ms = START_MS + rng.random_range(0..10_000);
        let share = rng.random_range(0.2..0.95);
        let mut some = |share: f64| -> Option<BTreeSet<usize>> {
            Some((0..vms).filter(|_| rng.random_bool(share)).collect())
        };
        let affected = some(share);
        let most = some(0.9);
        let half = some(0.5);
        let long_ms = rng.random_range(3_000..16_000);
        let short_ms = rng.random_range(1_000..6_000);
        let state = match rng.random_bool(0.5) {
            true => StoreState::Silent,
            false => StoreState::Refuses,
        };
        let window = |from_ms: u64, length_ms: u64, vms: Option<BTreeSet<usize>>| Window {
            from_ms,
            to_ms: from_ms + length_ms,
            vms,
        };
        match kind {
            Fault::Outage => self.store.push((window(from_ms, short_ms, None), state)),
            Fault::Deaf => self.store.push((window(from_ms, long_ms, affected), state)),
            Fault::DeafHalf => {
                let deaf = window(from_ms, 15_000, half);
                self.store.push((deaf, StoreState::Silent));
            }
            Fault::OutageThenDeaf => {
                let outage = window(from_ms, short_ms, None);
                let deaf = window(outage.to_ms, 12_000, most);
                self.store.push((outage, StoreState::Silent));
                self.store.push((deaf, StoreState::Silent));
            }
            Fault::Cut => self.cuts.push(window(from_ms, long_ms, affected)),
            Fault::OutageThenCut => {
                let outage = window(from_ms, short_ms, None);
                self.cuts.push(window(from_ms, short_ms + 12_000, most));
                self.store.push((outage, StoreState::Silent));
            }
            Fault::Killed => self.kills.push(window(from_ms, short_ms / 2, affected)),
            Fault::FailedCalls => {
                let failing = (0..vms).map(|_| {
                    let at_ms = START_MS + rng.random_range(0..END_MS - START_MS);
                    (at_ms, rng.random_bool(0.5))
                });
                self.failing_calls = failing.collect();
            }
        }
    }

    pub fn store_state(&self, vm: usize, now_ms: u64) -> StoreState {
        let found = self
            .store
            .iter()
            .find(|(window, _)| window.holds(vm, now_ms));
        found.map_or(StoreState::Answers, |(_, state)| *state)
    }

    /// Whether the store takes changes.
    pub fn takes_changes(&self, now_ms: u64) -> bool {
        let outages = self.store.iter().filter(|(window, _)| window.vms.is_none());
        outages
            .into_iter()
            .all(|(window, _)| !window.holds(0, now_ms))
    }

    pub fn reaches(&self, from: usize, to: usize, now_ms: u64) -> bool {
        let is_cut = |vm| self.cuts.iter().any(|cut| cut.holds(vm, now_ms));
        !is_cut(from) && !is_cut(to) && self.is_up(to, now_ms)
    }

    pub fn is_up(&self, vm: usize, now_ms: u64) -> bool {
        !self.kills.iter().any(|window| window.holds(vm, now_ms))
    }

    /// Whether the store has answered a running VM throughout the last `span_ms`.
    pub fn is_in_touch(&self, vm: usize, now_ms: u64, span_ms: u64) -> bool {
        let windows = self.store.iter().map(|(window, _)| window);
        let mut windows = windows.chain(&self.kills);
        !windows.any(|window| window.held(vm, now_ms, span_ms))
    }

    /// Takes the failure of the next call of a VM, once it is due; `Some(true)` if the call
    /// is refused, `Some(false)` if it gets no answer.
    pub fn take_failure(&mut self, vm: usize, now_ms: u64) -> Option<bool> {
        let (at_ms, is_refused) = self.failing_calls.get_mut(vm)?;
        if now_ms < *at_ms {
            return None;
        }
        *at_ms = u64::MAX;
        Some(*is_refused)
    }
}
