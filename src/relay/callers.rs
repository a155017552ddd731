//! The callers that are connected to a VM.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures::channel::oneshot;

use crate::{
    decide::load::memory::{CallerLimits, CallerPhase, Room, room_for_caller},
    decision_log::decision,
    prelude::*,
};

struct Entry {
    phase: Rc<Cell<CallerPhase>>,
    close: Option<oneshot::Sender<()>>,
}

/// The connected callers.
#[derive(Default)]
pub struct Callers {
    next_id: Cell<u64>,
    entries: RefCell<BTreeMap<u64, Entry>>,
}

/// A connected caller; it counts as connected until this is dropped.
pub struct ConnectedCaller {
    callers: Rc<Callers>,
    id: u64,
    /// What it is doing.
    pub phase: Rc<Cell<CallerPhase>>,
    /// Completes when it is to make room for another one.
    pub closing: oneshot::Receiver<()>,
}

impl Callers {
    /// Number of connected callers.
    pub fn count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Adds a caller, and closes another one where the limits require it; `None` if no
    /// other one can go.
    pub fn connect(self: &Rc<Callers>, limits: &CallerLimits) -> Option<ConnectedCaller> {
        let mut entries = self.entries.borrow_mut();
        let open = entries.iter().filter(|(_, entry)| entry.close.is_some());
        let closing = entries.len() - open.clone().count();
        let phases = open.map(|(id, entry)| (id, entry.phase.get()));
        match room_for_caller(limits, closing, phases) {
            Room::Free => {}
            Room::Close(id) => {
                let chosen = entries.get_mut(&id);
                decision!(
                    "session", limit = "callers", callers_max = limits.callers_max,
                    unopened_max = limits.unopened_max; "caller closed to make room"
                );
                if let Some(close) = chosen.and_then(|entry| entry.close.take()) {
                    // The caller may have ended in this moment.
                    let _ = close.send(());
                }
            }
            Room::Full => {
                decision!(
                    "session", limit = "callers", callers_max = limits.callers_max;
                    "caller refused"
                );
                return None;
            }
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let phase = Rc::new(Cell::new(CallerPhase::Opening));
        let (close, closing) = oneshot::channel();
        let entry = Entry {
            phase: phase.clone(),
            close: Some(close),
        };
        entries.insert(id, entry);
        Some(ConnectedCaller {
            callers: self.clone(),
            id,
            phase,
            closing,
        })
    }
}

impl Drop for ConnectedCaller {
    fn drop(&mut self) {
        self.callers.entries.borrow_mut().remove(&self.id);
    }
}
