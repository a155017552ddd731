//! A caller that can switch between proxies and transfer its session.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use tokio_postgres::{Client, NoTls, SimpleQueryMessage, error::Severity};

use crate::history::WriteOutcome;

/// Time limit for connecting to a proxy, startup messages included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a proxy that did not accept a connection is not tried again.
const EJECTION_TIME: Duration = Duration::from_secs(5);
/// Time limit for a response; longer than a proxy lets a request wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// How a caller transfers its session to the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum SessionTransfer {
    /// It presents its session token.
    Token,
    /// It presents no session token.
    Nothing,
}

/// A caller with at most one connection to one of the proxies.
pub struct Caller {
    addresses: Vec<SocketAddr>,
    service: String,
    next: usize,
    switches_proxy: bool,
    transfer: SessionTransfer,
    options: String,
    token: Option<String>,
    client: Option<Client>,
    /// Error with which the driver's connection task ended.
    connection_error: Option<Arc<OnceLock<tokio_postgres::Error>>>,
    ejected_at: BTreeMap<SocketAddr, Instant>,
}

/// A failed request.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// SQLSTATE, or `connect`, `connection` or `timeout`.
    pub code: String,
    /// Error message; one from foxtailknot begins with its error number.
    pub message: String,
    /// Known outcome of the request.
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
            connection_error: None,
            ejected_at: BTreeMap::new(),
        }
    }

    /// Makes every request use the next proxy.
    pub fn switching_proxies(mut self, transfer: SessionTransfer) -> Caller {
        self.switches_proxy = true;
        self.transfer = transfer;
        self
    }

    /// Sets startup options.
    pub fn with_options(mut self, options: &str) -> Caller {
        self.options = options.to_owned();
        self
    }

    /// Disconnects; the next request uses the next proxy.
    pub fn disconnect(&mut self) {
        self.client = None;
    }

    /// Runs a statement and returns the first column of its rows.
    ///
    /// # Errors
    ///
    /// Returns the error with the known outcome of the request.
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
                    code: "timeout".into(),
                    message: "no answer".into(),
                    outcome: WriteOutcome::Unknown,
                });
            }
            Ok(Err(error)) => {
                // A database error that the driver receives while no request is
                // in progress closes the connection; a later request is not sent.
                let closing_error = self.connection_error.as_ref().and_then(|error| error.get());
                let closing_error =
                    closing_error.filter(|e| error.is_closed() && e.as_db_error().is_some());
                let mut failed = request_error(closing_error.unwrap_or(&error));
                if failed.code == "connection" {
                    let end = self.connection_error.as_ref().and_then(|error| error.get());
                    failed.message += &end.map_or(", no end".into(), |end| format!(", {end}"));
                }
                if client.is_closed() || ends_session(&error) {
                    self.client = None;
                }
                return Err(failed);
            }
        };
        if self.switches_proxy {
            self.fetch_token().await;
            self.client = None;
        }
        Ok(answer)
    }

    /// Reads and keeps the current session token.
    pub async fn fetch_token(&mut self) {
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
            if self.is_ejected(address) {
                continue;
            }
            // The driver's connect timeout covers only the TCP connection, not
            // the startup messages.
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect_to(address));
            match connecting.await {
                Ok(Ok(client)) => return Ok(client),
                Ok(Err(error)) => last = not_connected(&error.to_string()),
                Err(_) => last = not_connected("no answer"),
            }
            self.ejected_at.insert(address, Instant::now());
        }
        Err(last)
    }

    /// Imitates a load balancer, which for a while sends no connections to a
    /// server that did not respond.
    fn is_ejected(&self, address: SocketAddr) -> bool {
        let ejected_at = self.ejected_at.get(&address);
        ejected_at.is_some_and(|at| at.elapsed() < EJECTION_TIME)
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
        let connection_error = Arc::new(OnceLock::new());
        self.connection_error = Some(connection_error.clone());
        tokio::spawn(async move {
            // The client sees a closed connection only once this is dropped, so
            // the error is set before.
            if let Err(error) = (&mut connection).await {
                // Only this task sets it, once.
                let _ = connection_error.set(error);
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

fn request_error(error: &tokio_postgres::Error) -> RequestError {
    let Some(db) = error.as_db_error() else {
        // After a broken connection the outcome is unknown.
        return RequestError {
            code: "connection".into(),
            message: error.to_string(),
            outcome: WriteOutcome::Unknown,
        };
    };
    let is_unknown = db.detail().is_some_and(|d| d.contains("unknown"));
    RequestError {
        code: db.code().code().to_owned(),
        message: db.message().to_owned(),
        outcome: match is_unknown {
            true => WriteOutcome::Unknown,
            false => WriteOutcome::NotRun,
        },
    }
}

/// Whether the server ends the session with this error. The driver may learn of the
/// connection's end later, and would send the next statement in vain.
fn ends_session(error: &tokio_postgres::Error) -> bool {
    let severity = error.as_db_error().and_then(|db| db.parsed_severity());
    matches!(severity, Some(Severity::Fatal | Severity::Panic))
}

fn not_connected(text: &str) -> RequestError {
    RequestError {
        code: "connect".into(),
        message: text.to_owned(),
        outcome: WriteOutcome::NotRun,
    }
}
