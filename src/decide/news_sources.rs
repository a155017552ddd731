//! Where a VM gets the news of the store from: a few followers in each
//! availability zone read the store, the other VMs subscribe to them.
//!
//! Load: store calls grow with the zones instead of the VMs. News from another
//! VM only informs; whoever acts on a right asks the store for it.

use super::{
    load::holders::{VmPlace, ranked},
    retry::Backoff,
};
use crate::prelude::*;

/// Number of VMs of a zone that follow the store: one may fail.
const FOLLOWERS_PER_ZONE: usize = 2;
/// In a zone of at most this many VMs all follow the store: their calls are few.
const SMALL_ZONE_VMS: usize = 6;
/// Number of followers outside its own zone that a VM knows as alternatives.
const SPARE_SOURCES: usize = 6;
/// Index of the hash score that ranks the followers of a zone.
const FOLLOWER_INDEX: usize = 2;
/// Index of the hash score that ranks the sources of one VM.
const SOURCE_INDEX: usize = 3;
/// How long a subscription waits for changes, in milliseconds. A source that fails is
/// noticed after this time and that of a call.
pub const NEWS_WAIT_MS: u64 = 600;
/// Longest time for an answer after its wait, in milliseconds: round trips to another
/// region, and a source that is busy.
pub const NEWS_MARGIN_MS: u64 = 700;
/// Longest time to connect to a source, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 500;
/// Pause before a call to the store that failed is repeated, where the bound of the table
/// leaves time for it. Few VMs follow the store, so that they may ask often.
const STORE_RETRY: Backoff = Backoff {
    base_ms: 300,
    max_ms: 1_200,
};
/// Pause after an answer of the store that can't be used, in milliseconds.
pub const UNUSABLE_ANSWER_PAUSE_MS: u64 = 1_200;
/// Pause before a source that failed is asked again.
const SOURCE_BACKOFF: Backoff = Backoff {
    base_ms: 1_000,
    max_ms: 16_000,
};
/// Difference between the age of a source's news and that of this VM's news from
/// which on the source counts as failed, in milliseconds: more than two waits for
/// changes.
const STALE_MARGIN_MS: u64 = 4_000;
/// Store calls a second that all VMs without a source may make together while the
/// store does not answer: a third of what a store with 6,000 reads a second takes, but all
/// of one with 2,000, which more than 2,000 VMs without a source would use up.
const FALLBACK_CALLS_PER_S: u64 = 2_000;
/// Shortest interval between two calls of a VM without a source, in milliseconds.
const FALLBACK_INTERVAL_MIN_MS: u64 = 300;
/// Age of its news from which on a VM counts as without a source, in milliseconds:
/// news passes two other VMs, each of which waits for changes, and is late on busy ones.
const FALLBACK_AGE_MS: u64 = 1_800;
/// Longest time of a call to the store without its wait for changes, in milliseconds: a
/// hundred times the usual answer time, as the store may become about that slow.
pub const STORE_CALL_MS: u64 = 1_000;
/// Shortest wait of one call for changes, in milliseconds.
const WAIT_MIN_MS: u64 = 500;
/// Time for which a source with old news is passed over, in milliseconds: several others
/// can be asked meanwhile.
const PASS_OVER_MS: u64 = 6_000;

/// Longest time for which a VM waits for the list of VMs before it follows the
/// store, in milliseconds.
const VMS_WAIT_MS: u64 = 6_000;

/// How a VM uses the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(StoreUseKind),
    derive(strum::IntoStaticStr),
    strum(serialize_all = "snake_case"),
    doc = "Ways of using the store, without their times."
)]
pub enum StoreUse {
    /// It follows the store.
    Follow,
    /// It gets its news from other VMs, or waits for the list of VMs.
    Leave {
        /// Time after which this is to be decided anew, in milliseconds.
        for_ms: u64,
    },
    /// No other VM serves it: it reads the store at this interval, in milliseconds.
    Poll {
        /// The interval.
        interval_ms: u64,
    },
}

/// Times of the calls about a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Longest wait of one call for changes, in milliseconds.
    pub wait_ms: u64,
    /// Longest interval at which a VM without a source reads the table while the
    /// store answers it, in milliseconds.
    pub poll_ms: u64,
    /// The same while the store does not answer it, in milliseconds.
    pub retry_ms: u64,
}

/// Times with which changes reach every VM to which the store answers within `bound_ms`,
/// although one call fails on their way:
///
/// - while its sources hear nothing, and do not notice it until their calls of at most
///   `wait_max_ms` end: their wait, the VM's doubt, and two polls;
/// - once the store answers it again: the end of a call, and two polls.
///
/// An eighth of the bound is left for the calls themselves, less where the shortest wait is
/// longer than the time that is left: 33 ms of 4 s.
pub fn pace(bound_ms: u64, wait_max_ms: u64) -> Pace {
    let time_ms = bound_ms - bound_ms / 8;
    let poll_ms = (bound_ms / 12).max(FALLBACK_INTERVAL_MIN_MS);
    let wait_ms = time_ms.saturating_sub(FALLBACK_AGE_MS + STORE_CALL_MS + 2 * poll_ms);
    let retry_ms = (time_ms / 2).saturating_sub(STORE_CALL_MS);
    Pace {
        wait_ms: wait_ms.min(wait_max_ms).max(WAIT_MIN_MS),
        poll_ms,
        retry_ms: retry_ms.max(poll_ms),
    }
}

/// Pause of a VM that follows a table before it repeats a call that failed: once the store
/// answers it again, two calls may end in vain, with a pause after each, within the bound.
pub fn follow_retry(pace: Pace) -> Backoff {
    Backoff {
        max_ms: STORE_RETRY.max_ms.min(pace.retry_ms),
        ..STORE_RETRY
    }
}

/// Longest age of a VM's news with which it may say what does not exist, so that no such
/// answer ignores a change of more than `bound_ms` before. A follower's news counts as
/// confirmed until the end of its wait, which is left out.
pub fn certain_age_ms(bound_ms: u64, pace: Pace) -> u64 {
    (bound_ms - bound_ms / 8).saturating_sub(pace.wait_ms)
}

/// Time at which the store confirmed news of `age_ms`, at the latest: the other VM answered a
/// question of `asked_ms` after it had held it for `held_ms`. The time on the way, during
/// which this VM may have been suspended, makes the news older, never newer.
pub fn confirmed_ms(asked_ms: u64, held_ms: u64, age_ms: u64) -> u64 {
    (asked_ms + held_ms).saturating_sub(age_ms)
}

/// The VMs of a zone that follow the store.
pub fn followers(zone: &Name, vms: &BTreeMap<Name, VmPlace>) -> Vec<Name> {
    let here: Vec<(&Name, &VmPlace)> = vms.iter().filter(|(_, vm)| vm.zone == *zone).collect();
    let count = match here.len() <= SMALL_ZONE_VMS {
        true => here.len(),
        false => FOLLOWERS_PER_ZONE,
    };
    ranked(zone, FOLLOWER_INDEX, here, count)
}

/// Whether the VM `own` follows the store. A VM that is not listed does.
pub fn is_follower(own: &Name, vms: &BTreeMap<Name, VmPlace>) -> bool {
    vms.get(own)
        .is_none_or(|place| followers(&place.zone, vms).contains(own))
}

/// Followers that the VM `own` may subscribe to, best first: those of its zone,
/// of its region, then others. Each VM ranks them differently.
pub fn sources(own: &Name, vms: &BTreeMap<Name, VmPlace>) -> Vec<Name> {
    let Some(place) = vms.get(own) else {
        return Vec::new();
    };
    let mut zones: BTreeMap<&Name, &Name> = BTreeMap::new();
    for vm in vms.values() {
        zones.insert(&vm.zone, &vm.region);
    }
    let (mut near, mut region, mut far) = (Vec::new(), Vec::new(), Vec::new());
    for (zone, zone_region) in zones {
        let group = match (*zone == place.zone, *zone_region == place.region) {
            (true, _) => &mut near,
            (false, true) => &mut region,
            (false, false) => &mut far,
        };
        let found = followers(zone, vms).into_iter().filter(|vm| vm != own);
        group.extend(found.filter_map(|vm| vms.get_key_value(&vm)));
    }
    let near = ranked(own, SOURCE_INDEX, near, SMALL_ZONE_VMS);
    let region = ranked(own, SOURCE_INDEX, region, SPARE_SOURCES);
    let far = ranked(own, SOURCE_INDEX, far, SPARE_SOURCES);
    near.into_iter().chain(region).chain(far).collect()
}

/// How a VM that is or is not a follower uses the store, while `vms` VMs run and
/// its own news is `age_ms` old, after its last `failures` calls failed.
pub fn store_use(
    is_follower: bool,
    vms: usize,
    age_ms: u64,
    failures: u32,
    pace: Pace,
) -> StoreUse {
    if is_follower {
        return StoreUse::Follow;
    }
    if age_ms < FALLBACK_AGE_MS {
        let for_ms = FALLBACK_AGE_MS - age_ms;
        return StoreUse::Leave { for_ms };
    }
    let shared_ms = vms as u64 * 1_000 / FALLBACK_CALLS_PER_S;
    let backoff = Backoff {
        base_ms: pace.poll_ms,
        max_ms: pace.retry_ms.max(shared_ms),
    };
    // The first failure may be that of one call only.
    StoreUse::Poll {
        interval_ms: backoff.delay_ms(failures),
    }
}

/// How a VM that does not know the other VMs yet uses the store, `running_ms`
/// after its start.
///
/// When the whole system starts for the first time, there is nothing to serve
/// yet, and the list is complete soon. A VM that restarts reads each table once.
pub fn store_use_at_start(is_first_start: bool, is_loaded: bool, running_ms: u64) -> StoreUse {
    let for_ms = VMS_WAIT_MS.saturating_sub(running_ms);
    match for_ms > 0 && (is_first_start || is_loaded) {
        true => StoreUse::Leave { for_ms },
        false => StoreUse::Follow,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct SourceHealth {
    failures: u32,
    retry_ms: u64,
}

/// The sources of a VM: which of them its subscriptions use.
#[derive(Clone, Debug)]
pub struct Sources {
    ranking: Vec<Name>,
    health: BTreeMap<Name, SourceHealth>,
    in_use: Vec<Option<Name>>,
}

impl Sources {
    /// Creates a choice for a number of subscriptions, without any source.
    pub fn new(subscriptions: usize) -> Sources {
        Sources {
            ranking: Vec::new(),
            health: BTreeMap::new(),
            in_use: vec![None; subscriptions],
        }
    }

    /// Sets the sources, best first.
    pub fn set_ranking(&mut self, ranking: Vec<Name>) {
        self.health.retain(|vm, _| ranking.contains(vm));
        self.ranking = ranking;
    }

    /// The source that a subscription asks now: the best one that has not failed
    /// and that no other subscription uses.
    pub fn choose(&mut self, subscription: usize, now_ms: u64) -> Option<Name> {
        let used = |vm: &Name| {
            let others = self.in_use.iter().enumerate();
            others
                .filter(|(index, _)| *index != subscription)
                .any(|(_, used)| used.as_ref() == Some(vm))
        };
        let is_due = |vm: &Name| self.health.get(vm).is_none_or(|h| h.retry_ms <= now_ms);
        let chosen = self.ranking.iter().find(|vm| is_due(vm) && !used(vm));
        let chosen = chosen.cloned();
        if let Some(in_use) = self.in_use.get_mut(subscription) {
            in_use.clone_from(&chosen);
        }
        chosen
    }

    /// Records that a source did not answer in time, or sent what can't be used.
    /// `jitter` gives a random pause of at most the given one.
    pub fn record_failure(&mut self, vm: &Name, now_ms: u64, jitter: impl FnOnce(u64) -> u64) {
        let health = self.health.entry(vm.clone()).or_default();
        health.failures += 1;
        health.retry_ms = now_ms + jitter(SOURCE_BACKOFF.delay_ms(health.failures));
    }

    /// Lets a subscription ask another source next, after one that answered with news of
    /// `age_ms`. Where all news is old, the first subscription stays, and the others look for
    /// a source that hears.
    pub fn pass_over_if_old(&mut self, subscription: usize, vm: &Name, age_ms: u64, now_ms: u64) {
        if subscription > 0 && age_ms >= FALLBACK_AGE_MS {
            let health = self.health.entry(vm.clone()).or_default();
            health.retry_ms = health.retry_ms.max(now_ms + PASS_OVER_MS);
        }
    }

    /// Records that a source answered with news of `age_ms`, while this VM's own
    /// is `own_age_ms` old; returns whether the source is good.
    pub fn record_answer(&mut self, vm: &Name, age_ms: u64, own_age_ms: u64) -> bool {
        let is_good = age_ms <= own_age_ms + STALE_MARGIN_MS;
        if is_good {
            self.health.remove(vm);
        }
        is_good
    }
}
