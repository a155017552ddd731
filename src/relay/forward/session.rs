//! Session on one connection of another VM.

use futures::channel::oneshot;

use super::*;
use crate::{
    clock,
    metrics::label,
    relay::{
        Answer, Statement, StatementKind, StatusReport,
        connection::{Connection, SessionSetup},
        exchange::{Call, Outcome, begin, run},
        message::{Acquire, Purpose, Refused, ReportError, ServiceMessage},
        prepared::PreparedStatement,
    },
};

/// Longest wait for a connection to the member: the requesting VM needs time to
/// try another path.
const CONNECTION_WAIT_MS: u64 = 250;
/// Priority of all forwarded requests: the requesting VM has already ordered its
/// own by the priority of their routes.
const PRIORITY: u32 = 1;
/// Text with which a stopping VM refuses forwarded requests.
const STOPPING_TEXT: &str = "this VM is stopping";

/// Session on a connection of another VM, for which this VM acts as the member.
pub struct ForwardSession {
    shared: Rc<Shared>,
    service: Name,
    member: Name,
    /// Messages of the VM; disconnected once the VM has closed the connection.
    messages: flume::Receiver<Received<ForwardMessage>>,
    setup: Rc<SessionSetup>,
    prepared: BTreeMap<Name, PreparedStatement>,
    /// Connection to the member while a transaction is open.
    connection: Option<Connection>,
}

impl ForwardSession {
    /// Creates a session that forwards to a member.
    pub fn new(
        shared: Rc<Shared>,
        service: Name,
        member: Name,
        messages: flume::Receiver<Received<ForwardMessage>>,
    ) -> ForwardSession {
        ForwardSession {
            shared,
            service,
            member,
            messages,
            setup: Rc::default(),
            prepared: BTreeMap::new(),
            connection: None,
        }
    }

    /// Writes the answer to a message, and to a report request that follows a
    /// statement; `false` if the connection is to be closed.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection to the member fails. Closing the
    /// requesting VM's connection then tells it what a failure of its own
    /// connection to the member would.
    pub async fn answer(
        &mut self,
        message: ForwardMessage,
        wants_report: bool,
        output: &mut BytesMut,
    ) -> Result<bool> {
        match message {
            ForwardMessage::Open { .. } | ForwardMessage::Take(_) | ForwardMessage::Close => {
                return Ok(false);
            }
            ForwardMessage::SetAccount { account } => {
                Rc::make_mut(&mut self.setup).account = account;
                self.write_complete(output);
            }
            ForwardMessage::Run { statement, after } => {
                return self.run(&statement, (after, wants_report), output).await;
            }
            ForwardMessage::Set { name, value } => {
                Rc::make_mut(&mut self.setup).variables.insert(name, value);
                self.write_complete(output);
            }
            ForwardMessage::Prepare(prepared_statement) => {
                self.prepared
                    .insert(prepared_statement.name.clone(), prepared_statement);
                self.write_complete(output);
            }
            ForwardMessage::Reset => {
                Rc::make_mut(&mut self.setup).variables.clear();
                self.prepared.clear();
                self.write_complete(output);
            }
            ForwardMessage::Status => return Ok(self.report(output).await),
            ForwardMessage::StepDown { term } => self.step_down(term, output).await,
            ForwardMessage::Rollback => {
                if let Some(connection) = self.connection.take() {
                    self.release(connection, true, None);
                }
                self.write_complete(output);
            }
            ForwardMessage::Begin {
                after,
                is_read_only,
            } => self.begin(after, is_read_only, output).await?,
        }
        Ok(true)
    }

    /// Releases the member's connection, after the end of this one.
    pub fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.release(connection, true, None);
        }
    }

    /// Whether a transaction is open.
    pub fn is_in_transaction(&self) -> bool {
        self.connection.is_some()
    }

    fn write_complete(&self, output: &mut BytesMut) {
        let codec = &self.shared.options.codecs.caller;
        (codec.complete)(output);
        (codec.ready)(output, self.state(), None);
    }

    fn state(&self) -> SessionState {
        match self.connection {
            Some(_) => SessionState::Transaction,
            None => SessionState::Idle,
        }
    }

    /// Writes the member's report; `false` if the member does not answer. The
    /// connection is then closed, and the requesting VM takes the member for
    /// silent as well.
    async fn report(&self, output: &mut BytesMut) -> bool {
        if self.shared.stopping.borrow().is_some() {
            self.write_error(ErrorClass::WrongMember, STOPPING_TEXT, output);
            return true;
        }
        let (reply, report) = oneshot::channel();
        let message = ServiceMessage::RequestReport {
            member: self.member.clone(),
            since_us: clock::boot_us(),
            reply,
        };
        self.shared.send(&self.service, message);
        let report = match report.await.unwrap_or(Err(ReportError::NotReached)) {
            Ok(report) => report,
            Err(ReportError::Silent) => return false,
            Err(ReportError::Busy) => {
                let text = "the member has too much to do";
                self.write_error(ErrorClass::Busy, text, output);
                return true;
            }
            Err(ReportError::NotReached) => {
                let text = "this VM does not go to the member itself";
                self.write_error(ErrorClass::WrongMember, text, output);
                return true;
            }
        };
        self.write_report(&report, output);
        true
    }

    /// Orders the member to step down and writes its report.
    async fn step_down(&self, term: u64, output: &mut BytesMut) {
        let (reply, report) = oneshot::channel();
        let message = ServiceMessage::StepDown {
            member: self.member.clone(),
            term,
            reply,
        };
        self.shared.send(&self.service, message);
        match report.await {
            Ok(report) => self.write_report(&report, output),
            Err(_) => {
                let text = "this VM does not reach the member";
                self.write_error(ErrorClass::Busy, text, output);
            }
        }
    }

    async fn begin(
        &mut self,
        after: Option<Position>,
        is_read_only: bool,
        output: &mut BytesMut,
    ) -> Result<()> {
        let mut connection = match self.acquire(b"-", true).await {
            Ok(connection) => connection,
            Err(refusal) => {
                self.write_refusal(&refusal, output);
                return Ok(());
            }
        };
        let codec = self.shared.options.codecs.member;
        let begun = begin(&mut connection, &codec, &self.setup, after, is_read_only).await;
        let answer = begun.inspect_err(|_| self.suspect())?;
        self.forward_answer(connection, &answer, None, output);
        Ok(())
    }

    /// Runs a statement, followed by a report request on the same connection if
    /// `wants_report`; `false` if the connection is to be closed.
    async fn run(
        &mut self,
        statement: &Statement,
        (after, wants_report): (Option<Position>, bool),
        output: &mut BytesMut,
    ) -> Result<bool> {
        let prepared_statement = match &statement.kind {
            StatementKind::Execute { name, .. } => {
                let name = String::from_utf8_lossy(name);
                let Some(prepared_statement) = self.prepared.get(&*name) else {
                    let text = "no such prepared statement";
                    self.write_error(ErrorClass::NoStatement, text, output);
                    return self.report_if_wanted(wants_report, output).await;
                };
                Some(prepared_statement.clone())
            }
            _ => None,
        };
        let is_autocommit = self.connection.is_none();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match self.acquire(&statement.id, false).await {
                Ok(connection) => connection,
                Err(refusal) => {
                    self.write_refusal(&refusal, output);
                    return self.report_if_wanted(wants_report, output).await;
                }
            },
        };
        let call = Call {
            statement,
            prepared_statement: prepared_statement.as_ref(),
            after,
            wants_report,
        };
        let sent_us = clock::boot_us();
        let codec = self.shared.options.codecs.member;
        let ran = run(&mut connection, &codec, &self.setup, &call).await;
        let Outcome { answer, report } = ran.inspect_err(|_| self.suspect())?;
        let took_us = clock::boot_us() - sent_us;
        decision!(
            "forward", request = String::from_utf8_lossy(&statement.id),
            service = &*self.service, member = &*self.member, took_ms = took_us / 1_000,
            outcome = answer.error.map_or("done", Into::into); "statement forwarded"
        );
        self.forward_answer(
            connection,
            &answer,
            is_autocommit.then_some(took_us),
            output,
        );
        match report {
            Some(report) => self.write_report(&report, output),
            None if wants_report => {
                let text = "the member has too much to do";
                self.write_error(ErrorClass::Busy, text, output);
            }
            None => {}
        }
        Ok(true)
    }

    /// Answers the report request that follows a statement which did not reach
    /// the member.
    async fn report_if_wanted(&self, wants_report: bool, output: &mut BytesMut) -> Result<bool> {
        match wants_report {
            true => Ok(self.report(output).await),
            false => Ok(true),
        }
    }

    fn write_report(&self, report: &StatusReport, output: &mut BytesMut) {
        let codecs = &self.shared.options.codecs;
        (codecs.forward.report)(output, report);
        (codecs.caller.ready)(output, self.state(), None);
    }

    /// Passes an answer on, and keeps the connection to the member while a
    /// transaction is open.
    fn forward_answer(
        &mut self,
        connection: Connection,
        answer: &Answer,
        read_us: Option<u64>,
        output: &mut BytesMut,
    ) {
        let outcome: &'static str = answer.error.map_or("done", Into::into);
        let labels = [label("outcome", outcome)];
        self.shared.metrics.forwarded.add(1, &labels);
        output.extend_from_slice(&answer.body);
        let codec = &self.shared.options.codecs.caller;
        (codec.ready)(output, answer.state, answer.position);
        if let Some(class) = answer.error {
            self.shared
                .report_refusal(&self.service, &self.member, class);
        }
        match answer.state {
            SessionState::Idle => self.release(connection, false, read_us),
            _ => self.connection = Some(connection),
        }
    }

    async fn acquire(
        &self,
        id: &[u8],
        is_transaction: bool,
    ) -> std::result::Result<Connection, Refused> {
        let refused = |class, text| Refused {
            class,
            text,
            retry_after_ms: 0,
        };
        if self.shared.stopping.borrow().is_some() {
            return Err(refused(ErrorClass::WrongMember, STOPPING_TEXT));
        }
        let (reply, granted) = oneshot::channel();
        let acquire = Acquire {
            id: bytes::Bytes::copy_from_slice(id),
            purpose: Purpose::Forward(self.member.clone()),
            deadline_ms: clock::boot_ms() + CONNECTION_WAIT_MS,
            priority: PRIORITY,
            is_transaction,
            avoid: BTreeSet::new(),
            setup: self.setup.clone(),
            reply,
        };
        self.shared
            .send(&self.service, ServiceMessage::Acquire(acquire));
        let unserved = refused(ErrorClass::WrongMember, "the service is not served");
        let connection = granted.await.unwrap_or(Err(unserved))?.connection;
        if self.messages.is_disconnected() {
            self.release(connection, false, None);
            return Err(refused(ErrorClass::Busy, "the VM that asked has gone"));
        }
        Ok(connection)
    }

    fn write_refusal(&self, refusal: &Refused, output: &mut BytesMut) {
        let class: &'static str = refusal.class.into();
        let labels = [label("outcome", class)];
        self.shared.metrics.forwarded.add(1, &labels);
        decision!(
            "forward", service = &*self.service, member = &*self.member, outcome = class,
            reason = refusal.text; "statement not forwarded"
        );
        self.write_error(refusal.class, refusal.text, output);
    }

    fn write_error(&self, class: ErrorClass, text: &str, output: &mut BytesMut) {
        let codec = &self.shared.options.codecs.caller;
        (codec.error)(output, class, text);
        (codec.ready)(output, self.state(), None);
    }

    fn release(&self, connection: Connection, needs_rollback: bool, read_us: Option<u64>) {
        let message = ServiceMessage::Release {
            connection,
            needs_rollback,
            read_us,
        };
        self.shared.send(&self.service, message);
    }

    fn suspect(&self) {
        let message = ServiceMessage::Suspect {
            member: self.member.clone(),
            is_commit: false,
        };
        self.shared.send(&self.service, message);
    }
}
