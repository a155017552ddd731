//! Waiting for messages, and for the deadlines of a session and its transaction.

use futures::future::{Either, select};

use super::*;

/// What ends a session's wait.
pub(super) enum Wake {
    Message(CallerMessage, Option<Reservation>),
    Broken(RelayError),
    Closed,
    /// The VM is stopping, or the transaction was idle for too long.
    Deadline,
}

impl Session<'_> {
    /// Waits for a message, or until the session or its transaction must end.
    pub(super) async fn wait(
        &self,
        messages: &flume::Receiver<Received<CallerMessage>>,
        stop_delay_ms: u64,
    ) -> Wake {
        let wake = |received: std::result::Result<Received<CallerMessage>, flume::RecvError>| {
            let Ok(received) = received else {
                return Wake::Closed;
            };
            match received.message {
                Ok(message) => Wake::Message(message, received.reservation),
                Err(RelayError::Closed) => Wake::Closed,
                Err(error) => Wake::Broken(error),
            }
        };
        let mut stopping = self.shared.stopping.clone();
        loop {
            let stop_ms = *stopping.borrow_and_update();
            let deadline_ms = self.deadline_ms(stop_ms, stop_delay_ms);
            let receive = std::pin::pin!(messages.recv_async());
            let changed = std::pin::pin!(stopping.changed());
            let Some(deadline_ms) = deadline_ms else {
                match select(receive, changed).await {
                    Either::Left((received, _)) => return wake(received),
                    Either::Right(_) => continue,
                }
            };
            let left_ms = deadline_ms.saturating_sub(clock::boot_ms());
            let deadline = std::pin::pin!(compio::time::sleep(Duration::from_millis(left_ms)));
            let timer = select(changed, deadline);
            match select(receive, timer).await {
                Either::Left((received, _)) => return wake(received),
                Either::Right((Either::Left(_), _)) => continue,
                Either::Right((Either::Right(_), _)) => return Wake::Deadline,
            }
        }
    }

    /// Time at which the session or its transaction must end. While the VM stops,
    /// a transaction may use half of the grace period.
    fn deadline_ms(&self, stop_ms: Option<u64>, stop_delay_ms: u64) -> Option<u64> {
        let open_transaction = self.transaction.as_ref().filter(|t| t.connection.is_some());
        let idle_ms =
            open_transaction.map(|_| clock::boot_ms() + self.shared.transaction_idle_ms());
        let Some(stop_ms) = stop_ms else {
            return idle_ms;
        };
        if self.transaction.is_some() {
            let half_ms = stop_ms + self.shared.options.grace_ms / 2;
            return Some(idle_ms.map_or(half_ms, |idle_ms| idle_ms.min(half_ms)));
        }
        Some(stop_ms + STOP_LINGER_MS + stop_delay_ms)
    }

    /// Ends the session or its idle transaction; `true` if it is the session.
    pub(super) fn handle_deadline(&mut self) -> bool {
        if self.shared.stopping.borrow().is_some() {
            return true;
        }
        if let Some(transaction) = &mut self.transaction {
            decision!("transaction", database = &*self.database; "idle transaction ended");
            // The member rolls the transaction back when the connection closes.
            transaction.connection = None;
            transaction.is_failed = true;
        }
        false
    }
}
