//! A slot's connections to one member.

use super::Acquire;
use crate::{
    decide::{load::admission::AdmissionQueue, member::MemberView},
    prelude::*,
    proxy::{connect::ConnectOptions, connection::Connection},
};

/// A read that is routed to a member and waits for a connection to it.
pub struct QueuedRead {
    /// The request.
    pub acquire: Acquire,
    /// Minimum position that the read will see.
    pub floor: Option<Position>,
    /// Reason for the choice of member, for logs and metrics.
    pub reason: &'static str,
    /// Time it arrived, in milliseconds.
    pub since_ms: u64,
}

/// A slot's connections to one member.
pub struct SlotMember {
    /// Name.
    pub name: Name,
    /// How to open connections to it.
    pub connect_options: ConnectOptions,
    /// Its state as last reported.
    pub view: MemberView,
    /// Idle connections.
    pub idle: Vec<Connection>,
    /// Number of connections that are open or being opened.
    pub open: usize,
    /// Number of connections that are being opened.
    pub opening: usize,
    /// Reads that wait for a connection to it.
    pub reads: AdmissionQueue<QueuedRead>,
    /// Requests a status report.
    pub report_requests: flume::Sender<()>,
    /// Whether a report has been requested and not arrived.
    pub is_report_requested: bool,
    /// Earliest time to request the next report, in milliseconds.
    pub next_report_ms: u64,
    /// Time before which no connection is opened after a failure, in milliseconds.
    pub reconnect_after_ms: u64,
    /// Time a connection to it was last returned in a clean state, in milliseconds.
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

    /// Time its last report was requested, in milliseconds.
    pub fn asked_ms(&self) -> Option<u64> {
        self.view.observation.map(|o| o.asked_ms)
    }
}
