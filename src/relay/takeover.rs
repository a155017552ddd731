//! One attempt at a takeover, the replacement of a primary: claim the right, fence
//! the members, choose a successor, promote it.

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

/// Longest time from the claim to the promotion order, in milliseconds; less than
/// the time for which the claim lasts.
const ATTEMPT_MS: u64 = 2_500;
/// Longest time of one order to a member: a round trip to another region, a new
/// connection, and a full queue there.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two rounds of orders.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Rounds in which replicas may catch up with a primary that has stepped down,
/// before the primary itself is promoted again.
const CATCH_UP_ROUNDS: u32 = 4;
/// The same when a member has restarted under an id that is not known yet: it may
/// hold commits that the others lack, and is listed within about a second.
const RESTART_ROUNDS: u32 = 12;
/// Longest time from the claim to the promoted member's report that it is
/// primary, in milliseconds.
const LEADERSHIP_MS: u64 = 4_800;
/// Latest time after the claim at which replicas are ordered to resume, in
/// milliseconds: with the order's own time-out, less than the claim lasts.
const RESUME_MS: u64 = 5_300;

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
    /// Whether its address has answered as another member for so long that this
    /// member can't be the one there, restarted under an id not listed yet.
    pub is_displaced: bool,
}

/// Input of an attempt.
pub struct TakeoverPlan {
    /// Context of the service.
    pub context: ServiceContext,
    /// Members of the group.
    pub members: Vec<GroupMember>,
    /// Term that the members are fenced for.
    pub term: u64,
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
    // After a promotion order the claim is kept until it expires, so that no other
    // VM gives a conflicting order soon after.
    if let Some(claim) = claim.filter(|_| !end.has_ordered_promotion) {
        (authority.release)(service, claim).await;
    }
}

/// How an attempt ended.
#[derive(Default)]
struct AttemptEnd {
    promoted: Option<Name>,
    has_ordered_promotion: bool,
}

async fn attempt(plan: &mut TakeoverPlan, claim: &Claim, started_ms: u64) -> AttemptEnd {
    let mut end = AttemptEnd::default();
    if plan.reason == Reason::Unfinished {
        // The primary is healthy: only its replicas have to resume.
        resume(plan, started_ms).await;
        return end;
    }
    let mut fenced = BTreeMap::new();
    let mut refused = BTreeSet::new();
    let mut round = 0;
    while clock::boot_ms() < started_ms + ATTEMPT_MS {
        let state = fence(plan, &mut fenced).await;
        if state == PlanState::Outdated {
            break;
        }
        round += 1;
        let candidates = candidates(plan, &fenced, &refused);
        let choice = choose(&candidates, plan.knows_departed);
        decision!(
            "takeover", service = &*plan.context.service, fence = claim.fence,
            term = plan.term, round = round, choice = format!("{choice:?}"),
            members = format!("{candidates:?}"); "successor weighed"
        );
        let Choice::Promote(member) = choice else {
            compio::time::sleep(ROUND_PAUSE).await;
            continue;
        };
        let catch_up_rounds = match state {
            PlanState::MemberRestarted => RESTART_ROUNDS,
            _ => CATCH_UP_ROUNDS,
        };
        if plan.is_primary(&member) && round < catch_up_rounds {
            compio::time::sleep(ROUND_PAUSE).await;
            if state == PlanState::MemberRestarted {
                plan.refresh_members().await;
            }
            continue;
        }
        if clock::boot_ms() >= started_ms + ATTEMPT_MS {
            break;
        }
        end.has_ordered_promotion = true;
        match promote(plan, claim, &member).await {
            PromoteOutcome::Accepted => {
                await_leadership(plan, &member, started_ms).await;
                end.promoted = Some(member);
                break;
            }
            PromoteOutcome::Refused => {
                refused.insert(member);
            }
            // The order may have been carried out, so the same one is sent again.
            PromoteOutcome::Unknown => {}
        }
    }
    resume(plan, started_ms).await;
    end
}

impl TakeoverPlan {
    /// Replaces the members by those that the service knows now. The primary to be
    /// replaced stays the same.
    async fn refresh_members(&mut self) {
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
        decision!(
            "takeover", service = &*self.context.service,
            before = self.members.len(), members = members.len();
            "a member has restarted under another id: members refreshed"
        );
        self.members = members;
    }

    fn is_primary(&self, member: &Name) -> bool {
        let mut members = self.members.iter();
        members.any(|m| m.is_primary && m.target.member == *member)
    }
}

/// Outcome of the fencing of one member.
enum FenceOutcome {
    Fenced(Name, Fenced),
    /// The member is primary, but not the one to be replaced.
    IsPrimary,
    /// Another member answers at its address, since recently: this one has probably
    /// restarted under a new id.
    Restarted,
    NotFenced,
}

/// Whether the plan still holds, as a round of fencing has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlanState {
    Current,
    /// A member has restarted under an id that the plan does not know.
    MemberRestarted,
    /// Another member is primary already.
    Outdated,
}

/// Fences all members that are not fenced yet, in parallel.
async fn fence(plan: &TakeoverPlan, fenced: &mut BTreeMap<Name, Fenced>) -> PlanState {
    let unfenced = plan.members.iter();
    let unfenced = unfenced.filter(|m| !fenced.contains_key(&m.target.member));
    let outcomes = join_all(unfenced.map(|m| fence_member(plan, m))).await;
    let mut state = PlanState::Current;
    for outcome in outcomes {
        match outcome {
            FenceOutcome::Fenced(member, answer) => {
                fenced.insert(member, answer);
            }
            FenceOutcome::IsPrimary => return PlanState::Outdated,
            FenceOutcome::Restarted => state = PlanState::MemberRestarted,
            FenceOutcome::NotFenced => {}
        }
    }
    state
}

async fn fence_member(plan: &TakeoverPlan, group_member: &GroupMember) -> FenceOutcome {
    let term = plan.term;
    let order = match group_member.is_primary {
        true => MemberRequest::StepDown { term },
        false => MemberRequest::Fence { term },
    };
    let member = &group_member.target.member;
    let report = match order_member(plan, &group_member.target, &order).await {
        Ok(report) => report,
        Err(error) => {
            decision!(
                "takeover", service = &*plan.context.service, member = &**member,
                reason = error.to_string(); "member not reached"
            );
            let is_wrong_member = matches!(
                error,
                RelayError::Refused {
                    class: ErrorClass::WrongMember
                }
            );
            return match is_wrong_member && !group_member.is_displaced {
                true => FenceOutcome::Restarted,
                false => FenceOutcome::NotFenced,
            };
        }
    };
    if is_fenced(plan, group_member, &report) {
        let received = report.received;
        decision!(
            "takeover", service = &*plan.context.service, member = &**member,
            role = report.role.to_string(), received = received.to_string(),
            held_term = report.held_term, term = plan.term; "member fenced"
        );
        return FenceOutcome::Fenced(member.clone(), Fenced { received });
    }
    decision!(
        "takeover", service = &*plan.context.service, member = &**member,
        report = format!("{report:?}"); "member not fenced"
    );
    match report.role == Role::Primary && !group_member.is_primary {
        true => FenceOutcome::IsPrimary,
        false => FenceOutcome::NotFenced,
    }
}

/// The primary is fenced once it has stepped down to a replica, a replica once it
/// has stopped receiving. A replica that turns out to be primary is not fenced.
fn is_fenced(plan: &TakeoverPlan, group_member: &GroupMember, report: &StatusReport) -> bool {
    if report.role == Role::Primary {
        return false;
    }
    group_member.is_primary || report.held_term >= plan.term
}

fn candidates(
    plan: &TakeoverPlan,
    fenced: &BTreeMap<Name, Fenced>,
    refused: &BTreeSet<Name>,
) -> Vec<Candidate> {
    let members = plan.members.iter().map(|group_member| {
        let member = &group_member.target.member;
        let is_refused = refused.contains(member);
        Candidate {
            member: member.clone(),
            is_primary: group_member.is_primary,
            is_leaving: group_member.is_leaving || is_refused,
            is_gone: group_member.is_gone,
            fenced: fenced.get(member).copied().filter(|_| !is_refused),
        }
    });
    members.collect()
}

async fn order_member(
    plan: &TakeoverPlan,
    target: &Target,
    order: &MemberRequest<'_>,
) -> Result<StatusReport> {
    let codec: MemberCodec = plan.context.options.codecs.member;
    let call = async {
        // These connections are few and short-lived, so they are not counted.
        let permit = Permit::new(|| {});
        let mut connection = open(target.clone(), codec, permit).await?;
        let report = exchange::request_report(&mut connection, &codec, order).await?;
        report.map_err(|class| RelayError::Refused { class })
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

/// Waits until the member reports that it is primary.
async fn await_leadership(plan: &TakeoverPlan, member: &Name, started_ms: u64) {
    let group_member = plan.members.iter().find(|m| m.target.member == *member);
    let Some(group_member) = group_member else {
        return;
    };
    while clock::boot_ms() < started_ms + LEADERSHIP_MS {
        let report = order_member(plan, &group_member.target, &MemberRequest::Status).await;
        if let Ok(report) = report
            && report.role == Role::Primary
        {
            return decision!(
                "takeover", service = &*plan.context.service, member = &**member,
                term = report.term, received = report.received.to_string();
                "promoted member leads"
            );
        }
        let pause_ms = rand::rng().random_range(20..60);
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Lets the replicas receive again. Shortly before the claim expires this is left
/// to the next attempt, which may already have fenced them.
async fn resume(plan: &TakeoverPlan, started_ms: u64) {
    if clock::boot_ms() >= started_ms + RESUME_MS {
        decision!(
            "takeover", service = &*plan.context.service;
            "claim about to expire; replicas not resumed"
        );
        return;
    }
    let replicas = plan.members.iter().filter(|m| !m.is_primary && !m.is_gone);
    let orders = replicas.map(|m| async move {
        let result = order_member(plan, &m.target, &MemberRequest::Resume).await;
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
    join_all(orders).await;
}
