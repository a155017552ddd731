//! The row of a service in the table service: its delegate, terms and slots.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Number of terms that a delegate reserves with one write of the row.
pub const RESERVED_TERMS: u64 = 16;

/// A slot and its holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRow {
    /// VM that holds the slot.
    pub vm: Option<Name>,
    /// Raised whenever the holder changes.
    pub generation: u64,
}

/// The row of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// VM that monitors the primary and promotes members.
    pub delegate: Option<Name>,
    /// Term of the last promotion.
    pub term: u64,
    /// Member promoted last.
    pub primary: Option<Name>,
    /// First term reserved for the delegate.
    pub reserved_from: u64,
    /// End of the reserved terms: the first term that is still free.
    pub reserved_until: u64,
    /// Slots.
    pub slots: Vec<SlotRow>,
}

impl ServiceRow {
    /// Reserves a block of terms above `highest`, above the term of the row and
    /// above every block reserved before.
    pub fn reserve(&mut self, highest: u64) {
        self.reserved_from = self.reserved_until.max(highest + 1).max(self.term + 1);
        self.reserved_until = self.reserved_from + RESERVED_TERMS;
    }

    /// Holders by slot.
    pub fn holders(&self) -> Vec<Option<Name>> {
        self.slots.iter().map(|slot| slot.vm.clone()).collect()
    }

    /// Sets the holders; a slot whose holder changes gets a new generation.
    pub fn set_holders(&mut self, holders: &[Option<Name>]) {
        self.slots.resize(holders.len(), SlotRow::default());
        for (slot, holder) in self.slots.iter_mut().zip(holders) {
            if slot.vm != *holder {
                slot.vm = holder.clone();
                slot.generation += 1;
            }
        }
    }

    /// Whether a VM holds a slot of the service.
    pub fn is_holder(&self, vm: &str) -> bool {
        let mut holders = self.slots.iter().filter_map(|s| s.vm.as_deref());
        holders.any(|holder| holder == vm)
    }
}
