//! Search over orderings of outages, cuts, restarts and failed calls: each change reaches
//! the VMs that the store answers within its bound. Plays the decisions of
//! `decide/news_sources` without a network.

mod faults;
mod store_reader;
mod subscriber;
mod vm;
mod world;

use yare::parameterized;

use self::{
    faults::{Fault, Faults},
    world::{Late, Owed, World},
};

/// Number of plays of each kind, if the environment doesn't set one.
const SEEDS: u64 = 30;

fn seeds() -> u64 {
    let set = std::env::var("NEWS_SEEDS").ok();
    set.and_then(|set| set.parse().ok()).unwrap_or(SEEDS)
}

fn search(per_zone: usize, bound_ms: u64, kinds: &[Fault], owed: Owed) -> Vec<(u64, Late)> {
    let plays = (0..seeds()).filter_map(|seed| {
        let faults = Faults::draw(seed, per_zone, kinds);
        let late = World::new(seed, per_zone, bound_ms, faults).play(owed);
        late.map(|late| (seed, late))
    });
    plays.collect()
}

/// Every way in which VMs lose the store or each other, at each number of VMs.
#[parameterized(
    calm = { 8, 6_000, &[] },
    all_follow = { 4, 6_000, Fault::ALL },
    all_follow_in_a_short_time = { 4, 4_000, Fault::ALL },
    few_follow = { 8, 6_000, Fault::ALL },
    few_follow_in_a_short_time = { 8, 4_000, Fault::ALL },
    hundred = { 23, 6_000, Fault::ALL },
    hundreds = { 50, 6_000, Fault::ALL },
    store_silent_to_some_after_an_outage = { 50, 6_000, &[Fault::OutageThenDeaf] },
    vms_cut_from_one_another_after_an_outage = { 50, 6_000, &[Fault::OutageThenCut] },
    one_call_of_each_vm_fails = { 50, 6_000, &[Fault::Deaf, Fault::FailedCalls] },
)]
fn changes_are_in_force_in_time(per_zone: usize, bound_ms: u64, kinds: &[Fault]) {
    let found = search(per_zone, bound_ms, kinds, Owed::InTouch);
    assert!(
        found.is_empty(),
        "{} of {} seeds: {found:?}",
        found.len(),
        seeds()
    );
}

/// A follower whose call is lost at the end of an outage, and whose next call fails.
#[test]
fn follower_is_not_late_after_an_outage_and_a_failed_call() {
    let (seed, per_zone) = (188, 8);
    let faults = Faults::draw(seed, per_zone, Fault::ALL);
    let late = World::new(seed, per_zone, 4_000, faults).play(Owed::InTouch);
    assert!(late.is_none(), "{late:?}");
}

/// VMs that lose the store and whose sources lose it too turn to others that hear.
#[parameterized(
    few = { 8 },
    hundred = { 23 },
    hundreds = { 50 },
)]
fn vms_without_the_store_hear_from_others(per_zone: usize) {
    let found = search(per_zone, 6_000, &[Fault::DeafHalf], Owed::All);
    assert!(
        found.is_empty(),
        "{} of {}: {found:?}",
        found.len(),
        seeds()
    );
}
