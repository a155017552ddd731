//! Connections: opened, taken back, closed.

use super::*;
use crate::relay::{MemberRequest, RelayError, Result, connection::Connection, exchange::request};

/// Pause after a connection could not be opened, in milliseconds.
const OPEN_PAUSE_MS: u64 = 100;
/// Longest time to roll a transaction back before the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

impl Service {
    pub(super) fn open_if_needed(&mut self, id: &Name, limit: usize) {
        let now_ms = clock::boot_ms();
        let (Some(target), Some(member)) = (self.target(id), self.members.get_mut(id)) else {
            return;
        };
        let has_room = member.window.has_room(member.running + member.opening);
        let needs_more = member.queue.len() > member.opening && has_room;
        if !needs_more || member.open >= limit || member.open_after_ms > now_ms {
            return;
        }
        member.opening += 1;
        let permit = self.count_open(id);
        let context = self.context.clone();
        let codec = context.options.codecs.member;
        compio::runtime::spawn(async move {
            let member = target.member.clone();
            let result = open(target, codec, permit).await;
            context.send(ServiceMessage::ConnectionOpened { member, result });
        })
        .detach();
    }

    /// Counts a connection as open until the permit is dropped.
    pub(super) fn count_open(&mut self, id: &Name) -> Permit {
        if let Some(member) = self.members.get_mut(id) {
            member.open += 1;
        }
        let context = self.context.clone();
        let member = id.clone();
        Permit::new(move || context.send(ServiceMessage::ConnectionClosed { member }))
    }

    /// Counts a request as running until the permit is dropped.
    pub(super) fn count_run(&mut self, id: &Name) -> Permit {
        if let Some(member) = self.members.get_mut(id) {
            member.running += 1;
        }
        let context = self.context.clone();
        let member = id.clone();
        Permit::new(move || context.send(ServiceMessage::RunEnded { member }))
    }

    pub(super) fn run_ended(&mut self, id: &Name) {
        if let Some(member) = self.members.get_mut(id) {
            member.running = member.running.saturating_sub(1);
        }
        self.serve_queue(id);
    }

    pub(super) fn limit(&self, member: &Member) -> usize {
        let budget = member.budget(self.entry.connections_max);
        budget.limit(member.open)
    }

    /// Closes connections that others may need more.
    pub(super) fn trim(&mut self, now_ms: u64) {
        let connections_max = self.entry.connections_max;
        for member in self.members.values_mut().filter(|m| !m.idle.is_empty()) {
            let budget = member.budget(connections_max);
            member.trim(&budget, now_ms);
        }
    }

    pub(super) fn release(
        &mut self,
        mut connection: Connection,
        needs_rollback: bool,
        read_us: Option<u64>,
    ) {
        let id = connection.member.clone();
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        connection.run = None;
        if let Some(read_us) = read_us {
            member.window.done();
            member.record_read(read_us);
            member.queue.record(read_us);
        }
        if needs_rollback {
            let context = self.context.clone();
            compio::runtime::spawn(roll_back(context, connection)).detach();
            return;
        }
        if member.entry.is_leaving && self.primary.as_ref() != Some(&id) {
            return;
        }
        if connection.way != *member.way() {
            return;
        }
        connection.idle_since_ms = clock::boot_ms();
        member.idle.push(connection);
        self.serve_queue(&id);
    }

    pub(super) fn opened(&mut self, id: &Name, result: Result<Connection>) {
        let now_ms = clock::boot_ms();
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.opening = member.opening.saturating_sub(1);
        match result {
            Ok(connection) if connection.way != *member.way() => self.serve_queue(id),
            Ok(mut connection) => {
                connection.idle_since_ms = now_ms;
                member.idle.push(connection);
                self.serve_queue(id);
            }
            Err(error) => {
                decision!(
                    "open", service = &*self.context.service, member = &**id,
                    reason = error.to_string(); "connection not opened"
                );
                member.open_after_ms = now_ms + OPEN_PAUSE_MS;
                // A member that is full need not be asked how it is.
                let is_other = ErrorClass::WrongMember;
                match error {
                    RelayError::Refused { class } if class != is_other => {}
                    _ => self.suspect(id, false),
                }
            }
        }
    }
}

/// Ends the transaction that may be open on a connection.
async fn roll_back(context: ServiceContext, mut connection: Connection) {
    let codec = context.options.codecs.member;
    let ended = request(&mut connection, &codec, &MemberRequest::Rollback);
    let ended = compio::time::timeout(ROLLBACK_TIMEOUT, ended).await;
    let is_idle = matches!(
        ended,
        Ok(Ok(answer)) if answer.state == crate::relay::SessionState::Idle
    );
    if is_idle {
        context.send(ServiceMessage::Release {
            connection,
            needs_rollback: false,
            read_us: None,
        });
    }
}
