//! The side of an exchange that takes the answer.

use super::*;

impl Exchange<'_> {
    pub(super) fn take(&mut self, frame: &Frame) -> Result<()> {
        match self.stage {
            Stage::Preamble => self.take_preamble(frame),
            Stage::Main => self.take_main(frame),
            Stage::Position => self.take_position(frame),
        }
    }

    pub(super) fn take_preamble(&mut self, frame: &Frame) -> Result<()> {
        match frame.tag() {
            tag::ERROR => {
                let (_, text) = message::error_fields(frame);
                self.check_stopping(&text)?;
                self.connection.parameters = Arc::default();
                Err(ProxyError::Refused { text })
            }
            tag::READY => {
                self.stage = Stage::Main;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub(super) fn take_main(&mut self, frame: &Frame) -> Result<()> {
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
                    self.connection.prepared.remove(&key);
                }
                self.connection.unnamed = None;
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
                    self.connection.prepared.insert(key);
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
    pub(super) fn check_stopping(&self, text: &str) -> Result<()> {
        let is_vm = matches!(self.connection.target, ConnectionTarget::Vm { .. });
        let number = Code::Stopping.number();
        if is_vm && text.starts_with(&format!("FK{number}:")) {
            return Err(ProxyError::NotRun { text: text.into() });
        }
        Ok(())
    }

    pub(super) fn take_ready(&mut self, frame: &Frame) {
        self.answer.status = frame.body().first().copied().unwrap_or(IDLE);
        self.answer.held.extend_from_slice(&frame.bytes);
        if self.asks_position {
            self.stage = Stage::Position;
        }
    }

    pub(super) fn take_position(&mut self, frame: &Frame) -> Result<()> {
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

    pub(super) fn take_part(&mut self, bytes: &[u8]) -> Result<()> {
        self.pass(bytes);
        Ok(())
    }

    /// A slot on another VM reports the session's position this way.
    pub(super) fn take_parameter(&mut self, frame: &Frame) {
        let ConnectionTarget::Vm { .. } = self.connection.target else {
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

    pub(super) fn hold(&mut self, frame: &Frame) {
        self.release_held();
        self.answer.held.extend_from_slice(&frame.bytes);
    }

    pub(super) fn pass(&mut self, bytes: &[u8]) {
        self.release_held();
        self.caller.push(bytes);
    }

    pub(super) fn release_held(&mut self) {
        if !self.answer.held.is_empty() {
            let held = std::mem::take(&mut self.answer.held);
            self.caller.push(&held);
        }
    }

    pub(super) fn settle_own(&mut self) {
        while let Some(owed) = self.owed.take_own() {
            self.release_held();
            match owed {
                Owed::OwnParse => message::put_parse_complete(self.caller.output()),
                _ => message::put_close_complete(self.caller.output()),
            }
        }
    }
}
