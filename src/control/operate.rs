//! Group operations of the delegate on one member.

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

/// Longest wait for an operation.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(400);

/// An operation on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Ask for its report.
    Probe,
    /// Raise its term.
    Raise(u64),
    /// Make it the primary of a term raised before.
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

/// Runs operations on one member in order and tells each result.
///
/// Probes that wait behind another one are left out.
pub async fn operate(
    options: ConnectOptions,
    operations: flume::Receiver<Operation>,
    tell: impl Fn(Operation, Option<MemberStatus>),
) {
    let mut connection = None;
    while let Ok(operation) = operations.recv_async().await {
        let is_superseded = operation == Operation::Probe && !operations.is_empty();
        if is_superseded {
            continue;
        }
        let run = run(&mut connection, &options, operation);
        let result = compio::time::timeout(OPERATION_TIMEOUT, run).await;
        let status = match result {
            Ok(Ok(status)) => Some(status),
            _ => {
                connection = None;
                None
            }
        };
        tell(operation, status);
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
