//! Steps of an attempt to run a statement on a member.

use std::future::Future;

use futures::channel::oneshot;

use super::*;
use crate::{
    decide::{certainty::Certainty, retry::Backoff, session_floors::SessionFloor},
    relay::{
        Access, Consistency,
        connection::Connection,
        message::{Acquire, Freshness, Granted, Purpose, Refused, ServiceMessage},
    },
};

/// Time after which a member that has not answered is reported as suspect, so
/// that the service checks it: longer than a long statement and a round trip
/// to another region take.
const SUSPECT_AFTER: Duration = Duration::from_millis(200);
/// Allowance for times rounded to milliseconds on both sides of a comparison.
const ROUNDING_MS: u64 = 2;
/// Fraction of a route's timeout that a statement may wait for a connection;
/// the rest is for running it.
const CONNECTION_WAIT_SHARE: f64 = 0.75;

/// Longest time for which an acknowledged commit waits while the other members are
/// fenced or lead already, in milliseconds.
const FENCED_COMMIT_MS: u64 = 2_500;
/// Pause before a statement that was not run is retried: from about the time of
/// one statement up to the time in which a queue drains.
const BACKOFF: Backoff = Backoff {
    base_ms: 10,
    max_ms: 100,
};

/// Waits before a statement is tried again after `failures` attempts.
pub(super) async fn pause_before_retry(failures: u32) {
    let pause_ms = BACKOFF.jittered_ms(failures, &mut rand::rng());
    compio::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Whether a statement writes.
pub(super) fn is_write(
    statement: &Statement,
    prepared_statement: Option<&PreparedStatement>,
) -> bool {
    match (&statement.kind, prepared_statement) {
        (StatementKind::Write, _) => true,
        (_, Some(prepared_statement)) => prepared_statement.access == Access::Write,
        _ => false,
    }
}

/// Pending check that a member leads: yields the highest term of the other
/// members, or `None` if too few of them answer.
pub(super) type LeadershipCheck = oneshot::Receiver<Option<u64>>;

impl Session<'_> {
    pub(super) fn send(&self, service: &Name, message: ServiceMessage) {
        self.shared.send(service, message);
    }

    /// How fresh a member's log must be for reads on a route; `None` where a
    /// primary whose leadership is confirmed must serve them.
    pub(super) fn freshness(&self, route: &Route, arrived_us: u64) -> Option<Freshness> {
        let (max_staleness_ms, floor) = match route.consistency {
            Consistency::Primary => return None,
            Consistency::Bounded { max_staleness_ms } => {
                (max_staleness_ms, SessionFloor::default())
            }
            Consistency::ReadYourWrites { max_staleness_ms } => {
                (max_staleness_ms, self.floors.at(&route.service))
            }
        };
        let since_ms = (arrived_us / 1_000).saturating_sub(max_staleness_ms);
        Some(Freshness {
            since_ms: since_ms.max(floor.since_ms) + ROUNDING_MS,
            floor: floor.position,
            max_staleness_ms,
        })
    }

    /// Checks the caller's key against the configuration in force, and lets further
    /// statements run in the name of its account.
    fn authorize(&mut self, route: &Route) -> std::result::Result<Option<Arc<Account>>, Reply> {
        let account = self.shared.account(route, &self.key);
        let account = account.map_err(|UnknownKey| self.unknown_key())?;
        let name = account.as_ref().map(|account| &account.name);
        if self.setup.account.as_ref() != name {
            Rc::make_mut(&mut self.setup).account = name.cloned();
        }
        Ok(account)
    }

    /// Route of the session, if the configuration in force lets the caller use it, and the
    /// caller's client account. Waits for news while this VM is late.
    pub(super) async fn permit(
        &mut self,
    ) -> std::result::Result<(Arc<Route>, Option<Arc<Account>>), Reply> {
        if !self.shared.await_certainty().await {
            return Err(Reply::Error(ErrorClass::Busy, self.shared.late_text()));
        }
        let Some(route) = self.shared.route(&self.database) else {
            return Err(self.no_route());
        };
        let account = self.authorize(&route)?;
        Ok((route, account))
    }

    /// Whether the configuration in force still routes the session as `route` does, in the
    /// name of the same client account.
    pub(super) fn is_permitted_still(&self, route: &Route) -> bool {
        let Some(current) = self.shared.route(&self.database) else {
            return false;
        };
        let account = self.shared.account(&current, &self.key);
        let is_same_account =
            account.is_ok_and(|account| self.setup.account == account.map(|a| a.name.clone()));
        is_same_account
            && self.shared.certainty() != Certainty::Late
            && current.service == route.service
            && current.consistency == route.consistency
    }

    /// Waits until the caller's account may run an operation.
    pub(super) async fn admit(&mut self) -> std::result::Result<Option<Arc<Account>>, Reply> {
        let (_, account) = self.permit().await?;
        let Some(limited) = &account else {
            return Ok(None);
        };
        match self.shared.meter.admit(limited).await {
            Ok(()) => Ok(account),
            Err(retry_after_ms) => {
                let text = format!(
                    "the account may run no operation now; retry after {retry_after_ms} ms"
                );
                Err(Reply::Error(ErrorClass::Busy, text))
            }
        }
    }

    /// Gives back the token of an operation that was not sent to any member.
    pub(super) fn give_back(&self, account: Option<&Account>) {
        if let Some(account) = account {
            self.shared.meter.give_back(account);
        }
    }

    /// Asks the service for a connection.
    pub(super) async fn acquire(
        &self,
        route: &Route,
        statement: &Statement,
        (purpose, is_transaction): (Purpose, bool),
        avoid: BTreeSet<Name>,
        arrived_us: u64,
    ) -> std::result::Result<Granted, Refused> {
        let wait_ms = (route.timeout_ms as f64 * CONNECTION_WAIT_SHARE) as u64;
        let (reply, granted) = oneshot::channel();
        let acquire = Acquire {
            id: statement.id.clone(),
            purpose,
            deadline_ms: arrived_us / 1_000 + wait_ms,
            priority: route.priority,
            is_transaction,
            avoid,
            setup: self.setup.clone(),
            reply,
        };
        self.send(&route.service, ServiceMessage::Acquire(acquire));
        let unserved = Refused {
            class: ErrorClass::Busy,
            text: "the service is not served",
            retry_after_ms: 0,
        };
        granted.await.unwrap_or(Err(unserved))
    }

    /// Waits for an attempt, and reports the member as suspect when it is late.
    pub(super) async fn await_answer<T>(
        &self,
        service: &Name,
        member: &Name,
        is_commit: bool,
        limit_ms: u64,
        attempt: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let mut attempt = std::pin::pin!(attempt);
        let limit = Duration::from_millis(limit_ms);
        let first = SUSPECT_AFTER.min(limit);
        if let Ok(result) = compio::time::timeout(first, attempt.as_mut()).await {
            return result;
        }
        self.suspect(service, member, is_commit);
        let rest = limit.saturating_sub(first);
        let result = compio::time::timeout(rest, attempt).await;
        result.unwrap_or(Err(RelayError::Timeout))
    }

    pub(super) fn suspect(&self, service: &Name, member: &Name, is_commit: bool) {
        let member = member.clone();
        self.send(service, ServiceMessage::Suspect { member, is_commit });
    }

    /// Starts to check that `primary` leads, with reports of the other members
    /// that are requested after `since_us`.
    pub(super) fn check_leadership(
        &self,
        service: &Name,
        primary: &Name,
        since_us: u64,
    ) -> LeadershipCheck {
        let (reply, leadership_check) = oneshot::channel();
        let message = ServiceMessage::CheckLeadership {
            primary: primary.clone(),
            since_us,
            is_commit: false,
            reply,
        };
        self.send(service, message);
        leadership_check
    }

    /// Whether a commit that `primary` has acknowledged may be told. A VM that replaces
    /// the primary may not know the member that received it; but then it had fenced the
    /// others before. Waits for up to `limit_ms` while they are fenced.
    pub(super) async fn is_commit_kept(
        &self,
        service: &Name,
        primary: &Name,
        answer: &Answer,
        limit_ms: u64,
    ) -> bool {
        let Some(position) = answer.position else {
            return true;
        };
        if self.shared.sync_replicas(service) == 0 {
            return true;
        }
        let until_ms = clock::boot_ms() + limit_ms.min(FENCED_COMMIT_MS);
        loop {
            let (reply, check) = oneshot::channel();
            let message = ServiceMessage::CheckLeadership {
                primary: primary.clone(),
                since_us: clock::boot_us(),
                is_commit: true,
                reply,
            };
            self.send(service, message);
            let others_term = check.await.ok().flatten();
            if others_term.is_some_and(|term| term <= position.term) {
                return true;
            }
            if others_term.is_none() || clock::boot_ms() >= until_ms {
                decision!(
                    "commit", service = &**service, member = &**primary,
                    position = position.to_string(),
                    others_term = others_term.map(|term| term.to_string()).unwrap_or_default();
                    "acknowledgement not told"
                );
                return false;
            }
            pause_before_retry(1).await;
        }
    }

    pub(super) fn release(
        &self,
        service: &Name,
        connection: Connection,
        needs_rollback: bool,
        read_us: Option<u64>,
    ) {
        let message = ServiceMessage::Release {
            connection,
            needs_rollback,
            read_us,
        };
        self.send(service, message);
    }

    /// Records an acknowledged commit.
    ///
    /// With synchronous replicas, a replica confirmed the commit after it was
    /// sent, so no other member led at that time: everything acknowledged
    /// before lies at or before its position.
    pub(super) fn record_commit(
        &mut self,
        route: &Route,
        (statement, member): (&Statement, &Name),
        answer: &Answer,
        sent_us: u64,
    ) {
        let Some(position) = answer.position else {
            return;
        };
        decision!(
            "commit", request = String::from_utf8_lossy(&statement.id),
            service = &*route.service, member = &**member, position = position.to_string();
            "commit acknowledged"
        );
        self.floors
            .record(&route.service, position, clock::boot_ms());
        if self.shared.sync_replicas(&route.service) > 0 {
            let since_ms = sent_us / 1_000;
            self.send(
                &route.service,
                ServiceMessage::Observed { since_ms, position },
            );
        }
        self.send(&route.service, ServiceMessage::Committed);
    }

    pub(super) fn report_refusal(&self, service: &Name, member: &Name, class: ErrorClass) {
        self.shared.report_refusal(service, member, class);
    }
}

/// Whether the error means that the statement was not run and may be run
/// elsewhere.
pub(super) fn is_not_run(class: ErrorClass) -> bool {
    matches!(
        class,
        ErrorClass::Busy
            | ErrorClass::Lagging
            | ErrorClass::ReadOnly
            | ErrorClass::WrongMember
            | ErrorClass::ConnectionLimit
            | ErrorClass::NoStatement
    )
}

/// Reply to a caller whose statement was refused a connection.
pub(super) fn refusal_reply(refusal: Refused) -> Reply {
    let text = format!(
        "{}; retry after {} ms",
        refusal.text, refusal.retry_after_ms
    );
    Reply::Error(refusal.class, text)
}
