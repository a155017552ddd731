//! What the store does with calls.

use super::{
    call::{Call, Reply, Request},
    event::Event,
    world::World,
};

/// Time for which a write is held, in milliseconds.
const HELD_MS: u64 = 2_000;

impl World {
    /// Handles a call that arrives at the store.
    pub fn store_call(&mut self, call: Call) {
        if self.now_ms < self.store.away_until_ms {
            self.reply(call, Reply::Refused, 0);
            return;
        }
        let reply = match &call.request {
            Request::ReadClaim => Reply::Claim {
                row: self.store.row.clone(),
                version: self.store.row_version,
                now_ms: self.now_ms,
            },
            Request::ReadList => Reply::List(self.listed()),
            Request::WriteClaim { .. } if self.now_ms < self.store.holds_until_ms => {
                self.after(HELD_MS, Event::LateWrite { call });
                return;
            }
            _ => self.write(&call),
        };
        self.reply(call, reply, 0);
    }

    /// Carries out a write that was held; nobody is told.
    pub fn late_write(&mut self, call: &Call) {
        let reply = self.write(call);
        self.note(|_| format!("late write of vm-{}: {reply:?}", call.vm));
    }

    fn write(&mut self, call: &Call) -> Reply {
        let Request::WriteClaim { row, version } = &call.request else {
            return Reply::Refused;
        };
        self.note(|_| format!("vm-{} writes claim at version {version}: {row:?}", call.vm));
        match self.store.write(row.clone(), *version) {
            Some(version) => Reply::Written { version },
            None => Reply::Conflict,
        }
    }
}
