//! One attempt to replace a primary: claim, fence, choose, promote.

use futures::{channel::oneshot, future::join_all};
use rand::Rng;

use super::{
    Claim, ErrorClass, MemberCodec, MemberRequest, PromoteOutcome, Promotion, RelayError, Result,
    StatusReport, exchange,
    message::ServiceMessage,
    open::{Target, open},
    service::ServiceContext,
};
use crate::{
    clock,
    decide::{
        member::Role,
        takeover::{Candidate, Choice, Fenced, Reason, choose},
    },
    decision_log::decision,
    metrics::{label, name_label},
    prelude::*,
    proxy::connection::Permit,
};

/// Longest time from the claim to the order to promote, in milliseconds; less
/// than the time for which others respect the claim.
const ATTEMPT_MS: u64 = 2_500;
/// Longest time of one order to a member: a trip to another region and back,
/// a new connection, and a full queue there.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two rounds of orders, in milliseconds.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Rounds in which replicas may catch up with a primary that stepped down.
const CATCH_UP_ROUNDS: u32 = 4;
/// The same when a member has come back under an id that is not known yet: it
/// may hold what the others lack, and is listed within about a second.
const RETURN_ROUNDS: u32 = 12;
/// Time from the claim until which a promoted member is waited for, in milliseconds.
const LEAD_MS: u64 = 4_800;
/// Time from the claim until which replicas are told to receive again, in
/// milliseconds: with the order's own time, less than the claim lasts.
const RESUME_MS: u64 = 5_300;

/// A member of the group.
#[derive(Clone, Debug)]
pub struct GroupMember {
    /// Where it is.
    pub target: Target,
    /// Whether it is the primary that is replaced.
    pub is_primary: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it is gone for good.
    pub is_gone: bool,
    /// Whether its address has answered as another member for so long that this
    /// one, with its log, is not known by another id.
    pub is_displaced: bool,
}

/// What an attempt starts from.
pub struct TakeoverPlan {
    /// The service.
    pub context: ServiceContext,
    /// Members.
    pub rivals: Vec<GroupMember>,
    /// Term of the successor, for the orders to the members.
    pub term: u64,
    /// Why the primary is replaced.
    pub reason: Reason,
}

/// Runs one attempt and tells the service's task how it ended.
pub async fn run(mut plan: TakeoverPlan) {
    let started_ms = clock::boot_ms();
    let authority = plan.context.options.authority.clone();
    let service = plan.context.service.clone();
    let claim = (authority.claim)(service.clone()).await;
    let end = match &claim {
        Some(claim) => attempt(&mut plan, claim, started_ms).await,
        None => {
            decision!("takeover", service = &*service; "claim not granted");
            AttemptEnd::default()
        }
    };
    let promoted = end.promoted;
    decision!(
        "takeover", service = &*service, reason = plan.reason.to_string(),
        promoted = promoted.as_deref().unwrap_or("none"),
        took_ms = clock::boot_ms() - started_ms; "attempt ended"
    );
    plan.context
        .send(ServiceMessage::TakeoverEnded { promoted });
    // After an order the claim stays until it ends: another VM must not order
    // anything soon after.
    if let Some(claim) = claim.filter(|_| !end.has_ordered) {
        (authority.release)(service, claim).await;
    }
}

/// How an attempt ended.
#[derive(Default)]
struct AttemptEnd {
    promoted: Option<Name>,
    /// Whether a promotion was ordered.
    has_ordered: bool,
}

async fn attempt(plan: &mut TakeoverPlan, claim: &Claim, started_ms: u64) -> AttemptEnd {
    let mut end = AttemptEnd::default();
    if plan.reason == Reason::Unfinished {
        // The primary is well: its replicas only have to receive again.
        resume(plan, started_ms).await;
        return end;
    }
    let mut fenced = BTreeMap::new();
    let mut refused = BTreeSet::new();
    let mut round = 0;
    while clock::boot_ms() < started_ms + ATTEMPT_MS {
        let fencing = fence(plan, &mut fenced).await;
        if fencing == Fencing::Outdated {
            break;
        }
        round += 1;
        let candidates = candidates(plan, &fenced, &refused);
        let choice = choose(&candidates);
        decision!(
            "takeover", service = &*plan.context.service, fence = claim.fence,
            term = plan.term, round = round, choice = format!("{choice:?}"),
            members = format!("{candidates:?}"); "successor weighed"
        );
        let Choice::Promote(member) = choice else {
            compio::time::sleep(ROUND_PAUSE).await;
            continue;
        };
        let patience = match fencing {
            Fencing::Returned => RETURN_ROUNDS,
            _ => CATCH_UP_ROUNDS,
        };
        if plan.is_primary(&member) && round < patience {
            compio::time::sleep(ROUND_PAUSE).await;
            if fencing == Fencing::Returned {
                plan.refresh().await;
            }
            continue;
        }
        if clock::boot_ms() >= started_ms + ATTEMPT_MS {
            break;
        }
        end.has_ordered = true;
        match promote(plan, claim, &member).await {
            PromoteOutcome::Accepted => {
                await_lead(plan, &member, started_ms).await;
                end.promoted = Some(member);
                break;
            }
            PromoteOutcome::Refused => {
                refused.insert(member);
            }
            // The order may have been carried out: the same one is sent again.
            PromoteOutcome::Unknown => {}
        }
    }
    resume(plan, started_ms).await;
    end
}

impl TakeoverPlan {
    /// Takes over the members as the service knows them now; the one that is
    /// replaced stays the same.
    async fn refresh(&mut self) {
        let (reply, rivals) = oneshot::channel();
        self.context.send(ServiceMessage::GroupMembers { reply });
        let Ok(mut rivals) = rivals.await else { return };
        let replaced = self.rivals.iter().find(|r| r.is_primary);
        let replaced = replaced.map(|r| r.target.member.clone());
        for rival in &mut rivals {
            rival.is_primary = Some(&rival.target.member) == replaced.as_ref();
        }
        decision!(
            "takeover", service = &*self.context.service,
            before = self.rivals.len(), members = rivals.len();
            "a member has returned under another id: looking anew"
        );
        self.rivals = rivals;
    }

    fn is_primary(&self, member: &Name) -> bool {
        let mut rivals = self.rivals.iter();
        rivals.any(|r| r.is_primary && r.target.member == *member)
    }
}

/// What became of an order to stop.
enum Order {
    Fenced(Name, Fenced),
    /// The member leads without being the one that is replaced.
    Leads,
    /// Another member answers at its address, since a moment ago.
    Returned,
    Missed,
}

/// What the orders to stop showed of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fencing {
    /// It is as the members are.
    Current,
    /// A member has come back under an id that the plan does not know.
    Returned,
    /// Another member leads already.
    Outdated,
}

/// Orders all members that are not fenced yet to stop, at once.
async fn fence(plan: &TakeoverPlan, fenced: &mut BTreeMap<Name, Fenced>) -> Fencing {
    let open = plan.rivals.iter();
    let open = open.filter(|r| !fenced.contains_key(&r.target.member));
    let orders = join_all(open.map(|rival| order_to_stop(plan, rival))).await;
    let mut fencing = Fencing::Current;
    for order in orders {
        match order {
            Order::Fenced(member, answer) => {
                fenced.insert(member, answer);
            }
            Order::Leads => return Fencing::Outdated,
            Order::Returned => fencing = Fencing::Returned,
            Order::Missed => {}
        }
    }
    fencing
}

async fn order_to_stop(plan: &TakeoverPlan, rival: &GroupMember) -> Order {
    let term = plan.term;
    let order = match rival.is_primary {
        true => MemberRequest::StepDown { term },
        false => MemberRequest::Hold { term },
    };
    let member = &rival.target.member;
    let report = match order_member(plan, &rival.target, &order).await {
        Ok(report) => report,
        Err(error) => {
            decision!(
                "takeover", service = &*plan.context.service, member = &**member,
                reason = error.to_string(); "member not reached"
            );
            let is_other = matches!(
                error,
                RelayError::Refused {
                    class: ErrorClass::WrongMember
                }
            );
            return match is_other && !rival.is_displaced {
                true => Order::Returned,
                false => Order::Missed,
            };
        }
    };
    if is_fenced(plan, rival, &report) {
        let received = report.received;
        return Order::Fenced(member.clone(), Fenced { received });
    }
    decision!(
        "takeover", service = &*plan.context.service, member = &**member,
        report = format!("{report:?}"); "member not fenced"
    );
    match report.role == Role::Primary && !rival.is_primary {
        true => Order::Leads,
        false => Order::Missed,
    }
}

/// A primary is fenced once it follows; a replica once it does not receive. A
/// replica that turns out to lead is not.
fn is_fenced(plan: &TakeoverPlan, rival: &GroupMember, report: &StatusReport) -> bool {
    if report.role == Role::Primary {
        return false;
    }
    rival.is_primary || report.held_term >= plan.term
}

fn candidates(
    plan: &TakeoverPlan,
    fenced: &BTreeMap<Name, Fenced>,
    refused: &BTreeSet<Name>,
) -> Vec<Candidate> {
    let rivals = plan.rivals.iter().map(|rival| {
        let member = &rival.target.member;
        let is_refused = refused.contains(member);
        Candidate {
            member: member.clone(),
            is_primary: rival.is_primary,
            is_leaving: rival.is_leaving || is_refused,
            is_gone: rival.is_gone,
            fenced: fenced.get(member).copied().filter(|_| !is_refused),
        }
    });
    rivals.collect()
}

async fn order_member(
    plan: &TakeoverPlan,
    target: &Target,
    order: &MemberRequest<'_>,
) -> Result<StatusReport> {
    let codec: MemberCodec = plan.context.options.codecs.member;
    let call = async {
        // These connections are few and short: they are not counted.
        let permit = Permit::new(|| {});
        let mut connection = open(target.clone(), codec, permit).await?;
        exchange::request_report(&mut connection, &codec, order).await
    };
    let answered = compio::time::timeout(ORDER_TIMEOUT, call).await;
    answered.unwrap_or(Err(RelayError::Timeout))
}

async fn promote(plan: &TakeoverPlan, claim: &Claim, member: &Name) -> PromoteOutcome {
    let promotion = Promotion {
        service: plan.context.service.clone(),
        member: member.clone(),
        fence: claim.fence,
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

/// Waits until the member leads, as it says itself.
async fn await_lead(plan: &TakeoverPlan, member: &Name, started_ms: u64) {
    let rival = plan.rivals.iter().find(|r| r.target.member == *member);
    let Some(rival) = rival else { return };
    while clock::boot_ms() < started_ms + LEAD_MS {
        let report = order_member(plan, &rival.target, &MemberRequest::Status).await;
        if report.is_ok_and(|r| r.role == Role::Primary) {
            return;
        }
        let pause_ms = rand::rng().random_range(20..60);
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Lets the replicas receive again. Once the claim is about to end that is left
/// to the next attempt, which may have told them to stop.
async fn resume(plan: &TakeoverPlan, started_ms: u64) {
    if clock::boot_ms() >= started_ms + RESUME_MS {
        decision!("takeover", service = &*plan.context.service; "replicas left held");
        return;
    }
    let held = plan.rivals.iter().filter(|r| !r.is_primary && !r.is_gone);
    let orders = held.map(|r| async move {
        let result = order_member(plan, &r.target, &MemberRequest::Resume).await;
        if let Err(error) = result {
            decision!(
                "takeover", service = &*plan.context.service,
                member = &*r.target.member, reason = error.to_string();
                "member not resumed"
            );
        }
    });
    join_all(orders).await;
}
