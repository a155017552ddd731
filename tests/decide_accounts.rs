//! Tests of the decisions about client accounts: keys, limits over all VMs, and the VM
//! that counts.

use std::collections::BTreeMap;

use foxtailknot::{
    decide::load::{
        account::{Account, AccountKey, Accounts, RateLimit},
        allotment::{Credit, Grant, REFUSE_MAX_MS, REFUSE_MIN_MS, TOKEN_LIFETIME_MS, WindowCount},
        askers::Askers,
        counters::{Counter, PeerHealth, PeerState, choose_counter, counters},
        holders::VmPlace,
    },
    prelude::Name,
};
use yare::parameterized;

const WINDOW_MS: u64 = 5_000;
/// Time since which a counter has counted that knows all windows.
const LONG_MS: u64 = u64::MAX;

fn limit(version: u64, rate_per_s: f64, burst: f64) -> RateLimit {
    RateLimit {
        version,
        rate_per_s,
        burst,
    }
}

fn key(text: &str) -> AccountKey {
    Name::from(text).into()
}

fn accounts(entries: &[(&str, &[&str])]) -> (Accounts, Vec<String>) {
    let entries = entries.iter().map(|(name, keys)| {
        let account = Account {
            name: (*name).into(),
            limit: None,
        };
        (account, keys.iter().map(|k| key(k)).collect())
    });
    let (accounts, ambiguous) = Accounts::new(entries.collect());
    (accounts, ambiguous.iter().map(|n| n.to_string()).collect())
}

#[parameterized(
    first_key = { "k1", Some("acme") },
    second_key = { "k2", Some("acme") },
    other_account = { "k3", Some("bolt") },
    unknown = { "k4", None },
    none = { "", None },
    shared_by_two_accounts = { "k5", None },
)]
fn account_of_a_key(text: &str, expected: Option<&str>) {
    let (accounts, ambiguous) = accounts(&[
        ("acme", &["k1", "k2", "k5"]),
        ("bolt", &["k3", "k5"]),
        ("idle", &[]),
    ]);
    let found = accounts.find(&key(text)).map(|a| &*a.name);
    assert_eq!(found, expected);
    assert_eq!(ambiguous, ["acme", "bolt"]);
}

/// A key must not appear in a log line that prints the configuration.
#[test]
fn keys_are_not_printed() {
    let (accounts, _) = accounts(&[("acme", &["secret"])]);
    assert!(!format!("{accounts:?}").contains("secret"));
}

/// Operations that run when each VM asks for one token every `step_ms`, from `from_ms`
/// to `to_ms`; the times of those granted.
fn ask_steadily(count: &mut WindowCount, limit: RateLimit, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let times = (from_ms..to_ms).step_by(5);
    let granted = times.filter(|at| count.take(1, limit, *at).tokens == 1);
    granted.collect()
}

/// Most of `times` in any window.
fn busiest_window(times: &[u64]) -> usize {
    let ends = times.iter().map(|start| {
        let inside = times
            .iter()
            .filter(|at| (*start..*start + WINDOW_MS).contains(at));
        inside.count()
    });
    ends.max().unwrap_or(0)
}

#[parameterized(
    small_account = { 2.0, 2.0 },
    large_account = { 60.0, 60.0 },
    large_burst = { 5.0, 100.0 },
    no_burst = { 10.0, 0.0 },
)]
fn no_window_holds_more_than_the_limit(rate_per_s: f64, burst: f64) {
    let limit = limit(1, rate_per_s, burst);
    let mut count = WindowCount::new(limit, WINDOW_MS, LONG_MS, 20_000);
    let times = ask_steadily(&mut count, limit, 20_000, 50_000);
    let allowed = (rate_per_s * WINDOW_MS as f64 / 1_000.0 + burst) as usize;
    let busiest = busiest_window(&times);
    assert!(busiest <= allowed, "{busiest} of {allowed}");
    // A load far above the limit is served at nearly the limit.
    assert!(
        times.len() * 10 >= allowed * 6 * 8,
        "{} of {}",
        times.len(),
        allowed * 6
    );
}

/// A load within the limit is never refused, however few operations that are.
#[parameterized(
    small_account = { 2.0, 2_000 },
    large_account = { 100.0, 16 },
)]
fn load_within_the_limit_is_served(rate_per_s: f64, pause_ms: u64) {
    let limit = limit(1, rate_per_s, rate_per_s);
    let mut count = WindowCount::new(limit, WINDOW_MS, LONG_MS, 0);
    for at in (0..30_000).step_by(pause_ms as usize) {
        assert_eq!(count.take(1, limit, at).tokens, 1, "at {at}");
    }
}

/// A counter that has just started does not know what another one granted before.
#[test]
fn restart_does_not_grant_a_window_twice() {
    let limit = limit(1, 20.0, 20.0);
    let mut before = WindowCount::new(limit, WINDOW_MS, LONG_MS, 20_000);
    let mut times = ask_steadily(&mut before, limit, 20_000, 26_000);
    let mut after = WindowCount::new(limit, WINDOW_MS, 0, 26_000);
    times.extend(ask_steadily(&mut after, limit, 26_000, 40_000));
    let busiest = busiest_window(&times);
    // 120 are allowed; the tolerance of limits is a tenth.
    assert!(busiest <= 132, "{busiest}");
    assert!(times.len() >= 300, "{} in 20 s", times.len());
}

/// A counter that wakes after a suspension takes the time for granted by its deputy.
#[test]
fn suspension_does_not_grant_a_window_twice() {
    let limit = limit(1, 20.0, 20.0);
    let mut first = WindowCount::new(limit, WINDOW_MS, LONG_MS, 20_000);
    let mut deputy = WindowCount::new(limit, WINDOW_MS, 0, 24_000);
    let mut times = ask_steadily(&mut first, limit, 20_000, 24_000);
    times.extend(ask_steadily(&mut deputy, limit, 24_000, 28_000));
    first.assume_granted(0, 28_000);
    times.extend(ask_steadily(&mut first, limit, 28_000, 38_000));
    let busiest = busiest_window(&times);
    assert!(busiest <= 132, "{busiest}");
}

/// A limit that is lowered far below the load binds after one window.
#[test]
fn lowered_limit_binds_within_a_window() {
    let high = limit(1, 100.0, 100.0);
    let low = limit(2, 10.0, 10.0);
    let mut count = WindowCount::new(high, WINDOW_MS, LONG_MS, 20_000);
    ask_steadily(&mut count, high, 20_000, 30_000);
    let times = ask_steadily(&mut count, low, 30_000, 50_000);
    assert!(busiest_window(&times) <= 60);
    // VMs that have not heard of the new limit can't raise it again.
    assert_eq!(ask_steadily(&mut count, high, 50_000, 50_100).len(), 0);
}

/// An account whose rate is zero runs its burst in each window, and no more.
#[test]
fn rate_of_zero_is_refused_with_a_time() {
    let limit = limit(1, 0.0, 0.0);
    let mut count = WindowCount::new(limit, WINDOW_MS, LONG_MS, 20_000);
    let grant = count.take(1, limit, 20_000);
    assert_eq!(grant.tokens, 0);
    assert!(grant.retry_after_ms > 0);
}

fn grant(tokens: u32, retry_after_ms: u64) -> Grant {
    Grant {
        tokens,
        retry_after_ms,
    }
}

/// A VM that wakes after a suspension must not spend tokens that were granted before.
#[test]
fn tokens_expire() {
    let mut credit = Credit::default();
    credit.add(grant(2, 0), 1_000, 1_050);
    assert!(credit.spend(1_500));
    assert!(!credit.spend(1_000 + TOKEN_LIFETIME_MS));
}

/// A token is counted from the question: the answer may have been on its way for long.
#[test]
fn late_grant_expires_with_its_question() {
    let mut credit = Credit::default();
    credit.add(grant(2, 0), 1_000, 1_000 + TOKEN_LIFETIME_MS);
    assert!(!credit.spend(1_000 + TOKEN_LIFETIME_MS));
}

#[test]
fn operation_that_was_not_sent_gives_its_token_back() {
    let mut credit = Credit::default();
    credit.add(grant(1, 0), 1_000, 1_000);
    assert!(credit.spend(1_100));
    assert!(!credit.spend(1_100));
    credit.give_back();
    assert!(!credit.spend(1_100 + TOKEN_LIFETIME_MS), "it expires");
}

/// While an account is over its limit, its callers are refused without a question each.
#[test]
fn refusals_need_no_question_for_a_while() {
    let mut credit = Credit::default();
    credit.add(grant(0, 4_000), 1_000, 1_050);
    assert_eq!(credit.refusal_ms(1_100), Some(REFUSE_MAX_MS - 50));
    assert_eq!(credit.refusal_ms(1_050 + REFUSE_MAX_MS), None);
}

/// Many VMs that ask again as soon as one token is free would overload the counter.
#[test]
fn refused_vm_does_not_ask_again_at_once() {
    let mut credit = Credit::default();
    credit.add(grant(3, 7), 1_000, 1_050);
    assert_eq!(credit.refusal_ms(1_050), Some(REFUSE_MIN_MS));
}

/// A busy VM asks ahead; a quiet one asks for each operation, so that tokens don't
/// expire unused.
#[parameterized(
    busy = { 20, 100, true },
    quiet = { 2_000, 3, false },
)]
fn asks_ahead_by_demand(pause_ms: u64, operations: u64, asks_ahead: bool) {
    let mut credit = Credit::default();
    for number in 0..operations {
        credit.record_demand(number * pause_ms);
    }
    assert_eq!(credit.wanted(1) > 1, asks_ahead, "{}", credit.wanted(1));
}

/// However many VMs reach no counter, they stay within the tolerance of a limit.
#[parameterized(
    small_account = { 2.0, 139 },
    large_account = { 400.0, 139 },
    few_vms = { 20.0, 3 },
)]
fn cut_off_vms_let_few_operations_pass(rate_per_s: f64, vms: usize) {
    let limit = limit(1, rate_per_s, rate_per_s);
    let mut passed = 0;
    for _ in 0..vms {
        let mut credit = Credit::default();
        let times = (100_000..100_000 + 4 * WINDOW_MS).step_by(10);
        let scope = (WINDOW_MS, vms);
        passed += times
            .filter(|at| credit.pass_cut_off(limit, scope, *at).is_ok())
            .count();
    }
    let tolerated = 4.0 * (6.0 * rate_per_s * 0.1 + 20.0);
    assert!(passed as f64 <= tolerated, "{passed}");
}

fn vms(weights: &[(&str, f64)]) -> BTreeMap<Name, VmPlace> {
    let vms = weights.iter().map(|(name, weight)| {
        let place = VmPlace {
            zone: "a".into(),
            region: "r".into(),
            weight: *weight,
        };
        (Name::from(*name), place)
    });
    vms.collect()
}

#[test]
fn large_vms_count() {
    let vms = vms(&[
        ("s1", 0.08),
        ("s2", 0.08),
        ("l1", 0.5),
        ("l2", 0.4),
        ("l3", 0.5),
    ]);
    for account in 0..100 {
        let chosen = counters(&format!("a{account}"), &vms);
        assert_eq!(chosen.len(), 3);
        assert!(chosen.iter().all(|vm| vm.starts_with('l')), "{chosen:?}");
    }
}

fn other(vm: &str, rank: usize) -> Counter {
    Counter::Other {
        vm: vm.into(),
        rank,
    }
}

#[parameterized(
    first = { "x", None, &[], other("a", 0) },
    deputy_while_the_first_fails = { "x", None, &["a"], other("b", 1) },
    none_answers = { "x", None, &["a", "b", "c"], Counter::None },
    own_count = { "a", None, &[], Counter::Own },
    own_count_as_deputy = { "b", None, &["a"], Counter::Own },
    deputy_asks_the_first_itself = { "b", Some(1), &[], other("a", 0) },
    deputy_that_does_not_reach_it_either = { "b", Some(1), &["a"], Counter::Own },
    first_is_asked = { "a", Some(0), &[], Counter::Own },
    asked_by_a_vm_with_another_list = { "x", Some(0), &[], Counter::Own },
    first_without_contact_asks_its_deputy = { "cut a", None, &[], other("b", 1) },
    deputy_without_contact_does_not_count = { "cut b", None, &["a", "c"], Counter::None },
    first_without_contact_is_asked = { "cut a", Some(0), &[], Counter::Own },
)]
fn who_counts(own: &str, asked_rank: Option<usize>, failed: &[&str], expected: Counter) {
    let ranking: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let state = |vm: &Name| {
        let late = format!("late {vm}");
        match (failed.contains(&&**vm), failed.contains(&late.as_str())) {
            (true, _) => PeerState::Absent,
            (_, true) => PeerState::Failed,
            _ => PeerState::Answers,
        }
    };
    let (name, has_contact) = match own.strip_prefix("cut ") {
        Some(name) => (name, false),
        None => (own, true),
    };
    let own = (&Name::from(name), has_contact);
    let chosen = choose_counter(&ranking, own, asked_rank, state);
    assert_eq!(chosen, expected);
}

/// One answer that is late must not make another VM count; silence must.
#[test]
fn silence_makes_a_vm_absent() {
    let mut health = PeerHealth::default();
    assert_eq!(health.state(10_000), PeerState::Answers);
    health.record_failure(10_000, 10_150);
    assert_eq!(health.state(10_200), PeerState::Failed);
    assert_eq!(
        health.state(10_400),
        PeerState::Answers,
        "it is tried again"
    );
    health.record_failure(10_400, 10_550);
    assert_eq!(health.state(10_550), PeerState::Absent);
    assert_eq!(
        health.state(11_600),
        PeerState::Answers,
        "it is tried again"
    );
    health.record_answer();
    health.record_failure(11_600, 11_750);
    assert_eq!(health.state(11_800), PeerState::Failed);
}

/// A deputy must not grant the larger share on account of VMs that a partition keeps from
/// it, nor lose it while VMs that prove contact ask seldom.
#[parameterized(
    all_ask = { 1_000, 1_000, 1_500, 3 },
    seldom_but_in_contact = { 1_000, 3_500, 3_900, 3 },
    out_of_contact = { 1_000, 1_000, 2_100, 0 },
    contact_alone = { 1_000, 4_500, 4_600, 0 },
)]
fn vms_that_ask_a_deputy(asked_ms: u64, heard_ms: u64, now_ms: u64, expected: usize) {
    let account = Name::from("a");
    let mut askers = Askers::default();
    for vm in ["x", "y", "z"].map(Name::from) {
        askers.record_question(&account, &vm, asked_ms);
        askers.record_contact(&vm, heard_ms);
    }
    askers.record_question(&Name::from("other"), &Name::from("w"), now_ms);
    assert_eq!(askers.count(&account, now_ms), expected);
    askers.expire(now_ms);
    assert_eq!(askers.count(&account, now_ms), expected);
}
