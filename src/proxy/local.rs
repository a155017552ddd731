//! Requests that the proxy answers itself: statements on its own parameters and
//! on carried ones.

use bytes::BytesMut;
use pgwire::messages::{
    extendedquery::{Bind, Parse},
    response::{ReadyForQuery, TransactionStatus},
};

use super::{
    error::Refusal,
    frame::{Frame, from_caller as tag},
    message,
    request::{Ending, Request, STATEMENT, named_statement},
    session::{OWN_PREFIX, Session},
};
use crate::prelude::*;

/// A statement that the proxy runs itself.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Statement {
    Set { name: String, value: String },
    Show { name: String },
    ResetAll,
}

/// Runs a request of the class `Own` or `Session` and writes the answer to
/// `output`.
///
/// # Errors
///
/// Returns a refusal; `output` is unchanged then.
pub fn run(
    request: &Request,
    session: &mut Session,
    status: TransactionStatus,
    output: &mut BytesMut,
) -> Result<(), Refusal> {
    let mut answer = match &request.sql {
        Some(sql) => run_simple(sql, session)?,
        None => run_extended(request, session)?,
    };
    if request.ending != Ending::Flush {
        message::put(&mut answer, &ReadyForQuery::new(status));
    }
    output.extend_from_slice(&answer);
    Ok(())
}

fn run_simple(sql: &str, session: &mut Session) -> Result<BytesMut, Refusal> {
    let mut answer = BytesMut::new();
    let statements: Vec<Statement> = split(sql)
        .iter()
        .map(|text| parse(text))
        .collect::<Result<_, _>>()?;
    for statement in &statements {
        if let Statement::Show { name } = statement {
            message::put_text_column(&mut answer, name);
        }
        execute(statement, session, &mut answer)?;
    }
    Ok(answer)
}

fn run_extended(request: &Request, session: &mut Session) -> Result<BytesMut, Refusal> {
    let mut answer = BytesMut::new();
    let mut current = session.unnamed.clone();
    for frame in &request.frames {
        if let Some(name) = statement_name(frame) {
            current = match name.is_empty() {
                true => session.unnamed.clone(),
                false => session.statements.get(&name).cloned(),
            };
        }
        let sql = current.as_ref().map(|p| p.sql.clone()).unwrap_or_default();
        match frame.tag() {
            tag::PARSE => message::put_parse_complete(&mut answer),
            tag::BIND => message::put_bind_complete(&mut answer),
            tag::DESCRIBE => describe(frame, &parse(&sql)?, &mut answer),
            tag::EXECUTE => execute(&parse(&sql)?, session, &mut answer)?,
            tag::CLOSE => message::put_close_complete(&mut answer),
            _ => {}
        }
    }
    Ok(answer)
}

/// Name of the statement that a message refers to, if any.
fn statement_name(frame: &Frame) -> Option<String> {
    match frame.tag() {
        tag::PARSE => message::read::<Parse>(frame)
            .ok()?
            .name
            .or_else(|| Some(String::new())),
        tag::BIND => {
            let bind = message::read::<Bind>(frame).ok()?;
            Some(bind.statement_name.unwrap_or_default())
        }
        tag::DESCRIBE => named_statement(frame).ok().flatten(),
        _ => None,
    }
}

fn describe(frame: &Frame, statement: &Statement, answer: &mut BytesMut) {
    if frame.body().first() == Some(&STATEMENT) {
        message::put_no_parameters(answer);
    }
    match statement {
        Statement::Show { name } => message::put_text_column(answer, name),
        _ => message::put_no_data(answer),
    }
}

fn execute(
    statement: &Statement,
    session: &mut Session,
    answer: &mut BytesMut,
) -> Result<(), Refusal> {
    match statement {
        Statement::Set { name, value } if name.starts_with(OWN_PREFIX) => {
            session.set_own(name, value)?;
            message::put_complete(answer, "SET");
        }
        Statement::Set { name, value } => {
            if !session.set_carried(name, value) {
                let text = format!("{name} is not carried between connections; use SET LOCAL");
                return Err(Refusal::new(Code::SessionState, text));
            }
            message::put_complete(answer, "SET");
        }
        Statement::Show { name } => {
            let value = session.show_own(name)?;
            message::put_text_row(answer, &value);
            message::put_complete(answer, "SHOW");
        }
        Statement::ResetAll => {
            session.parameters = Arc::default();
            message::put_complete(answer, "RESET");
        }
    }
    Ok(())
}

fn parse(text: &str) -> Result<Statement, Refusal> {
    let needs_state = || {
        let text = "this statement needs session state that is not carried between connections";
        Refusal::new(Code::SessionState, text)
    };
    let text = text.trim().trim_end_matches(';').trim();
    let (word, rest) = text.split_once(char::is_whitespace).unwrap_or((text, ""));
    let rest = rest.trim();
    match word.to_uppercase().as_str() {
        "SHOW" => Ok(Statement::Show {
            name: rest.to_lowercase(),
        }),
        "RESET" | "DISCARD" if rest.eq_ignore_ascii_case("all") => Ok(Statement::ResetAll),
        "SET" => parse_set(rest).ok_or_else(needs_state),
        _ => Err(needs_state()),
    }
}

fn parse_set(rest: &str) -> Option<Statement> {
    let lower = rest.to_lowercase();
    let rest = match lower.starts_with("session ") {
        true => rest[8..].trim(),
        false => rest,
    };
    let by_equals = rest.split_once('=');
    let by_to = || {
        let at = rest.to_lowercase().find(" to ")?;
        Some((&rest[..at], &rest[at + 4..]))
    };
    let (name, value) = by_equals.or_else(by_to)?;
    let value = value.trim();
    let unquoted = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\''));
    Some(Statement::Set {
        name: name.trim().to_lowercase(),
        value: unquoted.unwrap_or(value).replace("''", "'"),
    })
}

/// Splits at semicolons outside single quotes.
fn split(sql: &str) -> Vec<String> {
    let mut statements = vec![String::new()];
    let mut is_quoted = false;
    for c in sql.chars() {
        is_quoted ^= c == '\'';
        match c {
            ';' if !is_quoted => statements.push(String::new()),
            _ => statements.last_mut().expect("never empty").push(c),
        }
    }
    statements.retain(|s| !s.trim().is_empty());
    statements
}
