//! Requests and answers on a connection to a member.

use std::rc::Rc;

use bytes::BytesMut;

use super::{
    Answer, ErrorClass, MemberCodec, MemberRequest, RelayError, Result, Statement, StatementKind,
    StatusReport,
    connection::{Connection, SessionSetup},
    prepared::PreparedStatement,
};
use crate::prelude::*;

/// Size from which memory is reserved for an answer before more of it is read.
const LARGE_ANSWER_BYTES: usize = 16 << 10;

/// Writes the requests that set a caller's account and session variables on a
/// connection and prepare the statement to be run. Returns the number of requests,
/// each of which is answered.
///
/// # Errors
///
/// Returns an error for a connection on which the account's statements must not run.
pub fn write_session_setup(
    output: &mut BytesMut,
    codec: &MemberCodec,
    connection: &mut Connection,
    setup: &SessionSetup,
    prepared_statement: Option<&PreparedStatement>,
) -> Result<usize> {
    if !connection.serves(setup.account.as_ref()) {
        return Err(RelayError::malformed("a connection of another account"));
    }
    let variables = &setup.variables;
    let mut requests = 0;
    let mut write = |request: &MemberRequest<'_>| {
        (codec.encode)(output, request);
        requests += 1;
    };
    if connection.setup.account != setup.account {
        let account = setup.account.as_deref();
        write(&MemberRequest::SetAccount { account });
        connection.setup.account = setup.account.clone();
    }
    if connection.needs_reset(variables) {
        write(&MemberRequest::Reset);
        connection.setup.variables.clear();
        connection.prepared.clear();
    }
    for (name, value) in variables {
        if connection.setup.variables.get(name) != Some(value) {
            write(&MemberRequest::Set { name, value });
            connection
                .setup
                .variables
                .insert(name.clone(), value.clone());
        }
    }
    if let Some(prepared_statement) = prepared_statement
        && connection.prepared.insert(prepared_statement.name.clone())
    {
        write(&MemberRequest::Prepare {
            name: &prepared_statement.name,
            prepared_statement,
        });
    }
    Ok(requests)
}

/// Reads the answers to session setup requests, which must not be errors.
///
/// # Errors
///
/// Returns an error when the connection fails or an answer is an error. The state
/// of the member's session is then unknown.
pub async fn expect_success(
    connection: &mut Connection,
    codec: &MemberCodec,
    count: usize,
) -> Result<()> {
    for _ in 0..count {
        let answer = read_answer(connection, codec).await?;
        if let Some(class) = answer.error {
            return Err(RelayError::Refused { class });
        }
    }
    Ok(())
}

/// Reads one answer.
///
/// # Errors
///
/// Returns an error when the connection fails.
pub async fn read_answer(connection: &mut Connection, codec: &MemberCodec) -> Result<Answer> {
    let mut reservation = None;
    loop {
        if let Some(answer) = (codec.decode)(&mut connection.socket.input)? {
            return Ok(Answer {
                reservation: reservation.map(Rc::new),
                ..answer
            });
        }
        if reservation.is_none() && connection.socket.input.len() >= LARGE_ANSWER_BYTES {
            reservation = Some(connection.large_answers.reserve().await?);
        }
        connection.socket.fill().await?;
    }
}

/// Sends one request and reads its answer.
///
/// # Errors
///
/// Returns an error when the connection fails.
pub async fn request(
    connection: &mut Connection,
    codec: &MemberCodec,
    request: &MemberRequest<'_>,
) -> Result<Answer> {
    let mut output = BytesMut::new();
    (codec.encode)(&mut output, request);
    connection.socket.write(output).await?;
    read_answer(connection, codec).await
}

/// Sends a request that the member answers with a report.
///
/// # Errors
///
/// Returns an error when the connection fails. The inner result is the class of
/// the error with which the member refused; the connection then stays usable.
pub async fn request_report(
    connection: &mut Connection,
    codec: &MemberCodec,
    report_request: &MemberRequest<'_>,
) -> Result<std::result::Result<StatusReport, ErrorClass>> {
    let answer = request(connection, codec, report_request).await?;
    match answer.error {
        Some(class) => Ok(Err(class)),
        None => (codec.report)(&answer.body).map(Ok),
    }
}

/// A statement to be run on a member.
pub struct Call<'a> {
    pub statement: &'a Statement,
    pub prepared_statement: Option<&'a PreparedStatement>,
    /// Position that the member's log must have reached.
    pub after: Option<Position>,
    /// Whether to request a report right after the statement.
    pub wants_report: bool,
}

/// A member's answers to a call.
pub struct Outcome {
    pub answer: Answer,
    /// Report, if one was requested and the member was not too busy to give it.
    pub report: Option<StatusReport>,
}

/// Sends a statement with the session setup that it needs, and reads the answers.
pub async fn run(
    connection: &mut Connection,
    codec: &MemberCodec,
    setup: &SessionSetup,
    call: &Call<'_>,
) -> Result<Outcome> {
    let mut output = BytesMut::new();
    let setup_requests = write_session_setup(
        &mut output,
        codec,
        connection,
        setup,
        call.prepared_statement,
    )?;
    let statement = call.statement;
    match (&statement.kind, call.prepared_statement) {
        (StatementKind::Execute { arguments, .. }, Some(prepared_statement)) => (codec.encode)(
            &mut output,
            &MemberRequest::Execute {
                id: &statement.id,
                after: call.after,
                name: &prepared_statement.name,
                arguments,
            },
        ),
        _ => (codec.encode)(
            &mut output,
            &MemberRequest::CallerStatement {
                id: &statement.id,
                after: call.after,
                text: &statement.text,
            },
        ),
    }
    if call.wants_report {
        (codec.encode)(&mut output, &MemberRequest::Status);
    }
    connection.socket.write(output).await?;
    expect_success(connection, codec, setup_requests).await?;
    let answer = read_answer(connection, codec).await?;
    if !call.wants_report {
        let report = None;
        return Ok(Outcome { answer, report });
    }
    let second = read_answer(connection, codec).await?;
    // A member that is too busy to report does not confirm its leadership.
    let report = (codec.report)(&second.body).ok();
    Ok(Outcome { answer, report })
}

/// Begins a transaction on a connection, after the session setup.
pub async fn begin(
    connection: &mut Connection,
    codec: &MemberCodec,
    setup: &SessionSetup,
    after: Option<Position>,
    is_read_only: bool,
) -> Result<Answer> {
    let mut output = BytesMut::new();
    let setup_requests = write_session_setup(&mut output, codec, connection, setup, None)?;
    let request = MemberRequest::Begin {
        after,
        is_read_only,
    };
    (codec.encode)(&mut output, &request);
    connection.socket.write(output).await?;
    expect_success(connection, codec, setup_requests).await?;
    read_answer(connection, codec).await
}
