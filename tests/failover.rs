//! Failover through separate processes: what callers see while a primary
//! fails, and that nothing acknowledged is lost or doubled.

mod common;

use std::time::Duration;

use standin::{
    bench::{Bench, BenchSettings},
    load::failover::{PrimaryFault, create_table, run},
};

/// The stated bound of a change of primary.
const GAP_MAX: Duration = Duration::from_secs(8);

/// Causes a fault under load and checks every promise.
fn fails_over(fault: PrimaryFault, platform_down: bool) {
    let settings = BenchSettings::builder().proxies(3).connect_ms(12).build();
    let mut bench = Bench::start(settings);
    create_table(&bench);
    let report = run(&mut bench, fault, 8, platform_down);
    assert_eq!(report.violations, Vec::new());
    assert!(report.gap <= GAP_MAX, "gap {:?}", report.gap);
    assert_ne!(report.primaries.0, report.primaries.1);
    println!("gap {:?}, failures {:?}", report.gap, report.failures);
}

common::cases! {
    fails_over:
    a_killed_primary_is_replaced(PrimaryFault::Kill, false),
    a_frozen_primary_is_replaced(PrimaryFault::Freeze, false),
    a_primary_cut_from_its_peers_is_replaced(PrimaryFault::CutFromPeers, false),
    a_silent_primary_is_replaced(PrimaryFault::Silence, false),
    a_killed_primary_is_replaced_without_the_platform(PrimaryFault::Kill, true),
}
