//! Starts the stand-ins and proxies as processes on loopback, for tests, the
//! demo and measurements. It ends only what it started, by process id.

mod endpoint;
mod files;
mod process;
mod proxy;
mod settings;

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

pub use endpoint::EndpointProcess;
pub use process::{Process, signal};
pub use proxy::ProxyProcess;
pub use settings::BenchSettings;

use crate::platform::{Faults, Vm};

/// Longest wait for a process to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// A running bench.
pub struct Bench {
    /// Settings it was started with.
    pub settings: BenchSettings,
    /// Members by service.
    pub endpoints: Vec<Vec<EndpointProcess>>,
    /// Proxies.
    pub proxies: Vec<ProxyProcess>,
    /// Address of the platform.
    pub platform: SocketAddr,
    _platform: Process,
    folder: tempfile::TempDir,
    programs: PathBuf,
}

impl Bench {
    /// Starts a bench; the programs lie beside the current one or one folder up.
    ///
    /// # Panics
    ///
    /// Panics when a process can't be started or is not ready in time.
    pub fn start(settings: BenchSettings) -> Bench {
        let programs = programs();
        let mut folder = tempfile::tempdir().expect("a temporary folder can be made");
        // With this variable set the logs stay for a look at them.
        folder.disable_cleanup(std::env::var_os("STANDIN_KEEP").is_some());
        let platform = free_address();
        let process = Process::start(
            &programs.join("platform-standin"),
            &["--listen".into(), platform.to_string()],
            &folder.path().join("platform.log"),
        );
        let mut bench = Bench {
            endpoints: Vec::new(),
            proxies: Vec::new(),
            platform,
            _platform: process,
            folder,
            programs,
            settings,
        };
        wait_until("the platform answers", READY_TIMEOUT, || {
            bench.get("vms").is_some()
        });
        bench.start_endpoints();
        bench.plan_proxies();
        bench.publish_vms();
        bench.write_config("base.yaml");
        bench.apply("base.yaml");
        for index in 0..bench.proxies.len() {
            bench.start_proxy(index);
        }
        bench.wait_for_routes();
        bench
    }

    /// Name of a service.
    pub fn service(&self, index: usize) -> String {
        format!("service-{index}")
    }

    /// Addresses that callers use.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.callers).collect()
    }

    /// Folder for files of this bench.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Runs the command-line tool; its output, or its error line.
    ///
    /// # Errors
    ///
    /// Returns the exit status and the error line.
    pub fn run_cli(&self, args: &[&str]) -> Result<String, (i32, String)> {
        let output = std::process::Command::new(self.programs.join("foxtailknot"))
            .args(args)
            .env("FOXTAILKNOT_PLATFORM", self.platform.to_string())
            .output()
            .expect("the tool can be started");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        match output.status.success() {
            true => Ok(text(&output.stdout)),
            false => Err((output.status.code().unwrap_or(-1), text(&output.stderr))),
        }
    }

    /// Applies a configuration file of this bench.
    ///
    /// # Panics
    ///
    /// Panics when it is not accepted.
    pub fn apply(&self, file: &str) {
        let path = self.folder.path().join(file);
        let path = path.to_string_lossy();
        let args = ["config", "apply", "--base", &path, "--wait-s", "0"];
        self.run_cli(&args).expect("the configuration is accepted");
    }

    /// Sets the platform's faults.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in does not answer.
    pub fn set_faults(&self, faults: &Faults) {
        let url = format!("http://{}/control/faults", self.platform);
        ureq::post(&url)
            .send_json(faults)
            .expect("the platform stand-in answers");
    }

    /// Publishes the VMs of this bench in the platform's list.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in does not answer.
    pub fn publish_vms(&self) {
        let vms: Vec<Vm> = self.proxies.iter().map(ProxyProcess::listed).collect();
        let url = format!("http://{}/control/vms", self.platform);
        ureq::put(&url)
            .send_json(&vms)
            .expect("the platform stand-in answers");
    }

    /// Reads from the platform.
    pub fn get(&self, path: &str) -> Option<serde_json::Value> {
        let url = format!("http://{}/{path}", self.platform);
        let mut answer = ureq::get(&url).call().ok()?;
        answer.body_mut().read_json().ok()
    }

    /// Starts a planned or stopped proxy and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics when it is not ready in time.
    pub fn start_proxy(&mut self, index: usize) {
        let seeds = self.proxies.iter().enumerate();
        let seeds = seeds.filter(|(other, _)| *other != index);
        let seeds: Vec<String> = seeds.map(|(_, p)| format!("\"{}\"", p.peer)).collect();
        let line = format!("seeds: [{}]", seeds.join(", "));
        let lines = [&[line], self.settings.vm_extra.as_slice()].concat();
        self.proxies[index].set_extra(lines);
        let program = self.programs.join("foxtailknotd");
        let log = self.folder.path().join(format!("vm-{index}.log"));
        let proxy = &mut self.proxies[index];
        proxy.start(&program, self.folder.path(), &log);
        let url = format!("http://{}/ready", proxy.admin);
        wait_until("the proxy is ready", READY_TIMEOUT, || {
            ureq::get(&url).call().is_ok()
        });
    }

    /// Starts a member again; it comes back empty and follows the primary.
    pub fn restart_endpoint(&mut self, service: usize, member: usize) {
        let program = self.programs.join("endpoint-standin");
        let log = self
            .folder
            .path()
            .join(format!("member-{service}-{member}-again.log"));
        let endpoint = &mut self.endpoints[service][member];
        endpoint.is_first_primary = false;
        endpoint.start(&program, &log);
    }

    /// Index of the member that leads in the highest term.
    pub fn primary(&self, service: usize) -> Option<usize> {
        let statuses = self.endpoints[service].iter().map(EndpointProcess::status);
        let statuses: Vec<_> = statuses.collect();
        let highest = statuses.iter().flatten().map(|s| s.term).max()?;
        statuses.iter().position(|s| {
            s.as_ref()
                .is_some_and(|s| s.is_primary && s.term == highest)
        })
    }

    /// Indices of the proxies that hold a slot of a service.
    pub fn slot_holders(&self, service: usize) -> Vec<usize> {
        let row = self.row(service).unwrap_or_default();
        let slots = row["slots"].as_array().cloned().unwrap_or_default();
        let names = slots.iter().filter_map(|slot| slot["vm"].as_str());
        names.filter_map(|vm| self.proxy_named(vm)).collect()
    }

    /// Index of the proxy that is a service's delegate.
    pub fn delegate(&self, service: usize) -> Option<usize> {
        self.proxy_named(self.row(service)?["delegate"].as_str()?)
    }

    fn row(&self, service: usize) -> Option<serde_json::Value> {
        let row = self.get(&format!("table/service/{}", self.service(service)))?;
        Some(row["value"].clone())
    }

    fn proxy_named(&self, vm: &str) -> Option<usize> {
        self.proxies.iter().position(|proxy| proxy.vm == vm)
    }

    /// As [`Bench::primary`], among all members but one.
    pub fn primary_excluding(&self, service: usize, excluded: usize) -> Option<usize> {
        let members = self.endpoints[service].iter().enumerate();
        let others = members.filter(|(index, _)| *index != excluded);
        let leads = |member: &EndpointProcess| member.status().is_some_and(|s| s.is_primary);
        let mut leading = others.filter(|(_, member)| leads(member));
        leading.next().map(|(index, _)| index)
    }

    fn start_endpoints(&mut self) {
        let program = self.programs.join("endpoint-standin");
        for service in 0..self.settings.services {
            let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
            let mut members = Vec::new();
            for index in 0..addresses.len() {
                let mut member = EndpointProcess::plan(&self.settings, &addresses, index);
                let log = self
                    .folder
                    .path()
                    .join(format!("member-{service}-{index}.log"));
                member.start(&program, &log);
                members.push(member);
            }
            self.endpoints.push(members);
        }
        for members in &self.endpoints {
            for member in members {
                wait_until("the member answers", READY_TIMEOUT, || {
                    member.status().is_some_and(|s| s.synced_term > 0)
                });
            }
        }
    }

    fn plan_proxies(&mut self) {
        for index in 0..self.settings.proxies {
            let zone = format!("zone-{}", index % 3);
            let addresses = [(); 4].map(|()| free_address());
            let proxy = ProxyProcess::plan(index, zone, addresses, self.platform);
            self.proxies.push(proxy);
        }
    }

    fn wait_for_routes(&self) {
        for service in 0..self.settings.services {
            let key = format!("table/service/{}", self.service(service));
            wait_until("the slots are placed", READY_TIMEOUT, || {
                let row = self.get(&key);
                let slots = row.as_ref().and_then(|r| r["value"]["slots"].as_array());
                let held = slots.map(|s| s.iter().filter(|s| s["vm"].is_string()).count());
                held == Some(self.settings.proxies.min(3))
            });
        }
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics when it does not hold in time.
pub fn wait_until(what: &str, timeout: Duration, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        std::thread::sleep(POLL);
    }
}

/// First port that benches use, below the range of outgoing connections.
const PORT_FIRST: u16 = 10_000;
/// Ports that benches use.
const PORTS: u16 = 20_000;
/// Ports between the first ones of two processes.
const PORTS_PER_PROCESS: u32 = 512;

/// An address on loopback that nobody listens on and that this process has not
/// given out before.
///
/// # Panics
///
/// Panics when loopback has no free port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..PORTS {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = first.wrapping_add(next) % u32::from(PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], PORT_FIRST + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("loopback has no free port");
}

fn programs() -> PathBuf {
    let own = std::env::current_exe().expect("the current program has a path");
    let folder = own.parent().expect("a program lies in a folder");
    match folder.ends_with("deps") {
        true => folder.parent().expect("deps lies in a folder").to_owned(),
        false => folder.to_owned(),
    }
}
