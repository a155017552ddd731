//! Failover across separate processes: what callers see while a primary fails,
//! and that no acknowledged write is lost or duplicated.

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

/// Documented limit for the time without an acknowledged write during a change
/// of primary.
const GAP_MAX: Duration = Duration::from_secs(8);

/// Injects a fault under load and checks that another member takes over in time
/// and that the history of the writes has no violation.
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

/// A lagging replica must not be promoted because it has the newer term: it
/// follows the second primary for a moment, then that one fails too, while the
/// first primary is back and holds every acknowledged write.
#[test]
fn two_failovers_in_a_row_lose_nothing() {
    let settings = BenchSettings::builder().proxies(3).build();
    let bench = Bench::start(settings);
    create_table(&bench);
    wait_until("the third member has the table", TIMEOUT, || {
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
    wait_until("writes are acknowledged", TIMEOUT, || {
        writers.acknowledged() >= 100
    });
    let members = &bench.endpoints[0];
    let term = |member: usize| members[member].status().map_or(0, |s| s.term);
    members[0].freeze();
    wait_until("the second member is the primary", TIMEOUT, || {
        members[1].status().is_some_and(|s| s.is_primary)
    });
    wait_until("the third member follows it", TIMEOUT, || {
        let status = members[2].status();
        term(2) == term(1) && status.is_some_and(|s| s.primary_seen_ms < 200)
    });
    let term_before = term(1);
    members[1].freeze();
    members[0].thaw();
    wait_until("the first or the third is the primary", TIMEOUT, || {
        let is_primary = |i: usize| {
            members[i]
                .status()
                .is_some_and(|s| s.is_primary && s.term > term_before)
        };
        is_primary(0) || is_primary(2)
    });
    let log = runtime.block_on(writers.stop());
    members[1].thaw();
    let primary = bench.primary(0).unwrap();
    let violations = check(&log.history(stored_keys(&bench, primary)));
    assert_eq!(violations, Vec::new(), "member {primary} is the primary");
}

/// A write that is retried after its primary was replaced gives the caller
/// exactly one answer, with nothing from the first attempt.
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
    let primary = bench.primary_excluding(0, 0).unwrap();
    assert_eq!(stored_keys(&bench, primary), ["once"]);
}

/// Shows that the checker detects lost writes and why commits are confirmed:
/// with `acknowledge: primary`, a primary that is cut off from its peers loses
/// acknowledged writes.
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
