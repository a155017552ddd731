//! Contact with other VMs: without it, another VM may count in this one's place.

use rand::seq::IteratorRandom;

use super::*;

/// Time between two passes after which the process counts as suspended, in milliseconds.
const SUSPENDED_MS: u64 = 1_500;
/// Number of VMs that are asked at once to prove contact: some of those that are listed may
/// have ended.
const CONTACTS: usize = 2;
/// Account that such a question names.
const CONTACT_ACCOUNT: &str = "-";
/// Rank in such a question to a deputy: it goes over the connection of the questions to
/// deputies, which is open.
const DEPUTY_RANK: usize = 1;

impl Meter {
    /// Starts to count anew after a suspension.
    pub(super) fn note_time(&mut self) {
        let now_ms = clock::boot_ms();
        let pause_ms = now_ms.saturating_sub(self.passed_ms);
        self.passed_ms = now_ms;
        if pause_ms < SUSPENDED_MS {
            return;
        }
        self.count_anew(pause_ms);
    }

    /// Takes the last window for granted: a deputy has counted meanwhile.
    fn count_anew(&mut self, pause_ms: u64) {
        let now_ms = self.passed_ms;
        decision!("account", pause_ms = pause_ms, accounts = self.counts.len(); "counting anew");
        self.counting_since_ms = now_ms;
        self.is_first_start = false;
        for count in self.counts.values_mut() {
            count.assume_granted(0, now_ms);
        }
    }

    /// Records a message from another VM.
    pub(super) fn note_contact(&mut self, vm: &Name) {
        self.askers.record_contact(vm, self.passed_ms);
        let pause_ms = self.passed_ms.saturating_sub(self.contact_ms);
        if pause_ms >= CONTACT_MS && !self.counts.is_empty() {
            self.count_anew(pause_ms);
        }
        self.contact_ms = self.passed_ms;
    }

    /// Asks some VM to prove contact, where this one counts and has heard of none.
    pub(super) fn prove_contact(&mut self) {
        let now_ms = self.passed_ms;
        if self.counts.is_empty() || now_ms < self.contact_ms + PROVE_CONTACT_MS {
            return;
        }
        let others = self.vms.addresses.keys();
        let others = others.filter(|vm| **vm != self.options.vm);
        let chosen = others.cloned().choose_multiple(&mut rand::rng(), CONTACTS);
        for vm in chosen {
            self.ask_for_contact(vm, 0);
        }
    }

    /// Proves contact to the deputies that count for accounts in use here: they grant the
    /// larger share only while most VMs reach them.
    pub(super) fn keep_contact(&mut self) {
        let now_ms = self.passed_ms;
        if now_ms < self.deputy_contact_ms + DEPUTY_CONTACT_MS {
            return;
        }
        let in_use = self.accounts.values();
        let in_use = in_use.filter(|state| state.credit.idle_ms(now_ms) < ASKING_MS);
        let deputies: BTreeSet<Name> = in_use.filter_map(|state| state.deputy.clone()).collect();
        for vm in deputies {
            self.deputy_contact_ms = now_ms;
            self.ask_for_contact(vm, DEPUTY_RANK);
        }
    }

    fn ask_for_contact(&mut self, vm: Name, rank: usize) {
        let take = Take {
            from: self.options.vm.clone(),
            account: CONTACT_ACCOUNT.into(),
            tokens: 0,
            limit: RateLimit::default(),
            rank,
        };
        self.send_question(Inquiry::Contact, vm, take);
    }
}
