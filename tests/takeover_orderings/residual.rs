//! Scenarios in which nothing that the replacing VM can ask tells it of a new member.

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
