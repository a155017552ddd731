//! Opens connections, grants them to requests and takes them back.

use super::*;

impl Slot {
    pub(super) fn release(&mut self, connection: Connection, is_clean: bool, held_us: u64) {
        let ConnectionTarget::Member { member, .. } = connection.target else {
            return;
        };
        self.members[member].reads.record(held_us);
        if Some(member) == self.primary() {
            self.writes.record(held_us);
        }
        self.members[member].view.in_use = self.members[member].view.in_use.saturating_sub(1);
        let is_current_address = connection.address == self.members[member].connect_options.address;
        let is_over_capacity = self.members[member].open > self.capacity;
        if is_clean {
            self.members[member].served_ms = clock::now_ms();
        }
        if is_clean && is_current_address && !is_over_capacity && !connection.needs_replacement() {
            self.members[member].idle.push(connection);
        }
    }

    pub(super) fn connection_closed(&mut self, member: usize) {
        let member = &mut self.members[member];
        member.open = member.open.saturating_sub(1);
    }

    pub(super) fn connection_opened(
        &mut self,
        index: usize,
        result: crate::proxy::error::Result<Connection>,
    ) {
        let member = &mut self.members[index];
        member.opening = member.opening.saturating_sub(1);
        match result {
            Ok(connection) => member.idle.push(connection),
            Err(error) => {
                log::warn!(
                    target: "slot", service = &*self.context.service, member = &*member.name;
                    "cannot open connection: {error}"
                );
                member.reconnect_after_ms = clock::now_ms() + RECONNECT_DELAY_MS;
                self.connection_failed(index);
            }
        }
    }

    pub(super) fn connection_failed(&mut self, index: usize) {
        let was_primary = self.primary() == Some(index);
        let member = &mut self.members[index];
        member.view.failures += 1;
        if was_primary {
            self.suspect_primary();
        }
        self.request_all_reports();
    }

    /// Grants a member's idle connections to waiting requests and opens more when
    /// these are not enough.
    pub(super) fn serve(&mut self, index: usize, now_ms: u64) {
        let is_primary = self.primary() == Some(index);
        loop {
            let wants_write =
                is_primary && !self.writes.is_empty() && self.is_verified(index, now_ms);
            if self.members[index].reads.is_empty() && !wants_write {
                return;
            }
            let Some(connection) = self.members[index].pop_idle() else {
                break;
            };
            if wants_write && let Some(acquire) = self.writes.pop() {
                self.grant_write(index, connection, acquire);
            } else if let Some(queued) = self.members[index].reads.pop() {
                self.grant_read(index, connection, queued, is_primary, now_ms);
            }
        }
        let mut wanted = self.members[index].reads.len();
        if is_primary {
            wanted += self.writes.len();
        }
        self.open(index, wanted, now_ms);
    }

    /// Whether a member has answered recently. A primary may have been replaced or
    /// frozen while this slot was idle, and the outcome of a write sent to it
    /// would be unknown.
    pub(super) fn is_verified(&self, index: usize, now_ms: u64) -> bool {
        let member = &self.members[index];
        let answered_ms = member.view.observation.map_or(0, |o| o.answered_ms);
        now_ms <= answered_ms.max(member.served_ms) + PRIMARY_VERIFIED_MS
    }

    pub(super) fn grant_write(&mut self, index: usize, connection: Connection, acquire: Acquire) {
        let floor = match acquire.purpose {
            Purpose::Begin {
                floor: Floor::Known(position),
            } => Some(position),
            _ => None,
        };
        decision!(
            "route", service = &*self.context.service, member = &*self.members[index].name,
            reason = "write"; "granted"
        );
        self.grant(index, connection, acquire, floor, true);
    }

    pub(super) fn grant_read(
        &mut self,
        index: usize,
        connection: Connection,
        queued: QueuedRead,
        is_primary: bool,
        now_ms: u64,
    ) {
        let waited_ms = now_ms.saturating_sub(queued.since_ms);
        let kind = if is_primary { "primary" } else { "replica" };
        decision!(
            "route", service = &*self.context.service, member = &*self.members[index].name,
            reason = queued.reason, waited_ms = waited_ms; "granted"
        );
        let labels = [
            label("kind", kind),
            label("reason", queued.reason),
            name_label("service", &self.context.service),
        ];
        self.context.metrics.reads.add(1, &labels);
        self.context
            .metrics
            .queue_wait_ms
            .record(waited_ms as f64, &[]);
        self.grant(index, connection, queued.acquire, queued.floor, is_primary);
    }

    pub(super) fn grant(
        &mut self,
        index: usize,
        mut connection: Connection,
        acquire: Acquire,
        floor: Option<Position>,
        is_primary: bool,
    ) {
        let term = self.members[index]
            .view
            .observation
            .map_or(0, |o| o.status.term);
        connection.target = ConnectionTarget::Member {
            member: index,
            term,
        };
        self.members[index].view.in_use += 1;
        let granted = Granted {
            connection,
            floor,
            is_primary,
        };
        if let Err(Ok(granted)) = acquire.reply.send(Ok(granted)) {
            // The caller disconnected while it waited.
            self.members[index].view.in_use -= 1;
            self.members[index].idle.push(granted.connection);
        }
    }

    pub(super) fn open(&mut self, index: usize, wanted: usize, now_ms: u64) {
        let capacity = self.capacity;
        let member = &mut self.members[index];
        if now_ms < member.reconnect_after_ms || !member.view.answers() {
            return;
        }
        while member.opening < wanted && member.open < capacity {
            member.open += 1;
            member.opening += 1;
            let options = member.connect_options.clone();
            let handle = self.handle.clone();
            let permit_handle = self.handle.clone();
            let permit =
                Permit::new(move || permit_handle.send(SlotMessage::Closed { member: index }));
            compio::runtime::spawn(async move {
                let result = connect(options, Some(permit)).await;
                handle.send(SlotMessage::Opened {
                    member: index,
                    result,
                });
            })
            .detach();
        }
    }
}
