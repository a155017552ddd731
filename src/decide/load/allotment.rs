//! Allotment of an account's operations to the VMs.
//!
//! One VM, the counter, records what it grants for an account and grants tokens to the
//! VMs that ask. A VM spends a token for each operation. So the sum over all VMs stays
//! within the limit in any window, whichever VMs the callers reach. Answers load that
//! exceeds an account's limit while its callers are spread over many VMs.

use std::collections::VecDeque;

use super::account::RateLimit;

/// Resolution of the count, in milliseconds.
const SLOT_MS: u64 = 100;
/// Time from a grant until its operation arrives at a member, in milliseconds: two VMs on
/// the way, in other regions, and the usual wait for a connection under load.
const ON_THE_WAY_MS: u64 = 600;
/// Time over which a burst is paced, in milliseconds.
const PACE_MS: u64 = 1_000;
/// Part of a window's tokens that may be granted in that time: the even share, since a
/// counter that starts anew takes the past for even.
const PACE_SHARE: f64 = 0.2;
/// Tokens that may be granted in that time in any case: accounts with low rates.
const PACE_MIN: u32 = 5;

/// Time for which a granted token may be spent, in milliseconds. A VM that wakes after
/// a suspension must not spend what others have been granted since.
pub const TOKEN_LIFETIME_MS: u64 = 1_000;
/// Shortest time for which a VM refuses operations without asking again, in milliseconds.
/// Tokens become free one by one, and all VMs ask for them: 139 VMs that asked every 50 ms
/// kept the counter too busy to answer in time.
pub const REFUSE_MIN_MS: u64 = 200;
/// Longest time for which a VM refuses operations without asking again, in milliseconds.
pub const REFUSE_MAX_MS: u64 = 500;
/// Part of a second for which a VM asks ahead: several round trips between regions.
const AHEAD_S: f64 = 0.3;
/// Time after which an operation counts half in a VM's estimate of its demand.
const DEMAND_HALF_LIFE_MS: f64 = 500.0;
/// Part of a limit that all VMs which reach no counter may let pass together. Customers
/// tolerate a tenth; operations on their way, and two counters that follow one another,
/// need the rest.
const CUT_OFF_SHARE: f64 = 0.025;
/// Operations in a window that may pass in the same manner in any case; customers tolerate
/// 20.
const CUT_OFF_OPERATIONS: f64 = 5.0;

/// Answer to a request for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Number of tokens.
    pub tokens: u32,
    /// Time until the next token, in milliseconds; zero if all were granted.
    pub retry_after_ms: u64,
}

/// Tokens granted in one slot of time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    start_ms: u64,
    tokens: u32,
}

/// The counter's record of the tokens that it has granted for an account.
///
/// A token bucket would hold a sustained load to the rate alone, although the limit
/// allows the burst in each window as well.
#[derive(Clone, Debug)]
pub struct WindowCount {
    limit: RateLimit,
    window_ms: u64,
    /// Oldest first; no two have the same start.
    slots: VecDeque<Slot>,
    used_ms: u64,
}

impl WindowCount {
    /// Creates a count at `now_ms`, for limits that hold in any `window_ms`. What was
    /// granted before the last `counted_ms` is not known; it is taken for the whole
    /// limit, spread evenly.
    pub fn new(limit: RateLimit, window_ms: u64, counted_ms: u64, now_ms: u64) -> WindowCount {
        let mut count = WindowCount {
            limit,
            window_ms,
            slots: VecDeque::new(),
            used_ms: now_ms,
        };
        count.assume_granted(counted_ms, now_ms);
        count
    }

    /// Grants up to `wanted` tokens. A limit replaces the known one unless it is of an older
    /// configuration.
    pub fn take(&mut self, wanted: u32, limit: RateLimit, now_ms: u64) -> Grant {
        if limit.version >= self.limit.version {
            self.limit = limit;
        }
        self.used_ms = now_ms;
        let lifetime_ms = self.window_ms + ON_THE_WAY_MS;
        while let Some(first) = self.slots.front()
            && now_ms >= first.start_ms + SLOT_MS + lifetime_ms
        {
            self.slots.pop_front();
        }
        let granted: u32 = self.slots.iter().map(|slot| slot.tokens).sum();
        let recent = self.slots.iter().rev();
        let recent = recent.take_while(|slot| now_ms < slot.start_ms + PACE_MS);
        let recent: u32 = recent.map(|slot| slot.tokens).sum();
        let left = self.window_max().saturating_sub(granted);
        let paced = self.pace_max().saturating_sub(recent);
        let tokens = wanted.min(left).min(paced);
        self.record(tokens, now_ms);
        let retry_after_ms = match (tokens == wanted, left <= paced) {
            (true, _) => 0,
            (false, true) => self.until_expiry_ms(lifetime_ms, now_ms),
            (false, false) => SLOT_MS,
        };
        Grant {
            tokens,
            retry_after_ms,
        }
    }

    /// Takes what was granted before the last `counted_ms` for the whole limit: another
    /// VM has counted, for example while this one was suspended.
    pub fn assume_granted(&mut self, counted_ms: u64, now_ms: u64) {
        let known_from_ms = now_ms.saturating_sub(counted_ms);
        self.slots.retain(|slot| slot.start_ms >= known_from_ms);
        let lifetime_ms = self.window_ms + ON_THE_WAY_MS;
        let slot_count = lifetime_ms / SLOT_MS;
        let first_ms = (now_ms / SLOT_MS * SLOT_MS).saturating_sub(slot_count * SLOT_MS);
        let mut assumed = VecDeque::new();
        let mut total = 0;
        for index in 0..slot_count {
            let start_ms = first_ms + index * SLOT_MS;
            if start_ms >= known_from_ms {
                break;
            }
            let until = u64::from(self.window_max()) * (index + 1) / slot_count;
            let tokens = until as u32 - total;
            total += tokens;
            assumed.push_back(Slot { start_ms, tokens });
        }
        assumed.append(&mut self.slots);
        self.slots = assumed;
    }

    /// Time since it was last used, in milliseconds.
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.used_ms)
    }

    /// Most tokens in any window.
    fn window_max(&self) -> u32 {
        window_max(self.limit, self.window_ms)
    }

    /// Most tokens in [`PACE_MS`].
    fn pace_max(&self) -> u32 {
        let share = f64::from(self.window_max()) * PACE_SHARE;
        (share.max(self.limit.burst) as u32).max(PACE_MIN)
    }

    fn record(&mut self, tokens: u32, now_ms: u64) {
        let start_ms = now_ms / SLOT_MS * SLOT_MS;
        match self.slots.back_mut() {
            Some(last) if last.start_ms >= start_ms => last.tokens += tokens,
            _ if tokens > 0 => self.slots.push_back(Slot { start_ms, tokens }),
            _ => {}
        }
    }

    fn until_expiry_ms(&self, lifetime_ms: u64, now_ms: u64) -> u64 {
        let oldest = self.slots.iter().find(|slot| slot.tokens > 0);
        let expiry_ms = oldest.map_or(now_ms + lifetime_ms, |slot| {
            slot.start_ms + SLOT_MS + lifetime_ms
        });
        expiry_ms.saturating_sub(now_ms).max(1)
    }
}

/// Operations that a limit allows in any window.
fn window_max(limit: RateLimit, window_ms: u64) -> u32 {
    let window_s = window_ms as f64 / 1_000.0;
    (limit.rate_per_s * window_s + limit.burst) as u32
}

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct Batch {
    tokens: u32,
    until_ms: u64,
}

/// What a VM may still spend for an account.
#[derive(Clone, Debug, Default)]
pub struct Credit {
    batches: Vec<Batch>,
    /// Operations per second, as estimated at `seen_ms`.
    demand_per_s: f64,
    seen_ms: u64,
    /// Time until which the account is known to be over its limit, in milliseconds.
    refused_until_ms: u64,
    /// Time from which one operation may pass without a counter, in milliseconds; `None`
    /// before the first one.
    next_free_ms: Option<u64>,
}

impl Credit {
    /// Records that a caller wants to run an operation.
    pub fn record_demand(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.seen_ms) as f64;
        let kept = 0.5_f64.powf(elapsed_ms / DEMAND_HALF_LIFE_MS);
        let weight = std::f64::consts::LN_2 * 1_000.0 / DEMAND_HALF_LIFE_MS;
        self.demand_per_s = self.demand_per_s * kept + weight;
        self.seen_ms = now_ms;
    }

    /// Spends a token, if there is one that is still valid.
    pub fn spend(&mut self, now_ms: u64) -> bool {
        self.batches.retain(|b| b.tokens > 0 && now_ms < b.until_ms);
        match self.batches.first_mut() {
            Some(batch) => {
                batch.tokens -= 1;
                true
            }
            None => false,
        }
    }

    /// Gives back a token of an operation that was not sent to any member.
    pub fn give_back(&mut self) {
        if let Some(batch) = self.batches.last_mut() {
            batch.tokens += 1;
        }
    }

    /// Time after which an operation that is refused now may be tried again, in
    /// milliseconds; `None` if the counter is to be asked.
    pub fn refusal_ms(&self, now_ms: u64) -> Option<u64> {
        let left_ms = self.refused_until_ms.saturating_sub(now_ms);
        (left_ms > 0).then_some(left_ms)
    }

    /// Tokens to ask for while `waiting` operations wait.
    pub fn wanted(&self, waiting: usize) -> u32 {
        let ahead = (self.demand_per_s * AHEAD_S).floor();
        (waiting as u32).saturating_add(ahead as u32)
    }

    /// Whether it is time to ask for more tokens while no operation waits.
    pub fn is_low(&self, now_ms: u64) -> bool {
        let valid = self.batches.iter().filter(|b| now_ms < b.until_ms);
        let tokens: u32 = valid.map(|b| b.tokens).sum();
        f64::from(tokens) * 2.0 < (self.demand_per_s * AHEAD_S).floor()
    }

    /// Adds a grant that was asked for at `asked_ms`.
    pub fn add(&mut self, grant: Grant, asked_ms: u64, now_ms: u64) {
        if grant.tokens > 0 {
            self.batches.push(Batch {
                tokens: grant.tokens,
                until_ms: asked_ms + TOKEN_LIFETIME_MS,
            });
        }
        if grant.retry_after_ms > 0 {
            let pause_ms = grant.retry_after_ms.clamp(REFUSE_MIN_MS, REFUSE_MAX_MS);
            self.refused_until_ms = now_ms + pause_ms;
        }
    }

    /// Lets one operation pass while no counter answers, if none has passed shortly
    /// before; otherwise returns the time until the next, in milliseconds. Each of `vms`
    /// VMs may be cut off as well.
    pub fn pass_cut_off(
        &mut self,
        limit: RateLimit,
        (window_ms, vms): (u64, usize),
        now_ms: u64,
    ) -> Result<(), u64> {
        let shared = f64::from(window_max(limit, window_ms)) * CUT_OFF_SHARE + CUT_OFF_OPERATIONS;
        let interval_ms = (window_ms as f64 * vms.max(1) as f64 / shared) as u64;
        // Not even the first one passes at once: all VMs may be cut off together.
        let next_free_ms = *self.next_free_ms.get_or_insert(now_ms + interval_ms);
        if now_ms < next_free_ms {
            return Err(next_free_ms - now_ms);
        }
        self.next_free_ms = Some(now_ms + interval_ms);
        Ok(())
    }

    /// Time since the last operation, in milliseconds.
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.seen_ms)
    }
}
