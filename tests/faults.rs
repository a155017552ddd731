//! Faults of proxies and of the platform under load: no acknowledged write is
//! lost or applied twice, and every session reads its own writes.

mod common;

use std::time::Duration;

use standin::{
    bench::{Bench, BenchSettings, signal, wait_until},
    history::{Violation, check},
    load::{
        caller::SessionTransfer,
        failover::{create_table, stored_keys},
        writers::{WriteLog, Writers, WritersPlan},
    },
    platform::Faults,
};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time until an endpoint or VM that is leaving gets no new work.
const LEAVING_MAX: Duration = Duration::from_secs(5);

/// A fault that is injected while sessions write and read.
#[derive(Clone, Copy)]
enum Fault {
    None,
    KillProxy,
    FreezeProxy,
    StopProxy,
    PlatformDown,
    PlatformSlow,
    ReplicasBehind,
}

fn plan(switches_proxy: bool, transfer: SessionTransfer) -> WritersPlan {
    WritersPlan {
        sessions: 8,
        writes: usize::MAX,
        switches_proxy,
        transfer,
        pause: Duration::from_millis(1),
        prefix: "w".into(),
    }
}

/// Runs sessions during a fault; returns the log of what they saw, and the bench.
fn run(fault: Fault, switches_proxy: bool, transfer: SessionTransfer) -> (WriteLog, Bench) {
    let settings = BenchSettings::builder().proxies(5).ship_lag_ms(10).build();
    let mut bench = Bench::start(settings);
    create_table(&bench);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _entered = runtime.enter();
    let addresses = bench.caller_addresses();
    let writers = Writers::start(
        &addresses,
        &bench.service(0),
        &plan(switches_proxy, transfer),
    );
    wait_until("100 writes are done", TIMEOUT, || {
        writers.acknowledged() >= 100
    });
    let victim = bench.slot_holders(0)[0];
    inject(&mut bench, fault, victim);
    let done = writers.acknowledged();
    wait_until("writes continue", TIMEOUT, || {
        writers.acknowledged() >= done + 300
    });
    if let Fault::FreezeProxy = fault {
        bench.proxies[victim].process().unwrap().signal("CONT");
        let done = writers.acknowledged();
        wait_until("writes continue", TIMEOUT, || {
            writers.acknowledged() >= done + 100
        });
    }
    (runtime.block_on(writers.stop()), bench)
}

fn inject(bench: &mut Bench, fault: Fault, victim: usize) {
    match fault {
        Fault::None => {}
        Fault::KillProxy => bench.proxies[victim].kill(),
        Fault::FreezeProxy => bench.proxies[victim].process().unwrap().signal("STOP"),
        Fault::StopProxy => bench.proxies[victim].process().unwrap().signal("TERM"),
        Fault::PlatformDown => bench.set_faults(&Faults {
            down: true,
            ..Faults::default()
        }),
        Fault::PlatformSlow => bench.set_faults(&Faults {
            slow_ms: 1_500,
            ..Faults::default()
        }),
        Fault::ReplicasBehind => {
            for member in &bench.endpoints[0] {
                member.set_lag(300, 300);
            }
        }
    }
}

fn stays_consistent(fault: Fault, switches_proxy: bool, transfer: SessionTransfer) {
    let (log, bench) = run(fault, switches_proxy, transfer);
    let primary = bench.primary(0).unwrap();
    let violations = check(&log.history(stored_keys(&bench, primary)));
    assert_eq!(violations, Vec::<Violation>::new(), "{:?}", log.failures);
    let budget = bench.settings.connections as usize;
    for member in &bench.endpoints[0] {
        let peak = member.connection_counts().unwrap().peak;
        assert!(peak <= budget, "{peak} connections of {budget}");
    }
}

common::cases! {
    stays_consistent:
    sessions_that_stay(Fault::None, false, SessionTransfer::Token),
    sessions_that_move_with_a_token(Fault::None, true, SessionTransfer::Token),
    sessions_that_move_with_nothing(Fault::None, true, SessionTransfer::Nothing),
    a_killed_holder(Fault::KillProxy, true, SessionTransfer::Token),
    a_frozen_holder(Fault::FreezeProxy, true, SessionTransfer::Nothing),
    a_holder_that_stops(Fault::StopProxy, true, SessionTransfer::Token),
    the_platform_down(Fault::PlatformDown, true, SessionTransfer::Nothing),
    the_platform_slow(Fault::PlatformSlow, true, SessionTransfer::Token),
    replicas_far_behind(Fault::ReplicasBehind, true, SessionTransfer::Nothing),
}

/// A graceful stop interrupts no request: no outcome is unknown, and the process
/// exits with status 0.
#[test]
fn a_graceful_stop_cuts_no_request() {
    let (log, mut bench) = run(Fault::StopProxy, false, SessionTransfer::Token);
    let unknown = log
        .failures
        .keys()
        .filter(|label| label.starts_with("08") || label.starts_with("connection"));
    assert_eq!(unknown.count(), 0, "{:?}", log.failures);
    let proxies = &mut bench.proxies;
    wait_until("the stopped proxy exits", TIMEOUT, || {
        let ended = proxies.iter_mut().filter_map(|p| p.process()?.exit_code());
        ended.collect::<Vec<_>>() == [0]
    });
}

/// Writes that reach a slot holder while it stops are not run there but by
/// another VM, and no outcome is unknown.
#[test]
fn requests_that_meet_a_stop_are_run_elsewhere() {
    const SESSIONS: usize = 24;
    let settings = BenchSettings::builder().proxies(4).build();
    let bench = Bench::start(settings);
    create_table(&bench);
    let holders = bench.slot_holders(0);
    let forwarder = (0..4).find(|i| !holders.contains(i)).unwrap();
    let zone = bench.proxies[forwarder].zone.clone();
    let near = |i: &&usize| bench.proxies[**i].zone == zone;
    let victim = *holders.iter().find(near).unwrap();
    let service = bench.service(0);
    let insert = |key: &str| format!("INSERT INTO entries (key, half) VALUES ('{key}', 0)");
    let mut clients = Vec::new();
    for session in 0..SESSIONS {
        let mut client = bench.proxies[forwarder].connect(&service).unwrap();
        client
            .batch_execute(&insert(&format!("before-{session}")))
            .unwrap();
        clients.push(client);
    }
    let sent = || bench.proxies[forwarder].metric("foxtailknot_requests", "write");
    let before = sent();
    let victim_id = bench.proxies[victim].id().unwrap();
    signal(victim_id, "STOP");
    let writes = clients
        .into_iter()
        .enumerate()
        .map(|(session, mut client)| {
            let sql = insert(&format!("during-{session}"));
            std::thread::spawn(move || {
                client
                    .batch_execute(&sql)
                    .map_err(|error| error.to_string())
            })
        });
    let writes: Vec<_> = writes.collect();
    wait_until("all writes are sent", TIMEOUT, || {
        sent() >= before + SESSIONS as f64
    });
    signal(victim_id, "TERM");
    signal(victim_id, "CONT");
    let ended = writes.into_iter().map(|write| write.join().unwrap());
    let failed: Vec<String> = ended.filter_map(Result::err).collect();
    assert_eq!(failed, Vec::<String>::new());
    let stored = stored_keys(&bench, bench.primary(0).unwrap());
    assert_eq!(stored.len(), 2 * SESSIONS);
}

/// A VM that the platform lists as leaving gets no new slots, and other VMs take
/// over its slots within the bound.
#[test]
fn a_leaving_vm_hands_its_slots_over() {
    let settings = BenchSettings::builder().proxies(5).build();
    let mut bench = Bench::start(settings);
    let victim = bench.slot_holders(0)[0];
    bench.proxies[victim].leaving = true;
    bench.publish_vms();
    let mut holders = Vec::new();
    wait_until("the slot is handed over", LEAVING_MAX, || {
        holders = bench.slot_holders(0);
        holders.len() == 3 && !holders.contains(&victim)
    });
}
