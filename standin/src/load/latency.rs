//! Time and cost of statements: straight to a member, through a slot holder,
//! and through a VM that forwards.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio_postgres::NoTls;

use super::usage::Usage;

/// What is sent.
#[derive(Clone, Debug)]
pub struct LatencyPlan {
    /// Callers at once.
    pub callers: usize,
    /// Length of the run.
    pub length: Duration,
    /// Statements a second over all callers; closed loop without.
    pub rate: Option<u64>,
    /// Whether statements are prepared.
    pub prepared: bool,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyReport {
    /// Callers at once.
    pub callers: usize,
    /// Statements done.
    pub done: u64,
    /// Statements that failed.
    pub failed: u64,
    /// Statements a second.
    pub per_s: f64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Processor time of the measured process per statement, in microseconds.
    pub cpu_us: Option<f64>,
}

const READ_SQL: &str = "SELECT 1";

/// Runs statements against `address` and reports; `process` is measured.
pub async fn run(
    address: SocketAddr,
    service: &str,
    plan: &LatencyPlan,
    process: Option<u32>,
) -> LatencyReport {
    let before = process.and_then(Usage::of);
    let started = Instant::now();
    let tasks: Vec<_> = (0..plan.callers)
        .map(|index| {
            let run = run_caller(address, service.to_owned(), plan.clone(), index, started);
            tokio::spawn(run)
        })
        .collect();
    let mut times = new_histogram();
    let mut failed = 0;
    for task in tasks {
        if let Ok((own, own_failed)) = task.await {
            // Both count the same range.
            let _ = times.add(own);
            failed += own_failed;
        }
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after = process.and_then(Usage::of);
    let cpu = before.zip(after).map(|(b, a)| a.cpu_us - b.cpu_us);
    let done = times.len();
    LatencyReport {
        callers: plan.callers,
        done,
        failed,
        per_s: done as f64 / elapsed,
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
        p999_us: times.value_at_quantile(0.999),
        cpu_us: cpu.map(|cpu| cpu / done.max(1) as f64),
    }
}

async fn run_caller(
    address: SocketAddr,
    service: String,
    plan: LatencyPlan,
    index: usize,
    started: Instant,
) -> (Histogram<u64>, u64) {
    let mut times = new_histogram();
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string());
    config.port(address.port());
    config.user("load");
    config.dbname(&service);
    config.options("-c foxtailknot.session_token=new");
    let Ok((client, connection)) = config.connect(NoTls).await else {
        return (times, 1);
    };
    tokio::spawn(connection);
    let statement = match plan.prepared {
        true => client.prepare(READ_SQL).await.ok(),
        false => None,
    };
    let interval = plan
        .rate
        .map(|rate| Duration::from_secs_f64(plan.callers as f64 / rate as f64));
    let mut due = started
        + interval
            .unwrap_or_default()
            .mul_f64(index as f64 / plan.callers as f64);
    let mut failed = 0;
    while started.elapsed() < plan.length {
        // In an open loop the time counts from when the statement was due, so
        // that a pause of the server is not left out.
        let from = match interval {
            Some(interval) => {
                tokio::time::sleep_until(due.into()).await;
                let from = due;
                due += interval;
                from
            }
            None => Instant::now(),
        };
        let is_done = match &statement {
            Some(statement) => client.query(statement, &[]).await.is_ok(),
            None => client.simple_query(READ_SQL).await.is_ok(),
        };
        match is_done {
            // The histogram grows with what it records.
            true => drop(times.record(from.elapsed().as_micros() as u64)),
            false => failed += 1,
        }
    }
    (times, failed)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are possible")
}
