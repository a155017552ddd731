//! Orders to the members of a group: to step down, and to stop receiving.

use futures::future::{join, join_all};

use super::{GroupMember, TakeoverPlan, orders::Orders, step_down};
use crate::{
    decide::{
        attempt::{Attempt, OrderAnswer},
        member::Role,
    },
    decision_log::decision,
    prelude::*,
    relay::{ErrorClass, MemberRequest, RelayError, Result, StatusReport},
};

/// Pause between two rounds of orders while a promotion is carried out.
const KEEP_PAUSE: Duration = Duration::from_millis(100);
/// Time that the order to step down has before the other members are fenced as well.
/// Replicas that are not fenced receive what a primary that steps down had sent.
const HEAD_START: Duration = Duration::from_millis(200);

/// Orders the primary to step down, unless it has; then asks the other members for
/// their positions, or fences them if the primary has not answered in time.
pub async fn fence(
    plan: &TakeoverPlan,
    attempt: &Attempt,
    orders: &Orders,
) -> BTreeMap<Name, OrderAnswer> {
    let primary = plan.members.iter().find(|m| m.is_primary);
    let Some(primary) = primary.filter(|_| !attempt.has_stepped_down()) else {
        return order_others(plan, orders, attempt.has_stepped_down()).await;
    };
    let mut step_down = std::pin::pin!(step_down::order(plan, orders, primary));
    let first = compio::time::timeout(HEAD_START, step_down.as_mut()).await;
    let (answer, mut answers) = match first {
        Ok(answer) => {
            let has_stepped_down = matches!(answer, OrderAnswer::Fenced { .. });
            (answer, order_others(plan, orders, has_stepped_down).await)
        }
        Err(_) => join(step_down, order_others(plan, orders, false)).await,
    };
    answers.insert(primary.target.member.clone(), answer);
    answers
}

/// Goes on ordering the primary to step down and the others to stop receiving while a
/// promotion is carried out: the primary may be reached again or come back after a
/// crash, a member that restarts forgets its fence, and one that starts has none.
pub async fn keep(mut plan: TakeoverPlan, promoted: Name) {
    let orders = Orders::new(plan.context.clone());
    loop {
        compio::time::sleep(KEEP_PAUSE).await;
        plan.refresh().await;
        let others = order_others(&plan, &orders, false);
        let is_replaced = |m: &&GroupMember| m.is_primary && m.target.member != promoted;
        match plan.members.iter().find(is_replaced) {
            Some(primary) => {
                join(step_down::order(&plan, &orders, primary), others).await;
            }
            None => {
                others.await;
            }
        }
    }
}

/// Checks right before an order that those are fenced by whose answers `chosen` was chosen,
/// and that a primary which is to lead again still has its log.
pub async fn check(
    plan: &TakeoverPlan,
    attempt: &Attempt,
    orders: &Orders,
    chosen: &Name,
) -> BTreeMap<Name, OrderAnswer> {
    let has_answered = |m: &&GroupMember| attempt.has_answered(&m.target.member);
    let members = plan.members.iter().filter(has_answered);
    let others = order_all(plan, orders, members, false);
    let is_chosen = |m: &&GroupMember| m.is_primary && m.target.member == *chosen;
    let Some(primary) = plan.members.iter().find(is_chosen) else {
        return others.await;
    };
    let step_down = step_down::order(plan, orders, primary);
    let (mut answers, answer) = join(others, step_down).await;
    answers.insert(chosen.clone(), answer);
    answers
}

/// Fences all members but the primary, or asks them for their positions.
async fn order_others(
    plan: &TakeoverPlan,
    orders: &Orders,
    only_asks: bool,
) -> BTreeMap<Name, OrderAnswer> {
    order_all(plan, orders, plan.members.iter(), only_asks).await
}

/// Fences members, but no primary, or asks them for their positions, in parallel.
async fn order_all<'a>(
    plan: &TakeoverPlan,
    orders: &Orders,
    members: impl Iterator<Item = &'a GroupMember>,
    only_asks: bool,
) -> BTreeMap<Name, OrderAnswer> {
    let others = members.filter(|m| !m.is_primary);
    let answers = others.map(|m| async move {
        let order = match only_asks {
            true => MemberRequest::Status,
            false => MemberRequest::Fence { term: plan.term },
        };
        let answer = order_member(plan, orders, m, &order).await;
        (m.target.member.clone(), answer)
    });
    join_all(answers).await.into_iter().collect()
}

pub async fn order_member(
    plan: &TakeoverPlan,
    orders: &Orders,
    group_member: &GroupMember,
    order: &MemberRequest<'_>,
) -> OrderAnswer {
    let report = orders.send(&group_member.target, order).await;
    let answer = answer(plan, group_member, &report);
    let member = &*group_member.target.member;
    match &report {
        Ok(report) => decision!(
            "takeover", service = &*plan.context.service, member = member,
            role = report.role.to_string(), received = report.received.to_string(),
            held_term = report.held_term, term = plan.term, answer = format!("{answer:?}");
            "member answered"
        ),
        Err(error) => decision!(
            "takeover", service = &*plan.context.service, member = member,
            reason = error.to_string(), answer = format!("{answer:?}"); "member not reached"
        ),
    }
    answer
}

/// What a member's report, or the lack of one, says about its fence.
fn answer(
    plan: &TakeoverPlan,
    group_member: &GroupMember,
    report: &Result<StatusReport>,
) -> OrderAnswer {
    let is_primary = group_member.is_primary;
    match report {
        Ok(report) if report.role == Role::Primary => match is_primary {
            true => OrderAnswer::NotSteppedDown,
            false => OrderAnswer::Leads,
        },
        Ok(report) if is_primary || report.held_term >= plan.term => OrderAnswer::Fenced {
            received: report.received,
        },
        Ok(report) => OrderAnswer::Receiving {
            received: report.received,
        },
        Err(RelayError::Refused {
            class: ErrorClass::WrongMember,
        }) => match group_member.is_displaced {
            true => OrderAnswer::Lost,
            false => OrderAnswer::Restarted,
        },
        Err(RelayError::Closed | RelayError::Io(_)) => OrderAnswer::Lost,
        Err(_) => OrderAnswer::Silent,
    }
}
