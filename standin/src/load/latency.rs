//! Latency and processor time of statements sent to one address: a member, a
//! slot holder or a forwarding VM.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio_postgres::NoTls;

use super::usage::Usage;

/// Workload of a latency measurement.
#[derive(Clone, Debug)]
pub struct LatencyPlan {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Duration of the run.
    pub length: Duration,
    /// Statements per second of all callers together; `None` for a closed loop.
    pub rate: Option<u64>,
    /// Whether statements are prepared.
    pub prepared: bool,
}

/// Result of a latency measurement.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyReport {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Statements that succeeded.
    pub done: u64,
    /// Statements that failed.
    pub failed: u64,
    /// Successful statements per second.
    pub per_s: f64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency, in microseconds.
    pub p999_us: u64,
    /// Processor time of the measured process per statement, in microseconds.
    pub cpu_us: Option<f64>,
}

const READ_SQL: &str = "SELECT 1";

/// Runs statements against `address` and measures them, with the processor time
/// of `process`.
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
            // Histograms that grow can always be added.
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
        // In an open loop latency is measured from the time at which the
        // statement was due, to avoid coordinated omission when the server pauses.
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
            // The histogram resizes itself, so that recording does not fail.
            true => drop(times.record(from.elapsed().as_micros() as u64)),
            false => failed += 1,
        }
    }
    (times, failed)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are supported")
}
