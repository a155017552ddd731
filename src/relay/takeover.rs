//! One attempt at a takeover, the replacement of a primary: claim the right, fence
//! the members, choose a successor, promote it. [`Attempt`] decides each step.

mod fences;
pub mod orders;
mod step_down;

use futures::{
    channel::oneshot,
    future::{join, join_all, join3},
};
use rand::Rng;

use self::orders::Orders;
use super::{
    Claim, ListRead, MemberRequest, OrderRecord, PromoteOutcome, Promotion,
    message::ServiceMessage, open::Target, service::ServiceContext,
};
use crate::{
    clock,
    decide::{
        attempt::{ATTEMPT_MS, Attempt, AttemptMember, Leadership, OrderAnswer, Step},
        member::Role,
        takeover::Reason,
    },
    decision_log::decision,
    metrics::{label, name_label},
    prelude::*,
};

/// Pause between two rounds of orders.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// A member of the group whose primary is to be replaced.
#[derive(Clone, Debug)]
pub struct GroupMember {
    /// Target of its direct path.
    pub target: Target,
    /// Whether it is the primary to be replaced.
    pub is_primary: bool,
    /// Whether it is leaving, or missing from the list beyond the grace period.
    pub is_leaving: bool,
    /// Whether it counts as permanently gone.
    pub is_gone: bool,
    /// Whether it has restarted under its id shortly before.
    pub is_restarted: bool,
    /// Highest position that it has reported to this VM in its term.
    pub highest_received: Option<Position>,
    /// Whether its address has answered as another member for so long that this
    /// member can't be the one there, restarted under an id not listed yet.
    pub is_displaced: bool,
}

/// Input of an attempt.
#[derive(Clone)]
pub struct TakeoverPlan {
    /// Context of the service.
    pub context: ServiceContext,
    /// Members of the group.
    pub members: Vec<GroupMember>,
    /// Paths to the primary through other VMs, those that most likely reach it first.
    pub relayed: Vec<Target>,
    /// Whether the primary has not answered this VM's last probe.
    pub is_primary_silent: bool,
    /// Term that the members are fenced for.
    pub term: u64,
    /// Highest term that a member has reported.
    pub highest_term: u64,
    /// Whether this VM knows of members that left the list and may come back.
    pub knows_departed: bool,
    /// Why the primary is replaced.
    pub reason: Reason,
}

/// Runs one attempt and reports its end to the service's task.
pub async fn run(mut plan: TakeoverPlan) {
    let started_ms = clock::boot_ms();
    let authority = plan.context.options.authority.clone();
    let service = plan.context.service.clone();
    let claim = (authority.claim)(service.clone(), plan.highest_term).await;
    let open_order = claim.as_ref().and_then(|claim| claim.open_order().cloned());
    let attempt = Attempt::new(
        started_ms,
        plan.reason,
        plan.knows_departed,
        plan.attempt_members(),
    );
    let mut attempt = attempt.after_open_order(open_order);
    let claim = match claim {
        Some(claim) => Some(carry_out(&mut plan, &mut attempt, claim, started_ms).await),
        None => {
            decision!("takeover", service = &*service; "claim not granted");
            None
        }
    };
    let promoted = attempt.promoted().cloned();
    decision!(
        "takeover", service = &*service, reason = plan.reason.to_string(),
        promoted = promoted.as_deref().unwrap_or("none"),
        has_open_order = attempt.has_open_order(),
        took_ms = clock::boot_ms() - started_ms; "attempt ended"
    );
    plan.context.send(ServiceMessage::TakeoverEnded {
        promoted,
        has_failed_to_order: attempt.has_failed_to_order(),
    });
    let Some(claim) = claim else {
        return;
    };
    // After a promotion order the claim is kept until it expires, so that no other VM
    // gives a conflicting order soon after. This VM may, unless the order may still arrive.
    if attempt.has_ordered_nothing() {
        (authority.release)(service, claim).await;
    } else if !attempt.has_open_order() {
        (authority.record_order)(service, claim, None).await;
    }
}

/// Takes the steps of an attempt; returns the claim as it is recorded then.
async fn carry_out(
    plan: &mut TakeoverPlan,
    attempt: &mut Attempt,
    mut claim: Claim,
    started_ms: u64,
) -> Claim {
    let orders = Orders::new(plan.context.clone());
    let mut claimed_ms = started_ms;
    // Ends when dropped.
    let mut keeper = None;
    loop {
        match attempt.step().clone() {
            Step::Fence => {
                // After a refusal another member may be ordered, the old primary included.
                keeper = None;
                let fencing = fences::fence(plan, attempt, &orders);
                let (answers, list) = join(fencing, plan.read_list()).await;
                plan.refresh_members(attempt).await;
                let now_ms = clock::boot_ms();
                attempt.fenced(&answers, list, now_ms);
                decision!(
                    "takeover", service = &*plan.context.service, fence = claim.fence,
                    term = plan.term, choice = format!("{:?}", attempt.choice()),
                    list = format!("{list:?}"), members = format!("{:?}", attempt.candidates());
                    "successor weighed"
                );
            }
            Step::Pause => {
                compio::time::sleep(ROUND_PAUSE).await;
                attempt.paused(clock::boot_ms());
            }
            Step::Settle { until_ms } => {
                let left_ms = until_ms.saturating_sub(clock::boot_ms());
                compio::time::sleep(Duration::from_millis(left_ms)).await;
                attempt.settled(clock::boot_ms());
            }
            Step::Connect { member } => {
                let service = plan.context.service.clone();
                let is_connected = (plan.context.options.authority.connect)(service).await;
                decision!(
                    "takeover", service = &*plan.context.service, member = &*member,
                    fence = claim.fence, is_connected = is_connected;
                    "promotion service asked for a connection"
                );
                attempt.connected(is_connected, clock::boot_ms());
            }
            Step::Prepare { member } => {
                let order = OrderRecord {
                    member: member.clone(),
                    term: (!attempt.has_open_order()).then_some(plan.highest_term),
                };
                let service = plan.context.service.clone();
                let authority = &plan.context.options.authority;
                let record = (authority.record_order)(service, claim.clone(), Some(order));
                // Also where the primary has stepped down: after a crash it leads again.
                let fencing = fences::check(plan, attempt, &orders, &member);
                let (recorded, answers, list) = join3(record, fencing, plan.read_list()).await;
                let is_recorded = recorded.is_some();
                claim = recorded.unwrap_or(claim);
                plan.refresh_members(attempt).await;
                attempt.prepared(is_recorded, &answers, list, clock::boot_ms());
            }
            Step::Promote { member } => {
                if keeper.is_none() {
                    keeper = Some(compio::runtime::spawn(fences::keep(
                        plan.clone(),
                        member.clone(),
                    )));
                }
                let outcome = promote(plan, &claim, &member, claimed_ms + ATTEMPT_MS).await;
                attempt.ordered(outcome, clock::boot_ms());
            }
            Step::AwaitLeadership { member } => {
                let leadership = leadership(plan, &orders, &member, &claim);
                let (leadership, outcome) = match attempt.is_order_open() {
                    true => {
                        let outcome = await_order(plan, &claim, &member);
                        let (leadership, outcome) = join(leadership, outcome).await;
                        (leadership, Some(outcome))
                    }
                    false => (leadership.await, None),
                };
                attempt.awaited(leadership, outcome, clock::boot_ms());
            }
            Step::Renew { member } => {
                let asked_ms = clock::boot_ms();
                let service = plan.context.service.clone();
                let authority = &plan.context.options.authority;
                let renewed = (authority.renew)(service, claim.clone()).await;
                decision!(
                    "takeover", service = &*plan.context.service, member = &*member,
                    fence = claim.fence, is_renewed = renewed.is_some();
                    "order not answered yet; claim renewed"
                );
                attempt.renewed(renewed.is_some(), asked_ms, clock::boot_ms());
                if let Some(renewed) = renewed {
                    (claim, claimed_ms) = (renewed, asked_ms);
                }
            }
            Step::Resume => {
                keeper = None;
                resume(plan, attempt, &orders).await;
                attempt.resumed();
            }
            Step::End => return claim,
        }
    }
}

impl TakeoverPlan {
    /// The members as the attempt needs them.
    fn attempt_members(&self) -> Vec<AttemptMember> {
        let members = self.members.iter().map(|m| AttemptMember {
            member: m.target.member.clone(),
            is_primary: m.is_primary,
            is_leaving: m.is_leaving,
            is_gone: m.is_gone,
            is_restarted: m.is_restarted,
            highest_received: m.highest_received,
        });
        members.collect()
    }

    async fn read_list(&self) -> Option<ListRead> {
        (self.context.options.authority.read_members)().await
    }

    /// Replaces the members of the plan and of its attempt by those that the service knows
    /// now.
    async fn refresh_members(&mut self, attempt: &mut Attempt) {
        self.refresh().await;
        attempt.update_members(self.attempt_members());
    }

    /// Replaces the members by those that the service knows now. The primary to be
    /// replaced stays the same.
    async fn refresh(&mut self) {
        let (reply, members) = oneshot::channel();
        self.context.send(ServiceMessage::GroupMembers { reply });
        let Ok(mut members) = members.await else {
            return;
        };
        let replaced = self.members.iter().find(|m| m.is_primary);
        let replaced = replaced.map(|m| m.target.member.clone());
        for group_member in &mut members {
            group_member.is_primary = Some(&group_member.target.member) == replaced.as_ref();
        }
        if members.len() != self.members.len() {
            decision!(
                "takeover", service = &*self.context.service,
                before = self.members.len(), members = members.len(); "members refreshed"
            );
        }
        self.members = members;
    }
}

async fn promote(
    plan: &TakeoverPlan,
    claim: &Claim,
    member: &Name,
    send_until_ms: u64,
) -> PromoteOutcome {
    let promotion = Promotion {
        service: plan.context.service.clone(),
        member: member.clone(),
        fence: claim.fence,
        send_until_ms,
    };
    let outcome = (plan.context.options.authority.promote)(promotion).await;
    let labels = [
        label("outcome", outcome),
        name_label("service", &plan.context.service),
    ];
    plan.context.metrics.promotions.add(1, &labels);
    decision!(
        "takeover", service = &*plan.context.service, member = &**member,
        fence = claim.fence, outcome = outcome.to_string(); "promotion ordered"
    );
    outcome
}

/// Waits for the answer to an open order.
async fn await_order(plan: &TakeoverPlan, claim: &Claim, member: &Name) -> PromoteOutcome {
    let service = plan.context.service.clone();
    let outcome = (plan.context.options.authority.await_order)(service).await;
    if outcome != PromoteOutcome::Open {
        decision!(
            "takeover", service = &*plan.context.service, member = &**member,
            fence = claim.fence, outcome = outcome.to_string(); "open order ended"
        );
    }
    outcome
}

/// Whether the promoted member reports that it is primary. Pauses if not.
async fn leadership(
    plan: &TakeoverPlan,
    orders: &Orders,
    member: &Name,
    claim: &Claim,
) -> Leadership {
    let group_member = plan.members.iter().find(|m| m.target.member == *member);
    if let Some(group_member) = group_member {
        let report = orders
            .send(&group_member.target, &MemberRequest::Status)
            .await;
        if let Ok(report) = report
            && report.role == Role::Primary
        {
            decision!(
                "takeover", service = &*plan.context.service, member = &**member,
                term = report.term, received = report.received.to_string();
                "promoted member leads"
            );
            return match claim.row.is_later_term(report.term) {
                true => Leadership::LaterTerm,
                false => Leadership::SameTerm,
            };
        }
    }
    let pause_ms = rand::rng().random_range(20..60);
    compio::time::sleep(Duration::from_millis(pause_ms)).await;
    Leadership::No
}

/// Lets the replicas receive again.
async fn resume(plan: &TakeoverPlan, attempt: &Attempt, orders: &Orders) {
    if !attempt.may_resume(clock::boot_ms()) {
        decision!(
            "takeover", service = &*plan.context.service;
            "claim about to expire; replicas not resumed"
        );
        return;
    }
    let replicas = plan.members.iter().filter(|m| !m.is_primary && !m.is_gone);
    let resumed = replicas.map(|m| async move {
        let result = orders.send(&m.target, &MemberRequest::Resume).await;
        let member = &*m.target.member;
        match result {
            Ok(report) => decision!(
                "takeover", service = &*plan.context.service, member = member,
                received = report.received.to_string(), held_term = report.held_term;
                "member resumed"
            ),
            Err(error) => decision!(
                "takeover", service = &*plan.context.service, member = member,
                reason = error.to_string(); "member not resumed"
            ),
        }
    });
    join_all(resumed).await;
}
