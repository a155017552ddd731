//! Signal handling that stays installed for the life of the process.

use std::io;

use futures::{FutureExt, future::LocalBoxFuture};

/// `SIGHUP`.
pub const HANGUP: i32 = 1;
/// `SIGINT`.
pub const INTERRUPT: i32 = 2;
/// `SIGTERM`.
pub const TERMINATE: i32 = 15;

/// Watches one signal.
///
/// A listener of the runtime completes on its first signal and then restores the
/// default action, which ends the process. With two listeners that are replaced in
/// turn, a handler is installed at every moment.
pub struct SignalWatch {
    number: i32,
    listeners: [Listener; 2],
    /// Set when a signal arrived while a listener was being replaced.
    is_pending: bool,
}

type Listener = LocalBoxFuture<'static, io::Result<()>>;

impl SignalWatch {
    /// Starts watching a signal.
    pub fn new(number: i32) -> SignalWatch {
        SignalWatch {
            number,
            listeners: [create_listener(number), create_listener(number)],
            is_pending: false,
        }
        .armed()
    }

    fn armed(mut self) -> SignalWatch {
        for index in 0..self.listeners.len() {
            self.arm(index);
        }
        self
    }

    /// Waits for the signal. Signals that arrive close together may be reported as one.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be watched.
    pub async fn next(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.is_pending) {
            return Ok(());
        }
        for index in 0..self.listeners.len() {
            let result = (&mut self.listeners[index]).await;
            self.listeners[index] = create_listener(self.number);
            self.arm(index);
            result?;
        }
        Ok(())
    }

    /// Polls a listener, which installs its handler. A listener that has already
    /// received a signal is replaced while the other one stays installed.
    fn arm(&mut self, index: usize) {
        while let Some(result) = (&mut self.listeners[index]).now_or_never() {
            if result.is_err() {
                // `next` returns the error when it awaits this listener.
                self.listeners[index] = std::future::ready(result).boxed_local();
                return;
            }
            self.is_pending = true;
            self.listeners[index] = create_listener(self.number);
        }
    }
}

fn create_listener(number: i32) -> Listener {
    compio::signal::unix::signal(number).boxed_local()
}
