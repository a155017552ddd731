//! The end of an attempt: sends the answer, refuses the request or retries it.

use super::*;

impl Caller {
    pub(super) fn conclude_failed(
        &mut self,
        request: &Request,
        error: &ProxyError,
        is_partly_sent: bool,
        is_pinned: bool,
    ) -> Result<Attempt> {
        let is_read = matches!(
            request.class,
            Class::Read | Class::Empty | Class::BeginReadOnly
        );
        let was_not_run = matches!(error, ProxyError::NotRun { .. });
        let may_repeat =
            was_not_run || is_read || self.session.is_idempotent || !request.is_executed;
        if is_partly_sent {
            let refusal = Refusal::new(Code::AnswerCut, error.to_string());
            self.count_refusal(&refusal);
            return Err(ProxyError::Closed);
        }
        if may_repeat && !is_pinned {
            return Ok(Attempt::Retry(Refusal::new(
                Code::AnswerCut,
                error.to_string(),
            )));
        }
        let refusal = match request.class {
            Class::Begin => {
                return Ok(Attempt::Retry(Refusal::new(
                    Code::NoPrimary,
                    error.to_string(),
                )));
            }
            _ if is_pinned && request.class != Class::Commit => {
                let text = format!("the transaction was rolled back: {error}");
                Refusal::new(Code::AnswerCut, text)
            }
            _ => Refusal::new(Code::OutcomeUnknown, error.to_string()),
        };
        self.refuse(request, &refusal);
        Ok(Attempt::Done)
    }

    pub(super) async fn conclude(
        &mut self,
        request: &Request,
        mut borrowed: BorrowedConnection,
        mut answer: Answer,
        is_pinned: bool,
    ) -> Result<Attempt> {
        if request.ending == Ending::Flush {
            self.wire.push(&answer.held_back);
            self.borrowed = Some(borrowed);
            return Ok(Attempt::Done);
        }
        let was_refused = answer.is_refused_as_write() && !answer.is_partly_sent;
        if was_refused && !is_pinned && request.class != Class::BeginReadOnly {
            return Ok(self.retry_refused_write(borrowed, &answer));
        }
        if answer.status != IDLE_STATUS {
            self.wire.push(&answer.held_back);
            self.borrowed = Some(borrowed);
            return Ok(Attempt::Done);
        }
        let has_committed = answer.error_state.is_none() && !answer.is_rollback;
        let wrote = request.may_write() || is_pinned;
        if borrowed.is_primary && has_committed && wrote && borrowed.slot.is_some() {
            if answer.lsn.is_none() {
                answer.lsn = Exchange::position(&mut borrowed.connection)
                    .await
                    .ok()
                    .flatten();
            }
            if let Err(refusal) = self.acknowledge(&borrowed, answer.lsn).await {
                self.release(borrowed, true);
                let may_retry = !is_pinned && !answer.is_partly_sent;
                if refusal.code == Code::TransactionDiscarded && may_retry {
                    return Ok(self.retry(&answer, refusal));
                }
                self.refuse(request, &refusal);
                return Ok(Attempt::Done);
            }
        }
        self.session.portals.clear();
        self.wire.push(&answer.held_back);
        self.release(borrowed, true);
        Ok(Attempt::Done)
    }

    /// Retries a statement that a member refused because it does not accept
    /// writes, so that the statement was not run.
    pub(super) fn retry_refused_write(
        &mut self,
        borrowed: BorrowedConnection,
        answer: &Answer,
    ) -> Attempt {
        let was_primary = borrowed.is_primary;
        if let Some(slot) = &borrowed.slot
            && was_primary
        {
            slot.send(crate::proxy::slot::SlotMessage::Refresh);
        }
        self.release(borrowed, true);
        let text = "the member refused the statement as a write";
        self.retry(answer, Refusal::new(Code::ReadOnly, text))
    }

    /// Discards what is queued of this attempt's answer and asks for a retry.
    fn retry(&mut self, answer: &Answer, refusal: Refusal) -> Attempt {
        self.wire.output().truncate(answer.output_start);
        Attempt::Retry(refusal)
    }

    /// Waits until a commit may be acknowledged, then raises the session's floor
    /// and sends the new token.
    pub(super) async fn acknowledge(
        &mut self,
        borrowed: &BorrowedConnection,
        lsn: Option<Lsn>,
    ) -> std::result::Result<(), Refusal> {
        let unknown = |text: &str| Refusal::new(Code::CommitUnconfirmed, text);
        let (Some(slot), ConnectionTarget::Member { member, term }) =
            (&borrowed.slot, &borrowed.connection.target)
        else {
            return Ok(());
        };
        let lsn = lsn.ok_or_else(|| unknown("the position of the commit is not known"))?;
        let position = Position::new(*term, lsn);
        let commit = Commit {
            position,
            primary: *member,
            answered_ms: clock::now_ms(),
        };
        let position = match slot.confirm(commit).await {
            Decision::Acknowledge => position,
            // Only the majority barrier proves that a commit which the new
            // primary lacks can't come back.
            _ if self.acknowledges_by_majority() => resolve_commit(slot, commit).await?,
            _ => return Err(unknown("the commit was not confirmed in its term")),
        };
        if self.session.floor.raise(position, slot.group()) {
            let token = self.session.token();
            message::put_parameter(self.wire.output(), TOKEN_PARAMETER, &token);
        }
        Ok(())
    }

    pub(super) fn acknowledges_by_majority(&self) -> bool {
        let route = self.context.route(&self.session.service);
        route.is_some_and(|r| r.settings.acknowledge == AcknowledgeMode::Majority)
    }

    pub(super) fn release(&mut self, borrowed: BorrowedConnection, is_clean: bool) {
        let held_us = clock::now_us().saturating_sub(borrowed.since_us);
        match borrowed.slot {
            Some(slot) => slot.release(borrowed.connection, is_clean, held_us),
            None => self
                .context
                .peer_pool
                .release(&self.session.service, borrowed.connection),
        }
    }
}
