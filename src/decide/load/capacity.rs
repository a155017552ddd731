//! How many requests a member takes well at once, learned from its answers.
//!
//! Servers of one service differ in speed, and some slow down long before they refuse
//! anything. The limit follows the ratio of the usual time of a request to that of the
//! last ones: while requests take as long as usual it grows by one per round, once they
//! take much longer it shrinks to what the member serves without a queue. All VMs that
//! hold connections to the member see the same delay, so that their limits add up to its
//! capacity without messages between them.
//!
//! Answers load that slows a member down, and members that turn slow or fast.

/// Limit before anything is known: about the slots of a member and a short queue.
const START: f64 = 8.0;
/// Smallest limit: requests must go on to be measured.
const MIN: f64 = 1.0;
/// Largest limit: a member's queue is not longer.
const MAX: f64 = 24.0;
/// Requests until the usual time is known well enough to judge by it.
const SAMPLES_MIN: u32 = 20;
/// Weight of a request in the time of the last ones.
const RECENT_WEIGHT: f64 = 0.1;
/// Weight of a request in the usual time while the member has little to do: one that stays
/// slow is measured by its new speed after some hundred requests.
const USUAL_WEIGHT: f64 = 1.0 / 300.0;
/// The same while much of the limit is used: then the time is that of a queue as well.
const LOADED_WEIGHT: f64 = 1.0 / 10_000.0;
/// The same where the last requests were faster: a queue is no usual time.
const FASTER_WEIGHT: f64 = 0.05;
/// Multiple of the usual time up to which the limit grows: beyond it, requests wait for one
/// another rather than differ in their work.
const TOLERANCE: f64 = 1.5;
/// Smallest factor of one step.
const GRADIENT_MIN: f64 = 0.5;
/// Part of the limit up to which requests are taken to meet no queue.
const CALM_SHARE: f64 = 0.5;
/// Part of the limit from which it is used enough to grow.
const USED_SHARE: f64 = 0.8;
/// Weight of a step.
const STEP_WEIGHT: f64 = 0.2;

/// Time after which half of the last requests' delay is no longer expected, in
/// milliseconds: a member that is left out is tried again.
const RECENT_HALF_LIFE_MS: f64 = 1_000.0;

/// Learned limit on the requests that run on a member.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    limit: f64,
    usual_ms: f64,
    recent_ms: f64,
    samples: u32,
    recorded_ms: u64,
}

impl Default for Capacity {
    fn default() -> Capacity {
        Capacity {
            limit: START,
            usual_ms: 0.0,
            recent_ms: 0.0,
            samples: 0,
            recorded_ms: 0,
        }
    }
}

impl Capacity {
    /// Requests that the member takes well at once.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Whether another request may run in addition to `running`.
    pub fn has_room(&self, running: usize) -> bool {
        running < self.limit()
    }

    /// Expected time of a request that runs as one of `running`, in milliseconds; `None`
    /// before the first one.
    pub fn expected_ms(&self, running: usize, now_ms: u64) -> Option<f64> {
        if self.samples == 0 {
            return None;
        }
        // Up to this number, requests take as long as usual.
        let without_queue = (self.limit / TOLERANCE).max(1.0);
        let queued_ms = self.usual_ms * (running as f64 / without_queue).max(1.0);
        let age_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        let kept = 0.5_f64.powf(age_ms / RECENT_HALF_LIFE_MS);
        let recent_ms = self.usual_ms + (self.recent_ms - self.usual_ms) * kept;
        Some(queued_ms.max(recent_ms))
    }

    /// Records a request that took `took_ms` while `running` requests ran, itself among
    /// them.
    pub fn record(&mut self, took_ms: f64, running: usize, now_ms: u64) {
        self.recorded_ms = now_ms;
        self.samples = self.samples.saturating_add(1);
        let first_weight = 1.0 / f64::from(self.samples);
        self.recent_ms += (took_ms - self.recent_ms) * RECENT_WEIGHT.max(first_weight);
        if self.samples < SAMPLES_MIN {
            // The first requests may have met a queue; the fastest met the shortest one.
            self.usual_ms = match self.samples {
                1 => took_ms,
                _ => self.usual_ms.min(took_ms),
            };
            return;
        }
        if self.samples == SAMPLES_MIN {
            self.usual_ms = self.usual_ms.max(self.recent_ms / TOLERANCE);
        }
        let is_calm = running as f64 <= self.limit * CALM_SHARE;
        let usual_weight = match (self.recent_ms < self.usual_ms, is_calm) {
            (true, _) => FASTER_WEIGHT,
            (false, true) => USUAL_WEIGHT,
            (false, false) => LOADED_WEIGHT,
        };
        self.usual_ms += (self.recent_ms - self.usual_ms) * usual_weight;
        if self.recent_ms <= 0.0 {
            return;
        }
        let gradient = TOLERANCE * self.usual_ms / self.recent_ms;
        let gradient = gradient.clamp(GRADIENT_MIN, 1.0);
        // A limit that is not used must not grow: nothing shows that it would hold.
        let is_used = running as f64 >= self.limit() as f64 * USED_SHARE;
        if gradient < 1.0 || is_used {
            let target = self.limit * gradient + 1.0;
            let step = (target - self.limit) * STEP_WEIGHT;
            self.limit = (self.limit + step).clamp(MIN, MAX);
        }
    }
}
