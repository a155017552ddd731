//! Stand-in for a member, run as a process.

use std::{net::SocketAddr, path::Path};

use postgres::{Client, NoTls, SimpleQueryMessage};

use super::{BenchSettings, Process};

/// State that a member reports.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Highest term that it has accepted.
    pub term: u64,
    /// Term whose primary its log is synchronized with.
    pub synced_term: u64,
    /// Time since it last heard from its primary, in milliseconds.
    pub primary_seen_ms: u64,
}

/// Connections and statements from foxtailknot, as counted by a member.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCounts {
    /// Open connections.
    pub open: usize,
    /// Highest number of open connections so far.
    pub peak: usize,
    /// Statements run, without transaction control.
    pub statements: usize,
}

/// A member run as a process.
pub struct EndpointProcess {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Whether it starts as the group's first primary.
    pub is_first_primary: bool,
    index: usize,
    peers: Vec<SocketAddr>,
    settings: BenchSettings,
    process: Option<Process>,
}

impl EndpointProcess {
    /// Creates a member of a group without starting it.
    pub fn new(settings: &BenchSettings, group: &[SocketAddr], index: usize) -> EndpointProcess {
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

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Suspends the process.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended process.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Starts or ends a network partition between the member and its peers.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.query_row(&format!("SELECT dbgroup_cut({})", u8::from(is_partitioned)));
    }

    /// Makes the member unreachable for peers, proxies and callers, or ends that.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.set_partitioned(is_unreachable);
        self.query_row(&format!(
            "SELECT dbgroup_silence({})",
            u8::from(is_unreachable)
        ));
    }

    /// Sets the replication delays of the member, in milliseconds.
    pub fn set_lag(&self, ship_lag_ms: u64, replay_lag_ms: u64) {
        self.query_row(&format!(
            "SELECT dbgroup_lag({ship_lag_ms},{replay_lag_ms})"
        ));
    }

    /// Connections and statements from foxtailknot; `None` without an answer.
    pub fn connection_counts(&self) -> Option<ConnectionCounts> {
        let text = self.query_row("SELECT dbgroup_connections()")?.pop()??;
        let mut numbers = text.split(',').map(|n| n.parse().ok());
        Some(ConnectionCounts {
            open: numbers.next()??,
            peak: numbers.next()??,
            statements: numbers.next()??,
        })
    }

    /// State that the member reports; `None` without an answer.
    pub fn status(&self) -> Option<MemberStatus> {
        let values = self.query_row("SELECT dbgroup_status()")?;
        let value = |i: usize| values.get(i).cloned().flatten();
        Some(MemberStatus {
            is_primary: value(0)? == "primary",
            term: value(1)?.parse().ok()?,
            synced_term: value(2)?.parse().ok()?,
            primary_seen_ms: value(5)?.parse().ok()?,
        })
    }

    /// Connects to the member directly, not through a proxy.
    pub fn connect(&self) -> Option<Client> {
        let mut config = postgres::Config::new();
        config.host(&self.address.ip().to_string());
        config.port(self.address.port());
        config.user("bench");
        config.connect_timeout(std::time::Duration::from_secs(2));
        config.connect(NoTls).ok()
    }

    fn query_row(&self, sql: &str) -> Option<Vec<Option<String>>> {
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
