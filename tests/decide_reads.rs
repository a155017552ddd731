//! Tests of barriers, read routing, acknowledgement and the outcome of
//! unconfirmed commits.

use foxtailknot::{
    decide::{
        acknowledge::{
            AcknowledgeMode, Commit, CommitOutcome, Decision, acknowledge, commit_outcome,
        },
        age::AgeTracker,
        barrier::barrier,
        member::{MemberStatus, MemberView, Observation, Role, asked_after},
        route::{self, Floor, ReadRequest, Reason, route},
    },
    group_id::GroupId,
    lsn::Lsn,
    position::Position,
    token::{self, TokenError},
};
use yare::parameterized;

const NOW_MS: u64 = 1_000;

fn view(role: Role, term: u64, synced_term: u64, lsn: u64, asked_ms: u64) -> MemberView {
    let status = MemberStatus {
        role,
        term,
        synced_term,
        received_lsn: Lsn(lsn),
        replayed_lsn: Lsn(lsn),
        primary_seen_ms: 0,
    };
    MemberView {
        observation: Some(Observation {
            status,
            asked_ms,
            answered_ms: asked_ms + 1,
        }),
        ..MemberView::default()
    }
}

fn primary(term: u64, lsn: u64, asked_ms: u64) -> MemberView {
    view(Role::Primary, term, term, lsn, asked_ms)
}

fn replica(term: u64, lsn: u64, asked_ms: u64) -> MemberView {
    view(Role::Replica, term, term, lsn, asked_ms)
}

fn silent(mut view: MemberView) -> MemberView {
    view.failures = 1;
    view
}

fn at(term: u64, lsn: u64) -> Position {
    Position::new(term, Lsn(lsn))
}

#[parameterized(
    a_majority_of_replicas = {
        [primary(1, 100, 10), replica(1, 60, 10), replica(1, 50, 10)], Some(at(1, 60)) },
    one_replica_is_silent = {
        [primary(1, 100, 10), replica(1, 60, 10), silent(replica(1, 50, 0))], Some(at(1, 100)) },
    an_answer_is_awaited = {
        [primary(1, 100, 10), replica(1, 60, 10), replica(1, 50, 4)], None },
    a_cut_off_primary_is_outvoted = {
        [primary(1, 130, 10), primary(2, 100, 10), replica(2, 90, 10)], Some(at(2, 100)) },
    a_replica_is_not_synchronized = {
        [silent(primary(1, 0, 0)), primary(2, 100, 10), view(Role::Replica, 2, 1, 130, 10)], None },
    an_answer_of_the_same_millisecond_is_awaited = {
        [primary(1, 100, 10), replica(1, 60, 10), replica(1, 50, 5)], None },
    no_member_confirms_the_primary = {
        [primary(1, 100, 10), silent(replica(1, 60, 0)), silent(replica(1, 50, 0))], None },
)]
fn barrier_by_majority(members: [MemberView; 3], expected: Option<Position>) {
    assert_eq!(barrier(AcknowledgeMode::Majority, &members, 5), expected);
}

#[parameterized(
    confirmed = { [primary(1, 100, 10), replica(1, 60, 10), replica(1, 50, 10)], Some(at(1, 100)) },
    confirmed_in_the_same_millisecond = {
        [primary(1, 100, 10), replica(1, 60, 5), replica(1, 50, 5)], None },
    not_confirmed_since = { [primary(1, 100, 10), replica(1, 60, 4), replica(1, 50, 4)], None },
    cut_off = { [primary(1, 130, 10), replica(2, 90, 10), replica(2, 90, 10)], None },
)]
fn barrier_of_the_primary(members: [MemberView; 3], expected: Option<Position>) {
    assert_eq!(barrier(AcknowledgeMode::Primary, &members, 5), expected);
}

#[parameterized(
    a_replica_has_it = { AcknowledgeMode::Majority, replica(1, 50, 0), Decision::Acknowledge },
    a_replica_lacks_it = { AcknowledgeMode::Majority, replica(1, 49, 30), Decision::Wait },
    a_replica_accepted_a_higher_term = {
        AcknowledgeMode::Majority, view(Role::Replica, 2, 1, 50, 30), Decision::Unknown },
    a_replica_follows_another_log = { AcknowledgeMode::Majority, replica(2, 90, 30), Decision::Unknown },
    term_confirmed_after = { AcknowledgeMode::Term, replica(1, 0, 21), Decision::Acknowledge },
    term_confirmed_before = { AcknowledgeMode::Term, replica(1, 50, 19), Decision::Wait },
    term_confirmed_in_the_same_millisecond = {
        AcknowledgeMode::Term, replica(1, 50, 20), Decision::Wait },
    no_confirmation_is_needed = { AcknowledgeMode::Primary, replica(2, 0, 0), Decision::Acknowledge },
)]
fn acknowledgement(mode: AcknowledgeMode, other: MemberView, expected: Decision) {
    let commit = Commit {
        position: at(1, 50),
        primary: 0,
        answered_ms: 20,
    };
    let members = [primary(1, 50, 0), other, silent(replica(1, 0, 0))];
    assert_eq!(acknowledge(mode, &commit, &members), expected);
}

#[parameterized(
    lacks_it = { at(2, 90), Some(2), CommitOutcome::Discarded },
    ends_before_it = { at(2, 40), None, CommitOutcome::Discarded },
    same_term = { at(1, 90), Some(1), CommitOutcome::Open },
)]
fn outcome_of_a_commit(now: Position, found: Option<u64>, expected: CommitOutcome) {
    let commit = Commit {
        position: at(1, 50),
        primary: 0,
        answered_ms: 20,
    };
    assert_eq!(commit_outcome(&commit, now, 1, found), expected);
}

/// An inherited commit is safe only once it is confirmed in the new primary's
/// term.
#[test]
fn an_inherited_commit_waits_in_the_new_term() {
    let commit = Commit {
        position: at(1, 50),
        primary: 0,
        answered_ms: 20,
    };
    let CommitOutcome::Inherited(inherited) = commit_outcome(&commit, at(3, 90), 1, Some(1)) else {
        panic!("the new primary has the commit");
    };
    assert_eq!(inherited.position, at(3, 50));
    assert_eq!(inherited.primary, 1);
}

#[parameterized(
    near_before_far = { [primary(1, 90, 0), replica(1, 60, 0), near(replica(1, 60, 0))], 0, 0,
        route::Decision::Member(2, Reason::NearReplica) },
    far_if_the_near_one_is_behind = { [primary(1, 90, 0), replica(1, 60, 0), near(replica(1, 40, 0))],
        0, 0, route::Decision::Member(1, Reason::FarReplica) },
    behind_asks_once = { [primary(1, 90, 0), replica(1, 40, 0), replica(1, 40, 0)], 900, 2_000,
        route::Decision::Refresh { asked_after_ms: 900 } },
    behind_in_the_same_millisecond_asks_again = {
        [primary(1, 90, 0), replica(1, 40, 900), replica(1, 40, 900)], 900, 2_000,
        route::Decision::Refresh { asked_after_ms: 900 } },
    behind_waits = { [primary(1, 90, 0), replica(1, 40, 950), replica(1, 40, 950)], 900, 2_000,
        route::Decision::Wait { until_ms: 2_000 } },
    behind_for_too_long = { [primary(1, 90, 0), replica(1, 40, 950), replica(1, 40, 950)], 900, 990,
        route::Decision::Member(0, Reason::ReplicasBehind) },
    a_replaced_primary_does_not_serve = {
        [primary(0, 90, 1), silent(replica(1, 0, 0)), silent(replica(1, 0, 0))], 0, 0,
        route::Decision::NoMember },
)]
fn routes(
    members: [MemberView; 3],
    arrived_ms: u64,
    wait_until_ms: u64,
    expected: route::Decision,
) {
    let request = ReadRequest {
        floor: Floor::Known(at(1, 50)),
        max_age_ms: None,
        arrived_ms,
        wait_until_ms,
    };
    let decided = route(&request, &members, &AgeTracker::default(), NOW_MS);
    assert_eq!(decided, expected);
}

fn near(mut view: MemberView) -> MemberView {
    view.is_near = true;
    view
}

#[parameterized(
    recent_enough = { 400, route::Decision::Member(1, Reason::FarReplica) },
    too_old = { 200, route::Decision::Member(0, Reason::ReplicasTooOld) },
)]
fn routes_by_age(max_age_ms: u64, expected: route::Decision) {
    let mut ages = AgeTracker::default();
    ages.observe(700, at(1, 60));
    ages.observe(950, at(1, 90));
    let members = [
        primary(1, 90, 950),
        replica(1, 60, 950),
        silent(replica(1, 0, 0)),
    ];
    let request = ReadRequest {
        floor: Floor::Known(at(1, 50)),
        max_age_ms: Some(max_age_ms),
        arrived_ms: 940,
        wait_until_ms: 960,
    };
    assert_eq!(route(&request, &members, &ages, NOW_MS), expected);
}

/// A read does not wait for a replica that is known to be a second behind.
#[test]
fn does_not_wait_for_a_replica_far_behind() {
    let mut ages = AgeTracker::default();
    ages.observe(0, at(1, 40));
    ages.observe(950, at(1, 50));
    let members = [
        primary(1, 50, 950),
        replica(1, 40, 950),
        silent(replica(1, 0, 0)),
    ];
    let request = ReadRequest {
        floor: Floor::Known(at(1, 50)),
        max_age_ms: None,
        arrived_ms: 940,
        wait_until_ms: 1_020,
    };
    let decided = route(&request, &members, &ages, NOW_MS);
    assert_eq!(decided, route::Decision::Member(0, Reason::ReplicasBehind));
}

#[parameterized(
    later = { 6, true },
    in_the_same_millisecond = { 5, false },
    earlier = { 4, false },
)]
fn order_of_a_question_and_an_event(asked_ms: u64, expected: bool) {
    assert_eq!(asked_after(asked_ms, 5), expected);
}

/// The position in a token counts for the service and the group that it was reached in only.
#[test]
fn token_says_nothing_about_another_service_or_group() {
    let (own, other) = (GroupId(1), GroupId(2));
    let token = token::encode("shades", own, at(3, 50));
    assert_eq!(token::decode("walls", &token), Err(TokenError::Service));
    let mut floor = token::decode("shades", &token).unwrap();
    assert_eq!(floor.within(own), Floor::Known(at(3, 50)));
    assert_eq!(floor.within(other), Floor::Unknown);
    assert!(floor.raise(at(1, 9), other));
    assert_eq!(floor.within(other), Floor::Known(at(1, 9)));
    assert_eq!(floor.within(own), Floor::Unknown);
    let new = token::decode("shades", token::NEW_SESSION).unwrap();
    assert_eq!(new.within(own), Floor::Known(Position::default()));
}
