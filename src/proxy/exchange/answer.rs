//! The receiving side of an exchange.

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
                self.push_own_responses();
            }
            other => {
                let (action, key) = self.pending.match_response(other);
                if let Some(key) = key {
                    self.connection.prepared.insert(key);
                }
                if action == Action::Forward {
                    self.forward_to_caller(&frame.bytes);
                }
                self.push_own_responses();
            }
        }
        Ok(())
    }

    /// A VM that is stopping refuses a request with its own code instead of running
    /// it.
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

    /// Takes over the session token, which the VM that holds the slot sends as a
    /// parameter.
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
        // The token was made by the other VM; an invalid one leaves the floor
        // unchanged.
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

    pub(super) fn push_own_responses(&mut self) {
        while let Some(pending) = self.pending.pop_own() {
            self.flush_held_back();
            match pending {
                PendingResponse::OwnParse => message::put_parse_complete(self.caller.output()),
                _ => message::put_close_complete(self.caller.output()),
            }
        }
    }
}
