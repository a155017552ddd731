//! A slot's connections to one member.

use super::Acquire;
use crate::{
    decide::{admission::AdmissionQueue, member::MemberView},
    prelude::*,
    proxy::{connect::ConnectOptions, connection::Connection},
};

/// A request whose member is chosen and that waits for a connection to it.
pub struct Ready {
    /// The request.
    pub acquire: Acquire,
    /// Position that its reads will see.
    pub floor: Option<Position>,
    /// Why this member.
    pub reason: &'static str,
    /// Time it started to wait, in milliseconds.
    pub since_ms: u64,
}

/// A slot's connections to one member.
pub struct SlotMember {
    /// Name.
    pub name: Name,
    /// How to connect.
    pub connect_options: ConnectOptions,
    /// What is known of it.
    pub view: MemberView,
    /// Connections that nobody uses.
    pub idle: Vec<Connection>,
    /// Connections that are open or being opened.
    pub open: usize,
    /// Connections that are being opened.
    pub opening: usize,
    /// Requests that wait for a connection.
    pub ready: AdmissionQueue<Ready>,
    /// Asks for a report.
    pub ask: flume::Sender<()>,
    /// Whether a question is under way.
    pub is_asked: bool,
    /// Earliest time of the next question, in milliseconds.
    pub next_ask_ms: u64,
    /// Time before which no connection is opened, in milliseconds.
    pub open_after_ms: u64,
    /// Time a request last ended well on it, in milliseconds.
    pub served_ms: u64,
}

impl SlotMember {
    /// Takes an idle connection that still works.
    pub fn pop_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Time that its last report was asked for, in milliseconds.
    pub fn asked_ms(&self) -> Option<u64> {
        self.view.observation.map(|o| o.asked_ms)
    }
}
