//! Tests of what an attempt to replace a primary does after its order.

use foxtailknot::{
    decide::{
        attempt::{
            ATTEMPT_MS, Attempt, AttemptMember, LEADERSHIP_MS, Leadership, ListRead, OrderAnswer,
            PromoteOutcome, Step,
        },
        takeover::Reason,
    },
    lsn::Lsn,
    prelude::{BTreeMap, Name, Position},
};
use yare::parameterized;

/// Start of the attempts, in milliseconds.
const START_MS: u64 = 50_000;
/// Time by which every member that receives is listed, in milliseconds.
const LISTED_MS: u64 = START_MS + 800;

fn attempt() -> Attempt {
    attempt_with(None)
}

/// An attempt by a VM to which the primary has reported a position.
fn attempt_with(reported: Option<Position>) -> Attempt {
    let member = |name: &str| AttemptMember {
        member: name.into(),
        is_primary: name == "primary",
        is_leaving: false,
        is_gone: false,
        is_restarted: false,
        highest_received: reported.filter(|_| name == "primary"),
    };
    let members = ["primary", "ahead", "behind"].map(member);
    Attempt::new(START_MS, Reason::Silent, true, members.to_vec())
}

fn fenced() -> BTreeMap<Name, OrderAnswer> {
    let at = |lsn: u64| OrderAnswer::Fenced {
        received: Position::new(1, Lsn(lsn)),
    };
    [("ahead".into(), at(9)), ("behind".into(), at(7))].into()
}

fn list() -> Option<ListRead> {
    Some(ListRead {
        asked_ms: LISTED_MS,
        back_ms: None,
    })
}

/// Fences all others until a member is chosen, or the attempt ends.
fn fence(attempt: &mut Attempt) {
    attempt.fenced(&fenced(), list(), START_MS + 100);
    if let Step::Settle { until_ms } = *attempt.step() {
        attempt.settled(until_ms);
    }
}

/// An attempt that has ordered, with an outcome.
fn ordered(outcome: PromoteOutcome) -> Attempt {
    let mut attempt = attempt();
    fence(&mut attempt);
    attempt.connected(true, LISTED_MS);
    attempt.prepared(true, &fenced(), list(), LISTED_MS);
    assert!(matches!(attempt.step(), Step::Promote { member } if &**member == "ahead"));
    attempt.ordered(outcome, LISTED_MS);
    attempt
}

fn awaits(attempt: &Attempt) -> bool {
    matches!(attempt.step(), Step::AwaitLeadership { member } if &**member == "ahead")
}

/// It reports less than before: its log says nothing about what was acknowledged.
#[test]
fn primary_that_restarted_without_its_log_has_not_stepped_down() {
    let mut attempt = attempt_with(Some(Position::new(1, Lsn(8))));
    let empty = OrderAnswer::Fenced {
        received: Position::new(1, Lsn(0)),
    };
    let only_behind = [("primary", empty), ("behind", fenced()["behind"])];
    let answers = only_behind.map(|(name, answer)| (name.into(), answer));
    attempt.fenced(&answers.into(), list(), START_MS + 100);
    assert!(!attempt.has_stepped_down());
    assert_eq!(*attempt.step(), Step::Pause);
}

/// A primary that stepped down is ordered to lead again; by then it may have restarted.
#[parameterized(
    has_its_log = { Some(9), true },
    without_its_log = { Some(0), false },
    silent = { None, false },
)]
fn stepped_down_primary_leads_again_only_with_its_log(told: Option<u64>, expected: bool) {
    let at = |lsn: u64| Position::new(1, Lsn(lsn));
    let behind = |received: Position| OrderAnswer::Receiving { received };
    let mut answers: BTreeMap<Name, OrderAnswer> = BTreeMap::new();
    answers.insert("primary".into(), OrderAnswer::Fenced { received: at(9) });
    answers.insert("behind".into(), behind(at(7)));
    let mut attempt = attempt();
    attempt.fenced(&answers, list(), START_MS + 100);
    attempt.paused(START_MS + 1_600);
    answers.remove(&Name::from("primary"));
    attempt.fenced(&answers, list(), START_MS + 1_600);
    attempt.connected(true, START_MS + 1_600);
    assert!(matches!(attempt.step(), Step::Prepare { member } if &**member == "primary"));
    if let Some(lsn) = told {
        answers.insert("primary".into(), OrderAnswer::Fenced { received: at(lsn) });
    }
    attempt.prepared(true, &answers, list(), START_MS + 1_700);
    assert_eq!(matches!(attempt.step(), Step::Promote { .. }), expected);
    attempt.fenced(&answers, list(), START_MS + 1_750);
    if told == Some(0) {
        assert_eq!(*attempt.step(), Step::Pause);
    }
}

#[test]
fn order_without_a_connection_is_not_recorded() {
    let mut attempt = attempt();
    fence(&mut attempt);
    attempt.connected(false, LISTED_MS);
    assert_eq!(*attempt.step(), Step::Resume);
    assert!(attempt.has_ordered_nothing());
    assert!(attempt.has_failed_to_order());
}

/// The platform did not carry it out.
#[test]
fn order_over_the_rate_limit_leaves_nothing_open() {
    let mut attempt = ordered(PromoteOutcome::Rejected);
    assert_eq!(*attempt.step(), Step::Pause);
    assert!(attempt.has_ordered_nothing());
    attempt.paused(LISTED_MS + 50);
    assert_eq!(*attempt.step(), Step::Fence);
    attempt.paused(START_MS + ATTEMPT_MS);
    assert!(attempt.has_failed_to_order());
}

#[parameterized(
    accepted = { PromoteOutcome::Accepted, false },
    unclear = { PromoteOutcome::Unknown, false },
    open = { PromoteOutcome::Open, true },
    lost = { PromoteOutcome::Lost, true },
)]
fn only_an_order_without_an_answer_may_arrive_later(outcome: PromoteOutcome, expected: bool) {
    let attempt = ordered(outcome);
    assert!(awaits(&attempt));
    assert_eq!(attempt.has_open_order(), expected);
    assert!(!attempt.has_ordered_nothing());
}

/// The claim is renewed, and nobody else is ordered.
#[test]
fn open_order_keeps_its_attempt_until_the_answer() {
    let mut attempt = ordered(PromoteOutcome::Open);
    let mut now_ms = LISTED_MS;
    for _ in 0..100 {
        now_ms += 200;
        match attempt.step() {
            Step::Renew { .. } => attempt.renewed(true, now_ms, now_ms),
            _ => attempt.awaited(Leadership::No, Some(PromoteOutcome::Open), now_ms),
        }
        assert!(awaits(&attempt) || matches!(attempt.step(), Step::Renew { .. }));
    }
    attempt.awaited(Leadership::No, Some(PromoteOutcome::Accepted), now_ms);
    assert!(awaits(&attempt) && !attempt.has_open_order());
    attempt.awaited(Leadership::LaterTerm, None, now_ms + 500);
    assert_eq!(*attempt.step(), Step::Resume);
}

/// Others may act on the claim then.
#[test]
fn open_order_is_left_when_the_claim_is_not_renewed() {
    let mut attempt = ordered(PromoteOutcome::Open);
    let mut now_ms = LISTED_MS;
    while *attempt.step() != Step::End {
        now_ms += 200;
        match attempt.step() {
            Step::Renew { .. } => attempt.renewed(false, now_ms, now_ms),
            _ => attempt.awaited(Leadership::No, Some(PromoteOutcome::Open), now_ms),
        }
        assert!(now_ms <= START_MS + LEADERSHIP_MS + 400);
    }
    assert!(attempt.has_open_order());
}

#[parameterized(
    later_term = { Leadership::LaterTerm, false },
    after_a_crash = { Leadership::SameTerm, true },
)]
fn later_term_tells_that_an_open_order_has_arrived(leadership: Leadership, expected: bool) {
    let mut attempt = ordered(PromoteOutcome::Open);
    attempt.awaited(leadership, Some(PromoteOutcome::Open), LISTED_MS + 500);
    assert_eq!(*attempt.step(), Step::Resume);
    assert_eq!(attempt.has_open_order(), expected);
}

/// The first one may still arrive.
#[test]
fn repeated_order_settles_nothing() {
    let mut attempt = ordered(PromoteOutcome::Lost);
    attempt.awaited(Leadership::No, None, LISTED_MS + 700);
    assert!(matches!(attempt.step(), Step::Connect { member } if &**member == "ahead"));
    attempt.connected(true, LISTED_MS + 700);
    attempt.prepared(true, &fenced(), list(), LISTED_MS + 750);
    attempt.ordered(PromoteOutcome::Refused, LISTED_MS + 800);
    assert!(awaits(&attempt) && attempt.has_open_order());
    attempt.awaited(Leadership::LaterTerm, None, LISTED_MS + 900);
    assert!(attempt.has_open_order());
}

#[test]
fn late_refusal_lets_another_member_be_ordered() {
    let mut attempt = ordered(PromoteOutcome::Open);
    let outcome = Some(PromoteOutcome::Refused);
    attempt.awaited(Leadership::No, outcome, LISTED_MS + 600);
    assert_eq!(*attempt.step(), Step::Fence);
    assert!(!attempt.has_open_order());
}

#[parameterized(
    the_same_member = { "ahead", true },
    another_member = { "behind", false },
)]
fn attempt_after_an_open_order_orders_the_same_member_only(open: &str, expected: bool) {
    let mut attempt = attempt().after_open_order(Some(open.into()));
    fence(&mut attempt);
    assert_eq!(matches!(attempt.step(), Step::Connect { .. }), expected);
    if !expected {
        attempt.paused(START_MS + ATTEMPT_MS);
        // Replicas that resumed would receive what the member lacks.
        assert_eq!(*attempt.step(), Step::End);
    }
    assert!(attempt.has_open_order());
}
