//! One request on one connection, and what comes back.
//!
//! The exchange knows how many answers the connection still owes. The end of
//! the answer to a write is held back until the caller of this module knows
//! whether it may be acknowledged.

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
    owed::{Owed, OwedList, Verdict},
    prepared::Prepared,
    request::{self, Ending, Request},
    session::{Session, TOKEN_PARAMETER},
    wire::Wire,
};
use crate::prelude::*;

/// Time without an answer after which the member's health is asked.
const STALL: Duration = Duration::from_millis(500);
/// Requests larger than this are written beside reading the answer.
const WRITE_BESIDE_BYTES: usize = 64 << 10;
/// Question for the position after a commit.
const POSITION_SQL: &str = "SELECT pg_current_wal_lsn()";
/// SQLSTATE of a write that a replica refused.
const READ_ONLY_STATE: &str = "25006";

/// Status of a connection outside a transaction.
pub const IDLE: u8 = b'I';

/// How a request ended on the connection.
#[derive(Debug, Default)]
pub struct Answer {
    /// Transaction status: `I`, `T` or `E`; zero after `Flush`.
    pub status: u8,
    /// Position after the request, if it was asked for.
    pub lsn: Option<Lsn>,
    /// SQLSTATE of an error.
    pub error_state: Option<String>,
    /// Whether the last command was a rollback.
    pub is_rollback: bool,
    /// End of the answer, to be passed on or replaced.
    pub held: BytesMut,
    /// Whether part of the answer has left this VM.
    pub is_passed: bool,
    /// Length of the caller's output before anything of the answer was queued.
    pub queued_from: usize,
}

impl Answer {
    /// Whether the endpoint proved that a write was not run.
    pub fn is_refused_as_write(&self) -> bool {
        self.error_state.as_deref() == Some(READ_ONLY_STATE)
    }
}

/// Why an exchange broke off.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection to the endpoint; the flag tells whether part of the
    /// answer has left this VM.
    Connection(ProxyError, bool),
    /// The connection to the caller.
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
    owed: OwedList,
    stage: Stage,
    asks_position: bool,
    mark: usize,
    answer: Answer,
}

impl<'a> Exchange<'a> {
    /// Prepares an exchange.
    pub fn new(
        connection: &'a mut Connection,
        caller: &'a mut Wire,
        session: &'a mut Session,
    ) -> Exchange<'a> {
        let mark = caller.output().len();
        Exchange {
            connection,
            caller,
            session,
            owed: OwedList::default(),
            stage: Stage::Main,
            asks_position: false,
            mark,
            answer: Answer::default(),
        }
    }

    /// Sends the request and passes its answer on, except for its end.
    ///
    /// `is_dead` is asked whenever no answer came for a while; when it says
    /// so the exchange breaks off.
    ///
    /// # Errors
    ///
    /// Returns which connection broke.
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
            return Err(self.broken(error));
        }
        self.receive(request.ending, &is_dead).await
    }

    /// Asks for the position after a request that did not ask along with it.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection broke.
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
        self.settle_own();
        while !self.is_done(ending) {
            let chunk = match next_chunk(&mut self.connection.wire, is_dead).await {
                Ok(chunk) => chunk,
                Err(error) => return Err(self.broken(error)),
            };
            let taken = match chunk {
                Chunk::Frame(frame) => self.take(&frame),
                Chunk::Part(bytes) => self.take_part(&bytes),
            };
            if let Err(error) = taken {
                return Err(self.broken(error));
            }
            if self.caller.is_full() {
                self.answer.is_passed = true;
                self.caller.flush().await.map_err(ExchangeError::Caller)?;
                self.mark = 0;
            }
        }
        self.answer.queued_from = self.mark;
        Ok(self.answer)
    }

    fn is_done(&self, ending: Ending) -> bool {
        if ending == Ending::Flush {
            let is_over = self.owed.is_empty() || self.answer.error_state.is_some();
            return self.stage == Stage::Main && is_over;
        }
        let has_status = self.answer.status != 0;
        has_status && self.stage != Stage::Position
    }

    /// Forgets what was queued for the caller, if none of it has left.
    fn broken(self, error: ProxyError) -> ExchangeError {
        if !self.answer.is_passed {
            self.caller.output().truncate(self.mark);
        }
        ExchangeError::Connection(error, self.answer.is_passed)
    }
}

async fn next_chunk(wire: &mut Wire, is_dead: &impl AsyncFn() -> bool) -> Result<Chunk> {
    loop {
        if let Some(chunk) = wire.take_chunk()? {
            return Ok(chunk);
        }
        let mut fill = pin!(wire.fill());
        loop {
            let stall = pin!(compio::time::sleep(STALL));
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
