//! Failover through separate processes: what callers see while a primary
//! fails, and that nothing acknowledged is lost or doubled.

mod common;

use std::time::Duration;

use standin::{
    bench::{Bench, BenchSettings, wait_until},
    history::{Violation, check},
    load::{
        caller::SessionTransfer,
        failover::{PrimaryFault, create_table, run, stored_keys},
        writers::{Writers, WritersPlan},
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// The stated bound of a change of primary.
const GAP_MAX: Duration = Duration::from_secs(8);

/// Causes a fault under load and checks every promise.
fn fails_over(fault: PrimaryFault, platform_down: bool) {
    let settings = BenchSettings::builder().proxies(5).connect_ms(12).build();
    let mut bench = Bench::start(settings);
    create_table(&bench);
    let report = run(&mut bench, fault, 8, platform_down);
    assert_eq!(report.violations, Vec::new(), "{:?}", report.primaries);
    assert!(report.gap <= GAP_MAX, "gap {:?}", report.gap);
    assert_ne!(report.primaries.0, report.primaries.1);
    println!("gap {:?}, failures {:?}", report.gap, report.failures);
}

common::cases! {
    fails_over:
    a_killed_primary_is_replaced(PrimaryFault::Kill, false),
    the_primary_and_its_delegate_are_lost_together(PrimaryFault::KillWithDelegate, false),
    a_frozen_primary_is_replaced(PrimaryFault::Freeze, false),
    a_primary_cut_from_its_peers_is_replaced(PrimaryFault::CutFromPeers, false),
    a_silent_primary_is_replaced(PrimaryFault::Silence, false),
    a_killed_primary_is_replaced_without_the_platform(PrimaryFault::Kill, true),
}

/// A replica that is far behind follows the second primary for a moment; then
/// it must not win over the first one, which holds all that was acknowledged.
#[test]
fn two_failovers_in_a_row_lose_nothing() {
    let settings = BenchSettings::builder().proxies(3).build();
    let bench = Bench::start(settings);
    create_table(&bench);
    wait_until("the third holds the table", TIMEOUT, || {
        let client = bench.endpoints[0][2].connect();
        client.is_some_and(|mut c| c.simple_query("SELECT count(*) FROM entries").is_ok())
    });
    bench.endpoints[0][2].set_lag(3_000, 0);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _entered = runtime.enter();
    let addresses = bench.caller_addresses();
    let plan = WritersPlan {
        sessions: 4,
        writes: usize::MAX,
        switches_proxy: false,
        transfer: SessionTransfer::Token,
        pause: Duration::from_millis(2),
        prefix: "w".into(),
    };
    let writers = Writers::start(&addresses, &bench.service(0), &plan);
    wait_until("writes land", TIMEOUT, || writers.acknowledged() >= 100);
    let members = &bench.endpoints[0];
    let term = |member: usize| members[member].status().map_or(0, |s| s.term);
    members[0].freeze();
    wait_until("the second leads", TIMEOUT, || {
        members[1].status().is_some_and(|s| s.is_primary)
    });
    wait_until("the third follows it", TIMEOUT, || {
        let status = members[2].status();
        term(2) == term(1) && status.is_some_and(|s| s.primary_seen_ms < 200)
    });
    let before = term(1);
    members[1].freeze();
    members[0].thaw();
    wait_until("the first or the third leads", TIMEOUT, || {
        let leads = |i: usize| {
            members[i]
                .status()
                .is_some_and(|s| s.is_primary && s.term > before)
        };
        leads(0) || leads(2)
    });
    let log = runtime.block_on(writers.stop());
    members[1].thaw();
    let leader = bench.primary(0).unwrap();
    let violations = check(&log.history(stored_keys(&bench, leader)));
    assert_eq!(violations, Vec::new(), "member {leader} leads");
}

/// A write that is run again after its primary was replaced gives its caller
/// one answer, with nothing left of the first attempt's.
#[test]
fn a_repeated_write_has_one_answer() {
    let bench = Bench::start(BenchSettings::builder().proxies(3).build());
    create_table(&bench);
    let mut client = bench.proxies[0].connect(&bench.service(0)).unwrap();
    let sql = "INSERT INTO entries (key, half) VALUES ($1, 0) RETURNING key";
    let insert = client.prepare(sql).unwrap();
    bench.endpoints[0][0].set_partitioned(true);
    let row = client.query_one(&insert, &[&"once"]).unwrap();
    assert_eq!(row.get::<_, String>(0), "once");
    let leader = bench.primary_excluding(0, 0).unwrap();
    assert_eq!(stored_keys(&bench, leader), ["once"]);
}

/// The checker sees what the confirmation is for: where the primary's answer
/// is enough, a primary cut off from its peers loses acknowledged writes.
#[test]
fn without_confirmation_acknowledged_writes_are_lost() {
    let settings = BenchSettings::builder()
        .proxies(3)
        .extra(vec!["acknowledge: primary".into()])
        .build();
    let mut bench = Bench::start(settings);
    create_table(&bench);
    let report = run(&mut bench, PrimaryFault::CutFromPeers, 8, false);
    let is_lost = |v: &Violation| matches!(v, Violation::LostWrite(_));
    assert!(report.violations.iter().any(is_lost));
}
