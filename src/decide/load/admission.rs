//! Admission control for requests that wait for a connection.

use crate::prelude::*;

/// Weight of the newest sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of samples needed before the mean service time is used.
const SAMPLES_MIN: u32 = 20;

/// Decision about a request that has no free connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may wait in the queue.
    Queue,
    /// The queue is full, or the request would miss its deadline.
    Refuse {
        /// Delay after which the caller should try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Sort key in the queue: priority, deadline in milliseconds, order of arrival.
type Rank = (u32, u64, u64);

/// A queue ordered by priority, then by deadline, with an estimate of the time
/// needed to drain it.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    waiting: BTreeMap<Rank, T>,
    sequence: u64,
    mean_service_us: f64,
    samples: u32,
    capacity: usize,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> AdmissionQueue<T> {
        AdmissionQueue {
            waiting: BTreeMap::new(),
            sequence: 0,
            mean_service_us: 0.0,
            samples: 0,
            capacity,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records how long a request used its connection, in microseconds.
    pub fn record(&mut self, service_us: u64) {
        let sample = service_us as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_service_us += (sample - self.mean_service_us) * weight;
    }

    /// Decides whether a request with `left_ms` until its deadline may wait
    /// while `servers` connections serve the queue.
    ///
    /// With no connections (no primary) only the capacity limits the queue,
    /// because the time until one becomes available is unknown.
    pub fn admit(&self, left_ms: u64, servers: usize) -> Admission {
        let ahead = self.waiting.len();
        if ahead >= self.capacity {
            return Admission::Refuse {
                retry_after_ms: self.drain_ms(servers).max(1),
            };
        }
        if servers == 0 || self.samples < SAMPLES_MIN {
            return Admission::Queue;
        }
        let wait_ms = self.drain_ms(servers);
        match wait_ms > left_ms {
            true => Admission::Refuse {
                retry_after_ms: wait_ms - left_ms,
            },
            false => Admission::Queue,
        }
    }

    /// Adds a request that must be served by `deadline_ms`. A lower `priority`
    /// value is served first.
    pub fn push(&mut self, priority: u32, deadline_ms: u64, request: T) {
        self.sequence += 1;
        let rank = (priority, deadline_ms, self.sequence);
        self.waiting.insert(rank, request);
    }

    /// Removes the request that is served next.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Removes the first request that fits, in the order in which they are served.
    pub fn pop_first(&mut self, fits: impl Fn(&T) -> bool) -> Option<T> {
        let rank = *self.waiting.iter().find(|(_, request)| fits(request))?.0;
        self.waiting.remove(&rank)
    }

    /// The waiting requests, in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.values()
    }

    /// Removes and returns the requests whose deadline has passed at `now_ms`.
    pub fn expire(&mut self, now_ms: u64) -> Vec<T> {
        let is_due = |rank: &Rank, _: &mut T| rank.1 <= now_ms;
        let expired = self.waiting.extract_if(.., is_due);
        expired.map(|(_, request)| request).collect()
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<T> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    fn drain_ms(&self, servers: usize) -> u64 {
        let servers = servers.max(1) as f64;
        let total_us = (self.waiting.len() + 1) as f64 * self.mean_service_us;
        (total_us / servers / 1_000.0) as u64
    }
}
