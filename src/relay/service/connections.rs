//! Opening, releasing and closing connections to members.

use super::{open_purpose::OpenPurpose, *};
use crate::relay::{MemberRequest, RelayError, Result, connection::Connection, exchange::request};

/// Pause after a failed attempt to open a connection, in milliseconds.
const OPEN_PAUSE_MS: u64 = 100;
/// Longest time for the rollback of a released connection, after which it is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

impl Service {
    /// Opens a connection if requests wait for one and both `limit` and the
    /// member's window leave room.
    pub(super) fn open_if_needed(&mut self, id: &Name, limit: usize) {
        let now_ms = clock::boot_ms();
        if !self.may_connect(now_ms) {
            return;
        }
        let (Some(target), Some(member)) = (self.target(id), self.members.get_mut(id)) else {
            return;
        };
        let active = member.running + member.opening_count();
        if !member.has_room(active) || member.open_after_ms > now_ms {
            return;
        }
        let Some(account) = member.unserved_account() else {
            return;
        };
        // An idle connection of another account makes room.
        if member.open >= limit && !member.evict_idle() {
            return;
        }
        *member.opening.entry(account.clone()).or_default() += 1;
        let target = Target {
            account: account.clone(),
            ..target
        };
        let permit = self.count_open(id, OpenPurpose::Request);
        let context = self.context.clone();
        compio::runtime::spawn(async move {
            let member = target.member.clone();
            let result = open(target, &context.options, permit).await;
            context.send(ServiceMessage::ConnectionOpened {
                member,
                account,
                result,
            });
        })
        .detach();
    }

    /// Counts a connection as open until the permit is dropped.
    pub(super) fn count_open(&mut self, id: &Name, purpose: OpenPurpose) -> Permit {
        let purpose: &'static str = purpose.into();
        let labels = [label("purpose", purpose)];
        self.context.metrics.member_connections.add(1, &labels);
        if let Some(member) = self.members.get_mut(id) {
            member.open += 1;
            decision!(
                "connect", service = &*self.context.service, member = &**id, purpose = purpose,
                through = member.path().through(), open = member.open,
                idle = member.idle.len(), waiting = member.queue.len();
                "opening a connection"
            );
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
        let budget = member.budget(self.config.connections_max, self.config.has_accounts);
        budget.limit(member.open)
    }

    /// Closes surplus idle connections, so that other VMs can open theirs.
    pub(super) fn trim(&mut self, now_ms: u64) {
        let connections_max = self.config.connections_max;
        let has_accounts = self.config.has_accounts;
        for member in self.members.values_mut().filter(|m| !m.idle.is_empty()) {
            let budget = member.budget(connections_max, has_accounts);
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
        if let Some(read_us) = read_us {
            member.record_answered(read_us);
        }
        connection.run_permit = None;
        if needs_rollback {
            let context = self.context.clone();
            compio::runtime::spawn(roll_back(context, connection)).detach();
            return;
        }
        if member.entry.is_leaving && self.primary.as_ref() != Some(&id) {
            return;
        }
        if connection.path != *member.path() {
            return;
        }
        connection.idle_since_ms = clock::boot_ms();
        member.idle.push(connection);
        self.serve_queue(&id);
    }

    pub(super) fn opened(&mut self, id: &Name, account: &Option<Name>, result: Result<Connection>) {
        let now_ms = clock::boot_ms();
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if let Some(count) = member.opening.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                member.opening.remove(account);
            }
        }
        match result {
            Ok(connection) if connection.path != *member.path() => self.serve_queue(id),
            Ok(mut connection) => {
                member.record_open();
                connection.idle_since_ms = now_ms;
                member.idle.push(connection);
                self.serve_queue(id);
            }
            Err(error) => {
                decision!(
                    "open", service = &*self.context.service, member = &**id,
                    reason = error.to_string(); "connection not opened"
                );
                // Any other refusal, such as a full member's, shows that the member
                // answers: no probe is needed.
                match error {
                    RelayError::Refused { class } if class != ErrorClass::WrongMember => {
                        member.record_open_refusal(now_ms);
                    }
                    _ => {
                        member.open_after_ms = now_ms + OPEN_PAUSE_MS;
                        self.suspect(id, false);
                    }
                }
            }
        }
    }
}

/// Rolls back the transaction that may be open on a connection, then releases
/// the connection. Closes it when the rollback fails.
async fn roll_back(context: ServiceContext, mut connection: Connection) {
    let codec = context.options.codecs.member;
    let ended = request(&mut connection, &codec, &MemberRequest::Rollback);
    let ended = compio::time::timeout(ROLLBACK_TIMEOUT, ended).await;
    let is_rolled_back = matches!(
        ended,
        Ok(Ok(answer)) if answer.state == crate::relay::SessionState::Idle
    );
    if is_rolled_back {
        context.send(ServiceMessage::Release {
            connection,
            needs_rollback: false,
            read_us: None,
        });
    }
}
