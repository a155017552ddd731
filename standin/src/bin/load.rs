//! The load tool: starts a bench on loopback, measures it and prints the results
//! as JSON lines.

use std::{process::ExitCode, time::Duration};

use bpaf::Bpaf;
use serde_json::json;
use standin::{
    bench::{Bench, BenchSettings},
    load::{
        caller::SessionTransfer,
        failover::{self, PrimaryFault},
        idle,
        latency::{self, LatencyPlan},
        scaling,
        share::{self, SharePlan},
    },
};
use stats_alloc::INSTRUMENTED_SYSTEM;

/// Counts the memory that the measured decisions hold.
#[global_allocator]
static ALLOCATOR: &scaling::CountingAllocator = &INSTRUMENTED_SYSTEM;

/// Measures foxtailknot on loopback.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Share of the reads that replicas serve, per lag and way of transferring the session.
    #[bpaf(command)]
    Share {
        /// Lag of the replicas, in milliseconds; repeat for more.
        #[bpaf(argument("MS"))]
        lag_ms: Vec<u64>,
        /// Number of reads of each caller.
        #[bpaf(argument("COUNT"), fallback(100))]
        reads: usize,
        /// Apply the lag between receipt and replay instead of before receipt.
        replay: bool,
        /// Acknowledgement mode of the service.
        #[bpaf(argument("MODE"), fallback("majority".into()))]
        acknowledge: String,
    },
    /// Time without acknowledged writes during a failover.
    #[bpaf(command)]
    Failover {
        /// Number of runs with each fault.
        #[bpaf(argument("COUNT"), fallback(3))]
        runs: usize,
        /// Number of sessions that write.
        #[bpaf(argument("COUNT"), fallback(8))]
        sessions: usize,
        /// Make the platform unavailable during the failover.
        platform_down: bool,
        /// Acknowledgement mode of the service.
        #[bpaf(argument("MODE"), fallback("majority".into()))]
        acknowledge: String,
        /// Lag of the replicas, in milliseconds.
        #[bpaf(argument("MS"), fallback(0))]
        lag_ms: u64,
        /// Inject only this fault.
        #[bpaf(argument("FAULT"))]
        fault: Option<PrimaryFault>,
    },
    /// Latency and processor time of a statement.
    #[bpaf(command)]
    Latency {
        /// Length of each run, in seconds.
        #[bpaf(argument("SECONDS"), fallback(3))]
        length_s: u64,
        /// Statements per second in an open loop; a closed loop without it.
        #[bpaf(argument("COUNT"))]
        rate: Option<u64>,
        /// Use prepared statements.
        prepared: bool,
    },
    /// Run a mixed workload with one failover and describe the results.
    #[bpaf(command)]
    Demo,
    /// Memory of a proxy with idle callers.
    #[bpaf(command)]
    Idle,
    /// Cost of control plane decisions at several sizes.
    #[bpaf(command)]
    Slopes {
        /// Number of VMs; without it, measure what does not grow with that number.
        #[bpaf(argument("COUNT"))]
        vms: Option<usize>,
    },
    /// Cost of the control plane of idle proxies at several numbers of VMs.
    #[bpaf(command)]
    Control {
        /// Length of each run, in seconds.
        #[bpaf(argument("SECONDS"), fallback(10))]
        length_s: u64,
    },
}

fn main() -> ExitCode {
    match command().run() {
        Command::Share {
            lag_ms,
            reads,
            replay,
            acknowledge,
        } => measure_share(&lag_ms, reads, replay, &acknowledge),
        Command::Failover {
            runs,
            sessions,
            platform_down,
            acknowledge,
            lag_ms,
            fault,
        } => {
            let settings = BenchSettings::builder()
                .proxies(3)
                .connect_ms(12)
                .ship_lag_ms(lag_ms)
                .extra(vec![format!("acknowledge: {acknowledge}")])
                .build();
            let faults = fault.map_or(FAULTS.to_vec(), |fault| vec![fault]);
            for fault in faults {
                measure_failover(&settings, fault, runs, sessions, platform_down);
            }
        }
        Command::Latency {
            length_s,
            rate,
            prepared,
        } => measure_latency(length_s, rate, prepared),
        Command::Demo => return demo(),
        Command::Idle => measure_idle(),
        Command::Slopes { vms: Some(vms) } => scaling::run_for_vms(vms, ALLOCATOR),
        Command::Slopes { vms: None } => scaling::run(),
        Command::Control { length_s } => scaling::run_idle_proxies(Duration::from_secs(length_s)),
    }
    ExitCode::SUCCESS
}

fn measure_share(lags_ms: &[u64], reads: usize, replay: bool, acknowledge: &str) {
    let scenarios = [
        ("staying", false, SessionTransfer::Token, ""),
        ("moving, token", true, SessionTransfer::Token, ""),
        (
            "moving, nothing carried (barrier)",
            true,
            SessionTransfer::Nothing,
            "",
        ),
        (
            "moving, token, age 2 s",
            true,
            SessionTransfer::Token,
            "-c foxtailknot.max_age_ms=2000",
        ),
    ];
    for &lag_ms in lags_ms {
        for (name, switches_proxy, transfer, options) in scenarios {
            let settings = BenchSettings::builder()
                .proxies(3)
                .ship_lag_ms(if replay { 0 } else { lag_ms })
                .replay_lag_ms(if replay { lag_ms } else { 0 })
                .extra(vec![format!("acknowledge: {acknowledge}")])
                .connect_ms(12)
                .build();
            let bench = Bench::start(settings);
            let plan = SharePlan {
                callers: 12,
                reads,
                reads_per_write: 20,
                switches_proxy,
                transfer,
                options: options.to_owned(),
                pause: Duration::from_millis(20),
            };
            let report = share::run(&bench, &plan);
            println!(
                "{}",
                json!({
                    "measure": "share", "way": name, "lag_ms": lag_ms,
                    "lag": if replay { "replay" } else { "shipping" },
                    "acknowledge": acknowledge,
                    "share": report.share(), "replica": report.replica,
                    "primary": report.primary, "p50_us": report.p50_us,
                    "p99_us": report.p99_us, "stale": report.stale,
                    "failed": report.failed,
                })
            );
        }
    }
}

const FAULTS: [PrimaryFault; 4] = [
    PrimaryFault::Kill,
    PrimaryFault::Freeze,
    PrimaryFault::CutFromPeers,
    PrimaryFault::Silence,
];

fn measure_failover(
    settings: &BenchSettings,
    fault: PrimaryFault,
    runs: usize,
    sessions: usize,
    platform_down: bool,
) {
    let fault_name = fault.to_string();
    let mut gaps_ms = Vec::new();
    for _ in 0..runs {
        let mut bench = Bench::start(settings.clone());
        failover::create_table(&bench);
        let report = failover::run(&mut bench, fault, sessions, platform_down);
        let gap_ms = report.gap.as_millis() as u64;
        gaps_ms.push(gap_ms);
        println!(
            "{}",
            json!({
                "measure": "failover", "fault": fault_name, "service": settings.extra,
                "lag_ms": settings.ship_lag_ms, "platform_down": platform_down,
                "gap_ms": gap_ms, "done": report.acknowledged, "failures": report.failures,
                "violations": report.violations.len(),
            })
        );
    }
    gaps_ms.sort_unstable();
    println!(
        "{}",
        json!({
            "measure": "failover gap", "fault": fault_name, "service": settings.extra,
            "lag_ms": settings.ship_lag_ms, "platform_down": platform_down,
            "runs": runs, "p50_ms": gaps_ms[gaps_ms.len() / 2], "max_ms": gaps_ms.last(),
        })
    );
}

fn measure_latency(length_s: u64, rate: Option<u64>, prepared: bool) {
    let settings = BenchSettings::builder()
        .proxies(4)
        .connections(400)
        .connect_ms(0)
        .build();
    let mut bench = Bench::start(settings);
    let service = bench.service(0);
    let holders = bench.slot_holders(0);
    let forwarding = (0..bench.proxies.len()).find(|i| !holders.contains(i));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime can be made");
    let mut paths = vec![("direct", bench.endpoints[0][1].address, None)];
    for (name, index) in [
        ("slot holder", holders.first().copied()),
        ("forwarding", forwarding),
    ] {
        if let Some(index) = index {
            let id = bench.proxies[index].process().map(|p| p.id());
            paths.push((name, bench.proxies[index].callers, id));
        }
    }
    for callers in [1, 16, 256] {
        for (name, address, id) in &paths {
            let plan = LatencyPlan {
                callers,
                length: Duration::from_secs(length_s),
                rate,
                prepared,
            };
            let report = runtime.block_on(latency::run(*address, &service, &plan, *id));
            println!(
                "{}",
                json!({"measure": "latency", "way": name, "report": report})
            );
        }
    }
}

/// Runs the demo; fails when a consistency guarantee was violated.
fn demo() -> ExitCode {
    println!("starting the platform, three members and three proxies on loopback");
    let settings = BenchSettings::builder().proxies(3).connect_ms(12).build();
    let mut bench = Bench::start(settings);
    println!("{}", bench.run_cli(&["status"]).unwrap_or_default());
    let plan = SharePlan {
        callers: 12,
        reads: 200,
        reads_per_write: 10,
        switches_proxy: true,
        transfer: SessionTransfer::Nothing,
        options: String::new(),
        pause: Duration::from_millis(10),
    };
    println!("12 callers read and write; every request reaches another proxy");
    let report = share::run(&bench, &plan);
    let share = report.share() * 100.0;
    println!(
        "reads served by replicas: {share:.1} % (stale: {})",
        report.stale
    );
    let stale = report.stale;
    println!("8 sessions write; the primary is killed");
    let report = failover::run(&mut bench, PrimaryFault::Kill, 8, false);
    let (before, after) = report.primaries;
    println!("member-{before} was replaced by member-{after}");
    println!("failover gap: {} ms", report.gap.as_millis());
    println!("failures that callers saw: {:?}", report.failures);
    println!(
        "of {} acknowledged writes, lost, doubled or misreported: {}",
        report.acknowledged,
        report.violations.len()
    );
    let violations = stale + report.violations.len();
    if violations > 0 {
        eprintln!("{violations} reads or writes violated a guarantee");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn measure_idle() {
    let mut bench = Bench::start(BenchSettings::builder().proxies(1).build());
    for report in idle::run(&mut bench, &[500, 1_000, 2_000, 5_000]) {
        println!("{}", json!({"measure": "idle", "report": report}));
    }
}
