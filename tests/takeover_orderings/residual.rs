//! The known residual: a VM that the replacing one doesn't reach keeps the primary in use,
//! beside a new member that can't register in the store. Nothing that the replacing VM
//! can ask tells it of that member.

use super::{
    disturbance::{Disturbance, Kind},
    node::Node,
    scenario::{Base, Scenario},
};

/// The shortest scenario that has it.
pub fn scenario() -> Scenario {
    let at = |at_ms, kind| Disturbance { at_ms, kind };
    let (a, b) = (Node::Vm(0), Node::Vm(1));
    let mut scenario = Scenario::new(Base::CutFromOne);
    // The store serves the VMs, and turns the member away.
    scenario.disturbances = vec![
        at(900, Kind::Start),
        at(
            900,
            Kind::Part {
                a,
                b,
                for_ms: 3_000,
            },
        ),
    ];
    scenario.timing.listing_ms = 5_000;
    scenario
}

/// The same where the store was away for everybody, and the member is listed in time
/// after its return. A VM that gets its news of the store from others does not know of
/// the outage, as none of its own calls failed.
pub fn unnoticed_outage(follow_store: bool) -> Scenario {
    let at = |at_ms, kind| Disturbance { at_ms, kind };
    let (a, b) = (Node::Vm(0), Node::Vm(1));
    Scenario {
        follow_store,
        disturbances: vec![
            at(600, Kind::Start),
            at(600, Kind::StoreAway { for_ms: 800 }),
            at(
                900,
                Kind::Part {
                    a,
                    b,
                    for_ms: 6_000,
                },
            ),
        ],
        ..Scenario::new(Base::CutFromOne)
    }
}

/// Whether a scenario has it.
pub fn contains(scenario: &Scenario) -> bool {
    let has = |is: fn(&Kind) -> bool| scenario.disturbances.iter().any(|d| is(&d.kind));
    let is_between_vms = |kind: &Kind| match kind {
        Kind::Cut { from, to, .. } | Kind::Part { a: from, b: to, .. } => {
            matches!((from, to), (Node::Vm(_), Node::Vm(_)))
        }
        _ => false,
    };
    has(is_between_vms)
        && has(|kind| *kind == Kind::Start)
        && has(|kind| matches!(kind, Kind::StoreAway { .. }))
}
