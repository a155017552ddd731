//! One request on one connection, and what comes back.
//!
//! The exchange knows how many answers the connection still owes. The end of
//! the answer to a write is held back until the caller of this module knows
//! whether it may be acknowledged.

use std::pin::pin;

use bytes::BytesMut;
use compio::io::AsyncWriteExt;
use futures::future::{Either, select};
use pgwire::messages::{
    Message,
    extendedquery::{Bind, Describe},
};

use super::{
    error::{ProxyError, Result},
    frame::{Chunk, Frame, from_caller, from_endpoint as tag},
    link::{Link, LinkTarget},
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
}

impl Answer {
    /// Whether the endpoint proved that a write was not run.
    pub fn is_refused_as_write(&self) -> bool {
        self.error_state.as_deref() == Some(READ_ONLY_STATE)
    }
}

/// Why an exchange broke off.
#[derive(Debug)]
pub enum Broken {
    /// The connection to the endpoint; the flag tells whether part of the
    /// answer has left this VM.
    Link(ProxyError, bool),
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
    link: &'a mut Link,
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
    pub fn new(link: &'a mut Link, caller: &'a mut Wire, session: &'a mut Session) -> Exchange<'a> {
        let mark = caller.output().len();
        Exchange {
            link,
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
    ) -> std::result::Result<Answer, Broken> {
        self.asks_position = asks_position;
        self.queue_preamble();
        let queued = self.queue(request).map_err(Broken::Caller);
        queued?;
        if asks_position {
            message::put_query(self.link.wire.output(), POSITION_SQL);
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
    pub async fn position(link: &mut Link) -> Result<Option<Lsn>> {
        message::put_query(link.wire.output(), POSITION_SQL);
        link.wire.flush().await?;
        let mut lsn = None;
        loop {
            let frame = link.wire.next_frame().await?;
            match frame.tag() {
                tag::ROW => lsn = message::row_lsn(&frame),
                tag::READY => return Ok(lsn),
                _ => {}
            }
        }
    }

    fn queue_preamble(&mut self) {
        let sql = match &self.link.target {
            LinkTarget::Vm { .. } => trunk_preamble(self.session),
            LinkTarget::Member { .. } if self.link.parameters != self.session.parameters => {
                parameters_preamble(self.session)
            }
            LinkTarget::Member { .. } => return,
        };
        message::put_query(self.link.wire.output(), &sql);
        self.link.parameters = self.session.parameters.clone();
        self.stage = Stage::Preamble;
    }

    fn queue(&mut self, request: &Request) -> Result<()> {
        if request.ending == Ending::Query {
            for frame in &request.frames {
                self.link.wire.push(&frame.bytes);
            }
            return Ok(());
        }
        let mut parsed_unnamed = false;
        for frame in &request.frames {
            match frame.tag() {
                from_caller::PARSE => parsed_unnamed |= self.queue_parse(frame)?,
                from_caller::BIND => self.queue_bind(frame, parsed_unnamed)?,
                from_caller::DESCRIBE => self.queue_describe(frame, parsed_unnamed)?,
                from_caller::CLOSE => self.queue_close(frame)?,
                from_caller::EXECUTE => {
                    self.owed.push(Owed::Execute);
                    self.link.wire.push(&frame.bytes);
                }
                _ => self.link.wire.push(&frame.bytes),
            }
        }
        Ok(())
    }

    /// Queues a `Parse`; `true` if it is of the unnamed statement.
    fn queue_parse(&mut self, frame: &Frame) -> Result<bool> {
        let parse: pgwire::messages::extendedquery::Parse = message::read(frame)?;
        let name = parse.name.unwrap_or_default();
        if name.is_empty() {
            self.link.unnamed = self.session.unnamed.as_ref().map(|p| p.key.clone());
            self.owed.push(Owed::Parse {
                key: None,
                is_callers: true,
            });
            self.link.wire.push(&frame.bytes);
            return Ok(true);
        }
        let class = super::class_cache::class_of(&parse.query);
        let prepared = Prepared::new(&parse.query, &parse.type_oids, class);
        if self.link.prepared.contains(&prepared.key) {
            self.owed.push(Owed::OwnParse);
            return Ok(false);
        }
        self.put_parse(&prepared, true);
        Ok(false)
    }

    fn put_parse(&mut self, prepared: &Prepared, is_callers: bool) {
        let output = self.link.wire.output();
        message::put_parse(output, &prepared.key, &prepared.sql, &prepared.type_oids);
        self.owed.push(Owed::Parse {
            key: Some(prepared.key.clone()),
            is_callers,
        });
    }

    /// Makes the connection know a statement; the name to use for it there.
    fn ensure(&mut self, name: &str, parsed_unnamed: bool) -> Option<String> {
        if !name.is_empty() {
            let prepared = self.session.statements.get(name).cloned()?;
            if !self.link.prepared.contains(&prepared.key) {
                self.put_parse(&prepared, false);
                // Later messages of this request may rely on it.
                self.link.prepared.insert(prepared.key.clone());
            }
            return Some(prepared.key.to_string());
        }
        let prepared = self.session.unnamed.clone()?;
        if !parsed_unnamed && self.link.unnamed.as_ref() != Some(&prepared.key) {
            let output = self.link.wire.output();
            message::put_parse(output, "", &prepared.sql, &prepared.type_oids);
            self.owed.push(Owed::Parse {
                key: None,
                is_callers: false,
            });
            self.link.unnamed = Some(prepared.key);
        }
        Some(String::new())
    }

    fn queue_bind(&mut self, frame: &Frame, parsed_unnamed: bool) -> Result<()> {
        let mut bind: Bind = message::read(frame)?;
        let name = bind.statement_name.clone().unwrap_or_default();
        let key = self.ensure(&name, parsed_unnamed);
        self.owed.push(Owed::Bind);
        if name.is_empty() {
            self.link.wire.push(&frame.bytes);
            return Ok(());
        }
        bind.statement_name = key;
        Ok(bind.encode(self.link.wire.output())?)
    }

    fn queue_describe(&mut self, frame: &Frame, parsed_unnamed: bool) -> Result<()> {
        let named = request::named_statement(frame)?;
        let key = named.and_then(|name| self.ensure(&name, parsed_unnamed));
        self.owed.push(Owed::Describe);
        match key.filter(|key| !key.is_empty()) {
            Some(key) => {
                let describe = Describe::new(request::STATEMENT, Some(key));
                Ok(describe.encode(self.link.wire.output())?)
            }
            None => {
                self.link.wire.push(&frame.bytes);
                Ok(())
            }
        }
    }

    fn queue_close(&mut self, frame: &Frame) -> Result<()> {
        match request::named_statement(frame)? {
            Some(name) => {
                self.session.statements.remove(&name);
                self.owed.push(Owed::OwnClose);
            }
            None => {
                self.owed.push(Owed::Close);
                self.link.wire.push(&frame.bytes);
            }
        }
        Ok(())
    }

    async fn send(&mut self) -> Result<()> {
        if self.link.wire.output().len() <= WRITE_BESIDE_BYTES {
            return self.link.wire.flush().await;
        }
        // The endpoint may answer before it has read all; writing beside
        // reading keeps both from waiting for each other.
        let bytes = std::mem::take(self.link.wire.output());
        let mut stream = self.link.wire.stream().clone();
        compio::runtime::spawn(async move {
            // The reader notices a broken connection.
            let _ = stream.write_all(bytes).await;
        })
        .detach();
        Ok(())
    }

    async fn receive(
        mut self,
        ending: Ending,
        is_dead: &impl AsyncFn() -> bool,
    ) -> std::result::Result<Answer, Broken> {
        self.settle_own();
        while !self.is_done(ending) {
            let chunk = match next_chunk(&mut self.link.wire, is_dead).await {
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
                self.caller.flush().await.map_err(Broken::Caller)?;
                self.mark = 0;
            }
        }
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
    fn broken(self, error: ProxyError) -> Broken {
        if !self.answer.is_passed {
            self.caller.output().truncate(self.mark);
        }
        Broken::Link(error, self.answer.is_passed)
    }

    fn take(&mut self, frame: &Frame) -> Result<()> {
        match self.stage {
            Stage::Preamble => self.take_preamble(frame),
            Stage::Main => self.take_main(frame),
            Stage::Position => self.take_position(frame),
        }
    }

    fn take_preamble(&mut self, frame: &Frame) -> Result<()> {
        match frame.tag() {
            tag::ERROR => {
                let (_, text) = message::error_fields(frame);
                self.link.parameters = Arc::default();
                Err(ProxyError::Refused { text })
            }
            tag::READY => {
                self.stage = Stage::Main;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn take_main(&mut self, frame: &Frame) -> Result<()> {
        match frame.tag() {
            tag::READY => self.take_ready(frame),
            tag::PARAMETER_STATUS => self.take_parameter(frame),
            tag::NOTIFICATION => {}
            tag::COPY_IN | tag::COPY_OUT | tag::COPY_BOTH => {
                return Err(ProxyError::protocol("the endpoint started COPY"));
            }
            tag::ERROR => {
                let (state, text) = message::error_fields(frame);
                self.check_stopping(&text)?;
                self.answer.error_state = Some(state);
                for key in self.owed.clear() {
                    self.link.prepared.remove(&key);
                }
                self.link.unnamed = None;
                self.hold(frame);
            }
            tag::COMPLETE => {
                self.answer.is_rollback = frame.body().starts_with(b"ROLLBACK");
                self.owed.settle(frame.tag());
                self.hold(frame);
                self.settle_own();
            }
            other => {
                let (verdict, key) = self.owed.settle(other);
                if let Some(key) = key {
                    self.link.prepared.insert(key);
                }
                if verdict == Verdict::Pass {
                    self.pass(&frame.bytes);
                }
                self.settle_own();
            }
        }
        Ok(())
    }

    /// A VM that stops says so instead of running the request.
    fn check_stopping(&self, text: &str) -> Result<()> {
        let is_vm = matches!(self.link.target, LinkTarget::Vm { .. });
        let number = Code::Stopping.number();
        if is_vm && text.starts_with(&format!("FK{number}:")) {
            return Err(ProxyError::NotRun { text: text.into() });
        }
        Ok(())
    }

    fn take_ready(&mut self, frame: &Frame) {
        self.answer.status = frame.body().first().copied().unwrap_or(IDLE);
        self.answer.held.extend_from_slice(&frame.bytes);
        if self.asks_position {
            self.stage = Stage::Position;
        }
    }

    fn take_position(&mut self, frame: &Frame) -> Result<()> {
        match frame.tag() {
            tag::ROW => self.answer.lsn = message::row_lsn(frame),
            tag::READY => {
                self.asks_position = false;
                self.stage = Stage::Main;
            }
            _ => {}
        }
        Ok(())
    }

    fn take_part(&mut self, bytes: &[u8]) -> Result<()> {
        self.pass(bytes);
        Ok(())
    }

    /// A slot on another VM reports the session's position this way.
    fn take_parameter(&mut self, frame: &Frame) {
        let LinkTarget::Vm { .. } = self.link.target else {
            return;
        };
        let Some((name, value)) = message::parameter(frame) else {
            return;
        };
        if name != TOKEN_PARAMETER {
            return;
        }
        // A slot's own token is good; a bad one leaves the floor as it is.
        let _ = self.session.set_own(&name, &value);
        self.pass(&frame.bytes);
    }

    fn hold(&mut self, frame: &Frame) {
        self.release_held();
        self.answer.held.extend_from_slice(&frame.bytes);
    }

    fn pass(&mut self, bytes: &[u8]) {
        self.release_held();
        self.caller.push(bytes);
    }

    fn release_held(&mut self) {
        if !self.answer.held.is_empty() {
            let held = std::mem::take(&mut self.answer.held);
            self.caller.push(&held);
        }
    }

    fn settle_own(&mut self) {
        while let Some(owed) = self.owed.take_own() {
            self.release_held();
            match owed {
                Owed::OwnParse => message::put_parse_complete(self.caller.output()),
                _ => message::put_close_complete(self.caller.output()),
            }
        }
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

fn trunk_preamble(session: &Session) -> String {
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
