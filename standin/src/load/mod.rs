//! Workloads for a bench and the measurements made with them.

pub mod caller;
pub mod failover;
pub mod idle;
pub mod latency;
pub mod scaling;
pub mod share;
pub mod usage;
pub mod writers;

/// Runtime for a workload, with few threads so that most of the machine is left
/// to the measured processes.
///
/// # Panics
///
/// Panics when no thread can be started.
pub fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("threads can be started")
}
