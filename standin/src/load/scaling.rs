//! How the cost of the control plane scales: decisions measured in this process
//! at several sizes, and idle proxies measured at several numbers of VMs.

use std::{
    alloc::System,
    collections::BTreeSet,
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use foxtailknot::{
    control::{
        peer::{ConfigUpdate, Ping},
        service_row::ServiceRow,
    },
    decide::{
        acknowledge::{AcknowledgeMode, Commit, acknowledge},
        age::AgeTracker,
        classify::classify,
        failover::{Event, Failover, FailoverSettings},
        member::{MemberStatus, MemberView, Observation, Role},
        membership::{Change, Liveness, Membership, MembershipSettings, Place},
        placement::{Candidate, StandbyMap, place},
        rollout::{ChangeRef, Head, SiteChange},
        route::{Floor, ReadRequest, route},
    },
    lsn::Lsn,
    position::Position,
    settings::{MemberSettings, ServiceSettings, SiteSettings},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::index::sample};
use serde_json::json;
use stats_alloc::{Region, StatsAlloc};

use super::usage::Usage;
use crate::bench::{Bench, BenchSettings};

/// Allocator that counts the memory held by this process.
pub type CountingAllocator = StatsAlloc<System>;

/// Number of services per VM at the target scale.
const SERVICES_PER_VM: f64 = 11_000.0 / 4_600.0;
/// Number of VMs that a daemon adds to its standby map in one tick.
const STANDBY_MAP_STEP: usize = 32;
/// Seed of the random number generators.
const SEED: u64 = 7;

/// Measures what grows with the number of VMs. Use one process per number:
/// memory left from an earlier measurement would hide that of a later one.
pub fn run_for_vms(vms: usize, allocator: &CountingAllocator) {
    measure_site(vms, allocator);
    measure_standby_map(vms, allocator);
    measure_membership(vms, allocator);
    measure_gossip(vms);
}

/// Measures the decisions whose cost does not depend on the number of VMs, and
/// placement at several numbers.
pub fn run() {
    measure_placement();
    measure_messages();
    measure_failover();
    measure_statement();
}

fn measure_membership(vms: usize, allocator: &CountingAllocator) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let memory = Region::new(allocator);
    let mut membership = new_membership();
    for index in 0..vms {
        membership.listed(0, &vm_name(index), &place_of(index), false);
    }
    let memory_bytes = net_allocated(&memory);
    let rounds = 2_000;
    let started = Instant::now();
    for round in 0..rounds {
        let vm = vm_name(rng.random_range(0..vms));
        let change = Change {
            vm: vm_name(rng.random_range(0..vms)),
            incarnation: round,
            liveness: Liveness::Alive,
            place: Some(place_of(1)),
        };
        black_box(membership.next_probe(&mut rng));
        membership.answered(round, &vm, 0);
        membership.merge(round, &[change]);
        black_box(membership.outgoing());
        membership.tick(round);
    }
    print(json!({
        "slope": "membership", "vms": vms, "memory_bytes": memory_bytes,
        "probe_us": started.elapsed().as_secs_f64() * 1e6 / rounds as f64,
    }));
}

fn measure_standby_map(vms: usize, allocator: &CountingAllocator) {
    let services = (vms as f64 * SERVICES_PER_VM) as usize;
    let mut standbys = StandbyMap::default();
    let names: BTreeSet<_> = (0..vms).map(vm_name).collect();
    let memory = Region::new(allocator);
    let started = Instant::now();
    let service_names: Vec<Arc<str>> = (0..services)
        .map(|index| format!("service-{index}").into())
        .collect();
    standbys.add_services(service_names.iter());
    let mut longest_step = Duration::ZERO;
    let mut is_done = false;
    while !is_done {
        let step = Instant::now();
        is_done = standbys.converge(&names, STANDBY_MAP_STEP);
        longest_step = longest_step.max(step.elapsed());
    }
    let build = started.elapsed();
    let memory_bytes = net_allocated(&memory);
    let started = Instant::now();
    let rounds = 20;
    for index in 0..rounds {
        standbys.remove_vm(&vm_name(index));
        standbys.add_vm(&vm_name(index));
    }
    let replace = started.elapsed() / rounds as u32;
    let started = Instant::now();
    let mut service_count = 0;
    for index in 0..rounds {
        service_count += standbys.services_of(&vm_name(index)).len();
    }
    let lookup = started.elapsed() / rounds as u32;
    print(json!({
        "slope": "guardians", "vms": vms, "services": services,
        "build_ms": build.as_secs_f64() * 1e3,
        "longest_step_ms": longest_step.as_secs_f64() * 1e3,
        "replace_vm_us": replace.as_secs_f64() * 1e6,
        "look_us": lookup.as_secs_f64() * 1e6,
        "guarded": service_count as f64 / rounds as f64,
        "memory_bytes": memory_bytes,
    }));
}

fn measure_site(vms: usize, allocator: &CountingAllocator) {
    let services = (vms as f64 * SERVICES_PER_VM) as usize;
    let memory = Region::new(allocator);
    let site = new_site_settings(services);
    let memory_bytes = net_allocated(&memory);
    let bytes = serde_json::to_vec(&site).map_or(0, |body| body.len());
    let mut changed = site.clone();
    let started = Instant::now();
    let rounds = 200;
    for round in 0..rounds {
        let change = SiteChange {
            version: round,
            services: [("service-1".into(), Some(service(1)))].into(),
        };
        change.apply(&mut changed);
    }
    print(json!({
        "slope": "configuration", "services": services, "memory_bytes": memory_bytes,
        "snapshot_bytes": bytes,
        "apply_us": started.elapsed().as_secs_f64() * 1e6 / rounds as f64,
    }));
}

/// Simulates how an update spreads: each VM that receives it sends it once to
/// three others, and once a second each VM also compares versions with another.
fn measure_gossip(vms: usize) {
    const FANOUT: usize = 3;
    const STEP_MS: u64 = 50;
    const PROBE_INTERVAL_MS: u64 = 1_000;
    let mut worst_ms = 0;
    let mut messages = 0;
    let runs = 20;
    for run in 0..runs {
        let mut rng = SmallRng::seed_from_u64(SEED + run);
        let mut informed = vec![false; vms];
        informed[0] = true;
        let mut newly_informed = vec![0];
        let mut now_ms = 0;
        while informed.iter().any(|informed| !informed) {
            now_ms += STEP_MS;
            let mut next = Vec::new();
            for _ in &newly_informed {
                for other in sample(&mut rng, vms, FANOUT) {
                    messages += 1;
                    if !std::mem::replace(&mut informed[other], true) {
                        next.push(other);
                    }
                }
            }
            let probing = (0..vms).filter(|vm| {
                (*vm as u64 * 7) % PROBE_INTERVAL_MS / STEP_MS
                    == now_ms % PROBE_INTERVAL_MS / STEP_MS
            });
            for vm in probing.collect::<Vec<_>>() {
                let other = rng.random_range(0..vms);
                let either = informed[vm] || informed[other];
                for index in [vm, other] {
                    if either && !std::mem::replace(&mut informed[index], true) {
                        next.push(index);
                    }
                }
            }
            newly_informed = next;
        }
        worst_ms = worst_ms.max(now_ms);
    }
    print(json!({
        "slope": "spread", "vms": vms, "runs": runs, "seed": SEED,
        "step_ms": STEP_MS, "worst_ms": worst_ms,
        "told_per_vm": messages as f64 / (runs as usize * vms) as f64,
    }));
}

fn measure_placement() {
    for vms in [13, 100, 1_000, 4_600] {
        let candidates: Vec<Candidate> = (0..vms)
            .map(|index| Candidate {
                vm: vm_name(index),
                zone: place_of(index).zone,
            })
            .collect();
        let zones = ["zone-0".into(), "zone-1".into(), "zone-2".into()];
        let rounds = 50;
        let started = Instant::now();
        for round in 0..rounds {
            let service = format!("service-{round}");
            black_box(place(&service, &zones, &[None, None, None], &candidates));
        }
        print(json!({
            "slope": "placement", "vms": vms,
            "place_us": started.elapsed().as_secs_f64() * 1e6 / rounds as f64,
        }));
    }
}

fn measure_messages() {
    let bytes = |message: serde_json::Result<Vec<u8>>| message.map_or(0, |m| m.len());
    for changes in [0, 1, 8] {
        let ping = Ping {
            from: vm_name(1_234),
            incarnation: 1_765_000_000_000,
            changes: (0..changes)
                .map(|i| Change {
                    vm: vm_name(i),
                    incarnation: 1_765_000_000_000,
                    liveness: Liveness::Alive,
                    place: Some(place_of(i)),
                })
                .collect(),
            config_version: Some(1_000_000),
        };
        print(json!({
            "slope": "message", "kind": "probe", "changes": changes,
            "bytes": bytes(serde_json::to_vec(&ping)),
        }));
    }
    let change_ref = |version| ChangeRef {
        version,
        digest: "0".repeat(64).into(),
        change_id: "tool-19ae0000000-00000000".into(),
    };
    for kept in [1, 32, 64] {
        let mut head = Head::empty();
        for version in 1..=kept {
            head = Head::next(Some(&head), change_ref(version), None);
        }
        let change = SiteChange {
            version: kept,
            services: [("service-1".into(), Some(service(1)))].into(),
        };
        let update = ConfigUpdate { head, change };
        print(json!({
            "slope": "message", "kind": "news", "changes_kept": kept,
            "bytes": bytes(serde_json::to_vec(&update)),
        }));
    }
    let mut row = ServiceRow::default();
    row.set_holders(&[Some(vm_name(1)), Some(vm_name(2)), Some(vm_name(3))]);
    print(json!({
        "slope": "message", "kind": "service row",
        "bytes": bytes(serde_json::to_vec(&row)),
    }));
}

fn measure_failover() {
    for services in [1, 3, 10] {
        let settings = FailoverSettings::builder().build();
        let mut delegates: Vec<Failover> = (0..services)
            .map(|_| Failover::new(settings, 3, 0))
            .collect();
        let seconds = 1_000;
        let started = Instant::now();
        for tick in 0..seconds * 4 {
            for delegate in &mut delegates {
                black_box(delegate.step(tick * 250, Event::Tick));
                if tick % 4 == 0 {
                    for member in 0..3 {
                        let status = Some(status(member == 0, 10));
                        black_box(delegate.step(tick * 250, Event::Probed { member, status }));
                    }
                }
            }
        }
        print(json!({
            "slope": "delegate", "services": services,
            "cpu_us_per_s": started.elapsed().as_secs_f64() * 1e6 / seconds as f64,
        }));
    }
}

fn measure_statement() {
    let members: Vec<MemberView> = (0..3)
        .map(|index| MemberView {
            observation: Some(Observation {
                status: status(index == 0, 10),
                asked_ms: 1,
                answered_ms: 2,
            }),
            ..MemberView::default()
        })
        .collect();
    let request = ReadRequest {
        floor: Floor::Known(Position::new(1, Lsn(5))),
        max_age_ms: None,
        arrived_ms: 1,
        wait_until_ms: 2,
    };
    let ages = AgeTracker::default();
    let commit = Commit {
        position: Position::new(1, Lsn(5)),
        primary: 0,
        answered_ms: 1,
    };
    let sql = "SELECT name, stock FROM shades WHERE colour = 7 AND shop = 12 ORDER BY name";
    measure_decision("route", || route(&request, &members, &ages, 2));
    measure_decision("acknowledge", || {
        acknowledge(AcknowledgeMode::Majority, &commit, &members)
    });
    measure_decision("classify, parsed", || classify(sql));
    measure_decision("classify, seen before", || {
        foxtailknot::proxy::class_cache::class_of(sql)
    });
}

fn measure_decision<T>(name: &str, decide: impl Fn() -> T) {
    let rounds = 20_000;
    let started = Instant::now();
    for _ in 0..rounds {
        black_box(decide());
    }
    print(json!({
        "slope": "decision", "decision": name,
        "us": started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds),
    }));
}

/// Measures idle proxies at several numbers of VMs and services.
pub fn run_idle_proxies(length: Duration) {
    for (proxies, services) in [(3, 3), (6, 3), (12, 3), (6, 1), (6, 6)] {
        let settings = BenchSettings::builder()
            .proxies(proxies)
            .services(services)
            .build();
        let mut bench = Bench::start(settings);
        std::thread::sleep(Duration::from_secs(2));
        let before = totals(&mut bench);
        std::thread::sleep(length);
        let after = totals(&mut bench);
        let per_vm_s = proxies as f64 * length.as_secs_f64();
        let rate = |a: f64, b: f64| (b - a) / per_vm_s;
        print(json!({
            "slope": "control", "vms": proxies, "services": services,
            "cpu_percent_per_vm": rate(before.cpu_us, after.cpu_us) / 1e4,
            "memory_bytes_per_vm": after.memory_bytes / proxies as f64,
            "peer_bytes_per_s_per_vm": rate(before.peer_bytes, after.peer_bytes),
            "platform_reads_per_s": rate(before.reads, after.reads) * proxies as f64,
            "platform_writes_per_s": rate(before.writes, after.writes) * proxies as f64,
        }));
    }
}

#[derive(Default)]
struct ResourceTotals {
    cpu_us: f64,
    memory_bytes: f64,
    peer_bytes: f64,
    reads: f64,
    writes: f64,
}

fn totals(bench: &mut Bench) -> ResourceTotals {
    let mut totals = ResourceTotals::default();
    for proxy in &mut bench.proxies {
        totals.peer_bytes += proxy.metric("foxtailknot_peer_bytes", "");
        let id = proxy.process().map(|process| process.id());
        if let Some(usage) = id.and_then(Usage::of) {
            totals.cpu_us += usage.cpu_us;
            totals.memory_bytes += usage.memory_bytes as f64;
        }
    }
    let counters = bench
        .get_from_platform("control/counters")
        .unwrap_or_default();
    totals.reads = counters["reads"].as_f64().unwrap_or(0.0);
    totals.writes = counters["writes"].as_f64().unwrap_or(0.0);
    totals
}

fn new_membership() -> Membership {
    let settings = MembershipSettings::builder().build();
    Membership::new(settings, "own".into(), place_of(0), 1)
}

fn vm_name(index: usize) -> Arc<str> {
    format!("vm-{index}").into()
}

fn place_of(index: usize) -> Place {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000));
    Place {
        zone: format!("zone-{}", index % 16).into(),
        internal: address,
        peer: address,
    }
}

fn new_site_settings(services: usize) -> SiteSettings {
    let services = (0..services).map(|i| (format!("service-{i}").into(), service(i)));
    SiteSettings {
        services: services.collect(),
    }
}

fn service(index: usize) -> ServiceSettings {
    let members = (0..3).map(|member| {
        let settings = MemberSettings {
            address: place_of(index % 4_000 + member).peer,
            zone: format!("zone-{member}").into(),
            leaving: false,
        };
        (format!("member-{member}").into(), settings)
    });
    ServiceSettings::builder()
        .members(members.collect())
        .build()
}

fn status(is_primary: bool, lsn: u64) -> MemberStatus {
    MemberStatus {
        role: match is_primary {
            true => Role::Primary,
            false => Role::Replica,
        },
        term: 1,
        synced_term: 1,
        received_lsn: Lsn(lsn),
        replayed_lsn: Lsn(lsn),
        primary_seen_ms: 10,
    }
}

/// Bytes allocated and not freed since the region began.
fn net_allocated(region: &Region<'_, System>) -> usize {
    let change = region.change();
    change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated)
}

fn print(line: serde_json::Value) {
    println!("{line}");
}
