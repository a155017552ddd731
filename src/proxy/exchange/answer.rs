//! The side of an exchange that takes the answer.

use super::*;

impl Exchange<'_> {
    pub(super) fn handle_frame(&mut self, frame: &Frame) -> Result<()> {
        match self.stage {
            Stage::Preamble => self.handle_preamble(frame),
            Stage::Main => self.handle_main(frame),
            Stage::Position => self.handle_position(frame),
        }
    }

    pub(super) fn handle_preamble(&mut self, frame: &Frame) -> Result<()> {
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

    pub(super) fn handle_main(&mut self, frame: &Frame) -> Result<()> {
        match frame.tag() {
            tag::READY => self.handle_ready(frame),
            tag::PARAMETER_STATUS => self.handle_parameter(frame),
            tag::NOTIFICATION => {}
            tag::COPY_IN | tag::COPY_OUT | tag::COPY_BOTH => {
                return Err(ProxyError::protocol("the endpoint started COPY"));
            }
            tag::ERROR => {
                let (state, text) = message::error_fields(frame);
                self.check_stopping(&text)?;
                self.answer.error_state = Some(state);
                for key in self.pending.clear() {
                    self.connection.prepared.remove(&key);
                }
                self.connection.unnamed = None;
                self.hold_back(frame);
            }
            tag::COMPLETE => {
                self.answer.is_rollback = frame.body().starts_with(b"ROLLBACK");
                self.pending.match_response(frame.tag());
                self.hold_back(frame);
                self.answer_own();
            }
            other => {
                let (action, key) = self.pending.match_response(other);
                if let Some(key) = key {
                    self.connection.prepared.insert(key);
                }
                if action == Action::Forward {
                    self.forward_to_caller(&frame.bytes);
                }
                self.answer_own();
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

    pub(super) fn handle_ready(&mut self, frame: &Frame) {
        self.answer.status = frame.body().first().copied().unwrap_or(IDLE_STATUS);
        self.answer.held_back.extend_from_slice(&frame.bytes);
        if self.asks_position {
            self.stage = Stage::Position;
        }
    }

    pub(super) fn handle_position(&mut self, frame: &Frame) -> Result<()> {
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

    pub(super) fn handle_part(&mut self, bytes: &[u8]) -> Result<()> {
        self.forward_to_caller(bytes);
        Ok(())
    }

    /// A slot on another VM reports the session's position this way.
    pub(super) fn handle_parameter(&mut self, frame: &Frame) {
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
        self.forward_to_caller(&frame.bytes);
    }

    pub(super) fn hold_back(&mut self, frame: &Frame) {
        self.flush_held_back();
        self.answer.held_back.extend_from_slice(&frame.bytes);
    }

    pub(super) fn forward_to_caller(&mut self, bytes: &[u8]) {
        self.flush_held_back();
        self.caller.push(bytes);
    }

    pub(super) fn flush_held_back(&mut self) {
        if !self.answer.held_back.is_empty() {
            let held = std::mem::take(&mut self.answer.held_back);
            self.caller.push(&held);
        }
    }

    pub(super) fn answer_own(&mut self) {
        while let Some(pending) = self.pending.pop_own() {
            self.flush_held_back();
            match pending {
                PendingResponse::OwnParse => message::put_parse_complete(self.caller.output()),
                _ => message::put_close_complete(self.caller.output()),
            }
        }
    }
}
