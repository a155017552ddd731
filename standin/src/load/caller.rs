//! A caller that can move between proxies and transfer its session.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use crate::history::WriteOutcome;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a proxy that did not answer is left out.
const AVOID: Duration = Duration::from_secs(5);
/// Longest wait for an answer; longer than a proxy lets a request wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// How a caller carries its session to the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum SessionTransfer {
    /// It presents its token.
    Token,
    /// It presents nothing.
    Nothing,
}

/// A caller.
pub struct Caller {
    addresses: Vec<SocketAddr>,
    service: String,
    next: usize,
    switches_proxy: bool,
    transfer: SessionTransfer,
    options: String,
    token: Option<String>,
    client: Option<Client>,
    /// Error with which the driver ended the connection.
    ended: Option<Arc<OnceLock<tokio_postgres::Error>>>,
    avoided: BTreeMap<SocketAddr, Instant>,
}

/// A failed request.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// SQLSTATE, or `connection`.
    pub state: String,
    /// Text with the number.
    pub text: String,
    /// What is known of the outcome.
    pub outcome: WriteOutcome,
}

impl Caller {
    /// Creates a caller that starts at `addresses[first]`.
    pub fn new(addresses: &[SocketAddr], service: &str, first: usize) -> Caller {
        Caller {
            addresses: addresses.to_vec(),
            service: service.to_owned(),
            next: first,
            switches_proxy: false,
            transfer: SessionTransfer::Token,
            options: String::new(),
            token: None,
            client: None,
            ended: None,
            avoided: BTreeMap::new(),
        }
    }

    /// Makes every request use another proxy.
    pub fn moving(mut self, transfer: SessionTransfer) -> Caller {
        self.switches_proxy = true;
        self.transfer = transfer;
        self
    }

    /// Adds startup options.
    pub fn with_options(mut self, options: &str) -> Caller {
        self.options = options.to_owned();
        self
    }

    /// Moves to the next proxy now.
    pub fn move_on(&mut self) {
        self.client = None;
    }

    /// Runs a statement; the first column of its rows.
    ///
    /// # Errors
    ///
    /// Returns what is known of the outcome.
    pub async fn run(&mut self, sql: &str) -> Result<Vec<String>, RequestError> {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            self.client = Some(self.connect().await?);
        }
        let Some(client) = &self.client else {
            return Err(not_connected("no connection"));
        };
        let asked = tokio::time::timeout(REQUEST_TIMEOUT, client.simple_query(sql));
        let answer = match asked.await {
            Ok(Ok(answer)) => values(&answer),
            Err(_) => {
                self.client = None;
                return Err(RequestError {
                    state: "timeout".into(),
                    text: "no answer".into(),
                    outcome: WriteOutcome::Unknown,
                });
            }
            Ok(Err(error)) => {
                // A refusal that the driver met while no request was on the
                // connection ends it; what was asked for later was not sent.
                let refused = self.ended.as_ref().and_then(|ended| ended.get());
                let refused = refused.filter(|e| error.is_closed() && e.as_db_error().is_some());
                let mut failed = failed(refused.unwrap_or(&error));
                if failed.state == "connection" {
                    let end = self.ended.as_ref().and_then(|ended| ended.get());
                    failed.text += &end.map_or(", no end".into(), |end| format!(", {end}"));
                }
                if client.is_closed() {
                    self.client = None;
                }
                return Err(failed);
            }
        };
        if self.switches_proxy {
            self.learn_token().await;
            self.client = None;
        }
        Ok(answer)
    }

    /// Remembers the session's token.
    pub async fn learn_token(&mut self) {
        let Some(client) = &self.client else { return };
        let shown = client.simple_query("SHOW foxtailknot.session_token").await;
        let shown = shown.ok().and_then(|answer| values(&answer).pop());
        self.token = shown
            .filter(|token| token != "unknown")
            .or(self.token.take());
    }

    async fn connect(&mut self) -> Result<Client, RequestError> {
        let mut last = not_connected("no proxy");
        for _ in 0..self.addresses.len() {
            let address = self.addresses[self.next % self.addresses.len()];
            self.next += 1;
            if self.is_avoided(address) {
                continue;
            }
            // The driver's own limit covers only the first part of a connection.
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect_to(address));
            match connecting.await {
                Ok(Ok(client)) => return Ok(client),
                Ok(Err(error)) => last = not_connected(&error.to_string()),
                Err(_) => last = not_connected("no answer"),
            }
            self.avoided.insert(address, Instant::now());
        }
        Err(last)
    }

    /// A balancer sends nobody to a proxy that did not answer a moment ago.
    fn is_avoided(&self, address: SocketAddr) -> bool {
        let since = self.avoided.get(&address);
        since.is_some_and(|since| since.elapsed() < AVOID)
    }

    async fn connect_to(&mut self, address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string());
        config.port(address.port());
        config.user("load");
        config.dbname(&self.service);
        let mut options = self.options.clone();
        if let Some(token) = self
            .token
            .as_ref()
            .filter(|_| self.transfer == SessionTransfer::Token)
        {
            options += &format!(" -c foxtailknot.session_token={token}");
        }
        config.options(options.trim());
        let (client, mut connection) = config.connect(NoTls).await?;
        let ended = Arc::new(OnceLock::new());
        self.ended = Some(ended.clone());
        tokio::spawn(async move {
            // Requests learn of the end only when the connection is dropped.
            if let Err(error) = (&mut connection).await {
                // Set once, by this task alone.
                let _ = ended.set(error);
            }
        });
        Ok(client)
    }
}

fn values(answer: &[SimpleQueryMessage]) -> Vec<String> {
    let rows = answer.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.collect()
}

fn failed(error: &tokio_postgres::Error) -> RequestError {
    let Some(db) = error.as_db_error() else {
        // A connection that broke says nothing of the outcome.
        return RequestError {
            state: "connection".into(),
            text: error.to_string(),
            outcome: WriteOutcome::Unknown,
        };
    };
    let is_unknown = db.detail().is_some_and(|d| d.contains("unknown"));
    RequestError {
        state: db.code().code().to_owned(),
        text: db.message().to_owned(),
        outcome: match is_unknown {
            true => WriteOutcome::Unknown,
            false => WriteOutcome::NotRun,
        },
    }
}

fn not_connected(text: &str) -> RequestError {
    RequestError {
        state: "connect".into(),
        text: text.to_owned(),
        outcome: WriteOutcome::NotRun,
    }
}
