//! Decisions about the news of the store: what a copy takes from a page, who
//! follows the store, and which sources the other VMs use.

use std::collections::{BTreeMap, BTreeSet};

use foxtailknot::{
    decide::{
        floor_news::{Floors, LastAnswer, OffsetFloor, floor_since},
        load::holders::VmPlace,
        news_sources::{
            NEWS_WAIT_MS, STORE_CALL_MS, Sources, StoreUse, confirmed_ms, follow_retry, followers,
            is_follower, pace, sources, store_use, store_use_at_start,
        },
        revision::Revision,
        table_copy::{PageError, StoreAnswer, StoreJudge, TableCopy, TablePage, TableRow},
    },
    lsn::Lsn,
    position::Position,
    prelude::Name,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use yare::parameterized;

/// A revision of the first era.
fn at(version: u64) -> Revision {
    Revision::new(0, version)
}

fn row(key: &str, version: u64) -> TableRow {
    TableRow {
        key: key.into(),
        value: format!("{key}@{version}").into(),
        version,
        is_removed: false,
    }
}

fn removed(key: &str, version: u64) -> TableRow {
    TableRow {
        is_removed: true,
        ..row(key, version)
    }
}

fn whole(version: u64, rows: Vec<TableRow>) -> TablePage {
    TablePage {
        after: None,
        revision: at(version),
        rows,
    }
}

fn changes(after: u64, version: u64, rows: Vec<TableRow>) -> TablePage {
    TablePage {
        after: Some(after),
        revision: at(version),
        rows,
    }
}

fn content(copy: &TableCopy) -> Vec<(String, u64)> {
    let rows = copy.rows();
    rows.map(|row| (row.key.to_string(), row.version)).collect()
}

fn copy_of(pages: Vec<TablePage>) -> TableCopy {
    let mut copy = TableCopy::default();
    for page in pages {
        copy.apply(page).unwrap();
    }
    copy
}

#[parameterized(
    whole_table = { vec![whole(5, vec![row("a", 3), row("b", 5)])], &[("a", 3), ("b", 5)], 5 },
    changes_follow = {
        vec![whole(5, vec![row("a", 3)]), changes(5, 9, vec![row("b", 7), removed("a", 8)])],
        &[("b", 7)], 9
    },
    missing_from_a_whole_table = {
        vec![whole(5, vec![row("a", 3), row("b", 4)]), whole(8, vec![row("b", 4)])],
        &[("b", 4)], 8
    },
    older_whole_table = {
        vec![whole(8, vec![row("b", 7)]), whole(5, vec![row("a", 3)])], &[("b", 7)], 8
    },
    same_page_twice = {
        vec![whole(5, vec![row("a", 3)]), changes(5, 7, vec![row("a", 6)]),
             changes(5, 7, vec![row("a", 6)])],
        &[("a", 6)], 7
    },
    removed_row_does_not_return = {
        vec![whole(5, vec![row("a", 3)]), changes(5, 7, vec![removed("a", 7)]),
             changes(2, 6, vec![row("a", 6)])],
        &[], 7
    },
    removed_and_forgotten_row_does_not_return = {
        vec![whole(9, vec![]), changes(2, 6, vec![row("a", 6)])], &[], 9
    },
    older_changes = {
        vec![whole(5, vec![row("a", 3)]), changes(5, 9, vec![row("a", 9)]),
             changes(5, 7, vec![row("a", 6)])],
        &[("a", 9)], 9
    },
)]
fn copy_never_goes_back(pages: Vec<TablePage>, expected: &[(&str, u64)], version: u64) {
    let copy = copy_of(pages);
    let expected: Vec<(String, u64)> = expected.iter().map(|(k, v)| (k.to_string(), *v)).collect();
    assert_eq!(content(&copy), expected);
    assert_eq!(copy.revision().version, version);
}

#[parameterized(
    gap = { changes(6, 9, vec![row("b", 8)]), PageError::Gap { after: 6, version: 5 } },
    inverted = { changes(5, 4, vec![row("b", 8)]), PageError::Inverted { after: 5, version: 4 } },
)]
fn pages_that_do_not_fit_change_nothing(page: TablePage, expected: PageError) {
    let mut copy = copy_of(vec![whole(5, vec![row("a", 3)])]);
    assert_eq!(copy.apply(page), Err(expected));
    assert_eq!(content(&copy), [("a".to_string(), 3)]);
    assert_eq!(copy.revision().version, 5);
}

/// A stale answer of the store is ignored; a copy that stays ahead of the store for
/// long, as after false news, is given up.
#[test]
fn older_answers_of_the_store() {
    let mut judge = StoreJudge::default();
    assert_eq!(judge.judge(at(7), at(7), 0), StoreAnswer::Current);
    assert_eq!(judge.judge(at(6), at(7), 1_000), StoreAnswer::Stale);
    assert_eq!(judge.judge(at(8), at(7), 2_000), StoreAnswer::Current);
    assert_eq!(judge.judge(at(6), at(9), 3_000), StoreAnswer::Stale);
    assert_eq!(judge.judge(at(7), at(9), 17_900), StoreAnswer::Stale);
    assert_eq!(judge.judge(at(8), at(9), 18_000), StoreAnswer::Contradicts);
    assert_eq!(judge.judge(at(8), at(0), 18_100), StoreAnswer::Current);
}

/// A copy fed by another one's pages, late, twice and in any order, ends up the
/// same and never shows an older version of a row than before.
#[test]
fn copies_converge_whatever_the_order() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut first = TableCopy::default();
        first.apply(whole(1, vec![])).unwrap();
        let mut second = TableCopy::default();
        let mut pages = Vec::new();
        let mut newest = BTreeMap::new();
        for version in 2..60 {
            let key = format!("k{}", random.random_range(0..6));
            let change = match random.random_bool(0.3) {
                true => removed(&key, version),
                false => row(&key, version),
            };
            first
                .apply(changes(version - 1, version, vec![change]))
                .unwrap();
            pages.push(first.page_after(at(random.random_range(0..=second.revision().version))));
            pages.shuffle(&mut random);
            if random.random_bool(0.5) {
                // The one that was drawn may be delivered again later.
                let page = pages[0].clone();
                second.apply(page).unwrap();
            }
            for (key, version) in content(&second) {
                let before = newest.insert(key, version).unwrap_or(0);
                assert!(before <= version, "seed {seed}");
            }
        }
        second.apply(first.page_after(second.revision())).unwrap();
        assert_eq!(content(&second), content(&first), "seed {seed}");
    }
}

/// Whoever lacks deletions that are no longer remembered gets the whole table.
#[test]
fn forgotten_deletions_are_told_by_the_whole_table() {
    let mut copy = copy_of(vec![whole(1, vec![row("stays", 1)])]);
    for version in 2..3_000 {
        let key = format!("k{version}");
        let page = changes(version - 1, version, vec![removed(&key, version)]);
        copy.apply(page).unwrap();
    }
    assert_eq!(copy.page_after(at(2)).after, None);
    assert_eq!(copy.page_after(at(2_990)).after, Some(2_990));
    let mut behind = copy_of(vec![whole(2, vec![row("stays", 1), row("k3", 2)])]);
    behind.apply(copy.page_after(at(2))).unwrap();
    assert_eq!(content(&behind), [("stays".to_string(), 1)]);
}

/// A copy does not know what was deleted before it was first read.
#[test]
fn rows_deleted_before_a_copy_was_read_are_not_kept_by_others() {
    let read = copy_of(vec![whole(10, vec![row("stays", 3)])]);
    let mut behind = copy_of(vec![whole(5, vec![row("stays", 3), row("deleted", 4)])]);
    behind.apply(read.page_after(at(5))).unwrap();
    assert_eq!(content(&behind), [("stays".to_string(), 3)]);
    let mut current = copy_of(vec![whole(10, vec![row("stays", 3)])]);
    assert_eq!(read.page_after(at(10)).after, Some(10));
    assert!(!current.apply(read.page_after(at(10))).unwrap());
}

fn vms(per_zone: usize, zones: &[(&str, &str)]) -> BTreeMap<Name, VmPlace> {
    let mut vms = BTreeMap::new();
    for (zone, region) in zones {
        for number in 0..per_zone {
            let place = VmPlace {
                zone: (*zone).into(),
                region: (*region).into(),
                weight: if number < 3 { 0.5 } else { 0.12 },
            };
            vms.insert(format!("{zone}-{number}").into(), place);
        }
    }
    vms
}

const ZONES: &[(&str, &str)] = &[
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];

#[parameterized(
    small_zones = { 5, 30 },
    thirty = { 15, 12 },
    three_hundred = { 50, 12 },
    thousands = { 767, 12 },
)]
fn followers_grow_with_zones_only(per_zone: usize, expected: usize) {
    let vms = vms(per_zone, ZONES);
    let own = vms.keys().filter(|vm| is_follower(vm, &vms));
    assert_eq!(own.count(), expected);
}

/// A VM asks the followers of its zone first, then of its region, never itself.
#[test]
fn sources_are_near() {
    let vms = vms(50, ZONES);
    for (vm, place) in &vms {
        let ranking = sources(vm, &vms);
        assert!(!ranking.contains(vm));
        let zones: Vec<&Name> = ranking.iter().map(|source| &vms[source].zone).collect();
        let here = 2 - usize::from(is_follower(vm, &vms));
        assert!(zones[..here].iter().all(|zone| **zone == place.zone));
        let in_region = &ranking[here..here + 2];
        assert!(in_region.iter().all(|s| vms[s].region == place.region));
        assert!(ranking.iter().all(|s| is_follower(s, &vms)));
    }
}

/// A follower that leaves is replaced, and the others of its zone stay.
#[test]
fn followers_stay_when_another_vm_leaves() {
    let before = vms(50, ZONES);
    let zone: Name = "a1".into();
    let chosen = followers(&zone, &before);
    let mut after = before.clone();
    after.remove(&chosen[0]);
    let replaced = followers(&zone, &after);
    assert!(replaced.contains(&chosen[1]));
    assert!(!replaced.contains(&chosen[0]));
}

#[parameterized(
    follower = { true, 300, 0, 0, StoreUse::Follow },
    follower_with_old_news = { true, 300, 60_000, 3, StoreUse::Follow },
    served_by_others = { false, 300, 1_000, 0, StoreUse::Leave { for_ms: 800 } },
    unserved = { false, 300, 1_800, 0, StoreUse::Poll { interval_ms: 500 } },
    one_call_failed = { false, 300, 3_500, 1, StoreUse::Poll { interval_ms: 500 } },
    two_calls_failed = { false, 300, 3_500, 2, StoreUse::Poll { interval_ms: 1_000 } },
    unanswered = { false, 300, 3_500, 9, StoreUse::Poll { interval_ms: 1_625 } },
    unanswered_of_many = { false, 4_600, u64::MAX, 9, StoreUse::Poll { interval_ms: 2_300 } },
)]
fn use_of_the_store(is_follower: bool, vms: usize, age_ms: u64, failures: u32, expected: StoreUse) {
    let pace = pace(6_000, 3_400);
    assert_eq!(
        store_use(is_follower, vms, age_ms, failures, pace),
        expected
    );
}

/// The longest ways of a change: the sources' calls end, the VM notices, and it polls in
/// vain once; the store answers again just after a call, and another one fails.
#[parameterized(
    short_bound = { 4_000, 3_400, 300, 4_000 },
    middle_bound = { 6_000, 3_400, 300, 5_250 },
    long_bound = { 8_000, 3_400, 300, 7_000 },
    target = { 9_000, 3_400, 4_600, 7_875 },
    members = { 7_000, 5_400, 300, 6_125 },
)]
fn pace_keeps_changes_in_time_although_one_call_fails(
    bound_ms: u64,
    wait_max_ms: u64,
    vms: usize,
    within_ms: u64,
) {
    let pace = pace(bound_ms, wait_max_ms);
    let interval_ms = |failures| match store_use(false, vms, u64::MAX, failures, pace) {
        StoreUse::Poll { interval_ms } => interval_ms,
        other => panic!("{other:?}"),
    };
    let age_ms = (0..).find(|age_ms| {
        let poll = store_use(false, vms, *age_ms, 0, pace);
        matches!(poll, StoreUse::Poll { .. })
    });
    let noticed_ms = pace.wait_ms + age_ms.unwrap();
    let undisturbed_ms = noticed_ms + interval_ms(0);
    assert!(undisturbed_ms <= bound_ms * 7 / 8, "{undisturbed_ms} ms");
    let longest_ms = undisturbed_ms + STORE_CALL_MS + interval_ms(1);
    assert!(longest_ms <= within_ms, "{longest_ms} ms");
    let return_ms = 2 * (STORE_CALL_MS + interval_ms(99));
    assert!(return_ms <= bound_ms * 7 / 8, "{return_ms} ms");
    assert!(pace.wait_ms <= wait_max_ms);
}

/// A VM that follows the store: the store answers again just after a call, and the next call
/// fails as well.
#[parameterized(
    short_bound = { 4_000, 3_400 },
    middle_bound = { 6_000, 3_400 },
    members = { 7_000, 5_400 },
    target = { 9_000, 3_400 },
)]
fn follower_asks_again_in_time_after_an_outage_and_a_failed_call(bound_ms: u64, wait_max_ms: u64) {
    let retry = follow_retry(pace(bound_ms, wait_max_ms));
    let return_ms = 2 * (STORE_CALL_MS + retry.delay_ms(99));
    assert!(return_ms <= bound_ms * 7 / 8, "{return_ms} ms");
}

#[parameterized(
    first_start = { true, false, 1_000, StoreUse::Leave { for_ms: 5_000 } },
    first_start_without_a_list = { true, false, 6_000, StoreUse::Follow },
    restart = { false, false, 0, StoreUse::Follow },
    restart_once_loaded = { false, true, 100, StoreUse::Leave { for_ms: 5_900 } },
    restart_without_a_list = { false, true, 6_000, StoreUse::Follow },
)]
fn use_of_the_store_at_start(
    is_first_start: bool,
    is_loaded: bool,
    running_ms: u64,
    expected: StoreUse,
) {
    let found = store_use_at_start(is_first_start, is_loaded, running_ms);
    assert_eq!(found, expected);
}

/// Two subscriptions use two sources; one that fails is left at once, and asked
/// again later.
#[test]
fn failed_sources_are_left_and_tried_again() {
    let mut choice = Sources::new(2);
    choice.set_ranking(vec!["a".into(), "b".into(), "c".into()]);
    assert_eq!(choice.choose(0, 0).as_deref(), Some("a"));
    assert_eq!(choice.choose(1, 0).as_deref(), Some("b"));
    choice.record_failure(&"a".into(), 0, |pause_ms| pause_ms);
    assert_eq!(choice.choose(0, 10).as_deref(), Some("c"));
    assert_eq!(choice.choose(1, 10).as_deref(), Some("b"));
    assert_eq!(choice.choose(0, 1_000).as_deref(), Some("a"));
    choice.record_failure(&"a".into(), 1_000, |pause_ms| pause_ms);
    assert_eq!(choice.choose(0, 2_000).as_deref(), Some("c"));
    assert!(choice.record_answer(&"a".into(), 0, 0));
    assert_eq!(choice.choose(0, 2_000).as_deref(), Some("a"));
}

/// A source whose news is much older than this VM's own counts as failed; while
/// the store is away, all news is old and no source is left.
#[parameterized(
    fresh = { 100, 100, true },
    older_than_own = { 5_000, 500, false },
    all_are_old = { 60_000, 59_000, true },
    nothing_known_yet = { 60_000, u64::MAX / 2, true },
)]
fn sources_with_old_news(age_ms: u64, own_age_ms: u64, expected: bool) {
    let mut choice = Sources::new(2);
    choice.set_ranking(vec!["a".into()]);
    let is_good = choice.record_answer(&"a".into(), age_ms, own_age_ms);
    assert_eq!(is_good, expected);
}

/// On virtual time: 300 VMs, of which all followers of a zone die, or are cut from
/// the store while they keep answering. Returns the age of the oldest news of any
/// living VM at the end, and the number of calls that VMs without a source made.
fn play(dead_zone: Option<&str>, cut_zone: Option<&str>) -> (u64, u64) {
    const STEP_MS: u64 = 100;
    const FAULT_MS: u64 = 5_000;
    const END_MS: u64 = 20_000;
    let vms = vms(50, ZONES);
    let failed = |zone: Option<&str>| -> BTreeSet<Name> {
        let zone = zone.map(Name::from);
        zone.iter().flat_map(|zone| followers(zone, &vms)).collect()
    };
    let (dead, cut) = (failed(dead_zone), failed(cut_zone));
    let mut random = StdRng::seed_from_u64(7);
    let mut choices: BTreeMap<Name, Sources> = BTreeMap::new();
    for vm in vms.keys() {
        let mut choice = Sources::new(2);
        choice.set_ranking(sources(vm, &vms));
        choices.insert(vm.clone(), choice);
    }
    let mut confirmed: BTreeMap<Name, u64> = vms.keys().map(|vm| (vm.clone(), 0)).collect();
    let following: BTreeSet<Name> = vms
        .keys()
        .filter(|vm| is_follower(vm, &vms))
        .cloned()
        .collect();
    let mut calls = 0;
    let pace = pace(8_000, 3_400);
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        let is_faulty = now_ms >= FAULT_MS;
        for vm in vms.keys().filter(|vm| !(is_faulty && dead.contains(*vm))) {
            let age_ms = now_ms - confirmed[vm];
            match store_use(following.contains(vm), vms.len(), age_ms, 0, pace) {
                StoreUse::Follow if !(is_faulty && cut.contains(vm)) => {
                    confirmed.insert(vm.clone(), now_ms);
                }
                StoreUse::Poll { interval_ms } if random.random_range(0..interval_ms) < STEP_MS => {
                    calls += 1;
                    confirmed.insert(vm.clone(), now_ms);
                }
                _ => {}
            }
            // Each subscription asks once the wait of its last question is over.
            if (now_ms / STEP_MS + vm.len() as u64).is_multiple_of(NEWS_WAIT_MS / STEP_MS + 1) {
                for index in 0..2 {
                    let choice = choices.get_mut(vm).unwrap();
                    let Some(source) = choice.choose(index, now_ms) else {
                        continue;
                    };
                    let source_age_ms = now_ms - confirmed[&source];
                    let own_age_ms = now_ms - confirmed[vm];
                    let is_dead = is_faulty && dead.contains(&source);
                    if is_dead || !choice.record_answer(&source, source_age_ms, own_age_ms) {
                        choice.record_failure(&source, now_ms, |pause_ms| pause_ms);
                        continue;
                    }
                    let newer = confirmed[&source].max(confirmed[vm]);
                    confirmed.insert(vm.clone(), newer);
                }
            }
        }
    }
    let living = confirmed.iter().filter(|(vm, _)| !dead.contains(*vm));
    let oldest = living.map(|(_, at)| END_MS - at).max().unwrap();
    (oldest, calls)
}

#[parameterized(
    calm = { None, None },
    followers_of_a_zone_die = { Some("a1"), None },
    followers_of_a_zone_are_cut_from_the_store = { None, Some("b2") },
    both = { Some("a1"), Some("c1") },
)]
fn others_serve_when_followers_fail(dead_zone: Option<&str>, cut_zone: Option<&str>) {
    let (oldest_ms, calls) = play(dead_zone, cut_zone);
    assert!(oldest_ms <= 3_500, "news is {oldest_ms} ms old");
    assert!(calls <= 50, "{calls} calls of VMs that are no followers");
}

/// A VM that knows floors, with a clock of its own.
struct FloorVm {
    clock_ahead_ms: u64,
    floors: Floors,
    last: Option<LastAnswer>,
}

impl FloorVm {
    fn raise(&mut self, since_ms: u64, position: Position, real_ms: u64) {
        let real_since_ms = since_ms as i64 - self.clock_ahead_ms as i64;
        assert!(
            position.lsn.0 as i64 >= real_since_ms,
            "a floor of {real_since_ms} holds only commits up to {position} at {real_ms}"
        );
        self.floors.raise(&"s".into(), since_ms, position);
    }

    fn now_ms(&self, real_ms: u64) -> u64 {
        real_ms + self.clock_ahead_ms
    }
}

/// Whatever the delays and the clocks, a floor that was passed on never claims to
/// hold commits of a later time than it does. The log's position is the time.
#[test]
fn floors_of_other_vms_are_never_taken_for_newer() {
    let mut passed_on = 0;
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut vms: Vec<FloorVm> = (0..2)
            .map(|_| FloorVm {
                clock_ahead_ms: random.random_range(0..1_000_000),
                floors: Floors::default(),
                last: None,
            })
            .collect();
        let mut real_ms = 5_000;
        for _ in 0..40 {
            real_ms += random.random_range(0..700);
            // One of them asks the primary; the answer is at least as new as the question.
            let index = random.random_range(0..2);
            let since_ms = vms[index].now_ms(real_ms);
            let position = Position::new(1, Lsn(real_ms + random.random_range(0..50)));
            vms[index].raise(since_ms, position, real_ms);
            // The first asks the second for news.
            let asked_ms = vms[0].now_ms(real_ms);
            let request = vms[0].last.map(|last| vms[0].floors.echoed(last));
            real_ms += random.random_range(0..3_000);
            let arrived_ms = vms[1].now_ms(real_ms);
            let request = request.unwrap_or_default();
            for floor in request.floors.values() {
                let since_ms = floor_since(request.echo_ms, floor, arrived_ms).unwrap();
                vms[1].raise(since_ms, floor.position, real_ms);
                passed_on += 1;
            }
            // It may wait before it answers, and hear of a floor meanwhile.
            real_ms += random.random_range(0..1_000);
            let written_ms = vms[1].now_ms(real_ms);
            let position = Position::new(1, Lsn(real_ms));
            vms[1].raise(written_ms, position, real_ms);
            let answer = vms[1].floors.for_answer(arrived_ms, written_ms);
            real_ms += random.random_range(0..3_000);
            for floor in answer.values() {
                let since_ms = floor_since(asked_ms, floor, vms[0].now_ms(real_ms)).unwrap();
                vms[0].raise(since_ms, floor.position, real_ms);
                passed_on += 1;
            }
            let arrived_ms = vms[0].now_ms(real_ms);
            vms[0].last = Some(LastAnswer {
                written_ms,
                arrived_ms,
            });
        }
    }
    assert!(passed_on > 5_000, "{passed_on}");
}

/// News that waits on its way, also in both directions, does not count as confirmed later
/// than it was.
#[test]
fn delayed_news_is_not_taken_for_newer() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let clock_ahead_ms = random.random_range(0..1_000_000);
        let store_confirmed_ms = 5_000 + random.random_range(0..1_000);
        let asked_ms = store_confirmed_ms + random.random_range(0..3_000);
        let arrived_ms = asked_ms + random.random_range(0..3_000);
        let written_ms = arrived_ms + random.random_range(0..600);
        // On the clock of the VM that answers.
        let age_ms = (written_ms + clock_ahead_ms) - (store_confirmed_ms + clock_ahead_ms);
        let confirmed_ms = confirmed_ms(asked_ms, written_ms - arrived_ms, age_ms);
        assert!(confirmed_ms <= store_confirmed_ms, "seed {seed}");
    }
}

#[parameterized(
    no_answer_before = { 0, 5, None },
    answer_of_the_future = { 20_000, 0, None },
    floor_of_the_future = { 9_000, 5_000, None },
    before_the_clock = { 9_000, -10_000, None },
    usual = { 9_000, 500, Some(9_498) },
)]
fn floors_of_impossible_times_are_refused(echo_ms: u64, offset_ms: i64, expected: Option<u64>) {
    let floor = OffsetFloor {
        position: Position::new(1, Lsn(7)),
        offset_ms,
    };
    assert_eq!(floor_since(echo_ms, &floor, 10_000), expected);
}

/// Only the newest floors are passed on, and none that is too old to be of use.
#[test]
fn passed_on_floors_are_bounded() {
    let mut floors = Floors::default();
    for number in 0..200 {
        let position = Position::new(1, Lsn(number));
        floors.raise(&format!("s{number}").into(), 10_000 + number, position);
    }
    floors.raise(&"old".into(), 10, Position::new(1, Lsn(1)));
    let sent = floors.for_answer(10_100, 10_200);
    assert_eq!(sent.len(), 64);
    assert!(sent.contains_key("s199") && !sent.contains_key("s0") && !sent.contains_key("old"));
    assert!(!floors.raise(&"s5".into(), 10_000, Position::new(2, Lsn(9))));
}
