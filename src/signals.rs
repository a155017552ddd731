//! Signals that the process watches for as long as it runs.

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
/// A listener of the runtime hears one signal and then restores the default
/// action, which ends the process. Two listeners, replaced in turn, leave no
/// moment without one.
pub struct SignalWatch {
    number: i32,
    listeners: [Listener; 2],
    /// Set when a signal came while a listener was replaced.
    is_heard: bool,
}

type Listener = LocalBoxFuture<'static, io::Result<()>>;

impl SignalWatch {
    /// Starts to watch a signal.
    pub fn new(number: i32) -> SignalWatch {
        SignalWatch {
            number,
            listeners: [create(number), create(number)],
            is_heard: false,
        }
        .armed()
    }

    fn armed(mut self) -> SignalWatch {
        for index in 0..self.listeners.len() {
            self.arm(index);
        }
        self
    }

    /// Waits for the signal. Several that come at once may count as one.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be watched.
    pub async fn next(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.is_heard) {
            return Ok(());
        }
        for index in 0..self.listeners.len() {
            let heard = (&mut self.listeners[index]).await;
            self.listeners[index] = create(self.number);
            self.arm(index);
            heard?;
        }
        Ok(())
    }

    /// Polls a listener, which installs its handler. One that has heard a
    /// signal by then is replaced; the other listener stands meanwhile.
    fn arm(&mut self, index: usize) {
        while let Some(heard) = (&mut self.listeners[index]).now_or_never() {
            if heard.is_err() {
                // Shows when it is awaited.
                self.listeners[index] = std::future::ready(heard).boxed_local();
                return;
            }
            self.is_heard = true;
            self.listeners[index] = create(self.number);
        }
    }
}

fn create(number: i32) -> Listener {
    compio::signal::unix::signal(number).boxed_local()
}
