//! Logging as JSON lines on standard output. Logging never blocks the calling thread.

use std::{
    io::Write,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::SystemTime,
};

use log::{LevelFilter, Record};
use serde_json::{Map, Value, json};

use crate::prelude::*;

/// Capacity of the queue to standard output; lines beyond it are dropped. Holds a
/// few seconds of decision lines at their highest rate.
const QUEUE_CAPACITY: usize = 4_096;
/// Longest wait for queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which `flush` checks the queue.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

static QUEUE: OnceLock<flume::Sender<String>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns an error when a logger is already installed.
pub fn start(
    vm: &Name,
    level: LevelFilter,
    targets: &BTreeMap<String, LevelFilter>,
) -> std::result::Result<(), log::SetLoggerError> {
    let (sender, receiver) = flume::bounded(QUEUE_CAPACITY);
    // If the queue is already set, `apply` below fails as well.
    let _ = QUEUE.set(sender.clone());
    std::thread::spawn(move || write_lines(&receiver, &mut std::io::stdout()));
    let vm = vm.clone();
    // At lower levels tarpc logs each call between VMs, which would crowd out the
    // decisions.
    let mut dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("tarpc", level.min(LevelFilter::Warn));
    for (target, level) in targets {
        dispatch = dispatch.level_for(target.clone(), *level);
    }
    dispatch
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                format_line(&vm, &message.to_string(), record)
            ));
        })
        .chain(fern::Output::call(move |record| {
            enqueue(&sender, format!("{}\n", record.args()));
        }))
        .apply()
}

/// Queues a line for output, or counts it as dropped when the queue is full.
pub fn enqueue(queue: &flume::Sender<String>, line: String) {
    if queue.try_send(line).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes queued lines until all senders are dropped, and reports how many lines
/// were dropped.
pub fn write_lines(queue: &flume::Receiver<String>, output: &mut impl Write) {
    while let Ok(first) = queue.recv() {
        let mut text = first;
        text.extend(queue.drain());
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = json!({"event": "log lines left out", "level": "WARN", "lines": dropped});
            text.push_str(&format!("{line}\n"));
        }
        // Once standard output is closed there is nowhere to report the error.
        if output.write_all(text.as_bytes()).is_err() || output.flush().is_err() {
            return;
        }
    }
}

/// Waits briefly until the queued lines are taken for output. Call it before the
/// process ends.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let Some(queue) = QUEUE.get() else { return };
    while !queue.is_empty() && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

fn format_line(vm: &str, message: &str, record: &Record<'_>) -> Value {
    let mut fields = Map::new();
    let time = humantime::format_rfc3339_micros(SystemTime::now());
    fields.insert("time".into(), json!(time.to_string()));
    fields.insert("level".into(), json!(record.level().as_str()));
    fields.insert("target".into(), json!(record.target()));
    fields.insert("vm".into(), json!(vm));
    fields.insert("event".into(), json!(message));
    let mut visitor = FieldVisitor(&mut fields);
    // The visitor never fails.
    let _ = record.key_values().visit(&mut visitor);
    Value::Object(fields)
}

struct FieldVisitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> std::result::Result<(), log::kv::Error> {
        let number = value.to_u64().map(|n| json!(n));
        let value = number.unwrap_or_else(|| json!(value.to_string()));
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
