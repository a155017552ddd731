//! The order to the old primary to step down, on every path that leads to it. What a
//! primary acknowledges reaches callers through VMs that reach it; any of them can
//! make it step down.

use futures::{StreamExt, future::FutureExt, stream::FuturesUnordered};

use super::{GroupMember, OrderAnswer, TakeoverPlan, fences, orders::Orders};
use crate::{decision_log::decision, prelude::*, relay::MemberRequest};

/// Time after which other VMs are asked as well, unless the primary was silent before.
const RELAY_AFTER: Duration = Duration::from_millis(80);

/// Orders the primary to step down, directly and through other VMs, until one path has
/// succeeded or all have failed.
pub async fn order(plan: &TakeoverPlan, orders: &Orders, primary: &GroupMember) -> OrderAnswer {
    let order = &MemberRequest::StepDown { term: plan.term };
    let direct = fences::order_member(plan, orders, primary, order).boxed_local();
    let mut paths: FuturesUnordered<_> = [direct].into_iter().collect();
    for target in &plan.relayed {
        let relayed = async move {
            if !plan.is_primary_silent {
                compio::time::sleep(RELAY_AFTER).await;
            }
            let through = GroupMember {
                target: target.clone(),
                ..primary.clone()
            };
            // Each VM has connections of its own, so that none is taken for another.
            let own_orders = Orders::new(plan.context.clone());
            let answer = fences::order_member(plan, &own_orders, &through, order).await;
            // That a VM does not reach the primary says nothing about the primary.
            match answer {
                OrderAnswer::Fenced { .. } => answer,
                _ => OrderAnswer::Silent,
            }
        };
        paths.push(relayed.boxed_local());
    }
    let mut last = OrderAnswer::Silent;
    while let Some(answer) = paths.next().await {
        match answer {
            OrderAnswer::Fenced { .. } => return answer,
            OrderAnswer::Silent => {}
            other => last = other,
        }
    }
    decision!(
        "takeover", service = &*plan.context.service, member = &*primary.target.member,
        paths = plan.relayed.len() + 1; "primary reached on no path"
    );
    last
}
