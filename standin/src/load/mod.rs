//! Load on a bench, and what is measured with it.

pub mod caller;
pub mod failover;
pub mod idle;
pub mod latency;
pub mod share;
pub mod slopes;
pub mod usage;
pub mod writers;

/// A runtime for a load; it leaves most of the machine to what is measured.
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
