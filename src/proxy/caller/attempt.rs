//! Attempts at a request: a connection is borrowed and the request sent.

use super::*;

impl Caller {
    /// Runs a request, again if it is proved that it was not run.
    pub(super) async fn attempt_until_deadline(&mut self, request: &Request) -> Result<()> {
        let route = match self.context.find_route(&self.session.service, false).await {
            Ok(route) => route,
            Err(refusal) => {
                self.refuse(request, &refusal);
                return Ok(());
            }
        };
        let deadline_ms = clock::now_ms() + route.settings.queue_deadline_ms;
        let mut must_write = false;
        let mut failures = 0;
        loop {
            let attempt = self.attempt(request, deadline_ms, must_write).await?;
            let refusal = match attempt {
                Attempt::Done => return Ok(()),
                Attempt::Again(refusal) => refusal,
            };
            failures += 1;
            must_write |= refusal.code == Code::ReadOnly;
            if clock::now_ms() >= deadline_ms {
                self.refuse(request, &refusal);
                return Ok(());
            }
            self.context
                .metrics
                .retries
                .add(1, &[label("code", refusal.code)]);
            self.pause(failures).await;
        }
    }

    pub(super) async fn pause(&self, failures: u32) {
        let delay_ms = RETRY_BACKOFF.delay_ms(failures);
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }

    pub(super) async fn attempt(
        &mut self,
        request: &Request,
        deadline_ms: u64,
        must_write: bool,
    ) -> Result<Attempt> {
        let is_pinned = self.held.is_some();
        if !is_pinned {
            let want = self.want(request, must_write);
            match self.acquire(want, deadline_ms, must_write).await {
                Ok(held) => self.held = Some(held),
                Err(refusal) if matches!(refusal.code, Code::NoSlot | Code::Stopping) => {
                    return Ok(Attempt::Again(refusal));
                }
                Err(refusal) => {
                    self.refuse(request, &refusal);
                    return Ok(Attempt::Done);
                }
            }
        }
        self.exchange(request, is_pinned).await
    }

    pub(super) fn want(&self, request: &Request, must_write: bool) -> Want {
        let floor = self.session.floor;
        match request.class {
            _ if must_write => Want::Write,
            Class::Empty | Class::Read | Class::BeginReadOnly => Want::Read {
                floor,
                max_age_ms: self.session.max_age_ms,
            },
            Class::Begin => Want::Begin { floor },
            _ => Want::Write,
        }
    }

    pub(super) async fn acquire(
        &mut self,
        want: Want,
        deadline_ms: u64,
        is_stale: bool,
    ) -> std::result::Result<Held, Refusal> {
        let route = self
            .context
            .find_route(&self.session.service, is_stale)
            .await?;
        if let Some(slot) = route.slot.clone() {
            let granted = slot.acquire(want, deadline_ms).await?;
            if let Some(position) = granted.floor {
                self.session.reach(position);
            }
            return Ok(Held {
                connection: granted.connection,
                slot: Some(slot),
                since_us: clock::now_us(),
                is_primary: granted.is_primary,
            });
        }
        self.acquire_remote(&route).await
    }

    pub(super) async fn acquire_remote(
        &mut self,
        route: &Route,
    ) -> std::result::Result<Held, Refusal> {
        let mut last = Refusal::new(Code::NoSlot, "no VM holds a slot of the service");
        if self.entry == ListenerKind::Internal {
            // Forwarding again could go in circles.
            let text = "this VM holds no slot of the service";
            return Err(Refusal::new(Code::NoSlot, text));
        }
        for holder in &route.holders {
            let peer_pool = &self.context.peer_pool;
            let service = &self.session.service;
            match peer_pool
                .acquire(service, &holder.vm, holder.internal)
                .await
            {
                Ok(connection) => {
                    return Ok(Held {
                        connection,
                        slot: None,
                        since_us: clock::now_us(),
                        is_primary: false,
                    });
                }
                Err(refusal) => last = refusal,
            }
        }
        // What is known of the holders has failed: look again.
        let _ = self.context.find_route(&self.session.service, true).await;
        Err(last)
    }

    pub(super) async fn exchange(&mut self, request: &Request, is_pinned: bool) -> Result<Attempt> {
        let Some(mut held) = self.held.take() else {
            return Ok(Attempt::Done);
        };
        let asks_position = held.slot.is_some()
            && held.is_primary
            && request.ending != Ending::Flush
            && match is_pinned {
                true => request.class == Class::Commit,
                false => request.may_write(),
            };
        self.context.cancels.set(
            self.key,
            Some(Running {
                address: held.connection.address,
                key: held.connection.key,
            }),
        );
        let slot = held.slot.clone();
        let target = held.connection.target.clone();
        let context = self.context.clone();
        let service = self.session.service.clone();
        let is_dead = async || match (&slot, &target) {
            (Some(slot), ConnectionTarget::Member { member, term }) => {
                slot.is_gone(*member, *term).await
            }
            (_, ConnectionTarget::Vm { vm }) => !is_holder(&context, &service, vm),
            _ => false,
        };
        let exchange = Exchange::new(&mut held.connection, &mut self.wire, &mut self.session);
        let outcome = exchange.run(request, asks_position, is_dead).await;
        self.context.cancels.set(self.key, None);
        match outcome {
            Ok(answer) => self.conclude(request, held, answer, is_pinned).await,
            Err(ExchangeError::Caller(error)) => Err(error),
            Err(ExchangeError::Connection(error, is_passed)) => {
                self.report_failure(&held);
                drop(held);
                self.conclude_broken(request, &error, is_passed, is_pinned)
            }
        }
    }

    pub(super) fn report_failure(&self, held: &Held) {
        if let (Some(slot), ConnectionTarget::Member { member, .. }) =
            (&held.slot, &held.connection.target)
        {
            slot.send(crate::proxy::slot::SlotMessage::Failed { member: *member });
        }
    }
}
