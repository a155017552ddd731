//! Logs as JSON lines on standard output, which never block who writes them.

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

/// Lines that wait for standard output; more are left out. A few seconds of
/// the most that the decisions write.
const LINES_MAX: usize = 4_096;
/// Longest wait for the last lines at the end of the process.
const FLUSH_WAIT: Duration = Duration::from_millis(200);
/// Pause between two looks whether they are written.
const FLUSH_POLL: Duration = Duration::from_millis(2);

static LINES: OnceLock<flume::Sender<String>> = OnceLock::new();
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns an error when a logger was started before.
pub fn start(
    vm: &Name,
    level: LevelFilter,
    targets: &BTreeMap<String, LevelFilter>,
) -> std::result::Result<(), log::SetLoggerError> {
    let (lines, written) = flume::bounded(LINES_MAX);
    // A second logger is refused below.
    let _ = LINES.set(lines.clone());
    std::thread::spawn(move || write_lines(&written, &mut std::io::stdout()));
    let vm = vm.clone();
    // The calls between VMs would drown the decisions.
    let mut dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("tarpc", level.min(LevelFilter::Warn));
    for (target, level) in targets {
        dispatch = dispatch.level_for(target.clone(), *level);
    }
    dispatch
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(&vm, &message.to_string(), record)));
        })
        .chain(fern::Output::call(move |record| {
            queue(&lines, format!("{}\n", record.args()));
        }))
        .apply()
}

/// Hands a line over, or counts it as left out when too many wait.
pub fn queue(lines: &flume::Sender<String>, line: String) {
    if lines.try_send(line).is_err() {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes lines until their senders are gone; says how many were left out.
pub fn write_lines(lines: &flume::Receiver<String>, output: &mut impl Write) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        text.extend(lines.drain());
        let left_out = LEFT_OUT.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let line = json!({"event": "log lines left out", "level": "WARN", "lines": left_out});
            text.push_str(&format!("{line}\n"));
        }
        // Without a reader there is nobody to tell.
        if output.write_all(text.as_bytes()).is_err() || output.flush().is_err() {
            return;
        }
    }
}

/// Waits a moment for the lines written so far, before the process ends.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_WAIT;
    let Some(lines) = LINES.get() else { return };
    while !lines.is_empty() && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL);
    }
}

fn line(vm: &str, message: &str, record: &Record<'_>) -> Value {
    let mut fields = Map::new();
    let time = humantime::format_rfc3339_micros(SystemTime::now());
    fields.insert("time".into(), json!(time.to_string()));
    fields.insert("level".into(), json!(record.level().as_str()));
    fields.insert("target".into(), json!(record.target()));
    fields.insert("vm".into(), json!(vm));
    fields.insert("event".into(), json!(message));
    let mut collect = Collect(&mut fields);
    // The visitor never fails.
    let _ = record.key_values().visit(&mut collect);
    Value::Object(fields)
}

struct Collect<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Collect<'_> {
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
