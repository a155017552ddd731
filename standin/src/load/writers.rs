//! Sessions that write entries and read them back, recorded as a history.

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

/// Table that the sessions write to.
pub const TABLE_SQL: &str = "CREATE TABLE entries (key TEXT NOT NULL, half INTEGER)";
/// Writes of a session between two transactions of a pair.
const PAIR_EVERY: usize = 5;
/// Pause after a failed request.
const PAUSE: Duration = Duration::from_millis(20);

/// What the sessions do.
#[derive(Clone, Debug)]
pub struct WritersPlan {
    /// Sessions at once.
    pub sessions: usize,
    /// Writes of each session; it stops earlier when told to.
    pub writes: usize,
    /// Whether every request uses another proxy.
    pub switches_proxy: bool,
    /// How the session is carried.
    pub transfer: SessionTransfer,
    /// Pause between two writes of a session.
    pub pace: Duration,
    /// Prefix of the keys.
    pub prefix: String,
}

/// When writes ended, and how.
#[derive(Clone, Debug, Default)]
pub struct WriteLog {
    /// Times of acknowledged writes since the start.
    pub done: Vec<Duration>,
    /// Failures by SQLSTATE and number.
    pub failures: BTreeMap<String, usize>,
    /// Events for the checker.
    pub events: Vec<Event>,
}

/// A running load.
pub struct Writers {
    log: Arc<Mutex<WriteLog>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    /// Start of the clock of [`WriteLog::done`].
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
                true => caller.moving(plan.transfer),
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

    /// Acknowledged writes so far.
    ///
    /// # Panics
    ///
    /// Panics when a session panicked.
    pub fn acknowledged(&self) -> usize {
        self.log.lock().expect("no session panics").done.len()
    }

    /// Lets the sessions finish all their writes.
    pub async fn finish(self) -> WriteLog {
        self.collect().await
    }

    /// Stops the sessions after the request that each is in.
    pub async fn stop(self) -> WriteLog {
        self.stop.store(true, Ordering::Relaxed);
        self.collect().await
    }

    async fn collect(self) -> WriteLog {
        for task in self.tasks {
            // A panic shows as missing writes.
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
        note(&log, started, event, written.as_ref().err());
        if written.is_err() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let sql = format!("SELECT count(*) FROM entries WHERE key = '{key}'");
        if let Ok(values) = caller.run(&sql).await {
            let seen = values.first().and_then(|v| v.parse().ok()).unwrap_or(0);
            note(&log, started, Event::Read { session, key, seen }, None);
        }
        if number % PAIR_EVERY == 0 && !plan.switches_proxy {
            run_pair(&mut caller, session, number, &plan.prefix, &log, started).await;
        }
        if !plan.pace.is_zero() {
            tokio::time::sleep(plan.pace).await;
        }
    }
}

/// Writes two rows in one transaction and counts them at once afterwards.
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
        // Whether it was open or not, it must not be open for what follows.
        let _ = caller.run("ROLLBACK").await;
    }
    let sql = format!("SELECT count(*) FROM entries WHERE key LIKE '{key}-%'");
    if let Ok(values) = caller.run(&sql).await {
        let rows_seen = values.first().and_then(|v| v.parse().ok()).unwrap_or(0);
        let failed = outcome.as_ref().err();
        note(log, started, Event::Pair { session, rows_seen }, failed);
    }
}

fn note(
    log: &Mutex<WriteLog>,
    started: Instant,
    event: Event,
    failed: Option<&super::caller::RequestError>,
) {
    let mut log = log.lock().expect("no session panics");
    let is_done = matches!(
        event,
        Event::Write {
            outcome: WriteOutcome::Done,
            ..
        }
    );
    if is_done {
        log.done.push(started.elapsed());
    }
    if let Some(failed) = failed {
        let number = failed.text.split(':').next().unwrap_or_default();
        let label = format!("{} {number}", failed.state);
        *log.failures.entry(label).or_default() += 1;
    }
    log.events.push(event);
}

impl WriteLog {
    /// Longest time without an acknowledged write after `since`.
    pub fn gap_after(&self, since: Duration) -> Duration {
        let mut times: Vec<Duration> = self.done.iter().copied().filter(|t| *t >= since).collect();
        times.sort();
        let mut before = since;
        let mut longest = Duration::ZERO;
        for time in times {
            longest = longest.max(time - before);
            before = time;
        }
        longest
    }

    /// History with the keys that the primary holds in the end.
    pub fn history(&self, stored: Vec<String>) -> History {
        History {
            events: self.events.clone(),
            stored,
        }
    }
}
