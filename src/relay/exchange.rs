//! Requests and answers on a connection.

use bytes::BytesMut;

use super::{
    Answer, MemberCodec, MemberRequest, RelayError, Result, Statement, StatementKind, StatusReport,
    connection::{Connection, SessionVariables},
    prepared::PreparedStatement,
};
use crate::prelude::*;

/// Writes what gives a connection the session values of a caller and the
/// prepared statement it is about to run. Returns how many answers that adds.
pub fn put_session(
    output: &mut BytesMut,
    codec: &MemberCodec,
    link: &mut Connection,
    values: &SessionVariables,
    prepared_statement: Option<&PreparedStatement>,
) -> usize {
    let mut answers = 0;
    let mut put = |request: &MemberRequest<'_>| {
        (codec.encode)(output, request);
        answers += 1;
    };
    if link.needs_reset(values) {
        put(&MemberRequest::Reset);
        link.variables.clear();
        link.prepared.clear();
    }
    for (name, value) in values {
        if link.variables.get(name) != Some(value) {
            put(&MemberRequest::Set { name, value });
            link.variables.insert(name.clone(), value.clone());
        }
    }
    if let Some(prepared_statement) = prepared_statement
        && link.prepared.insert(prepared_statement.name.clone())
    {
        put(&MemberRequest::Prepare {
            name: &prepared_statement.name,
            prepared_statement,
        });
    }
    answers
}

/// Reads answers that must not be errors.
///
/// # Errors
///
/// Returns an error when the connection breaks or one of them is an error: the
/// connection's session is then not known.
pub async fn skip_answers(link: &mut Connection, codec: &MemberCodec, count: usize) -> Result<()> {
    for _ in 0..count {
        let answer = read_answer(link, codec).await?;
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
/// Returns an error when the connection breaks.
pub async fn read_answer(link: &mut Connection, codec: &MemberCodec) -> Result<Answer> {
    loop {
        if let Some(answer) = (codec.decode)(&mut link.socket.input)? {
            return Ok(answer);
        }
        link.socket.fill().await?;
    }
}

/// Sends one request and reads its answer.
///
/// # Errors
///
/// Returns an error when the connection breaks.
pub async fn request(
    link: &mut Connection,
    codec: &MemberCodec,
    request: &MemberRequest<'_>,
) -> Result<Answer> {
    let mut output = BytesMut::new();
    (codec.encode)(&mut output, request);
    link.socket.write(output).await?;
    read_answer(link, codec).await
}

/// Sends a request that is answered by a report.
///
/// # Errors
///
/// Returns an error when the connection breaks or the member refuses.
pub async fn request_report(
    link: &mut Connection,
    codec: &MemberCodec,
    order: &MemberRequest<'_>,
) -> Result<StatusReport> {
    let answer = request(link, codec, order).await?;
    if let Some(class) = answer.error {
        return Err(RelayError::Refused { class });
    }
    (codec.report)(&answer.body)
}

/// A statement on its way to a member.
pub struct Call<'a> {
    pub statement: &'a Statement,
    pub prepared_statement: Option<&'a PreparedStatement>,
    pub after: Option<Position>,
    /// Whether the member is asked for a report right after it.
    pub wants_report: bool,
}

/// What an attempt brought.
pub struct Outcome {
    pub answer: Answer,
    pub report: Option<StatusReport>,
}

/// Sends a statement with what it needs of the session, and reads the answer.
pub async fn run(
    link: &mut Connection,
    codec: &MemberCodec,
    values: &SessionVariables,
    call: &Call<'_>,
) -> Result<Outcome> {
    let mut output = BytesMut::new();
    let skipped = put_session(&mut output, codec, link, values, call.prepared_statement);
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
    link.socket.write(output).await?;
    skip_answers(link, codec, skipped).await?;
    let answer = read_answer(link, codec).await?;
    if !call.wants_report {
        let report = None;
        return Ok(Outcome { answer, report });
    }
    let second = read_answer(link, codec).await?;
    // A member that is too busy to report proves nothing.
    let report = (codec.report)(&second.body).ok();
    Ok(Outcome { answer, report })
}

/// Begins a transaction on a connection that has the session's values.
pub async fn begin(
    link: &mut Connection,
    codec: &MemberCodec,
    values: &SessionVariables,
    after: Option<Position>,
    is_read_only: bool,
) -> Result<Answer> {
    let mut output = BytesMut::new();
    let skipped = put_session(&mut output, codec, link, values, None);
    let request = MemberRequest::Begin {
        after,
        is_read_only,
    };
    (codec.encode)(&mut output, &request);
    link.socket.write(output).await?;
    skip_answers(link, codec, skipped).await?;
    read_answer(link, codec).await
}
