//! Failover under load: gap in writes, failures and violated guarantees.

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

/// Longest wait for each step of a failover.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum number of acknowledged writes before the fault and after the
/// failover.
const WRITES_BEFORE_AND_AFTER: usize = 100;

/// Fault of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PrimaryFault {
    /// Its process is killed.
    Kill,
    /// Its process is killed, and that of the proxy that is the service's delegate.
    KillWithDelegate,
    /// Its process is suspended and resumed after the failover.
    Freeze,
    /// It can't reach its peers, nor they it, but the proxies can.
    CutFromPeers,
    /// Neither peers nor proxies can reach it until the failover is over.
    Silence,
}

/// Measurements of one failover.
#[derive(Clone, Debug)]
pub struct FailoverReport {
    /// Longest time without an acknowledged write.
    pub gap: Duration,
    /// Number of failed requests, by SQLSTATE and error number.
    pub failures: BTreeMap<String, usize>,
    /// Number of acknowledged writes.
    pub acknowledged: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Indices of the primary before and after.
    pub primaries: (usize, usize),
}

/// Creates the table; replicas must have it before they serve reads.
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

/// Injects one fault under load and measures the failover.
///
/// # Panics
///
/// Panics when a step takes longer than the time limit.
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
        pause: Duration::from_millis(2),
        prefix,
    };
    let before = bench.primary(0).expect("a member is the primary");
    let _entered = runtime.enter();
    let writers = Writers::start(&addresses, &bench.service(0), &plan);
    wait_until("writes are acknowledged", STEP_TIMEOUT, || {
        writers.acknowledged() >= WRITES_BEFORE_AND_AFTER
    });
    if platform_down {
        bench.set_faults(&Faults {
            down: true,
            ..Faults::default()
        });
    }
    let fault_at = writers.started.elapsed();
    inject_fault(bench, fault, before);
    let mut after = before;
    wait_until(
        "another member is the primary",
        STEP_TIMEOUT,
        || match bench.primary_excluding(0, before) {
            Some(primary) => {
                after = primary;
                true
            }
            None => false,
        },
    );
    let acknowledged = writers.acknowledged();
    wait_until("writes are acknowledged again", STEP_TIMEOUT, || {
        writers.acknowledged() >= acknowledged + WRITES_BEFORE_AND_AFTER
    });
    end_fault(bench, fault, before);
    let log = runtime.block_on(writers.stop());
    bench.set_faults(&Faults::default());
    // A further failover may have happened since.
    let primary = bench.primary(0).expect("a member is the primary");
    let stored = stored_keys(bench, primary);
    FailoverReport {
        gap: log.longest_gap_after(fault_at),
        failures: log.failures.clone(),
        acknowledged: log.acknowledged_at.len(),
        violations: check(&log.history(stored)),
        primaries: (before, after),
    }
}

fn inject_fault(bench: &mut Bench, fault: PrimaryFault, member: usize) {
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

fn end_fault(bench: &mut Bench, fault: PrimaryFault, member: usize) {
    match fault {
        PrimaryFault::Kill | PrimaryFault::KillWithDelegate => bench.restart_endpoint(0, member),
        PrimaryFault::Freeze => bench.endpoints[0][member].thaw(),
        PrimaryFault::CutFromPeers => bench.endpoints[0][member].set_partitioned(false),
        PrimaryFault::Silence => bench.endpoints[0][member].set_unreachable(false),
    }
    let endpoint = &bench.endpoints[0][member];
    wait_until("the member follows again", STEP_TIMEOUT, || {
        endpoint
            .status()
            .is_some_and(|s| !s.is_primary && s.synced_term > 1)
    });
}

/// Key of each row that a member stores.
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
