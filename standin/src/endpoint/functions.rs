//! SQL functions for group operations, log positions and injected faults.

use std::sync::{Arc, atomic::Ordering};

use super::{
    Member,
    engine::Rows,
    member::{LogAnswer, MemberStatus},
    session::{Answer, SqlError},
};

/// Longest `pg_sleep`, in seconds.
const SLEEP_MAX_S: f64 = 60.0;

const STATUS_COLUMNS: [&str; 6] = [
    "role",
    "term",
    "synced_term",
    "received_lsn",
    "replayed_lsn",
    "primary_seen_ms",
];

/// Columns of a call of such a function, or `None` for any other statement.
pub fn columns(sql: &str) -> Option<Vec<(String, bool)>> {
    let (name, _) = parse(sql)?;
    let text = |name: &str| (name.to_owned(), false);
    match name.as_str() {
        "dbgroup_status" | "dbgroup_raise_term" | "dbgroup_promote" => {
            Some(STATUS_COLUMNS.iter().map(|c| text(c)).collect())
        }
        _ => Some(vec![text(&name)]),
    }
}

/// Runs a call of such a function, or returns `None` for any other statement.
pub async fn run(member: &Arc<Member>, sql: &str) -> Option<Result<Answer, SqlError>> {
    let (name, args) = parse(sql)?;
    let is_fault_control = matches!(name.as_str(), "dbgroup_cut" | "dbgroup_silence");
    while !is_fault_control && member.is_unresponsive.load(Ordering::Relaxed) {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let is_peer = matches!(name.as_str(), "dbgroup_log" | "dbgroup_follow");
    if is_peer && member.state().is_partitioned {
        return Some(Err(SqlError::new("08006", "cut off")));
    }
    Some(answer(member, &name, &args).await)
}

async fn answer(member: &Arc<Member>, name: &str, args: &[String]) -> Result<Answer, SqlError> {
    let number = |i: usize| -> Result<u64, SqlError> {
        let text = args.get(i).map(String::as_str).unwrap_or_default();
        text.parse()
            .map_err(|_| SqlError::new("22023", format!("{name}: bad argument {i}")))
    };
    let status = member.status();
    Ok(match name {
        "pg_current_wal_lsn" => single_value(name, lsn(status.received)),
        "pg_last_wal_receive_lsn" => single_value(name, lsn(status.received)),
        "pg_last_wal_replay_lsn" => single_value(name, lsn(status.replayed)),
        "dbgroup_term_at" => {
            let text = args.first().map(String::as_str).unwrap_or_default();
            let lsn: foxtailknot::lsn::Lsn = text
                .parse()
                .map_err(|_| SqlError::new("22023", "bad position"))?;
            single_value(name, member.state().term_at(lsn.0 as usize).to_string())
        }
        "pg_is_in_recovery" => single_value(
            name,
            if status.primary_seen_ms > 0 { "t" } else { "f" }.into(),
        ),
        "pg_sleep" => {
            let text = args.first().map(String::as_str).unwrap_or_default();
            let seconds: f64 = text.parse().unwrap_or(0.0);
            let seconds = seconds.clamp(0.0, SLEEP_MAX_S);
            tokio::time::sleep(std::time::Duration::from_secs_f64(seconds)).await;
            single_value(name, String::new())
        }
        "dbgroup_status" => status_rows(&status),
        "dbgroup_raise_term" => status_rows(&member.raise_term(number(0)?)),
        "dbgroup_promote" => status_rows(&member.promote(number(0)?)),
        "dbgroup_follow" => {
            let addr = args.get(1).and_then(|a| a.parse().ok());
            let addr = addr.ok_or_else(|| SqlError::new("22023", "bad address"))?;
            single_value(name, member.follow(number(0)?, addr).term.to_string())
        }
        "dbgroup_log" => {
            let position = number(1)? as usize;
            let found = member
                .log_after(number(0)?, position, number(2)?, number(3)?)
                .await;
            match found {
                LogAnswer::Entries(entries) => {
                    let text = serde_json::to_string(&entries).unwrap_or_default();
                    single_value(name, text)
                }
                LogAnswer::Mismatch => single_value(name, "mismatch".into()),
                LogAnswer::NotPrimary => return Err(SqlError::new("55000", "not the primary")),
            }
        }
        "dbgroup_cut" => {
            member.set_partitioned(number(0)? != 0);
            single_value(name, "ok".into())
        }
        "dbgroup_silence" => {
            member
                .is_unresponsive
                .store(number(0)? != 0, Ordering::Relaxed);
            single_value(name, "ok".into())
        }
        "dbgroup_lag" => {
            member.set_lag(number(0)?, number(1)?);
            single_value(name, "ok".into())
        }
        "dbgroup_connections" => {
            let open = member.open_connections.load(Ordering::Relaxed);
            let peak = member.peak_connections.load(Ordering::Relaxed);
            let statements = member.statements.load(Ordering::Relaxed);
            single_value(name, format!("{open},{peak},{statements}"))
        }
        _ => return Err(SqlError::new("42883", format!("no function {name}"))),
    })
}

/// Parses `SELECT name(args)` with a name of these functions; `None` for other
/// statements.
fn parse(sql: &str) -> Option<(String, Vec<String>)> {
    let sql = sql.trim().trim_end_matches(';').trim();
    let rest = sql
        .get(..6)
        .filter(|w| w.eq_ignore_ascii_case("select"))
        .map(|_| sql[6..].trim())?;
    let rest = rest.strip_suffix(')')?;
    let (name, args) = rest.split_once('(')?;
    let name = name.trim().to_lowercase();
    if !name.starts_with("dbgroup_") && !name.starts_with("pg_") {
        return None;
    }
    let args = args
        .split(',')
        .map(|a| a.trim().trim_matches('\'').to_owned());
    Some((name, args.filter(|a| !a.is_empty()).collect()))
}

fn single_value(name: &str, value: String) -> Answer {
    Answer::Rows(Rows {
        columns: vec![(name.to_owned(), false)],
        rows: vec![vec![Some(value)]],
    })
}

fn status_rows(status: &MemberStatus) -> Answer {
    let values = [
        status.role.to_string(),
        status.term.to_string(),
        status.synced_term.to_string(),
        lsn(status.received),
        lsn(status.replayed),
        status.primary_seen_ms.to_string(),
    ];
    Answer::Rows(Rows {
        columns: STATUS_COLUMNS
            .iter()
            .map(|c| (c.to_string(), false))
            .collect(),
        rows: vec![values.into_iter().map(Some).collect()],
    })
}

fn lsn(position: usize) -> String {
    format!("{:X}/{:X}", position >> 32, position & 0xFFFF_FFFF)
}
