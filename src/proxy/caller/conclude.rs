//! The end of an attempt: pass the answer on, refuse, or try again.

use super::*;

impl Caller {
    pub(super) fn conclude_broken(
        &mut self,
        request: &Request,
        error: &ProxyError,
        is_passed: bool,
        is_pinned: bool,
    ) -> Result<Attempt> {
        let is_read = matches!(
            request.class,
            Class::Read | Class::Empty | Class::BeginReadOnly
        );
        let was_not_run = matches!(error, ProxyError::NotRun { .. });
        let may_repeat =
            was_not_run || is_read || self.session.is_idempotent || !request.is_executed;
        if is_passed {
            let refusal = Refusal::new(Code::AnswerCut, error.to_string());
            self.count_refusal(&refusal);
            return Err(ProxyError::Closed);
        }
        if may_repeat && !is_pinned {
            return Ok(Attempt::Again(Refusal::new(
                Code::AnswerCut,
                error.to_string(),
            )));
        }
        let refusal = match request.class {
            Class::Begin => {
                return Ok(Attempt::Again(Refusal::new(
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
        mut held: Held,
        mut answer: Answer,
        is_pinned: bool,
    ) -> Result<Attempt> {
        if request.ending == Ending::Flush {
            self.wire.push(&answer.held);
            self.held = Some(held);
            return Ok(Attempt::Done);
        }
        let was_refused = answer.is_refused_as_write() && !answer.is_passed;
        if was_refused && !is_pinned && request.class != Class::BeginReadOnly {
            return Ok(self.rerun(held, &answer));
        }
        if answer.status != IDLE {
            self.wire.push(&answer.held);
            self.held = Some(held);
            return Ok(Attempt::Done);
        }
        let has_committed = answer.error_state.is_none() && !answer.is_rollback;
        let wrote = request.may_write() || is_pinned;
        if held.is_primary && has_committed && wrote && held.slot.is_some() {
            if answer.lsn.is_none() {
                answer.lsn = Exchange::position(&mut held.connection)
                    .await
                    .ok()
                    .flatten();
            }
            if let Err(refusal) = self.acknowledge(&held, answer.lsn).await {
                self.release(held, true);
                let may_rerun = !is_pinned && !answer.is_passed;
                if refusal.code == Code::TransactionDiscarded && may_rerun {
                    return Ok(self.again(&answer, refusal));
                }
                self.refuse(request, &refusal);
                return Ok(Attempt::Done);
            }
        }
        self.session.portals.clear();
        self.wire.push(&answer.held);
        self.release(held, true);
        Ok(Attempt::Done)
    }

    /// The member proved that the statement was not run.
    pub(super) fn rerun(&mut self, held: Held, answer: &Answer) -> Attempt {
        let was_primary = held.is_primary;
        if let Some(slot) = &held.slot
            && was_primary
        {
            slot.send(crate::proxy::slot::SlotMessage::Refresh);
        }
        self.release(held, true);
        let text = "the member refused the statement as a write";
        self.again(answer, Refusal::new(Code::ReadOnly, text))
    }

    /// Tries again: nothing of this attempt's answer may reach the caller.
    fn again(&mut self, answer: &Answer, refusal: Refusal) -> Attempt {
        self.wire.output().truncate(answer.queued_from);
        Attempt::Again(refusal)
    }

    /// Waits until a commit may be acknowledged; raises the session's position.
    pub(super) async fn acknowledge(
        &mut self,
        held: &Held,
        lsn: Option<Lsn>,
    ) -> std::result::Result<(), Refusal> {
        let unknown = |text: &str| Refusal::new(Code::CommitUnconfirmed, text);
        let (Some(slot), ConnectionTarget::Member { member, term }) =
            (&held.slot, &held.connection.target)
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
            // Only the barrier by majority tells what can't come back.
            _ if self.acknowledges_by_majority() => find_fate(slot, commit).await?,
            _ => return Err(unknown("the commit was not confirmed in its term")),
        };
        if self.session.reach(position) {
            let token = self.session.token();
            message::put_parameter(self.wire.output(), TOKEN_PARAMETER, &token);
        }
        Ok(())
    }

    pub(super) fn acknowledges_by_majority(&self) -> bool {
        let route = self.context.route(&self.session.service);
        route.is_some_and(|r| r.settings.acknowledge == AcknowledgeMode::Majority)
    }

    pub(super) fn release(&mut self, held: Held, is_clean: bool) {
        let held_us = clock::now_us().saturating_sub(held.since_us);
        match held.slot {
            Some(slot) => slot.release(held.connection, is_clean, held_us),
            None => self
                .context
                .peer_pool
                .release(&self.session.service, held.connection),
        }
    }
}
