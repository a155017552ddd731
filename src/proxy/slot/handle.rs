//! Handle to a slot's task.

use futures::channel::oneshot;

use super::{Acquire, Granted, Purpose, SlotMessage, SlotReport};
use crate::{
    decide::acknowledge::{Commit, Decision},
    group_id::GroupId,
    prelude::*,
    proxy::{connection::Connection, error::Refusal},
};

/// Handle to a slot's task; clones reach the same task.
#[derive(Clone, Debug)]
pub struct SlotHandle {
    sender: flume::Sender<SlotMessage>,
    group: GroupId,
}

impl SlotHandle {
    /// Creates a handle to a slot before the members of a group, and the mailbox that its
    /// messages arrive in.
    pub fn new(group: GroupId) -> (SlotHandle, flume::Receiver<SlotMessage>) {
        let (sender, receiver) = flume::unbounded();
        (SlotHandle { sender, group }, receiver)
    }

    /// Group of the slot's members, which never changes.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Sends a message; it is lost when the slot has stopped.
    pub fn send(&self, message: SlotMessage) {
        // A stopped slot has already dropped its connections.
        let _ = self.sender.send(message);
    }

    /// Acquires a connection.
    ///
    /// # Errors
    ///
    /// Returns a refusal when none is granted before the deadline.
    pub async fn acquire(&self, purpose: Purpose, deadline_ms: u64) -> Result<Granted, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Acquire(Acquire {
            purpose,
            deadline_ms,
            reply,
        }));
        let gone = |_| Refusal::new(Code::Stopping, "the slot was given up");
        answer.await.map_err(gone)?
    }

    /// Returns a connection that was in use for `held_us` microseconds.
    pub fn release(&self, connection: Connection, is_clean: bool, held_us: u64) {
        self.send(SlotMessage::Release {
            connection,
            is_clean,
            held_us,
        });
    }

    /// Waits until a commit may be acknowledged, or until that can no longer be
    /// decided in time.
    pub async fn confirm(&self, commit: Commit) -> Decision {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Confirm { commit, reply });
        answer.await.unwrap_or(Decision::Unknown)
    }

    /// Whether a member no longer answers, or a newer term than `term` began.
    pub async fn is_gone(&self, member: usize, term: u64) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Check {
            member,
            term,
            reply,
        });
        answer.await.unwrap_or(true)
    }

    /// The slot's view of its members and its load.
    pub async fn report(&self) -> SlotReport {
        let (reply, answer) = oneshot::channel();
        self.send(SlotMessage::Report { reply });
        answer.await.unwrap_or_default()
    }
}
