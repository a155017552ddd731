//! Queries a member's status report, on a connection of its own.

use super::{
    connect::{ConnectOptions, connect},
    connection::Connection,
    error::{ProxyError, Result},
    frame::from_endpoint as tag,
    message,
};
use crate::{
    clock,
    decide::member::{MemberStatus, Observation},
    prelude::*,
};

/// Longest wait for a report, including opening the connection.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);
/// Query for a report.
const STATUS_SQL: &str = "SELECT dbgroup_status()";

/// Queries a member's status on each request; requests that have queued up share
/// one query.
///
/// `report` is called with the time of the query and the observation, or `None`
/// when the member did not answer.
pub async fn poll(
    options: ConnectOptions,
    requests: flume::Receiver<()>,
    report: impl Fn(u64, Option<Observation>),
) {
    let mut connection = None;
    while requests.recv_async().await.is_ok() {
        requests.drain();
        let asked_ms = clock::now_ms();
        let status =
            compio::time::timeout(STATUS_TIMEOUT, request_status(&mut connection, &options)).await;
        let answered_ms = clock::now_ms();
        let observation = match status {
            Ok(Ok(status)) => Some(Observation {
                status,
                asked_ms,
                answered_ms,
            }),
            _ => {
                connection = None;
                None
            }
        };
        report(asked_ms, observation);
    }
}

async fn request_status(
    connection: &mut Option<Connection>,
    options: &ConnectOptions,
) -> Result<MemberStatus> {
    if connection.as_ref().is_some_and(|c| c.wire.is_stale()) {
        *connection = None;
    }
    if connection.is_none() {
        *connection = Some(connect(options.clone(), None).await?);
    }
    let connection = connection.as_mut().ok_or(ProxyError::Closed)?;
    query_status(connection, STATUS_SQL).await
}

/// Term of the log entry that the member holds at a position.
///
/// # Errors
///
/// Returns an error when the connection fails or the member refuses.
pub async fn term_at(connection: &mut Connection, lsn: Lsn) -> Result<Option<u64>> {
    let sql = format!("SELECT dbgroup_term_at('{lsn}')");
    let values = query(connection, &sql).await?;
    let first = values.into_iter().next().flatten();
    Ok(first.and_then(|term| term.parse().ok()))
}

/// Runs an operation of the database group that returns a report.
///
/// # Errors
///
/// Returns an error when the connection fails or the member refuses.
pub async fn query_status(connection: &mut Connection, sql: &str) -> Result<MemberStatus> {
    parse(&query(connection, sql).await?)
}

/// Runs a query that returns one row.
async fn query(connection: &mut Connection, sql: &str) -> Result<Vec<Option<String>>> {
    message::put_query(connection.wire.output(), sql);
    connection.wire.flush().await?;
    let mut values = Err(ProxyError::protocol("no row"));
    loop {
        let frame = connection.wire.next_frame().await?;
        match frame.tag() {
            tag::ROW => values = Ok(message::row_values(&frame)),
            tag::ERROR => {
                let (_, text) = message::error_fields(&frame);
                values = Err(ProxyError::Refused { text });
            }
            tag::READY => return values,
            _ => {}
        }
    }
}

fn parse(values: &[Option<String>]) -> Result<MemberStatus> {
    let field = |i: usize| values.get(i).cloned().flatten().unwrap_or_default();
    let bad = |name: &str| ProxyError::protocol(format!("bad {name} in a report"));
    Ok(MemberStatus {
        role: field(0).parse().map_err(|_| bad("role"))?,
        term: field(1).parse().map_err(|_| bad("term"))?,
        synced_term: field(2).parse().map_err(|_| bad("synced term"))?,
        received_lsn: field(3).parse().map_err(|_| bad("position"))?,
        replayed_lsn: field(4).parse().map_err(|_| bad("position"))?,
        primary_seen_ms: field(5).parse().map_err(|_| bad("time"))?,
    })
}
