//! Settings of one VM.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::{Result, SettingsError, part::part};
use crate::prelude::*;

/// How callers are authenticated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Authentication {
    /// Refuses all callers until the operator chooses a method.
    #[default]
    Refuse,
    /// Accepts everybody who can reach the listener.
    Trust,
}

part! {
    /// Addresses of the listeners in one file.
    ListenPart {
        /// Callers, PostgreSQL protocol.
        #[garde(skip)]
        callers: SocketAddr,
        /// Callers that other VMs forward, PostgreSQL protocol.
        #[garde(skip)]
        internal: SocketAddr,
        /// Calls between VMs.
        #[garde(skip)]
        peer: SocketAddr,
        /// Metrics and health, HTTP.
        #[garde(skip)]
        admin: SocketAddr,
    }
}

part! {
    /// Settings of logging in one file.
    LogPart {
        /// Lowest level: `error`, `warn`, `info`, `debug` or `trace`.
        #[garde(skip)]
        level: log::LevelFilter,
        /// Levels of single targets.
        #[garde(skip)]
        targets: BTreeMap<String, log::LevelFilter>,
    }
}

part! {
    /// Settings of a VM in one file.
    VmPart {
        /// Name of the VM.
        #[garde(length(min = 1, max = 63))]
        vm: String,
        /// Availability zone.
        #[garde(length(min = 1))]
        zone: String,
        /// Region.
        #[garde(length(min = 1))]
        region: String,
        /// Listeners.
        #[garde(dive)]
        listen: ListenPart,
        /// Address of the platform's services.
        #[garde(skip)]
        platform: SocketAddr,
        /// Addresses for calls to other VMs, used while the platform's VM list can't be
        /// read.
        #[garde(skip)]
        seeds: Vec<SocketAddr>,
        /// How callers are authenticated.
        #[garde(skip)]
        authentication: Authentication,
        /// Permits `trust` on an address other than loopback.
        #[garde(skip)]
        trust_beyond_loopback: bool,
        /// Logging.
        #[garde(dive)]
        log: LogPart,
        /// Most callers at once.
        #[garde(range(min = 1, max = 1_000_000))]
        callers_max: usize,
        /// Largest request, in bytes.
        #[garde(range(min = 1_024, max = 1_073_741_824))]
        request_max_bytes: usize,
        /// Time a graceful stop may take, in milliseconds.
        #[garde(range(min = 1, max = 3_600_000))]
        drain_ms: u64,
    }
}

/// Settings of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// Name of the VM.
    pub vm: Name,
    /// Availability zone.
    pub zone: Name,
    /// Region.
    pub region: Name,
    /// Callers, PostgreSQL protocol.
    pub callers: SocketAddr,
    /// Callers that other VMs forward, PostgreSQL protocol.
    pub internal: SocketAddr,
    /// Calls between VMs.
    pub peer: SocketAddr,
    /// Metrics and health, HTTP.
    pub admin: SocketAddr,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Addresses for calls to other VMs, used while the platform's VM list can't be
    /// read.
    pub seeds: Vec<SocketAddr>,
    /// How callers are authenticated.
    pub authentication: Authentication,
    /// Lowest log level.
    pub log_level: log::LevelFilter,
    /// Levels of single log targets.
    pub log_targets: BTreeMap<String, log::LevelFilter>,
    /// Most callers at once.
    pub callers_max: usize,
    /// Largest request, in bytes.
    pub request_max_bytes: usize,
    /// Time a graceful stop may take, in milliseconds.
    pub drain_ms: u64,
}

impl VmPart {
    /// Replaces each key that `over` sets, also within the nested parts.
    pub fn overlay_deep(&mut self, mut over: VmPart) {
        if let Some(listen) = over.listen.take() {
            self.listen.get_or_insert_default().overlay(listen);
        }
        if let Some(log) = over.log.take() {
            self.log.get_or_insert_default().overlay(log);
        }
        self.overlay(over);
    }
}

impl VmSettings {
    /// Builds the settings from the merged files, with defaults for missing keys.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key at fault.
    pub fn build(part: &VmPart) -> Result<VmSettings> {
        let missing = |key: &str| SettingsError::merged(key, "is missing");
        let listen = part.listen.clone().unwrap_or_default();
        let log = part.log.clone().unwrap_or_default();
        let settings = VmSettings {
            vm: part.vm.as_deref().ok_or_else(|| missing("vm"))?.into(),
            zone: part.zone.as_deref().ok_or_else(|| missing("zone"))?.into(),
            region: part.region.as_deref().unwrap_or("default").into(),
            callers: listen.callers.ok_or_else(|| missing("listen.callers"))?,
            internal: listen.internal.ok_or_else(|| missing("listen.internal"))?,
            peer: listen.peer.ok_or_else(|| missing("listen.peer"))?,
            admin: listen.admin.ok_or_else(|| missing("listen.admin"))?,
            platform: part.platform.ok_or_else(|| missing("platform"))?,
            seeds: part.seeds.clone().unwrap_or_default(),
            authentication: part.authentication.unwrap_or_default(),
            log_level: log.level.unwrap_or(log::LevelFilter::Info),
            log_targets: log.targets.unwrap_or_default(),
            callers_max: part.callers_max.unwrap_or(10_000),
            request_max_bytes: part.request_max_bytes.unwrap_or(16 << 20),
            drain_ms: part.drain_ms.unwrap_or(30_000),
        };
        settings.check_listeners()?;
        settings.check_trust(part.trust_beyond_loopback.unwrap_or(false))?;
        Ok(settings)
    }

    fn listeners(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("listen.callers", self.callers),
            ("listen.internal", self.internal),
            ("listen.peer", self.peer),
            ("listen.admin", self.admin),
        ]
    }

    fn check_listeners(&self) -> Result<()> {
        let listeners = self.listeners();
        for (i, (key, address)) in listeners.iter().enumerate() {
            let clash = |(_, other): &&(&str, SocketAddr)| overlaps(*address, *other);
            if let Some((other, _)) = listeners[..i].iter().find(clash) {
                let text = format!("{address} overlaps with {other}");
                return Err(SettingsError::merged(*key, text));
            }
        }
        Ok(())
    }

    fn check_trust(&self, beyond_loopback: bool) -> Result<()> {
        let is_trust = self.authentication == Authentication::Trust;
        if is_trust && !self.callers.ip().is_loopback() && !beyond_loopback {
            let text = "trust is refused on an address that is not loopback; \
                        set trust_beyond_loopback to permit it";
            return Err(SettingsError::merged("authentication", text));
        }
        Ok(())
    }
}

fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let is_any = |ip: IpAddr| ip.is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || is_any(a.ip()) || is_any(b.ip()))
}
