//! Reads served by replicas.

use std::time::Duration;

use super::{
    caller::{Caller, SessionTransfer},
    failover::create_table,
};
use crate::bench::Bench;

/// What callers do while the share is measured.
#[derive(Clone, Debug)]
pub struct SharePlan {
    /// Callers at once.
    pub callers: usize,
    /// Reads of each caller.
    pub reads: usize,
    /// Reads between two writes of a caller.
    pub reads_per_write: usize,
    /// Whether every request uses another proxy.
    pub switches_proxy: bool,
    /// How the session is carried.
    pub transfer: SessionTransfer,
    /// Startup options, such as a stated age.
    pub options: String,
    /// Pause between two requests of a caller.
    pub pace: Duration,
}

/// Where reads were served.
#[derive(Clone, Debug, Default)]
pub struct ShareReport {
    /// By replicas.
    pub replica: f64,
    /// By the primary.
    pub primary: f64,
    /// Median time of a read, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// Reads that did not show the caller's own last write.
    pub stale: usize,
    /// Failed requests.
    pub failed: usize,
}

impl ShareReport {
    /// Part of the reads that replicas served.
    pub fn share(&self) -> f64 {
        self.replica / (self.replica + self.primary).max(1.0)
    }
}

/// Measures the share on a bench of its own.
///
/// # Panics
///
/// Panics when the load can't run.
pub fn run(bench: &Bench, plan: &SharePlan) -> ShareReport {
    create_table(bench);
    let before = counts(bench);
    let runtime = super::runtime();
    let addresses = bench.caller_addresses();
    let service = bench.service(0);
    let mut times = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are possible");
    let mut report = ShareReport::default();
    runtime.block_on(async {
        let tasks: Vec<_> = (0..plan.callers)
            .map(|index| {
                let caller = Caller::new(&addresses, &service, index).with_options(&plan.options);
                let caller = match plan.switches_proxy {
                    true => caller.moving(plan.transfer),
                    false => caller,
                };
                tokio::spawn(run_caller(caller, index, plan.clone()))
            })
            .collect();
        for task in tasks {
            let ended = task.await.expect("no caller panics");
            report.stale += ended.stale;
            report.failed += ended.failed;
            for time in ended.times_us {
                // The histogram grows with what it records.
                let _ = times.record(time);
            }
        }
    });
    let after = counts(bench);
    report.replica = after.0 - before.0;
    report.primary = after.1 - before.1;
    report.p50_us = times.value_at_quantile(0.5);
    report.p99_us = times.value_at_quantile(0.99);
    report
}

#[derive(Default)]
struct CallerEnd {
    times_us: Vec<u64>,
    stale: usize,
    failed: usize,
}

async fn run_caller(mut caller: Caller, index: usize, plan: SharePlan) -> CallerEnd {
    let mut end = CallerEnd::default();
    let mut written = 0;
    for read in 0..plan.reads {
        if read % plan.reads_per_write == 0 {
            let sql = format!("INSERT INTO entries (key, half) VALUES ('c{index}', {read})");
            match caller.run(&sql).await {
                Ok(_) => written += 1,
                Err(_) => end.failed += 1,
            }
        }
        let started = std::time::Instant::now();
        let sql = format!("SELECT count(*) FROM entries WHERE key = 'c{index}'");
        match caller.run(&sql).await {
            Ok(values) => {
                end.times_us.push(started.elapsed().as_micros() as u64);
                let seen: usize = values.first().and_then(|v| v.parse().ok()).unwrap_or(0);
                end.stale += usize::from(seen < written);
            }
            Err(_) => end.failed += 1,
        }
        tokio::time::sleep(plan.pace).await;
    }
    end
}

fn counts(bench: &Bench) -> (f64, f64) {
    let sum = |part: &str| -> f64 {
        let proxies = bench.proxies.iter();
        proxies.map(|p| p.metric("foxtailknot_reads", part)).sum()
    };
    (sum("kind=\"replica\""), sum("kind=\"primary\""))
}
