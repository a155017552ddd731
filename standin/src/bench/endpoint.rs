//! A member as a process.

use std::{net::SocketAddr, path::Path};

use postgres::{Client, NoTls, SimpleQueryMessage};

use super::{BenchSettings, Process};

/// What a member says of itself.
#[derive(Clone, Debug)]
pub struct Status {
    /// Whether it leads.
    pub is_primary: bool,
    /// Highest term promised to.
    pub term: u64,
    /// Term whose log it follows.
    pub synced_term: u64,
    /// Time since it heard from its primary, in milliseconds.
    pub primary_seen_ms: u64,
}

/// What a member has counted of foxtailknot.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    /// Connections open now.
    pub open: usize,
    /// Most connections at once.
    pub peak: usize,
    /// Statements on data.
    pub statements: usize,
}

/// A member as a process.
pub struct EndpointProcess {
    /// Address.
    pub address: SocketAddr,
    /// Whether it starts as the first primary.
    pub is_first_primary: bool,
    index: usize,
    peers: Vec<SocketAddr>,
    settings: BenchSettings,
    process: Option<Process>,
}

impl EndpointProcess {
    /// Plans a member of a group.
    pub fn plan(settings: &BenchSettings, group: &[SocketAddr], index: usize) -> EndpointProcess {
        let address = group[index];
        let peers = group.iter().copied().filter(|a| *a != address);
        EndpointProcess {
            address,
            is_first_primary: index == 0,
            index,
            peers: peers.collect(),
            settings: settings.clone(),
            process: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self, program: &Path, log: &Path) {
        let mut args = vec![
            format!("--name=member-{}", self.index),
            format!("--listen={}", self.address),
            format!("--ship-lag-ms={}", self.settings.ship_lag_ms),
            format!("--replay-lag-ms={}", self.settings.replay_lag_ms),
            format!("--connect-ms={}", self.settings.connect_ms),
            format!("--max-connections={}", self.settings.connections),
        ];
        args.extend(self.peers.iter().map(|peer| format!("--peer={peer}")));
        if self.is_first_primary {
            args.push("--primary".into());
        }
        self.process = Some(Process::start(program, &args, log));
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Stops the process without ending it.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Cuts the member off from its peers, or ends that.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.call(&format!("SELECT dbgroup_cut({})", u8::from(is_partitioned)));
    }

    /// Cuts the member off from everybody, or ends that.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.set_partitioned(is_unreachable);
        self.call(&format!(
            "SELECT dbgroup_silence({})",
            u8::from(is_unreachable)
        ));
    }

    /// Sets the delays of the member, in milliseconds.
    pub fn set_lag(&self, ship_lag_ms: u64, replay_lag_ms: u64) {
        self.call(&format!(
            "SELECT dbgroup_lag({ship_lag_ms},{replay_lag_ms})"
        ));
    }

    /// What the member has counted of foxtailknot.
    pub fn counts(&self) -> Option<Counts> {
        let text = self.call("SELECT dbgroup_connections()")?.pop()??;
        let mut numbers = text.split(',').map(|n| n.parse().ok());
        Some(Counts {
            open: numbers.next()??,
            peak: numbers.next()??,
            statements: numbers.next()??,
        })
    }

    /// What the member says of itself.
    pub fn status(&self) -> Option<Status> {
        let values = self.call("SELECT dbgroup_status()")?;
        let value = |i: usize| values.get(i).cloned().flatten();
        Some(Status {
            is_primary: value(0)? == "primary",
            term: value(1)?.parse().ok()?,
            synced_term: value(2)?.parse().ok()?,
            primary_seen_ms: value(5)?.parse().ok()?,
        })
    }

    /// Opens a connection straight to the member.
    pub fn connect(&self) -> Option<Client> {
        let mut config = postgres::Config::new();
        config.host(&self.address.ip().to_string());
        config.port(self.address.port());
        config.user("bench");
        config.connect_timeout(std::time::Duration::from_secs(2));
        config.connect(NoTls).ok()
    }

    fn call(&self, sql: &str) -> Option<Vec<Option<String>>> {
        let mut client = self.connect()?;
        let answer = client.simple_query(sql).ok()?;
        answer.into_iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(
                (0..row.len())
                    .map(|i| row.get(i).map(str::to_owned))
                    .collect(),
            ),
            _ => None,
        })
    }

    fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            process.signal(name);
        }
    }
}
