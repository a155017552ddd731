//! Tests of the relay's decisions: leadership checks, floors, connections,
//! request windows, queues, pauses, takeovers and holders.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use foxtailknot::{
    decide::{
        age::{AgeTracker, is_floor_due},
        leadership::{
            LeadershipCheck, TermReport, check_leadership, received_by_others, term_reports_needed,
        },
        load::admission::AdmissionQueue,
        load::dispatch::{ConnectionBudget, ReadCandidate, choose_reader, is_cut_off, share_count},
        load::holders::{ConnectionSupply, MemberPath, VmPlace, holders, member_paths},
        load::window::Window,
        retry::Backoff,
        session_floors::{SERVICES_MAX, SessionFloors},
        takeover::{
            Candidate, Choice, Fenced, Knowledge, PrimaryHealth, Reason, StuckCommit,
            TakeoverSettings, WaitReason, choose, replacement_reason,
        },
    },
    lsn::Lsn,
    position::Position,
    prelude::Name,
};
use rand::{SeedableRng, rngs::StdRng};
use yare::parameterized;

fn at(term: u64, lsn: u64) -> Position {
    Position::new(term, Lsn(lsn))
}

fn term_report(asked_us: u64, term: u64) -> TermReport {
    TermReport { asked_us, term }
}

#[parameterized(
    alone = { 1, 1, 0 },
    two = { 2, 1, 1 },
    three = { 3, 1, 1 },
    four_while_one_is_replaced = { 4, 1, 2 },
    three_without_synchronous_replicas = { 3, 0, 2 },
)]
fn term_reports(members: usize, sync_replicas: u32, expected: usize) {
    assert_eq!(term_reports_needed(members, sync_replicas), expected);
}

#[parameterized(
    confirmed = { vec![term_report(11, 1), term_report(4, 1)], 1, LeadershipCheck::Confirmed { term: 1 } },
    asked_before = { vec![term_report(10, 1), term_report(4, 1)], 1, LeadershipCheck::Pending },
    refuted_by_one = { vec![term_report(11, 1), term_report(12, 2)], 1, LeadershipCheck::Confirmed { term: 2 } },
    too_few = { vec![term_report(11, 1)], 2, LeadershipCheck::Pending },
)]
fn leadership_check(others: Vec<TermReport>, needed: usize, expected: LeadershipCheck) {
    assert_eq!(check_leadership(others.into_iter(), 10, needed), expected);
}

#[parameterized(
    the_most_advanced_counts = { vec![Some((11, at(1, 5))), Some((12, at(1, 7)))], 1, Some(at(1, 7)) },
    one_did_not_report = { vec![Some((11, at(1, 5))), None], 1, None },
    one_was_asked_before = { vec![Some((11, at(1, 5))), Some((10, at(1, 7)))], 1, None },
    no_other_members = { vec![], 1, None },
    without_synchronous_replicas = { vec![Some((11, at(1, 5)))], 0, None },
)]
fn floor_without_a_primary(
    others: Vec<Option<(u64, Position)>>,
    sync_replicas: u32,
    expected: Option<Position>,
) {
    let floor = received_by_others(others.into_iter(), 10, sync_replicas);
    assert_eq!(floor, expected);
}

/// A session that commits at ever more services keeps a bounded number of positions, and the
/// time of a commit stands for the position that it gave up.
#[test]
fn session_keeps_few_positions_and_loses_no_commit() {
    let mut floors = SessionFloors::default();
    let name = |number: u64| Name::from(format!("s{number}"));
    for number in 1..=1_000 {
        floors.record(&name(number), at(1, number), 10 * number);
    }
    let kept = (1..=1_000).filter(|number| floors.at(&name(*number)).position.is_some());
    assert_eq!(kept.count(), SERVICES_MAX);
    for number in 1..=1_000 {
        let floor = floors.at(&name(number));
        let is_covered = floor.since_ms > 10 * number;
        assert!(
            floor.position == Some(at(1, number)) || is_covered,
            "{number}"
        );
    }
    floors.record(&name(1), at(1, 2_000), 20_000);
    floors.record(&name(1), at(1, 1_500), 20_001);
    assert_eq!(floors.at(&name(1)).position, Some(at(1, 2_000)));
}

/// The oldest observation that is recent enough gives the lowest floor.
#[test]
fn floor_of_an_age() {
    let mut ages = AgeTracker::default();
    ages.observe(100, at(1, 5));
    ages.observe(200, at(1, 9));
    assert_eq!(ages.floor(50), Some(at(1, 5)));
    assert_eq!(ages.floor(100), Some(at(1, 5)));
    assert_eq!(ages.floor(101), Some(at(1, 9)));
    assert_eq!(ages.floor(201), None);
}

#[parameterized(
    recent = { 1_000, false, false },
    old = { 1_250, false, true },
    replicas_are_behind = { 700, true, true },
)]
fn floor_is_renewed(age_ms: u64, is_behind: bool, expected: bool) {
    assert_eq!(is_floor_due(age_ms, 1_500, is_behind), expected);
}

fn candidate(name: &str, mean_ms: f64) -> ReadCandidate {
    ReadCandidate {
        member: name.into(),
        is_primary: false,
        is_behind: false,
        mean_ms,
        expected_ms: None,
        connections: 2,
        in_use: 0,
        waiting: 0,
    }
}

#[parameterized(
    near = { candidate("near", 20.0), candidate("far", 65.0), "near" },
    replica_before_a_near_primary = {
        ReadCandidate { is_primary: true, ..candidate("near", 20.0) }, candidate("far", 25.0), "far" },
    near_primary_before_a_far_replica = {
        ReadCandidate { is_primary: true, ..candidate("near", 20.0) }, candidate("far", 65.0), "near" },
    far_once_the_near_queue_is_long = {
        ReadCandidate { in_use: 2, waiting: 6, ..candidate("near", 20.0) }, candidate("far", 65.0),
        "far" },
    far_while_the_near_one_is_behind = {
        ReadCandidate { is_behind: true, ..candidate("near", 20.0) }, candidate("far", 65.0), "far" },
)]
fn reader(near: ReadCandidate, far: ReadCandidate, expected: &str) {
    let candidates = [near, far];
    let chosen = choose_reader(&candidates).map(|c| c.member.clone());
    assert_eq!(chosen, Some(Arc::from(expected)));
}

fn budget(shares: usize, reported: Option<usize>) -> ConnectionBudget {
    ConnectionBudget {
        connections_max: 48,
        shares,
        reported,
        has_accounts: false,
    }
}

#[parameterized(
    fair_share = { budget(13, None), 5, 2 },
    more_while_there_is_room = { budget(13, Some(20)), 5, 6 },
    no_more_once_it_is_full = { budget(13, Some(40)), 5, 2 },
    at_least_one = { budget(100, Some(48)), 0, 1 },
    uncounted = { budget(usize::MAX, None), 3, 1 },
)]
fn connections(budget: ConnectionBudget, own: usize, expected: usize) {
    assert_eq!(budget.limit(own), expected);
}

#[parameterized(
    used_a_moment_ago = { budget(13, Some(10)), 5, 100, false },
    idle = { budget(13, Some(10)), 2, 5_000, true },
    the_last_one_stays = { budget(13, Some(10)), 1, 60_000, false },
    beyond_the_share_of_a_full_member = { budget(13, Some(40)), 3, 0, true },
)]
fn surplus(budget: ConnectionBudget, own: usize, idle_ms: u64, expected: bool) {
    assert_eq!(budget.is_surplus(own, idle_ms), expected);
}

#[parameterized(
    one_of_three = { 3, 1, false },
    two_of_three = { 3, 2, true },
    two_of_four = { 4, 2, false },
    no_members = { 0, 0, false },
)]
fn cut_off(members: usize, failing: usize, expected: bool) {
    assert_eq!(is_cut_off(members, failing), expected);
}

/// Each VM gets a larger share in a region with few holders.
#[test]
fn shares_by_holders() {
    assert_eq!(share_count(3, 7), 21);
    assert_eq!(share_count(3, 2), 6);
    assert_eq!(share_count(3, 0), 3);
}

/// The window shrinks when a member refuses requests and grows as it answers
/// them.
#[test]
fn window_follows_refusals() {
    let mut window = Window::default();
    assert!(window.has_room(7));
    window.refused(1_000);
    assert!(window.has_room(3) && !window.has_room(4));
    // A refusal of a request sent before the reduction does not count again.
    window.refused(1_010);
    assert!(window.has_room(3));
    for pause in 1..10 {
        window.refused(1_000 + pause * 100);
    }
    assert!(window.has_room(0) && !window.has_room(1));
    for _ in 0..200 {
        window.done();
    }
    assert!(window.has_room(10));
}

/// Requests are served by priority, then by deadline.
#[test]
fn queue_by_priority_and_deadline() {
    let mut queue = AdmissionQueue::new(10);
    for (priority, deadline_ms, name) in [(2, 50, "c"), (1, 90, "b"), (2, 80, "d"), (1, 60, "a")] {
        queue.push(priority, deadline_ms, name);
    }
    assert_eq!(queue.expire(50), ["c"]);
    assert_eq!(queue.pop(), Some("a"));
    assert_eq!(queue.pop(), Some("b"));
    assert_eq!(queue.pop(), Some("d"));
}

fn fenced(lsn: u64) -> Option<Fenced> {
    Some(Fenced {
        received: at(1, lsn),
    })
}

fn other_member(name: &str, fenced: Option<Fenced>) -> Candidate {
    Candidate {
        member: name.into(),
        is_primary: false,
        is_leaving: false,
        is_gone: false,
        is_restarted: false,
        fenced,
    }
}

fn primary(fenced: Option<Fenced>) -> Candidate {
    Candidate {
        is_primary: true,
        ..other_member("primary", fenced)
    }
}

fn leaving(candidate: Candidate) -> Candidate {
    Candidate {
        is_leaving: true,
        ..candidate
    }
}

fn gone(candidate: Candidate) -> Candidate {
    Candidate {
        is_gone: true,
        ..candidate
    }
}

fn restarted(candidate: Candidate) -> Candidate {
    Candidate {
        is_restarted: true,
        ..candidate
    }
}

fn promote(name: &str) -> Choice {
    Choice::Promote(name.into())
}

const KNOWS_ALL: Knowledge = Knowledge {
    knows_departed: true,
    is_list_complete: true,
};

const UNSAFE: Choice = Choice::Wait(WaitReason::PrimaryMayAcknowledge);

#[parameterized(
    most_advanced_of_all_others = {
        vec![primary(None), other_member("a", fenced(5)), other_member("b", fenced(9))], promote("b") },
    silent_primary_and_silent_replica = {
        vec![primary(None), other_member("a", fenced(5)), other_member("b", None)], UNSAFE },
    silent_primary_and_a_replica_that_is_gone = {
        vec![primary(None), other_member("a", fenced(5)), gone(other_member("b", None))], promote("a") },
    stepped_down_and_a_replica_is_as_advanced = {
        vec![primary(fenced(9)), other_member("a", fenced(9)), other_member("b", None)], promote("a") },
    stepped_down_and_the_replica_is_behind = {
        vec![primary(fenced(9)), other_member("a", fenced(5)), other_member("b", None)], promote("primary") },
    stepped_down_with_commits_no_replica_received = {
        vec![primary(fenced(9)), other_member("a", fenced(5)), other_member("b", fenced(7))], promote("b") },
    leaving_replica_holds_the_last_commits = {
        vec![primary(None), other_member("a", fenced(5)), leaving(other_member("b", fenced(9)))], promote("b") },
    leaving_replica_is_no_more_advanced = {
        vec![primary(None), other_member("a", fenced(9)), leaving(other_member("b", fenced(9)))], promote("a") },
    primary_is_leaving = {
        vec![leaving(primary(fenced(9))), other_member("a", fenced(9)), other_member("b", fenced(9))], promote("b") },
    silent_primary_and_a_replica_that_has_forgotten = {
        vec![primary(None), other_member("a", fenced(5)), restarted(other_member("b", fenced(1)))], UNSAFE },
    stepped_down_and_a_replica_has_forgotten = {
        vec![primary(fenced(9)), other_member("a", fenced(5)), restarted(other_member("b", fenced(1)))], promote("primary") },
    no_primary_and_all_have_forgotten = {
        vec![restarted(other_member("a", fenced(1))), restarted(other_member("b", fenced(2)))], promote("b") },
    no_member_answers = {
        vec![primary(None), other_member("a", None), other_member("b", None)],
        Choice::Wait(WaitReason::NobodyFenced) },
    no_primary_is_known = { vec![other_member("a", fenced(5)), other_member("b", fenced(9))], promote("b") },
)]
fn successor(candidates: Vec<Candidate>, expected: Choice) {
    assert_eq!(choose(&candidates, KNOWS_ALL), expected);
}

/// A VM that may not know all members that can come back relies on the primary's
/// answer: without it, nobody is promoted.
#[parameterized(
    silent_primary = {
        vec![primary(None), other_member("a", fenced(5)), other_member("b", fenced(9))], UNSAFE },
    no_primary_is_known = { vec![other_member("a", fenced(5)), other_member("b", fenced(9))], UNSAFE },
    only_one_is_listed = { vec![other_member("a", fenced(5))], UNSAFE },
    stepped_down = {
        vec![primary(fenced(9)), other_member("a", fenced(9)), other_member("b", fenced(5))], promote("a") },
    stepped_down_and_replicas_are_behind = {
        vec![primary(fenced(9)), other_member("a", fenced(5)), other_member("b", fenced(7))], promote("primary") },
)]
fn successor_by_a_vm_that_has_just_started(candidates: Vec<Candidate>, expected: Choice) {
    let knowledge = Knowledge {
        knows_departed: false,
        ..KNOWS_ALL
    };
    assert_eq!(choose(&candidates, knowledge), expected);
}

const SETTINGS: TakeoverSettings = TakeoverSettings {
    silent_ms: 250,
    failures: 2,
    stuck_ms: 900,
    unfinished_ms: 2_500,
    missing_ms: 1_200,
};

fn healthy_primary() -> PrimaryHealth {
    PrimaryHealth {
        is_known: true,
        others_answer: true,
        connects_to_primary: true,
        connects_to_any_member: true,
        ..PrimaryHealth::default()
    }
}

#[parameterized(
    healthy = { healthy_primary(), None },
    silent = { PrimaryHealth { failures: 2, silent_ms: 250, ..healthy_primary() }, Some(Reason::Silent) },
    one_failure = { PrimaryHealth { failures: 1, silent_ms: 900, ..healthy_primary() }, None },
    this_vm_is_cut_off = {
        PrimaryHealth { failures: 9, silent_ms: 900, others_answer: false, ..healthy_primary() }, None },
    silent_through_another_vm = {
        PrimaryHealth { failures: 9, silent_ms: 900, connects_to_primary: false, ..healthy_primary() }, None },
    leaving_and_no_direct_connection = {
        PrimaryHealth { is_leaving: true, connects_to_any_member: false, ..healthy_primary() }, None },
    leaving = { PrimaryHealth { is_leaving: true, ..healthy_primary() }, Some(Reason::Leaving) },
    stuck = { PrimaryHealth { stuck_ms: 900, ..healthy_primary() }, Some(Reason::Stuck) },
    left_unfinished = { PrimaryHealth { fenced_ms: 2_500, ..healthy_primary() }, Some(Reason::Unfinished) },
    missing = {
        PrimaryHealth { is_known: false, missing_ms: 1_200, ..healthy_primary() }, Some(Reason::NoPrimary) },
    not_missing_for_long = { PrimaryHealth { is_known: false, missing_ms: 90, ..healthy_primary() }, None },
)]
fn reason_to_replace_the_primary(health: PrimaryHealth, expected: Option<Reason>) {
    assert_eq!(replacement_reason(&health, &SETTINGS), expected);
}

/// A late answer alone does not make a commit stuck: if a replica has received
/// the primary's position, only the answer was lost.
#[test]
fn a_lost_answer_is_not_a_stuck_commit() {
    let mut stuck = StuckCommit::default();
    assert!(!stuck.note_replica(at(1, 9), 100));
    stuck.note_primary(at(1, 7));
    stuck.note_primary(at(1, 9));
    assert_eq!(stuck.stuck_ms(5_000), 0);
    assert!(stuck.note_replica(at(1, 7), 200));
    assert!(!stuck.is_lacking());
}

/// A primary that is too busy to report is not stuck: the time counts from the
/// first report that shows a replica lacks the commit.
#[test]
fn a_commit_is_stuck_once_a_replica_lacks_it() {
    let mut stuck = StuckCommit::default();
    stuck.note_primary(at(1, 7));
    assert_eq!(stuck.stuck_ms(3_000), 0);
    assert!(!stuck.note_replica(at(1, 6), 3_000));
    assert!(!stuck.note_replica(at(1, 6), 3_400));
    assert_eq!(stuck.stuck_ms(3_900), 900);
}

fn supply(connections_max: usize) -> ConnectionSupply {
    ConnectionSupply {
        connections_max,
        has_accounts: false,
    }
}

fn vms(zones: &[(&str, usize, f64)]) -> BTreeMap<Name, VmPlace> {
    let mut vms = BTreeMap::new();
    for (zone, count, weight) in zones {
        for number in 0..*count {
            let place = VmPlace {
                zone: (*zone).into(),
                region: (*zone).into(),
                weight: *weight,
            };
            vms.insert(format!("{zone}-{number}-{weight}").into(), place);
        }
    }
    vms
}

#[parameterized(
    few_vms = { 48, 7, None },
    as_many_as_connections = { 48, 12, None },
    more_than_connections = { 48, 13, Some(1) },
    more_connections = { 160, 300, Some(2) },
    hundreds = { 48, 300, Some(1) },
    very_few_connections = { 4, 10, Some(1) },
)]
fn holders_of_a_region(connections_max: usize, here: usize, expected: Option<usize>) {
    let vms = vms(&[("a", here, 1.0), ("b", 2, 1.0), ("c", 4, 1.0)]);
    let chosen = holders("m", supply(connections_max), &vms, &"a".into());
    assert_eq!(chosen.map(|chosen| chosen.len()), expected);
}

/// Holders are chosen in proportion to their weight, and differ by member.
#[test]
fn vms_with_more_weight_hold_more() {
    let vms = vms(&[("a", 2, 0.5), ("a", 16, 0.084), ("b", 18, 0.1)]);
    let mut heavy = 0;
    let mut all = 0;
    for member in 0..500 {
        let chosen = holders(&format!("m{member}"), supply(10), &vms, &"a".into()).unwrap();
        heavy += chosen.iter().filter(|vm| vm.ends_with("-0.5")).count();
        all += chosen.len();
    }
    let share = heavy as f64 / all as f64;
    let expected_share = 1.0 / (1.0 + 16.0 * 0.084);
    assert!(
        (share - expected_share).abs() < 0.08,
        "{share} instead of {expected_share}"
    );
}

/// A VM that leaves changes only its own assignments.
#[test]
fn holders_stay_when_another_vm_leaves() {
    let before = vms(&[("a", 20, 1.0)]);
    let chosen = holders("m", supply(20), &before, &"a".into()).unwrap();
    for vm in before.keys().filter(|vm| !chosen.contains(vm)) {
        let mut after = before.clone();
        after.remove(vm);
        assert_eq!(
            holders("m", supply(20), &after, &"a".into()).unwrap(),
            chosen
        );
    }
}

#[test]
fn holders_connect_directly_and_others_through_them() {
    let vms = vms(&[("a", 30, 1.0), ("b", 30, 1.0), ("c", 30, 1.0)]);
    for vm in vms.keys() {
        let region = &vms[vm].region;
        let chosen = holders("m", supply(30), &vms, region).unwrap();
        let paths = member_paths(vm, "m", supply(30), &vms);
        match chosen.contains(vm) {
            true => assert_eq!(paths[0], MemberPath::Direct),
            false => {
                assert!(matches!(&paths[0], MemberPath::Through(other) if chosen.contains(other)));
                assert_eq!(paths.last(), Some(&MemberPath::Direct));
            }
        }
        assert!(paths.iter().all(|path| path.through() != &**vm));
        assert!(paths.len() >= 3, "{paths:?}");
    }
    assert_eq!(
        member_paths(&"unknown".into(), "m", supply(30), &vms),
        [MemberPath::Direct]
    );
}

/// Pauses double up to the longest one; up to half is taken off at random.
#[parameterized(
    first = { 1, 100 },
    second = { 2, 200 },
    longest = { 4, 800 },
    many = { 1_000, 800 },
)]
fn pauses_double_and_vary(failures: u32, delay_ms: u64) {
    let backoff = Backoff {
        base_ms: 100,
        max_ms: 800,
    };
    assert_eq!(backoff.delay_ms(failures), delay_ms);
    let mut random = StdRng::seed_from_u64(17);
    let pauses: BTreeSet<u64> = (0..200)
        .map(|_| backoff.jittered_ms(failures, &mut random))
        .collect();
    let (shortest, longest) = (pauses.first().unwrap(), pauses.last().unwrap());
    assert!(*shortest >= delay_ms / 2 && *longest <= delay_ms);
    assert!(*longest - *shortest >= delay_ms / 4);
}
