//! Choice of the VM that counts an account's operations.
//!
//! The counter and its deputies are the highest ranked VMs by weighted rendezvous
//! hashing among the larger ones. A VM asks the best ranked one that answers. A deputy
//! grants tokens itself only when it does not reach those ranked before it either.

use super::holders::{VmPlace, ranked};
use crate::prelude::*;

/// Number of VMs that may count for an account: one that fails and one that is
/// restarted at the same time leave one.
const COUNTERS: usize = 3;
/// Index of the hash score that ranks the counters of an account.
const COUNTER_INDEX: usize = 2;
/// Share of the largest weight that a counter has at least: it answers all VMs.
const WEIGHT_SHARE: f64 = 0.5;
/// Time after which a VM that has heard of no other one counts as cut off, in milliseconds:
/// several questions that prove contact.
pub const CONTACT_MS: u64 = 1_000;
/// Time without a message after which a VM that counts asks another one to prove contact,
/// in milliseconds.
pub const PROVE_CONTACT_MS: u64 = 250;
/// Time for which a VM that has not answered once is not asked again, in milliseconds.
const FIRST_PAUSE_MS: u64 = 200;
/// The same after a second time.
pub const FAILED_MS: u64 = 500;
/// Time without an answer after which another VM counts in its place, in milliseconds. One
/// answer that is late or lost must not make two VMs count.
const ABSENT_MS: u64 = 500;

/// What a VM knows of another one that it asks for tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerHealth {
    failures: u32,
    since_ms: u64,
    failed_ms: u64,
}

impl PeerHealth {
    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that no answer came to a question that was asked at `asked_ms`.
    pub fn record_failure(&mut self, asked_ms: u64, now_ms: u64) {
        if self.failures == 0 {
            self.since_ms = asked_ms;
        }
        self.failures += 1;
        self.failed_ms = now_ms;
    }

    /// Whether it answers as far as is known.
    pub fn state(&self, now_ms: u64) -> PeerState {
        let pause_ms = match self.failures {
            0 => return PeerState::Answers,
            1 => FIRST_PAUSE_MS,
            _ => FAILED_MS,
        };
        if now_ms >= self.failed_ms + pause_ms {
            return PeerState::Answers;
        }
        match self.failures > 1 && now_ms >= self.since_ms + ABSENT_MS {
            true => PeerState::Absent,
            false => PeerState::Failed,
        }
    }
}

/// Whether a VM can be asked for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It answers, or is to be tried again.
    Answers,
    /// It has not answered a moment ago.
    Failed,
    /// It has not answered for some time: another VM counts in its place.
    Absent,
}

/// The VMs that count an account's operations, best first.
pub fn counters(account: &str, vms: &BTreeMap<Name, VmPlace>) -> Vec<Name> {
    let largest = vms.values().map(|vm| vm.weight).fold(0.0, f64::max);
    let large = vms
        .iter()
        .filter(|(_, vm)| vm.weight >= largest * WEIGHT_SHARE);
    ranked(account, COUNTER_INDEX, large.collect(), COUNTERS)
}

/// Who decides about a request for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Counter {
    /// This VM.
    Own,
    /// Another VM, which has the given rank.
    Other {
        /// Its name.
        vm: Name,
        /// Number of VMs that are ranked before it.
        rank: usize,
    },
    /// None that answers.
    None,
}

/// Chooses who decides, for a VM that is `own`. For a question that was sent to this VM as
/// the one of `asked_rank`, this VM counts itself when those ranked before it are absent.
///
/// A VM without contact to others does not decide for its own callers: the next ranked one
/// may have begun to count in its place. It asks that one, which asks back if it can.
pub fn choose_counter(
    ranking: &[Name],
    (own, has_contact): (&Name, bool),
    asked_rank: Option<usize>,
    state: impl Fn(&Name) -> PeerState,
) -> Counter {
    let before = asked_rank.unwrap_or(ranking.len()).min(ranking.len());
    let mut may_count = has_contact || asked_rank.is_some();
    for (rank, vm) in ranking[..before].iter().enumerate() {
        if vm == own && may_count {
            return Counter::Own;
        }
        if vm == own {
            continue;
        }
        match state(vm) {
            PeerState::Answers => {
                return Counter::Other {
                    vm: vm.clone(),
                    rank,
                };
            }
            PeerState::Failed => may_count = false,
            PeerState::Absent => {}
        }
    }
    match asked_rank {
        Some(_) if may_count => Counter::Own,
        _ => Counter::None,
    }
}
