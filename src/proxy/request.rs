//! One request of a caller: the messages up to a simple query, `Sync` or `Flush`.

use pgwire::messages::{
    extendedquery::{Bind, Close, Execute, Parse},
    simplequery::Query,
};

use super::{
    class_cache::class_of,
    error::{ProxyError, Refusal, Result},
    frame::{Frame, from_caller as tag},
    message,
    prepared::Prepared,
    session::Session,
    wire::Wire,
};
use crate::{decide::classify::Class, prelude::*};

/// Target type of a `Describe` or `Close` of a statement.
pub const STATEMENT: u8 = b'S';

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a simple query.
    Query,
    /// With `Sync`.
    Sync,
    /// With `Flush`: more messages follow before the next `Sync`.
    Flush,
}

/// One request.
#[derive(Debug)]
pub struct Request {
    /// Messages.
    pub frames: Vec<Frame>,
    /// How it ends.
    pub ending: Ending,
    /// Class of its statements.
    pub class: Class,
    /// Whether anything is executed.
    pub is_executed: bool,
    /// Text of a simple query.
    pub sql: Option<String>,
    /// Refusal of the whole request.
    pub refusal: Option<Refusal>,
}

impl Request {
    /// Whether it may change data, or end a transaction that did.
    pub fn may_write(&self) -> bool {
        self.is_executed && matches!(self.class, Class::Write | Class::Commit | Class::Session)
    }
}

#[derive(Default)]
struct RequestReader {
    frames: Vec<Frame>,
    executed: Option<Class>,
    described: Option<Class>,
    refusal: Option<Refusal>,
    bytes: usize,
}

/// Reads the rest of a request whose first message is `first`.
///
/// # Errors
///
/// Returns an error when the connection ends, a message is invalid or the request
/// is larger than `max_bytes`.
pub async fn read_request(
    first: Frame,
    wire: &mut Wire,
    session: &mut Session,
    max_bytes: usize,
) -> Result<Request> {
    let mut reader = RequestReader::default();
    let mut frame = first;
    loop {
        reader.bytes += frame.bytes.len();
        if reader.bytes > max_bytes {
            return Err(ProxyError::TooLarge {
                bytes: reader.bytes,
            });
        }
        if let Some(request) = reader.take(frame, session)? {
            return Ok(request);
        }
        frame = wire.next_frame().await?;
    }
}

impl RequestReader {
    fn take(&mut self, frame: Frame, session: &mut Session) -> Result<Option<Request>> {
        match frame.tag() {
            tag::QUERY => return self.query(frame).map(Some),
            tag::PARSE => self.parse(&frame, session)?,
            tag::BIND => self.bind(&frame, session)?,
            tag::EXECUTE => self.execute(&frame, session)?,
            tag::DESCRIBE => self.describe(&frame, session)?,
            tag::CLOSE => {}
            tag::SYNC => {
                self.frames.push(frame);
                return Ok(Some(self.finish(Ending::Sync)));
            }
            tag::FLUSH => {
                self.frames.push(frame);
                return Ok(Some(self.finish(Ending::Flush)));
            }
            tag::FUNCTION_CALL => {
                return Err(ProxyError::protocol("function calls are not carried"));
            }
            other => {
                let text = format!("unexpected message {:?}", char::from(other));
                return Err(ProxyError::protocol(text));
            }
        }
        self.frames.push(frame);
        Ok(None)
    }

    fn query(&mut self, frame: Frame) -> Result<Request> {
        let query: Query = message::read(&frame)?;
        self.executed = Some(class_of(&query.query));
        self.frames.push(frame);
        let mut request = self.finish(Ending::Query);
        request.sql = Some(query.query);
        Ok(request)
    }

    fn parse(&mut self, frame: &Frame, session: &mut Session) -> Result<()> {
        let parse: Parse = message::read(frame)?;
        let class = class_of(&parse.query);
        let prepared = Prepared::new(&parse.query, &parse.type_oids, class);
        self.note_described(class);
        match parse.name.filter(|name| !name.is_empty()) {
            Some(name) => {
                session.statements.insert(name, prepared);
            }
            None => session.unnamed = Some(prepared),
        }
        Ok(())
    }

    fn bind(&mut self, frame: &Frame, session: &mut Session) -> Result<()> {
        let bind: Bind = message::read(frame)?;
        let class = self.class_of_statement(bind.statement_name.as_deref(), session);
        let portal = bind.portal_name.unwrap_or_default();
        session.portals.insert(portal, class);
        Ok(())
    }

    fn execute(&mut self, frame: &Frame, session: &Session) -> Result<()> {
        let execute: Execute = message::read(frame)?;
        let portal = execute.name.unwrap_or_default();
        let class = session.portals.get(&portal).copied();
        let class = class.unwrap_or(Class::Write);
        self.executed = self.executed.max(Some(class));
        Ok(())
    }

    fn describe(&mut self, frame: &Frame, session: &Session) -> Result<()> {
        // `Describe` and `Close` have the same layout.
        let body = frame.body();
        let Some((kind, name)) = body.split_first() else {
            return Err(ProxyError::protocol("empty Describe"));
        };
        if *kind == STATEMENT {
            let name = name.strip_suffix(&[0]).unwrap_or(name);
            let name = String::from_utf8_lossy(name);
            let class = self.class_of_statement(Some(&*name), session);
            self.note_described(class);
        }
        Ok(())
    }

    fn class_of_statement(&mut self, name: Option<&str>, session: &Session) -> Class {
        let name = name.unwrap_or_default();
        let known = match name.is_empty() {
            true => session.unnamed.as_ref(),
            false => session.statements.get(name),
        };
        if let Some(prepared) = known {
            return prepared.class;
        }
        let text = format!("prepared statement {name:?} does not exist");
        self.refusal = Some(Refusal::new(Code::UnknownStatement, text));
        Class::Write
    }

    fn note_described(&mut self, class: Class) {
        self.described = self.described.max(Some(class));
    }

    fn finish(&mut self, ending: Ending) -> Request {
        let reader = std::mem::take(self);
        let class = reader.executed.or(reader.described);
        Request {
            frames: reader.frames,
            ending,
            class: class.unwrap_or(Class::Empty),
            is_executed: reader.executed.is_some(),
            sql: None,
            refusal: reader.refusal,
        }
    }
}

/// Name of the statement that a `Describe` or `Close` is for; `None` for a portal.
pub fn named_statement(frame: &Frame) -> Result<Option<String>> {
    let close = read_close(frame)?;
    Ok((close.target_type == STATEMENT).then(|| close.name.unwrap_or_default()))
}

fn read_close(frame: &Frame) -> Result<Close> {
    let mut bytes = frame.bytes.to_vec();
    bytes[0] = tag::CLOSE;
    message::read(&Frame {
        bytes: bytes.into(),
    })
}
