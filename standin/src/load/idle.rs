//! Memory of a proxy with idle callers.

use serde::Serialize;

use super::usage::Usage;
use crate::bench::Bench;

/// Memory of a proxy with idle callers.
#[derive(Clone, Debug, Serialize)]
pub struct IdleReport {
    /// Number of connected callers.
    pub callers: usize,
    /// Memory of the proxy, in bytes.
    pub memory_bytes: u64,
    /// Increase over the memory without callers, per caller, in bytes.
    pub per_caller_bytes: f64,
}

/// Connects up to each number of `steps` callers, which run one statement and
/// then stay idle, and measures the proxy's memory.
///
/// # Panics
///
/// Panics when callers can't connect.
pub fn run(bench: &mut Bench, steps: &[usize]) -> Vec<IdleReport> {
    let service = bench.service(0);
    let config = bench.proxies[0].config(&service);
    let id = bench.proxies[0].process().expect("the proxy runs").id();
    let base = Usage::of(id).expect("the proxy runs").memory_bytes;
    let mut clients = Vec::new();
    let mut reports = Vec::new();
    let runtime = super::runtime();
    for &callers in steps {
        runtime.block_on(async {
            while clients.len() < callers {
                let mut async_config = tokio_postgres::Config::new();
                async_config.host("127.0.0.1");
                async_config.port(config.get_ports()[0]);
                async_config.user("idle");
                async_config.dbname(&service);
                let connected = async_config.connect(tokio_postgres::NoTls).await;
                let (client, connection) = connected.expect("the proxy accepts callers");
                tokio::spawn(connection);
                client
                    .simple_query("SELECT 1")
                    .await
                    .expect("reads are served");
                clients.push(client);
            }
        });
        let memory_bytes = Usage::of(id).expect("the proxy runs").memory_bytes;
        reports.push(IdleReport {
            callers,
            memory_bytes,
            per_caller_bytes: (memory_bytes.saturating_sub(base)) as f64 / callers as f64,
        });
    }
    reports
}
