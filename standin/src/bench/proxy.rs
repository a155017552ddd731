//! A proxy, run as a process.

use std::{net::SocketAddr, path::Path, path::PathBuf};

use postgres::{Client, NoTls};

use super::{Process, files};
use crate::platform::Vm;

/// A proxy run as a process.
pub struct ProxyProcess {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for connections that other VMs forward.
    pub internal: SocketAddr,
    /// Address for calls between VMs.
    pub peer: SocketAddr,
    /// Address for metrics and health checks.
    pub admin: SocketAddr,
    /// Whether its entry in the platform's VM list says that it is leaving.
    pub leaving: bool,
    platform: SocketAddr,
    extra_settings: Vec<String>,
    process: Option<Process>,
}

impl ProxyProcess {
    /// Creates a proxy without starting it.
    pub fn new(
        index: usize,
        zone: String,
        addresses: [SocketAddr; 4],
        platform: SocketAddr,
    ) -> ProxyProcess {
        let [callers, internal, peer, admin] = addresses;
        ProxyProcess {
            vm: format!("vm-{index}"),
            zone,
            callers,
            internal,
            peer,
            admin,
            leaving: false,
            platform,
            extra_settings: Vec::new(),
            process: None,
        }
    }

    /// Sets additional lines of the VM's settings.
    pub fn set_extra_settings(&mut self, lines: Vec<String>) {
        self.extra_settings = lines;
    }

    /// Starts the process.
    ///
    /// # Panics
    ///
    /// Panics when its settings can't be written.
    pub fn start(&mut self, program: &Path, folder: &Path, log: &Path) {
        let file: PathBuf = folder.join(format!("{}.yaml", self.vm));
        let mut text = files::vm_settings(self, self.platform);
        for line in &self.extra_settings {
            text += line;
            text += "\n";
        }
        std::fs::write(&file, text).expect("settings can be written");
        let args = ["--settings".into(), file.to_string_lossy().into_owned()];
        self.process = Some(Process::start(program, &args, log));
    }

    /// Its entry in the platform's VM list.
    pub fn vm_entry(&self) -> Vm {
        Vm {
            name: self.vm.clone(),
            zone: self.zone.clone(),
            region: "region".into(),
            internal: self.internal,
            peer: self.peer,
            leaving: self.leaving,
        }
    }

    /// The process, unless it was never started or was killed.
    pub fn process(&mut self) -> Option<&mut Process> {
        self.process.as_mut()
    }

    /// Process id, unless it was never started or was killed.
    pub fn id(&self) -> Option<u32> {
        self.process.as_ref().map(Process::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Driver configuration for connections to a service.
    pub fn config(&self, service: &str) -> postgres::Config {
        let mut config = postgres::Config::new();
        config.host(&self.callers.ip().to_string());
        config.port(self.callers.port());
        config.user("bench");
        config.dbname(service);
        config
    }

    /// Connects to a service.
    ///
    /// # Errors
    ///
    /// Returns the driver's error.
    pub fn connect(&self, service: &str) -> Result<Client, postgres::Error> {
        self.config(service).connect(NoTls)
    }

    /// Connects to a service with a session token.
    ///
    /// # Errors
    ///
    /// Returns the driver's error.
    pub fn connect_with_token(
        &self,
        service: &str,
        token: &str,
    ) -> Result<Client, postgres::Error> {
        let mut config = self.config(service);
        config.options(&format!("-c foxtailknot.session_token={token}"));
        config.connect(NoTls)
    }

    /// Sum of the metric's samples whose lines contain `label`; 0 without an
    /// answer.
    pub fn metric(&self, name: &str, label: &str) -> f64 {
        let url = format!("http://{}/metrics", self.admin);
        let Ok(mut answer) = ureq::get(&url).call() else {
            return 0.0;
        };
        let text = answer.body_mut().read_to_string().unwrap_or_default();
        let lines = text
            .lines()
            .filter(|l| l.starts_with(name) && l.contains(label));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}
