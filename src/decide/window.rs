//! How many requests a VM lets run at a member at once.
//!
//! A member that is full refuses statements, and a refusal in the middle of a
//! transaction costs all of it. So statements outside transactions hold back
//! as soon as the member refuses any, as senders do on a congested link.

/// Requests before the member has refused any: about its slots and a short
/// queue.
const START: f64 = 8.0;
/// Fewest requests.
const MIN: f64 = 1.0;
/// Most requests: a member's queue is not longer.
const MAX: f64 = 24.0;
/// Time between two reductions, in milliseconds: what was sent before the
/// first one may be refused still.
const PAUSE_MS: u64 = 60;

/// Requests that may run at once.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: f64,
    reduced_ms: u64,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            size: START,
            reduced_ms: 0,
        }
    }
}

impl Window {
    /// Whether another request may run besides `running`.
    pub fn has_room(&self, running: usize) -> bool {
        (running as f64) < self.size.floor()
    }

    /// A request was answered: a window's worth of them adds one.
    pub fn done(&mut self) {
        self.size = (self.size + 1.0 / self.size).min(MAX);
    }

    /// The member refused a request because it is full.
    pub fn refused(&mut self, now_ms: u64) {
        if now_ms < self.reduced_ms + PAUSE_MS {
            return;
        }
        self.reduced_ms = now_ms;
        self.size = (self.size / 2.0).max(MIN);
    }
}
