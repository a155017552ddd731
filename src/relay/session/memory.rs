//! Memory of a session's variables and prepared statements.

use crate::relay::byte_budget::{ByteBudget, Reservation};

/// Memory that each session has without a reservation, in bytes.
const FREE_BYTES: usize = 4 << 10;
/// Most memory of a session, in bytes.
const STATE_MAX_BYTES: usize = 256 << 10;
/// Counted for each entry beside its texts, in bytes.
const ENTRY_BYTES: usize = 200;
/// Bytes that are reserved at a time.
const STEP_BYTES: usize = 16 << 10;

/// Counts what a session's caller has added. What it removes or replaces is not counted
/// off: texts of earlier messages stay in memory as long as a part of them is used.
#[derive(Default)]
pub struct SessionMemory {
    used_bytes: usize,
    reserved: Vec<Reservation>,
}

impl SessionMemory {
    /// Adds an entry.
    ///
    /// # Errors
    ///
    /// Returns the reason when the session may not grow.
    pub fn grow(&mut self, bytes: usize, budget: &ByteBudget) -> Result<(), &'static str> {
        let used_bytes = self.used_bytes + bytes + ENTRY_BYTES;
        if used_bytes > STATE_MAX_BYTES {
            return Err("the session has too many variables and prepared statements");
        }
        while used_bytes > FREE_BYTES + self.reserved.len() * STEP_BYTES {
            let reserved = budget.try_reserve(STEP_BYTES as u64);
            let reserved = reserved.ok_or("no memory is left for variables and statements")?;
            self.reserved.push(reserved);
        }
        self.used_bytes = used_bytes;
        Ok(())
    }
}
