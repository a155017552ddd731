//! Watches how late the tasks of this process run.

use crate::{clock, decision_log::decision, metrics::Metrics, prelude::*};

/// Interval at which the lag is measured.
const INTERVAL: Duration = Duration::from_millis(500);
/// Lag from which on it is logged, in milliseconds: a quarter of the shortest limit of a
/// call to the store.
const LOGGED_MS: u64 = 250;

/// Measures how late a timer wakes its task, as long as the process runs. A processor that
/// is full, or a process that was suspended, makes all tasks as late.
pub async fn watch(metrics: Metrics) {
    loop {
        let due_ms = clock::boot_ms() + INTERVAL.as_millis() as u64;
        compio::time::sleep(INTERVAL).await;
        let lag_ms = clock::boot_ms().saturating_sub(due_ms);
        metrics.task_lag_ms.record(lag_ms as f64, &[]);
        if lag_ms >= LOGGED_MS {
            decision!("runtime", lag_ms = lag_ms; "tasks run late");
        }
    }
}
