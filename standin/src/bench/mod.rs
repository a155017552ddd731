//! Test bench: runs the stand-ins and proxies as processes on loopback, for
//! tests, the demo and measurements. It ends only processes that it
//! started, by process id.

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

/// Longest wait until a process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running bench.
pub struct Bench {
    /// Settings that it was started with.
    pub settings: BenchSettings,
    /// Members of each service.
    pub endpoints: Vec<Vec<EndpointProcess>>,
    /// Proxies.
    pub proxies: Vec<ProxyProcess>,
    /// Address of the platform.
    pub platform: SocketAddr,
    _platform: Process,
    folder: tempfile::TempDir,
    program_folder: PathBuf,
}

impl Bench {
    /// Starts a bench, with programs from the folder of the current one or, for a
    /// test, its parent.
    ///
    /// # Panics
    ///
    /// Panics when a process can't be started or is not ready in time.
    pub fn start(settings: BenchSettings) -> Bench {
        let program_folder = program_folder();
        let mut folder = tempfile::tempdir().expect("a temporary folder can be made");
        // With this variable set, the logs are kept for inspection.
        folder.disable_cleanup(std::env::var_os("STANDIN_KEEP").is_some());
        let platform = free_address();
        let process = Process::start(
            &program_folder.join("platform-standin"),
            &["--listen".into(), platform.to_string()],
            &folder.path().join("platform.log"),
        );
        let mut bench = Bench {
            endpoints: Vec::new(),
            proxies: Vec::new(),
            platform,
            _platform: process,
            folder,
            program_folder,
            settings,
        };
        wait_until("the platform answers", READY_TIMEOUT, || {
            bench.get_from_platform("vms").is_some()
        });
        bench.start_endpoints();
        bench.create_proxies();
        bench.publish_vms();
        bench.write_config("base.yaml");
        bench.apply("base.yaml");
        for index in 0..bench.proxies.len() {
            bench.start_proxy(index);
        }
        bench.wait_for_slots();
        bench
    }

    /// Name of a service.
    pub fn service(&self, index: usize) -> String {
        format!("service-{index}")
    }

    /// Address for callers of each proxy.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.callers).collect()
    }

    /// Folder that holds the logs and files of this bench.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Runs the command-line tool and returns its output.
    ///
    /// # Errors
    ///
    /// Returns the exit status and the error output.
    pub fn run_cli(&self, args: &[&str]) -> Result<String, (i32, String)> {
        let output = std::process::Command::new(self.program_folder.join("foxtailknot"))
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
    /// Panics when the configuration is rejected.
    pub fn apply(&self, file: &str) {
        let path = self.folder.path().join(file);
        let path = path.to_string_lossy();
        let args = ["config", "apply", "--base", &path, "--wait-s", "0"];
        self.run_cli(&args).expect("the configuration is accepted");
    }

    /// Sets the faults of the platform stand-in.
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
        let vms: Vec<Vm> = self.proxies.iter().map(ProxyProcess::vm_entry).collect();
        let url = format!("http://{}/control/vms", self.platform);
        ureq::put(&url)
            .send_json(&vms)
            .expect("the platform stand-in answers");
    }

    /// Reads a JSON document from the platform stand-in.
    pub fn get_from_platform(&self, path: &str) -> Option<serde_json::Value> {
        let url = format!("http://{}/{path}", self.platform);
        let mut answer = ureq::get(&url).call().ok()?;
        answer.body_mut().read_json().ok()
    }

    /// Starts a proxy that does not run and waits until it is ready.
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
        self.proxies[index].set_extra_settings(lines);
        let program = self.program_folder.join("foxtailknotd");
        let log = self.folder.path().join(format!("vm-{index}.log"));
        let proxy = &mut self.proxies[index];
        proxy.start(&program, self.folder.path(), &log);
        let url = format!("http://{}/ready", proxy.admin);
        wait_until("the proxy is ready", READY_TIMEOUT, || {
            ureq::get(&url).call().is_ok()
        });
    }

    /// Restarts a member; it starts without data and follows the primary.
    pub fn restart_endpoint(&mut self, service: usize, member: usize) {
        let program = self.program_folder.join("endpoint-standin");
        let log = self
            .folder
            .path()
            .join(format!("member-{service}-{member}-again.log"));
        let endpoint = &mut self.endpoints[service][member];
        endpoint.is_first_primary = false;
        endpoint.start(&program, &log);
    }

    /// Index of the member that is the primary of the highest term.
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
        let row = self.service_row(service).unwrap_or_default();
        let slots = row["slots"].as_array().cloned().unwrap_or_default();
        let names = slots.iter().filter_map(|slot| slot["vm"].as_str());
        names.filter_map(|vm| self.proxy_index(vm)).collect()
    }

    /// Index of the proxy that is a service's delegate.
    pub fn delegate(&self, service: usize) -> Option<usize> {
        self.proxy_index(self.service_row(service)?["delegate"].as_str()?)
    }

    fn service_row(&self, service: usize) -> Option<serde_json::Value> {
        let row = self.get_from_platform(&format!("table/service/{}", self.service(service)))?;
        Some(row["value"].clone())
    }

    fn proxy_index(&self, vm: &str) -> Option<usize> {
        self.proxies.iter().position(|proxy| proxy.vm == vm)
    }

    /// Index of a primary among all members but one.
    pub fn primary_excluding(&self, service: usize, excluded: usize) -> Option<usize> {
        let members = self.endpoints[service].iter().enumerate();
        let others = members.filter(|(index, _)| *index != excluded);
        let is_primary = |member: &EndpointProcess| member.status().is_some_and(|s| s.is_primary);
        let mut primaries = others.filter(|(_, member)| is_primary(member));
        primaries.next().map(|(index, _)| index)
    }

    fn start_endpoints(&mut self) {
        let program = self.program_folder.join("endpoint-standin");
        for service in 0..self.settings.services {
            let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
            let mut members = Vec::new();
            for index in 0..addresses.len() {
                let mut member = EndpointProcess::new(&self.settings, &addresses, index);
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

    fn create_proxies(&mut self) {
        for index in 0..self.settings.proxies {
            let zone = format!("zone-{}", index % 3);
            let addresses = [(); 4].map(|()| free_address());
            let proxy = ProxyProcess::new(index, zone, addresses, self.platform);
            self.proxies.push(proxy);
        }
    }

    fn wait_for_slots(&self) {
        for service in 0..self.settings.services {
            let key = format!("table/service/{}", self.service(service));
            wait_until("the slots are placed", READY_TIMEOUT, || {
                let row = self.get_from_platform(&key);
                let slots = row.as_ref().and_then(|r| r["value"]["slots"].as_array());
                let held = slots.map(|s| s.iter().filter(|s| s["vm"].is_string()).count());
                held == Some(self.settings.proxies.min(3))
            });
        }
    }
}

/// Waits until a condition holds; `condition` describes it.
///
/// # Panics
///
/// Panics when it does not hold within `timeout`.
pub fn wait_until(condition: &str, timeout: Duration, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {condition}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// First port that benches use; all of them lie below the range of outgoing
/// connections.
const PORT_FIRST: u16 = 10_000;
/// Number of ports that benches use.
const PORTS: u16 = 20_000;
/// Distance between the first ports of two processes with successive ids.
const PORTS_PER_PROCESS: u32 = 512;

/// A loopback address that is free and that this process has not returned
/// before.
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

fn program_folder() -> PathBuf {
    let own = std::env::current_exe().expect("the current program has a path");
    let folder = own.parent().expect("a program lies in a folder");
    match folder.ends_with("deps") {
        true => folder.parent().expect("deps lies in a folder").to_owned(),
        false => folder.to_owned(),
    }
}
