//! Operations of a delegate on one member, sent as SQL functions of the
//! replication group.

use crate::{
    decide::member::MemberStatus,
    prelude::*,
    proxy::{
        connect::{ConnectOptions, connect},
        connection::Connection,
        error::{ProxyError, Result},
        status_query::query_status,
    },
};

/// Longest time for an operation, connecting included.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(400);

/// An operation on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Ask the member for its status.
    Probe,
    /// Raise the member's term.
    Raise(u64),
    /// Make the member the primary of a term that was raised before.
    Promote(u64),
}

impl Operation {
    fn sql(self) -> String {
        match self {
            Operation::Probe => "SELECT dbgroup_status()".into(),
            Operation::Raise(term) => format!("SELECT dbgroup_raise_term({term})"),
            Operation::Promote(term) => format!("SELECT dbgroup_promote({term})"),
        }
    }
}

/// Runs operations on one member in order and reports each result, `None` for
/// one that failed.
///
/// A probe that has other operations queued behind it is skipped.
pub async fn run_operations(
    options: ConnectOptions,
    operations: flume::Receiver<Operation>,
    report: impl Fn(Operation, Option<MemberStatus>),
) {
    let mut connection = None;
    while let Ok(operation) = operations.recv_async().await {
        let is_superseded = operation == Operation::Probe && !operations.is_empty();
        if is_superseded {
            continue;
        }
        let attempt = run(&mut connection, &options, operation);
        let result = compio::time::timeout(OPERATION_TIMEOUT, attempt).await;
        let status = match result {
            Ok(Ok(status)) => Some(status),
            _ => {
                connection = None;
                None
            }
        };
        report(operation, status);
    }
}

async fn run(
    connection: &mut Option<Connection>,
    options: &ConnectOptions,
    operation: Operation,
) -> Result<MemberStatus> {
    if connection.as_ref().is_some_and(|c| c.wire.is_stale()) {
        *connection = None;
    }
    if connection.is_none() {
        *connection = Some(connect(options.clone(), None).await?);
    }
    let connection = connection.as_mut().ok_or(ProxyError::Closed)?;
    query_status(connection, &operation.sql()).await
}
