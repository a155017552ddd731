//! Failover: what callers see while a primary fails.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    caller::SessionTransfer,
    writers::{TABLE_SQL, Writers, WritersPlan},
};
use crate::{
    bench::{Bench, wait_until},
    history::{Violation, check},
    platform::Faults,
};

/// Longest wait for writes to go on.
const RESUME_TIMEOUT: Duration = Duration::from_secs(30);
/// Acknowledged writes before the fault, and after it.
const WRITES_AROUND: usize = 100;

/// A fault of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PrimaryFault {
    /// Its process is killed.
    Kill,
    /// Its process is killed, and the VM that is the service's delegate too.
    KillWithDelegate,
    /// Its process is stopped and continued after the failover.
    Freeze,
    /// It is cut off from its peers, but not from the proxies.
    CutFromPeers,
    /// It is cut off from everybody and comes back after the failover.
    Silence,
}

/// What a failover was like.
#[derive(Clone, Debug)]
pub struct FailoverReport {
    /// Longest time without an acknowledged write.
    pub gap: Duration,
    /// Failures that callers saw, by SQLSTATE and number.
    pub failures: BTreeMap<String, usize>,
    /// Acknowledged writes.
    pub done: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Member that led before and after.
    pub primaries: (usize, usize),
}

/// Creates the table; it must be there before replicas are read.
///
/// # Panics
///
/// Panics when the table can't be created.
pub fn create_table(bench: &Bench) {
    let mut client = bench.proxies[0]
        .connect(&bench.service(0))
        .expect("a proxy accepts callers");
    client
        .batch_execute(TABLE_SQL)
        .expect("the table can be created");
}

/// Causes one fault under load and reports.
///
/// # Panics
///
/// Panics when writes do not go on in time.
pub fn run(
    bench: &mut Bench,
    fault: PrimaryFault,
    sessions: usize,
    platform_down: bool,
) -> FailoverReport {
    let runtime = super::runtime();
    let addresses = bench.caller_addresses();
    let prefix = format!(
        "f{}",
        Instant::now().elapsed().as_nanos() ^ rand::random::<u128>()
    );
    let plan = WritersPlan {
        sessions,
        writes: usize::MAX,
        switches_proxy: false,
        transfer: SessionTransfer::Token,
        pace: Duration::from_millis(2),
        prefix,
    };
    let before = bench.primary(0).expect("a member leads");
    let _entered = runtime.enter();
    let writers = Writers::start(&addresses, &bench.service(0), &plan);
    wait_until("writes land", RESUME_TIMEOUT, || {
        writers.acknowledged() >= WRITES_AROUND
    });
    if platform_down {
        bench.set_faults(&Faults {
            down: true,
            ..Faults::default()
        });
    }
    let failed_at = writers.started.elapsed();
    cause(bench, fault, before);
    let mut after = before;
    wait_until("another member leads", RESUME_TIMEOUT, || {
        match bench.primary_excluding(0, before) {
            Some(leader) => {
                after = leader;
                true
            }
            None => false,
        }
    });
    let done = writers.acknowledged();
    wait_until("writes go on", RESUME_TIMEOUT, || {
        writers.acknowledged() >= done + WRITES_AROUND
    });
    heal(bench, fault, before);
    let log = runtime.block_on(writers.stop());
    bench.set_faults(&Faults::default());
    // Another member may lead by now.
    let leader = bench.primary(0).expect("a member leads");
    let stored = stored_keys(bench, leader);
    FailoverReport {
        gap: log.gap_after(failed_at),
        failures: log.failures.clone(),
        done: log.done.len(),
        violations: check(&log.history(stored)),
        primaries: (before, after),
    }
}

fn cause(bench: &mut Bench, fault: PrimaryFault, member: usize) {
    if fault == PrimaryFault::KillWithDelegate {
        let delegate = bench.delegate(0).expect("the service has a delegate");
        bench.proxies[delegate].kill();
    }
    let endpoint = &mut bench.endpoints[0][member];
    match fault {
        PrimaryFault::Kill | PrimaryFault::KillWithDelegate => endpoint.kill(),
        PrimaryFault::Freeze => endpoint.freeze(),
        PrimaryFault::CutFromPeers => endpoint.set_partitioned(true),
        PrimaryFault::Silence => endpoint.set_unreachable(true),
    }
}

fn heal(bench: &mut Bench, fault: PrimaryFault, member: usize) {
    match fault {
        PrimaryFault::Kill | PrimaryFault::KillWithDelegate => bench.restart_endpoint(0, member),
        PrimaryFault::Freeze => bench.endpoints[0][member].thaw(),
        PrimaryFault::CutFromPeers => bench.endpoints[0][member].set_partitioned(false),
        PrimaryFault::Silence => bench.endpoints[0][member].set_unreachable(false),
    }
    let endpoint = &bench.endpoints[0][member];
    wait_until("the member follows again", RESUME_TIMEOUT, || {
        endpoint
            .status()
            .is_some_and(|s| !s.is_primary && s.synced_term > 1)
    });
}

/// Keys that a member holds.
///
/// # Panics
///
/// Panics when the member does not answer.
pub fn stored_keys(bench: &Bench, member: usize) -> Vec<String> {
    let client = bench.endpoints[0][member].connect();
    let rows = client.and_then(|mut c| c.simple_query("SELECT key FROM entries").ok());
    let rows = rows.expect("the primary answers");
    let keys = rows.into_iter().filter_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    keys.collect()
}
