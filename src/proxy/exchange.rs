//! One request on one connection, and its answer.
//!
//! The exchange tracks which responses are still pending. The end of the answer
//! is held back, so that a commit is not acknowledged before it is confirmed.

mod answer;
mod queue;

use std::pin::pin;

use bytes::BytesMut;
use compio::io::AsyncWriteExt;
use futures::future::{Either, select};
use pgwire::messages::{
    Message,
    extendedquery::{Bind, Describe},
};

use super::{
    connection::{Connection, ConnectionTarget},
    error::{ProxyError, Result},
    frame::{Chunk, Frame, from_caller, from_endpoint as tag},
    message,
    pending::{Action, PendingResponse, PendingResponses},
    prepared::Prepared,
    request::{self, Ending, Request},
    session::{Session, TOKEN_PARAMETER},
    wire::Wire,
};
use crate::prelude::*;

/// Time without data from the other side after which its health is checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Requests larger than this are written while the answer is read.
const CONCURRENT_WRITE_MIN_BYTES: usize = 64 << 10;
/// Query for the position after a commit.
const POSITION_SQL: &str = "SELECT pg_current_wal_lsn()";
/// SQLSTATE of a write that a replica refused, `read_only_sql_transaction`.
const READ_ONLY_STATE: &str = "25006";

/// Transaction status outside a transaction.
pub const IDLE_STATUS: u8 = b'I';

/// How a request ended on the connection.
#[derive(Debug, Default)]
pub struct Answer {
    /// Transaction status `I`, `T` or `E`; zero after `Flush`.
    pub status: u8,
    /// Position after the request, if it was requested.
    pub lsn: Option<Lsn>,
    /// SQLSTATE of an error.
    pub error_state: Option<String>,
    /// Whether the last command was a rollback.
    pub is_rollback: bool,
    /// End of the answer, to be sent or replaced by a refusal.
    pub held_back: BytesMut,
    /// Whether part of the answer has been sent to the caller.
    pub is_partly_sent: bool,
    /// Length of the caller's output buffer before any of the answer was queued.
    pub output_start: usize,
}

impl Answer {
    /// Whether the endpoint refused a write, which proves that it was not run.
    pub fn is_refused_as_write(&self) -> bool {
        self.error_state.as_deref() == Some(READ_ONLY_STATE)
    }
}

/// Why an exchange failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection to the endpoint or VM failed; the flag tells whether part of
    /// the answer has been sent to the caller.
    Connection(ProxyError, bool),
    /// The connection to the caller failed.
    Caller(ProxyError),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Preamble,
    Main,
    Position,
}

/// One request on one connection.
pub struct Exchange<'a> {
    connection: &'a mut Connection,
    caller: &'a mut Wire,
    session: &'a mut Session,
    pending: PendingResponses,
    stage: Stage,
    asks_position: bool,
    answer_start: usize,
    answer: Answer,
}

impl<'a> Exchange<'a> {
    /// Prepares an exchange.
    pub fn new(
        connection: &'a mut Connection,
        caller: &'a mut Wire,
        session: &'a mut Session,
    ) -> Exchange<'a> {
        let answer_start = caller.output().len();
        Exchange {
            connection,
            caller,
            session,
            pending: PendingResponses::default(),
            stage: Stage::Main,
            asks_position: false,
            answer_start,
            answer: Answer::default(),
        }
    }

    /// Sends the request and forwards its answer, except for the end.
    ///
    /// `is_dead` is called whenever no data has arrived for
    /// `STALL_CHECK_INTERVAL`; the exchange fails when it returns `true`.
    ///
    /// # Errors
    ///
    /// Returns which connection failed.
    pub async fn run(
        mut self,
        request: &Request,
        asks_position: bool,
        is_dead: impl AsyncFn() -> bool,
    ) -> std::result::Result<Answer, ExchangeError> {
        self.asks_position = asks_position;
        self.queue_preamble();
        let queued = self.queue(request).map_err(ExchangeError::Caller);
        queued?;
        if asks_position {
            message::put_query(self.connection.wire.output(), POSITION_SQL);
        }
        if let Err(error) = self.send().await {
            return Err(self.fail(error));
        }
        self.receive(request.ending, &is_dead).await
    }

    /// Queries the position after a request that was sent without that query.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails.
    pub async fn position(connection: &mut Connection) -> Result<Option<Lsn>> {
        message::put_query(connection.wire.output(), POSITION_SQL);
        connection.wire.flush().await?;
        let mut lsn = None;
        loop {
            let frame = connection.wire.next_frame().await?;
            match frame.tag() {
                tag::ROW => lsn = message::row_lsn(&frame),
                tag::READY => return Ok(lsn),
                _ => {}
            }
        }
    }

    async fn receive(
        mut self,
        ending: Ending,
        is_dead: &impl AsyncFn() -> bool,
    ) -> std::result::Result<Answer, ExchangeError> {
        self.push_own_responses();
        while !self.is_done(ending) {
            let chunk = match next_chunk(&mut self.connection.wire, is_dead).await {
                Ok(chunk) => chunk,
                Err(error) => return Err(self.fail(error)),
            };
            let handled = match chunk {
                Chunk::Frame(frame) => self.handle_frame(&frame),
                Chunk::Part(bytes) => self.handle_part(&bytes),
            };
            if let Err(error) = handled {
                return Err(self.fail(error));
            }
            if self.caller.is_full() {
                self.answer.is_partly_sent = true;
                self.caller.flush().await.map_err(ExchangeError::Caller)?;
                self.answer_start = 0;
            }
        }
        self.answer.output_start = self.answer_start;
        Ok(self.answer)
    }

    fn is_done(&self, ending: Ending) -> bool {
        if ending == Ending::Flush {
            let is_over = self.pending.is_empty() || self.answer.error_state.is_some();
            return self.stage == Stage::Main && is_over;
        }
        let has_status = self.answer.status != 0;
        has_status && self.stage != Stage::Position
    }

    /// Ends the exchange with an error. Discards what is queued for the caller, if
    /// none of it has been sent.
    fn fail(self, error: ProxyError) -> ExchangeError {
        if !self.answer.is_partly_sent {
            self.caller.output().truncate(self.answer_start);
        }
        ExchangeError::Connection(error, self.answer.is_partly_sent)
    }
}

async fn next_chunk(wire: &mut Wire, is_dead: &impl AsyncFn() -> bool) -> Result<Chunk> {
    loop {
        if let Some(chunk) = wire.take_chunk()? {
            return Ok(chunk);
        }
        let mut fill = pin!(wire.fill());
        loop {
            let stall = pin!(compio::time::sleep(STALL_CHECK_INTERVAL));
            match select(fill.as_mut(), stall).await {
                Either::Left((result, _)) => {
                    result?;
                    break;
                }
                Either::Right(_) if is_dead().await => return Err(ProxyError::Timeout),
                Either::Right(_) => {}
            }
        }
    }
}

fn parameters_preamble(session: &Session) -> String {
    let mut sql = "RESET ALL".to_owned();
    for (name, value) in session.parameters.iter() {
        sql += &format!("; SET {name} = {}", quote(value));
    }
    sql
}

fn peer_preamble(session: &Session) -> String {
    let mut sql = format!("SET {TOKEN_PARAMETER} = {}", quote(&session.token()));
    let max_age_ms = session.max_age_ms.map(|ms| ms.to_string());
    let max_age_ms = max_age_ms.unwrap_or_default();
    sql += &format!("; SET foxtailknot.max_age_ms = {}", quote(&max_age_ms));
    for (name, value) in session.parameters.iter() {
        sql += &format!("; SET {name} = {}", quote(value));
    }
    sql
}

fn quote(value: &str) -> String {
    format!("'{}'", value.replace('\'', "''"))
}
