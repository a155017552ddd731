//! Sessions that write rows and read them back, and record a history.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use super::caller::{Caller, SessionTransfer};
use crate::history::{Event, History, WriteOutcome};

/// Statement that creates the table for the sessions.
pub const TABLE_SQL: &str = "CREATE TABLE entries (key TEXT NOT NULL, half INTEGER)";
/// Number of writes of a session per transaction that writes two rows.
const PAIR_EVERY: usize = 5;
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Workload of the sessions.
#[derive(Clone, Debug)]
pub struct WritersPlan {
    /// Number of concurrent sessions.
    pub sessions: usize,
    /// Number of writes of each session, unless it is stopped before.
    pub writes: usize,
    /// Whether every request uses the next proxy.
    pub switches_proxy: bool,
    /// How the session is transferred between proxies.
    pub transfer: SessionTransfer,
    /// Pause between two writes of a session.
    pub pause: Duration,
    /// Prefix of the keys.
    pub prefix: String,
}

/// Results and events of all sessions.
#[derive(Clone, Debug, Default)]
pub struct WriteLog {
    /// Time of each acknowledged write since the start.
    pub acknowledged_at: Vec<Duration>,
    /// Number of failed requests, by SQLSTATE and error number.
    pub failures: BTreeMap<String, usize>,
    /// Events for the history checker.
    pub events: Vec<Event>,
}

/// A running workload.
pub struct Writers {
    log: Arc<Mutex<WriteLog>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    /// Start of the workload, from which [`WriteLog::acknowledged_at`] counts.
    pub started: Instant,
}

impl Writers {
    /// Starts the sessions.
    pub fn start(addresses: &[SocketAddr], service: &str, plan: &WritersPlan) -> Writers {
        let log = Arc::new(Mutex::new(WriteLog::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let started = Instant::now();
        let tasks = (0..plan.sessions).map(|session| {
            let caller = Caller::new(addresses, service, session);
            let caller = match plan.switches_proxy {
                true => caller.switching_proxies(plan.transfer),
                false => caller,
            };
            let run = run_session(
                caller,
                session,
                plan.clone(),
                log.clone(),
                stop.clone(),
                started,
            );
            tokio::spawn(run)
        });
        Writers {
            tasks: tasks.collect(),
            log,
            stop,
            started,
        }
    }

    /// Number of acknowledged writes so far.
    ///
    /// # Panics
    ///
    /// Panics when a session panicked.
    pub fn acknowledged(&self) -> usize {
        self.log
            .lock()
            .expect("no session panics")
            .acknowledged_at
            .len()
    }

    /// Waits until the sessions have done all their writes.
    pub async fn finish(self) -> WriteLog {
        self.collect().await
    }

    /// Stops each session before its next write and waits for its end.
    pub async fn stop(self) -> WriteLog {
        self.stop.store(true, Ordering::Relaxed);
        self.collect().await
    }

    async fn collect(self) -> WriteLog {
        for task in self.tasks {
            // A session that panicked shows as missing writes.
            let _ = task.await;
        }
        std::mem::take(&mut *self.log.lock().expect("no session panics"))
    }
}

async fn run_session(
    mut caller: Caller,
    session: usize,
    plan: WritersPlan,
    log: Arc<Mutex<WriteLog>>,
    stop: Arc<AtomicBool>,
    started: Instant,
) {
    for number in 0..plan.writes {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let key = format!("{}-{session}-{number}", plan.prefix);
        let sql = format!("INSERT INTO entries (key, half) VALUES ('{key}', 0)");
        let written = caller.run(&sql).await;
        let outcome = match &written {
            Ok(_) => WriteOutcome::Done,
            Err(failed) => failed.outcome,
        };
        let event = Event::Write {
            session,
            key: key.clone(),
            outcome,
        };
        record(&log, started, event, written.as_ref().err());
        if written.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let sql = format!("SELECT count(*) FROM entries WHERE key = '{key}'");
        if let Ok(values) = caller.run(&sql).await {
            let seen = values.first().and_then(|v| v.parse().ok()).unwrap_or(0);
            record(&log, started, Event::Read { session, key, seen }, None);
        }
        if number % PAIR_EVERY == 0 && !plan.switches_proxy {
            run_pair(&mut caller, session, number, &plan.prefix, &log, started).await;
        }
        if !plan.pause.is_zero() {
            tokio::time::sleep(plan.pause).await;
        }
    }
}

/// Writes two rows in one transaction and then counts them in one statement.
async fn run_pair(
    caller: &mut Caller,
    session: usize,
    number: usize,
    prefix: &str,
    log: &Mutex<WriteLog>,
    started: Instant,
) {
    let key = format!("{prefix}-{session}-{number}-pair");
    let mut outcome = caller.run("BEGIN").await.map(|_| ());
    for half in [1, 2] {
        let sql = format!("INSERT INTO entries (key, half) VALUES ('{key}-{half}', {half})");
        if outcome.is_ok() {
            outcome = caller.run(&sql).await.map(|_| ());
        }
    }
    if outcome.is_ok() {
        outcome = caller.run("COMMIT").await.map(|_| ());
    }
    if outcome.is_err() {
        // No transaction may stay open for the following statements, whether or
        // not one was begun.
        let _ = caller.run("ROLLBACK").await;
    }
    let sql = format!("SELECT count(*) FROM entries WHERE key LIKE '{key}-%'");
    if let Ok(values) = caller.run(&sql).await {
        let rows_seen = values.first().and_then(|v| v.parse().ok()).unwrap_or(0);
        let failed = outcome.as_ref().err();
        record(log, started, Event::Pair { session, rows_seen }, failed);
    }
}

fn record(
    log: &Mutex<WriteLog>,
    started: Instant,
    event: Event,
    failed: Option<&super::caller::RequestError>,
) {
    let mut log = log.lock().expect("no session panics");
    let is_acknowledged = matches!(
        event,
        Event::Write {
            outcome: WriteOutcome::Done,
            ..
        }
    );
    if is_acknowledged {
        log.acknowledged_at.push(started.elapsed());
    }
    if let Some(failed) = failed {
        let number = failed.message.split(':').next().unwrap_or_default();
        let label = format!("{} {number}", failed.code);
        *log.failures.entry(label).or_default() += 1;
    }
    log.events.push(event);
}

impl WriteLog {
    /// Longest time without an acknowledged write after `since`.
    pub fn longest_gap_after(&self, since: Duration) -> Duration {
        let mut times: Vec<Duration> = self
            .acknowledged_at
            .iter()
            .copied()
            .filter(|t| *t >= since)
            .collect();
        times.sort();
        let mut previous = since;
        let mut longest = Duration::ZERO;
        for time in times {
            longest = longest.max(time - previous);
            previous = time;
        }
        longest
    }

    /// History with the keys that the primary stores at the end.
    pub fn history(&self, stored: Vec<String>) -> History {
        History {
            events: self.events.clone(),
            stored,
        }
    }
}
