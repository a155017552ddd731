//! Attempts at a request: acquires a connection and sends the request on it.

use super::*;
use crate::group_id::GroupId;

impl Caller {
    /// Runs a request. Repeats it until the deadline while that is safe.
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
                Attempt::Retry(refusal) => refusal,
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
            self.wait_before_retry(failures).await;
        }
    }

    pub(super) async fn wait_before_retry(&self, failures: u32) {
        let delay_ms = RETRY_BACKOFF.delay_ms(failures);
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }

    pub(super) async fn attempt(
        &mut self,
        request: &Request,
        deadline_ms: u64,
        must_write: bool,
    ) -> Result<Attempt> {
        let is_pinned = self.borrowed.is_some();
        if !is_pinned {
            match self.acquire(request, deadline_ms, must_write).await {
                Ok(borrowed) => self.borrowed = Some(borrowed),
                Err(refusal) if matches!(refusal.code, Code::NoSlot | Code::Stopping) => {
                    return Ok(Attempt::Retry(refusal));
                }
                Err(refusal) => {
                    self.refuse(request, &refusal);
                    return Ok(Attempt::Done);
                }
            }
        }
        self.exchange(request, is_pinned).await
    }

    pub(super) fn purpose(&self, request: &Request, must_write: bool, group: GroupId) -> Purpose {
        let floor = self.session.floor.within(group);
        match request.class {
            _ if must_write => Purpose::Write,
            Class::Empty | Class::Read | Class::BeginReadOnly => Purpose::Read {
                floor,
                max_age_ms: self.session.max_age_ms,
            },
            Class::Begin => Purpose::Begin { floor },
            _ => Purpose::Write,
        }
    }

    pub(super) async fn acquire(
        &mut self,
        request: &Request,
        deadline_ms: u64,
        must_write: bool,
    ) -> std::result::Result<BorrowedConnection, Refusal> {
        // A member that refused a write as read-only shows that the route is stale.
        let is_stale = must_write;
        let route = self
            .context
            .find_route(&self.session.service, is_stale)
            .await?;
        if let Some(slot) = route.slot.clone() {
            let purpose = self.purpose(request, must_write, slot.group());
            let granted = slot.acquire(purpose, deadline_ms).await?;
            if let Some(position) = granted.floor {
                self.session.floor.raise(position, slot.group());
            }
            return Ok(BorrowedConnection {
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
    ) -> std::result::Result<BorrowedConnection, Refusal> {
        let mut last_refusal = Refusal::new(Code::NoSlot, "no VM holds a slot of the service");
        if self.listener_kind == ListenerKind::Internal {
            // Forwarding a second time could loop between VMs.
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
                    return Ok(BorrowedConnection {
                        connection,
                        slot: None,
                        since_us: clock::now_us(),
                        is_primary: false,
                    });
                }
                Err(refusal) => last_refusal = refusal,
            }
        }
        // No known holder answered: have the route looked up again.
        let _ = self.context.find_route(&self.session.service, true).await;
        Err(last_refusal)
    }

    pub(super) async fn exchange(&mut self, request: &Request, is_pinned: bool) -> Result<Attempt> {
        let Some(mut borrowed) = self.borrowed.take() else {
            return Ok(Attempt::Done);
        };
        let asks_position = borrowed.slot.is_some()
            && borrowed.is_primary
            && request.ending != Ending::Flush
            && match is_pinned {
                true => request.class == Class::Commit,
                false => request.may_write(),
            };
        self.context.cancels.set(
            self.key,
            Some(RunningRequest {
                address: borrowed.connection.address,
                key: borrowed.connection.key,
            }),
        );
        let slot = borrowed.slot.clone();
        let target = borrowed.connection.target.clone();
        let context = self.context.clone();
        let service = self.session.service.clone();
        let is_dead = async || match (&slot, &target) {
            (Some(slot), ConnectionTarget::Member { member, term }) => {
                slot.is_gone(*member, *term).await
            }
            (_, ConnectionTarget::Vm { vm }) => !is_holder(&context, &service, vm),
            _ => false,
        };
        let exchange = Exchange::new(&mut borrowed.connection, &mut self.wire, &mut self.session);
        let outcome = exchange.run(request, asks_position, is_dead).await;
        self.context.cancels.set(self.key, None);
        match outcome {
            Ok(answer) => self.conclude(request, borrowed, answer, is_pinned).await,
            Err(ExchangeError::Caller(error)) => Err(error),
            Err(ExchangeError::Connection(error, is_partly_sent)) => {
                self.report_failure(&borrowed);
                drop(borrowed);
                self.conclude_failed(request, &error, is_partly_sent, is_pinned)
            }
        }
    }

    pub(super) fn report_failure(&self, borrowed: &BorrowedConnection) {
        if let (Some(slot), ConnectionTarget::Member { member, .. }) =
            (&borrowed.slot, &borrowed.connection.target)
        {
            slot.send(crate::proxy::slot::SlotMessage::Failed { member: *member });
        }
    }
}
