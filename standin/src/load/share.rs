//! Share of the reads that replicas serve.

use std::time::Duration;

use super::{
    caller::{Caller, SessionTransfer},
    failover::create_table,
};
use crate::bench::Bench;

/// Workload of a share measurement.
#[derive(Clone, Debug)]
pub struct SharePlan {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of reads of each caller.
    pub reads: usize,
    /// Number of reads of a caller per write.
    pub reads_per_write: usize,
    /// Whether every request uses the next proxy.
    pub switches_proxy: bool,
    /// How the session is transferred between proxies.
    pub transfer: SessionTransfer,
    /// Startup options, such as a maximum age of the data.
    pub options: String,
    /// Pause of a caller after each read.
    pub pause: Duration,
}

/// Result of a share measurement.
#[derive(Clone, Debug, Default)]
pub struct ShareReport {
    /// Number of reads served by replicas.
    pub replica: f64,
    /// Number of reads served by the primary.
    pub primary: f64,
    /// Median latency of a read, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of a read, in microseconds.
    pub p99_us: u64,
    /// Number of reads that did not include all acknowledged writes of the caller.
    pub stale: usize,
    /// Number of failed requests.
    pub failed: usize,
}

impl ShareReport {
    /// Fraction of the reads that replicas served.
    pub fn share(&self) -> f64 {
        self.replica / (self.replica + self.primary).max(1.0)
    }
}

/// Measures the share on a bench that runs no other workload.
///
/// # Panics
///
/// Panics when the workload can't run.
pub fn run(bench: &Bench, plan: &SharePlan) -> ShareReport {
    create_table(bench);
    let before = read_counts(bench);
    let runtime = super::runtime();
    let addresses = bench.caller_addresses();
    let service = bench.service(0);
    let mut times =
        hdrhistogram::Histogram::<u64>::new(3).expect("three significant digits are supported");
    let mut report = ShareReport::default();
    runtime.block_on(async {
        let tasks: Vec<_> = (0..plan.callers)
            .map(|index| {
                let caller = Caller::new(&addresses, &service, index).with_options(&plan.options);
                let caller = match plan.switches_proxy {
                    true => caller.switching_proxies(plan.transfer),
                    false => caller,
                };
                tokio::spawn(run_caller(caller, index, plan.clone()))
            })
            .collect();
        for task in tasks {
            let result = task.await.expect("no caller panics");
            report.stale += result.stale;
            report.failed += result.failed;
            for time in result.times_us {
                // The histogram resizes itself, so that recording does not fail.
                let _ = times.record(time);
            }
        }
    });
    let after = read_counts(bench);
    report.replica = after.0 - before.0;
    report.primary = after.1 - before.1;
    report.p50_us = times.value_at_quantile(0.5);
    report.p99_us = times.value_at_quantile(0.99);
    report
}

#[derive(Default)]
struct CallerResult {
    times_us: Vec<u64>,
    stale: usize,
    failed: usize,
}

async fn run_caller(mut caller: Caller, index: usize, plan: SharePlan) -> CallerResult {
    let mut result = CallerResult::default();
    let mut written = 0;
    for read in 0..plan.reads {
        if read % plan.reads_per_write == 0 {
            let sql = format!("INSERT INTO entries (key, half) VALUES ('c{index}', {read})");
            match caller.run(&sql).await {
                Ok(_) => written += 1,
                Err(_) => result.failed += 1,
            }
        }
        let started = std::time::Instant::now();
        let sql = format!("SELECT count(*) FROM entries WHERE key = 'c{index}'");
        match caller.run(&sql).await {
            Ok(values) => {
                result.times_us.push(started.elapsed().as_micros() as u64);
                let seen: usize = values.first().and_then(|v| v.parse().ok()).unwrap_or(0);
                result.stale += usize::from(seen < written);
            }
            Err(_) => result.failed += 1,
        }
        tokio::time::sleep(plan.pause).await;
    }
    result
}

fn read_counts(bench: &Bench) -> (f64, f64) {
    let sum = |label: &str| -> f64 {
        let proxies = bench.proxies.iter();
        proxies.map(|p| p.metric("foxtailknot_reads", label)).sum()
    };
    (sum("kind=\"replica\""), sum("kind=\"primary\""))
}
