//! Routing of connection requests to members: they are granted, queued or refused.

use super::*;
use crate::decide::{
    age::is_floor_due,
    load::admission::Admission,
    load::dispatch::{ReadCandidate, choose_reader, is_cut_off},
};
use crate::relay::connection::Connection;

/// Time for which a member counts as behind after it lacked a required position,
/// in milliseconds.
const BEHIND_MS: u64 = 250;
/// Time for which floors are still refreshed more often after a member stopped
/// counting as behind, in milliseconds.
const BEHIND_RECOVERY_MS: u64 = 3_000;
/// Retry hint while there is no primary, in milliseconds: a takeover takes about
/// this long.
const NO_PRIMARY_RETRY_MS: u64 = 1_000;
/// Retry hint while most members do not answer this VM, in milliseconds. Another
/// VM may be able to serve the request at once.
const CUT_OFF_RETRY_MS: u64 = 1_000;
/// Retry hint when a read found no floor or no usable member in time, in
/// milliseconds.
const NO_FLOOR_RETRY_MS: u64 = 300;
/// Retry hint when no connection to a member became free, in milliseconds.
const QUEUE_RETRY_MS: u64 = 200;

impl Service {
    pub(super) fn acquire(&mut self, acquire: Acquire) {
        if let Some(freshness) = acquire.purpose.freshness() {
            let newest_ms = self.ages.newest_ms().unwrap_or(0);
            let age_ms = clock::boot_ms().saturating_sub(newest_ms);
            let is_due = is_floor_due(age_ms, freshness.max_staleness_ms, self.has_member_behind());
            // A session's own commits may require a floor that is newer than any known one.
            let is_missing = self.ages.floor(freshness.since_ms).is_none();
            if is_due || is_missing {
                self.refresh_floor();
            }
            if is_missing {
                return self.wait_for_floor(acquire);
            }
        }
        match acquire.purpose.clone() {
            Purpose::Primary(_) => self.acquire_primary(acquire),
            Purpose::Read(freshness) => self.acquire_reader(acquire, &freshness),
            Purpose::Forward(member) => self.acquire_forwarded(acquire, &member),
        }
    }

    /// Serves a request of another VM for a connection to one member.
    fn acquire_forwarded(&mut self, acquire: Acquire, member: &Name) {
        if self.has_direct_path(member) && !self.is_drained(member) {
            return self.serve_on(member, acquire);
        }
        refuse(
            acquire,
            ErrorClass::WrongMember,
            "the member does not answer this VM",
            CUT_OFF_RETRY_MS,
        );
    }

    fn has_member_behind(&self) -> bool {
        let now_ms = clock::boot_ms();
        let mut members = self.members.values();
        members.any(|m| now_ms < m.behind_until_ms + BEHIND_RECOVERY_MS)
    }

    fn acquire_primary(&mut self, acquire: Acquire) {
        let primary = self.primary.clone();
        let usable = primary.filter(|p| self.is_answering(p) && !self.is_drained(p));
        if self.is_cut_off() {
            return refuse_cut_off(acquire);
        }
        match usable {
            // While commits wait for a replica, further ones would wait as well.
            Some(primary) if !self.has_stuck_commit() => self.serve_on(&primary, acquire),
            _ => self.waiting_primary.push(acquire),
        }
    }

    fn acquire_reader(&mut self, acquire: Acquire, freshness: &Freshness) {
        match self.choose_reader(&acquire, freshness) {
            Some(member) => self.serve_on(&member, acquire),
            None => self.wait_for_floor(acquire),
        }
    }

    fn wait_for_floor(&mut self, acquire: Acquire) {
        if self.is_cut_off() {
            return refuse_cut_off(acquire);
        }
        self.waiting_floor.push(acquire);
    }

    pub(super) fn is_drained(&self, id: &Name) -> bool {
        let drain_ms = self.context.options.drain_ms;
        let now_ms = clock::boot_ms();
        let member = self.members.get(id);
        member.is_some_and(|m| m.is_drained(drain_ms, now_ms))
    }

    fn has_stuck_commit(&self) -> bool {
        self.stuck_commit.is_some_and(|commit| commit.is_lacking())
    }

    fn is_cut_off(&self) -> bool {
        let now_ms = clock::boot_ms();
        let counted = self.members.values().filter(|m| !m.is_lost(now_ms));
        let failing = counted.clone().filter(|m| m.is_out_of_reach());
        is_cut_off(counted.count(), failing.count())
    }

    fn choose_reader(&self, acquire: &Acquire, freshness: &Freshness) -> Option<Name> {
        let now_ms = clock::boot_ms();
        let usable = self.members.iter().filter(|(id, m)| {
            m.is_usable(now_ms) && m.has_connections(now_ms) && !acquire.avoid.contains(*id)
        });
        let candidates: Vec<ReadCandidate> = usable
            .map(|(id, m)| ReadCandidate {
                member: id.clone(),
                is_primary: self.primary.as_ref() == Some(id),
                is_behind: m.behind_until_ms > now_ms,
                mean_ms: m.mean_ms,
                expected_ms: m.expected_read_ms(now_ms),
                connections: self.limit(m),
                in_use: m.open - m.idle.len().min(m.open),
                waiting: m.queue.len(),
            })
            .collect();
        let chosen = choose_reader(&candidates)?;
        decision!(
            "route", request = String::from_utf8_lossy(&acquire.id),
            service = &*self.context.service, member = &*chosen.member,
            is_primary = chosen.is_primary, is_behind = chosen.is_behind,
            mean_ms = chosen.mean_ms as u64, in_use = chosen.in_use,
            waiting = chosen.waiting,
            session_floor = freshness.floor.map(|floor| floor.to_string()).unwrap_or_default(),
            floor = self.ages.floor(freshness.since_ms).unwrap_or_default().to_string(),
            since_ms = freshness.since_ms, floor_age_ms = now_ms.saturating_sub(self.ages.newest_ms().unwrap_or(0));
            "read routed"
        );
        Some(chosen.member.clone())
    }

    /// Grants a connection to a member now, or queues the request until one is free.
    fn serve_on(&mut self, id: &Name, acquire: Acquire) {
        let now_ms = clock::boot_ms();
        let limit = self.members.get(id).map_or(0, |m| self.limit(m));
        let Some(member) = self.members.get_mut(id) else {
            return refuse(
                acquire,
                ErrorClass::Busy,
                "the member is gone",
                QUEUE_RETRY_MS,
            );
        };
        if member.queue.is_empty()
            && member.has_room(member.running)
            && let Some(connection) = member.take_idle(&acquire.setup)
        {
            return self.grant(id, connection, acquire);
        }
        let left_ms = acquire.deadline_ms.saturating_sub(now_ms);
        if let Admission::Refuse { retry_after_ms } = member.queue.admit(left_ms, limit) {
            return refuse(
                acquire,
                ErrorClass::Busy,
                "the queue can't be served in time",
                retry_after_ms,
            );
        }
        member
            .queue
            .push(acquire.priority, acquire.deadline_ms, acquire);
        self.open_if_needed(id, limit);
    }

    fn grant(&mut self, id: &Name, mut connection: Connection, acquire: Acquire) {
        if !acquire.is_transaction {
            connection.run_permit = Some(self.count_run(id));
        }
        let led_term = self.members.get(id).and_then(Member::led_term);
        let freshness = acquire.purpose.freshness();
        let after = freshness.and_then(|f| self.ages.floor(f.since_ms).max(f.floor));
        if matches!(acquire.purpose, Purpose::Read(_)) {
            self.count_read(led_term.is_some());
        }
        let granted = Granted {
            connection,
            after,
            led_term,
        };
        if let Err(Ok(granted)) = acquire.reply.send(Ok(granted)) {
            // The caller has disconnected.
            self.release(granted.connection, false, None);
        }
    }

    fn count_read(&self, is_primary: bool) {
        let kind = match is_primary {
            true => "primary",
            false => "replica",
        };
        let labels = [
            label("kind", kind),
            name_label("service", &self.context.service),
        ];
        let metrics = &self.context.metrics;
        metrics.reads.add(1, &labels);
        let newest_ms = self.ages.newest_ms().unwrap_or(0);
        let age_ms = clock::boot_ms().saturating_sub(newest_ms);
        metrics.floor_age_ms.record(age_ms as f64, &labels[1..]);
    }

    pub(super) fn serve_queue(&mut self, id: &Name) {
        loop {
            let Some(member) = self.members.get_mut(id) else {
                return;
            };
            if member.queue.is_empty() || !member.has_room(member.running) {
                return;
            }
            let Some(acquire) = member.pop_servable() else {
                let limit = self.members.get(id).map_or(0, |m| self.limit(m));
                return self.open_if_needed(id, limit);
            };
            match member.take_idle(&acquire.setup) {
                Some(connection) => self.grant(id, connection, acquire),
                // The idle connections of its account were stale.
                None => member
                    .queue
                    .push(acquire.priority, acquire.deadline_ms, acquire),
            }
        }
    }

    /// Routes the requests queued for a member again; reads go to another member.
    pub(super) fn reroute(&mut self, id: &Name) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        for mut acquire in member.queue.drain() {
            if !acquire.purpose.is_primary() {
                acquire.avoid.insert(id.clone());
            }
            self.acquire(acquire);
        }
    }

    /// Routes the requests that wait for a primary or a floor again.
    pub(super) fn route_waiting(&mut self) {
        for acquire in std::mem::take(&mut self.waiting_primary) {
            self.acquire(acquire);
        }
        for mut acquire in std::mem::take(&mut self.waiting_floor) {
            // Once every member is excluded, all may be tried again.
            if self.members.keys().all(|id| acquire.avoid.contains(id)) {
                acquire.avoid.clear();
            }
            self.acquire(acquire);
        }
    }

    /// Refuses waiting requests whose deadline has passed.
    pub(super) fn expire(&mut self, now_ms: u64) {
        for member in self.members.values_mut() {
            for acquire in member.queue.expire(now_ms) {
                refuse(
                    acquire,
                    ErrorClass::Busy,
                    "no connection became free in time",
                    QUEUE_RETRY_MS,
                );
            }
        }
        let is_due = |acquire: &mut Acquire| acquire.deadline_ms <= now_ms;
        for acquire in self.waiting_primary.extract_if(.., is_due) {
            refuse(
                acquire,
                ErrorClass::Busy,
                "no primary could be used in time",
                NO_PRIMARY_RETRY_MS,
            );
        }
        for acquire in self.waiting_floor.extract_if(.., is_due) {
            refuse(
                acquire,
                ErrorClass::Busy,
                "no member could be used in time",
                NO_FLOOR_RETRY_MS,
            );
        }
    }

    pub(super) fn mark_behind(&mut self, id: &Name) {
        if let Some(member) = self.members.get_mut(id) {
            member.behind_until_ms = clock::boot_ms() + BEHIND_MS;
        }
    }
}

fn refuse_cut_off(acquire: Acquire) {
    refuse(
        acquire,
        ErrorClass::Busy,
        "most members do not answer this VM",
        CUT_OFF_RETRY_MS,
    );
}
