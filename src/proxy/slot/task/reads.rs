//! Routes waiting requests to members and queues them for connections.

use super::*;

impl Slot {
    pub(super) fn acquire(&mut self, acquire: Acquire) {
        let now_ms = clock::now_ms();
        let (floor, max_age_ms) = match acquire.purpose {
            Purpose::Write => return self.queue_write(acquire),
            Purpose::Begin {
                floor: Floor::Known(_),
            } => return self.queue_write(acquire),
            Purpose::Begin { floor } => (floor, None),
            Purpose::Read { floor, max_age_ms } => (floor, max_age_ms),
        };
        let wait_ms = self.context.settings.replica_wait_ms;
        let unrouted = UnroutedRequest {
            request: ReadRequest {
                floor,
                max_age_ms,
                arrived_ms: now_ms,
                wait_until_ms: now_ms + wait_ms,
            },
            acquire,
        };
        self.route_request(unrouted, now_ms);
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

    /// Routes a request whose floor is known or can be determined from the
    /// members' reports; keeps it waiting otherwise.
    pub(super) fn route_request(&mut self, mut unrouted: UnroutedRequest, now_ms: u64) {
        let mode = self.context.settings.acknowledge;
        let views = self.views();
        let floor = match unrouted.request.floor {
            Floor::Known(position) => Some(position),
            Floor::Unknown => barrier(mode, &views, unrouted.request.arrived_ms),
        };
        let Some(position) = floor else {
            self.unrouted.push(unrouted);
            return;
        };
        let floor = Floor::Known(position);
        unrouted.request.floor = floor;
        if let Purpose::Begin { .. } = unrouted.acquire.purpose {
            unrouted.acquire.purpose = Purpose::Begin { floor };
            self.queue_write(unrouted.acquire);
            return;
        }
        match route(&unrouted.request, &views, &self.ages, now_ms) {
            route::Decision::Member(member, reason) => self.queue_read(member, unrouted, reason),
            _ => self.unrouted.push(unrouted),
        }
    }

    pub(super) fn queue_read(
        &mut self,
        member: usize,
        unrouted: UnroutedRequest,
        reason: route::Reason,
    ) {
        let now_ms = clock::now_ms();
        let left_ms = unrouted.acquire.deadline_ms.saturating_sub(now_ms);
        let chosen = &mut self.members[member];
        if let Admission::Refuse { retry_after_ms } = chosen.reads.admit(left_ms, self.capacity) {
            refuse_overloaded(unrouted.acquire, retry_after_ms);
            return;
        }
        let floor = match unrouted.request.floor {
            Floor::Known(position) => Some(position),
            Floor::Unknown => None,
        };
        let deadline_ms = unrouted.acquire.deadline_ms;
        let queued = QueuedRead {
            acquire: unrouted.acquire,
            floor,
            reason: reason.into(),
            since_ms: unrouted.request.arrived_ms,
        };
        chosen.reads.push(0, deadline_ms, queued);
    }

    /// Routes again the reads that are queued for a member that can no longer be
    /// used.
    pub(super) fn reroute_reads(&mut self, now_ms: u64) {
        for index in 0..self.members.len() {
            let view = &self.members[index].view;
            let is_usable = view.is_usable() || self.primary() == Some(index);
            if is_usable || self.members[index].reads.is_empty() {
                continue;
            }
            for queued in self.members[index].reads.drain() {
                let Purpose::Read { max_age_ms, .. } = queued.acquire.purpose else {
                    continue;
                };
                let floor = queued.floor.map_or(Floor::Unknown, Floor::Known);
                let request = ReadRequest {
                    floor,
                    max_age_ms,
                    arrived_ms: now_ms,
                    wait_until_ms: now_ms,
                };
                let unrouted = UnroutedRequest {
                    acquire: queued.acquire,
                    request,
                };
                self.route_request(unrouted, now_ms);
            }
        }
    }

    pub(super) fn expire_requests(&mut self, now_ms: u64) {
        let has_primary = self.primary().is_some();
        for acquire in self.writes.expire(now_ms) {
            let code = match has_primary {
                true => Code::QueueTimeout,
                false => Code::NoPrimary,
            };
            refuse(acquire, code);
        }
        for member in &mut self.members {
            for queued in member.reads.expire(now_ms) {
                refuse(queued.acquire, Code::QueueTimeout);
            }
        }
        let (expired, kept) = std::mem::take(&mut self.unrouted)
            .into_iter()
            .partition(|r| now_ms > r.acquire.deadline_ms);
        self.unrouted = kept;
        let expired: Vec<UnroutedRequest> = expired;
        for unrouted in expired {
            refuse(unrouted.acquire, Code::NoPrimary);
        }
    }
}
