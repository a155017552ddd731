//! What a session waits for: messages, and the times at which it must end.

use futures::future::{Either, select};

use super::*;

/// What ends a session's wait.
pub(super) enum Wake {
    Message(CallerMessage),
    Broken(RelayError),
    Closed,
    /// The VM stops, or the transaction was idle for too long.
    Due,
}

impl Session<'_> {
    /// Waits for a message, or for the time at which the session or its
    /// transaction must end.
    pub(super) async fn wait(
        &self,
        messages: &flume::Receiver<Result<CallerMessage>>,
        end_spread_ms: u64,
    ) -> Wake {
        let wake =
            |received: std::result::Result<Result<CallerMessage>, flume::RecvError>| match received
            {
                Ok(Ok(message)) => Wake::Message(message),
                Ok(Err(RelayError::Closed)) | Err(_) => Wake::Closed,
                Ok(Err(error)) => Wake::Broken(error),
            };
        let mut stopping = self.shared.stopping.clone();
        loop {
            let stop_ms = *stopping.borrow_and_update();
            let due_ms = self.due_ms(stop_ms, end_spread_ms);
            let receive = std::pin::pin!(messages.recv_async());
            let changed = std::pin::pin!(stopping.changed());
            let Some(due_ms) = due_ms else {
                match select(receive, changed).await {
                    Either::Left((received, _)) => return wake(received),
                    Either::Right(_) => continue,
                }
            };
            let left_ms = due_ms.saturating_sub(clock::boot_ms());
            let left = std::pin::pin!(compio::time::sleep(Duration::from_millis(left_ms)));
            let timer = select(changed, left);
            match select(receive, timer).await {
                Either::Left((received, _)) => return wake(received),
                Either::Right((Either::Left(_), _)) => continue,
                Either::Right((Either::Right(_), _)) => return Wake::Due,
            }
        }
    }

    /// Time at which the session or its transaction must end, in milliseconds.
    fn due_ms(&self, stop_ms: Option<u64>, end_spread_ms: u64) -> Option<u64> {
        let open = self.transaction.as_ref().filter(|t| t.link.is_some());
        let idle_ms = open.map(|_| clock::boot_ms() + self.shared.transaction_idle_ms());
        let Some(stop_ms) = stop_ms else {
            return idle_ms;
        };
        if self.transaction.is_some() {
            let half_ms = stop_ms + self.shared.options.grace_ms / 2;
            return Some(idle_ms.map_or(half_ms, |idle_ms| idle_ms.min(half_ms)));
        }
        Some(stop_ms + STOP_LINGER_MS + end_spread_ms)
    }

    /// Ends what is due; `true` if that is the session.
    pub(super) fn end_due(&mut self) -> bool {
        if self.shared.stopping.borrow().is_some() {
            return true;
        }
        if let Some(transaction) = &mut self.transaction {
            decision!("transaction", database = &*self.database; "idle for too long: ended");
            // The member rolls back when its connection closes.
            transaction.link = None;
            transaction.is_failed = true;
        }
        false
    }
}
