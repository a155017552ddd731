//! Requests that wait: what they need, and what must be known first.

use super::*;

impl Slot {
    pub(super) fn acquire(&mut self, acquire: Acquire) {
        let now_ms = clock::now_ms();
        let (floor, max_age_ms) = match acquire.want {
            Want::Write => return self.queue_write(acquire),
            Want::Begin {
                floor: Floor::Known(_),
            } => return self.queue_write(acquire),
            Want::Begin { floor } => (floor, None),
            Want::Read { floor, max_age_ms } => (floor, max_age_ms),
        };
        let wait_ms = self.context.settings.replica_wait_ms;
        let reading = Reading {
            request: ReadRequest {
                floor,
                max_age_ms,
                arrived_ms: now_ms,
                wait_until_ms: now_ms + wait_ms,
            },
            acquire,
        };
        self.decide_read(reading, now_ms);
    }

    pub(super) fn queue_write(&mut self, acquire: Acquire) {
        let left_ms = acquire.deadline_ms.saturating_sub(clock::now_ms());
        let servers = match self.primary() {
            Some(_) => self.capacity,
            None => 0,
        };
        match self.writes.admit(left_ms, servers) {
            Admission::Queue => self.writes.push(0, acquire.deadline_ms, acquire),
            Admission::Refuse { retry_after_ms } => refuse_overloaded(acquire, retry_after_ms),
        }
    }

    /// Decides a read; keeps it when it has to wait for reports.
    pub(super) fn decide_read(&mut self, mut reading: Reading, now_ms: u64) {
        let mode = self.context.settings.acknowledge;
        let views = self.views();
        let floor = match reading.request.floor {
            Floor::Known(position) => Some(position),
            Floor::Unknown => barrier(mode, &views, reading.request.arrived_ms),
        };
        let Some(position) = floor else {
            self.reading.push(reading);
            return;
        };
        let floor = Floor::Known(position);
        reading.request.floor = floor;
        if let Want::Begin { .. } = reading.acquire.want {
            reading.acquire.want = Want::Begin { floor };
            self.queue_write(reading.acquire);
            return;
        }
        match route(&reading.request, &views, &self.ages, now_ms) {
            route::Decision::Member(member, reason) => self.queue_read(member, reading, reason),
            _ => self.reading.push(reading),
        }
    }

    pub(super) fn queue_read(&mut self, member: usize, reading: Reading, reason: route::Reason) {
        let now_ms = clock::now_ms();
        let left_ms = reading.acquire.deadline_ms.saturating_sub(now_ms);
        let chosen = &mut self.members[member];
        if let Admission::Refuse { retry_after_ms } = chosen.ready.admit(left_ms, self.capacity) {
            refuse_overloaded(reading.acquire, retry_after_ms);
            return;
        }
        let floor = match reading.request.floor {
            Floor::Known(position) => Some(position),
            Floor::Unknown => None,
        };
        let deadline_ms = reading.acquire.deadline_ms;
        let ready = Ready {
            acquire: reading.acquire,
            floor,
            reason: reason.into(),
            since_ms: reading.request.arrived_ms,
        };
        chosen.ready.push(0, deadline_ms, ready);
    }

    /// Decides again for reads whose member no longer answers.
    pub(super) fn rescue_reads(&mut self, now_ms: u64) {
        for index in 0..self.members.len() {
            let view = &self.members[index].view;
            let is_usable = view.is_usable() || self.primary() == Some(index);
            if is_usable || self.members[index].ready.is_empty() {
                continue;
            }
            for ready in self.members[index].ready.drain() {
                let Want::Read { max_age_ms, .. } = ready.acquire.want else {
                    continue;
                };
                let floor = ready.floor.map_or(Floor::Unknown, Floor::Known);
                let request = ReadRequest {
                    floor,
                    max_age_ms,
                    arrived_ms: now_ms,
                    wait_until_ms: now_ms,
                };
                let reading = Reading {
                    acquire: ready.acquire,
                    request,
                };
                self.decide_read(reading, now_ms);
            }
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        let has_primary = self.primary().is_some();
        for acquire in self.writes.expire(now_ms) {
            let code = match has_primary {
                true => Code::QueueTimeout,
                false => Code::NoPrimary,
            };
            refuse(acquire, code);
        }
        for member in &mut self.members {
            for ready in member.ready.expire(now_ms) {
                refuse(ready.acquire, Code::QueueTimeout);
            }
        }
        let (expired, kept) = std::mem::take(&mut self.reading)
            .into_iter()
            .partition(|r| now_ms > r.acquire.deadline_ms);
        self.reading = kept;
        let expired: Vec<Reading> = expired;
        for reading in expired {
            refuse(reading.acquire, Code::NoPrimary);
        }
    }
}
