//! VMs that ask a deputy to count for an account.

use super::counters::CONTACT_MS;
use crate::prelude::*;

/// Time after its last question for which a VM counts as asking, in milliseconds: several
/// questions of a VM whose account is busy.
pub const ASKING_MS: u64 = 3_000;
/// Shortest time after which a VM that asks a deputy proves contact to it again, in
/// milliseconds. Its questions alone may be further apart than [`CONTACT_MS`]; with passes
/// every 250 ms, one of two proofs may be lost.
pub const DEPUTY_CONTACT_MS: u64 = 400;

/// The VMs that ask this one as a deputy, by account.
///
/// A VM counts as long as its last question is recent and it is in contact. By questions
/// alone, a deputy that a partition cut off from most VMs granted the larger share for
/// [`ASKING_MS`], while those VMs asked the first counter again.
#[derive(Clone, Debug, Default)]
pub struct Askers {
    /// Time of the last question of each VM, by account, in milliseconds.
    asked_ms: BTreeMap<Name, BTreeMap<Name, u64>>,
    /// Time of the last message of each VM, in milliseconds.
    heard_ms: BTreeMap<Name, u64>,
}

impl Askers {
    /// Records any message of a VM.
    pub fn record_contact(&mut self, vm: &Name, now_ms: u64) {
        self.heard_ms.insert(vm.clone(), now_ms);
    }

    /// Records a question of a VM, which may be this one.
    pub fn record_question(&mut self, account: &Name, vm: &Name, now_ms: u64) {
        self.record_contact(vm, now_ms);
        let asked_ms = self.asked_ms.entry(account.clone()).or_default();
        asked_ms.insert(vm.clone(), now_ms);
    }

    /// Number of VMs that ask for an account and are in contact.
    pub fn count(&self, account: &Name, now_ms: u64) -> usize {
        let has_contact = |vm: &Name| {
            let heard_ms = self.heard_ms.get(vm);
            heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + CONTACT_MS)
        };
        let asked_ms = self.asked_ms.get(account).into_iter().flatten();
        let asking = asked_ms.filter(|(_, asked_ms)| now_ms < **asked_ms + ASKING_MS);
        asking.filter(|(vm, _)| has_contact(vm)).count()
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        for asked_ms in self.asked_ms.values_mut() {
            asked_ms.retain(|_, asked_ms| now_ms < *asked_ms + ASKING_MS);
        }
        self.asked_ms.retain(|_, asked_ms| !asked_ms.is_empty());
        self.heard_ms
            .retain(|_, heard_ms| now_ms < *heard_ms + CONTACT_MS);
    }
}
