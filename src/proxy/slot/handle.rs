//! Handle to a slot's task.

use futures::channel::oneshot;

use super::{Acquire, Granted, SlotMessage, SlotReport, Want};
use crate::{
    decide::acknowledge::{Commit, Decision},
    prelude::*,
    proxy::{connection::Connection, error::Refusal},
};

/// Handle to a slot's task; clones reach the same task.
#[derive(Clone, Debug)]
pub struct SlotHandle {
    sender: flume::Sender<SlotMessage>,
}

impl SlotHandle {
    /// Creates a handle and the mailbox behind it.
    pub fn new() -> (SlotHandle, flume::Receiver<SlotMessage>) {
        let (sender, receiver) = flume::unbounded();
        (SlotHandle { sender }, receiver)
    }

    /// Sends a message; a slot that has stopped ignores it.
    pub fn send(&self, message: SlotMessage) {
        // A stopped slot has dropped its connections already.
        let _ = self.sender.send(message);
    }

    /// Asks for a connection.
    ///
    /// # Errors
    ///
    /// Returns a refusal when none is granted before the deadline.
    pub async fn acquire(&self, want: Want, deadline_ms: u64) -> Result<Granted, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Acquire(Acquire {
            want,
            deadline_ms,
            reply,
        }));
        let gone = |_| Refusal::new(Code::Stopping, "the slot was given up");
        answer.await.map_err(gone)?
    }

    /// Gives a connection back.
    pub fn release(&self, connection: Connection, is_clean: bool, held_us: u64) {
        self.send(SlotMessage::Release {
            connection,
            is_clean,
            held_us,
        });
    }

    /// Waits until a commit may be acknowledged or its outcome is not known.
    pub async fn confirm(&self, commit: Commit) -> Decision {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Confirm { commit, reply });
        answer.await.unwrap_or(Decision::Unknown)
    }

    /// Whether a member is gone, or replaced since `term`.
    pub async fn is_gone(&self, member: usize, term: u64) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Check {
            member,
            term,
            reply,
        });
        answer.await.unwrap_or(true)
    }

    /// What the slot knows.
    pub async fn report(&self) -> SlotReport {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Report { reply });
        answer.await.unwrap_or_default()
    }
}
