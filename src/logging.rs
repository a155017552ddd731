//! Logs as JSON lines.

use std::time::SystemTime;

use log::{LevelFilter, Record};
use serde_json::{Map, Value, json};

use crate::prelude::*;

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
        .chain(std::io::stdout())
        .apply()
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
