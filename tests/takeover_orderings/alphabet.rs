//! Disturbances that the searches combine.

use rand::{Rng, rngs::StdRng};

use super::{
    disturbance::{Disturbance, Kind},
    node::Node,
    scenario::{Base, Scenario, Timing},
};

/// Times of the exhaustive search, in milliseconds: before the trouble, around the
/// attempt's start, its choice and its order, while the order is carried out, and when
/// the next VM may claim.
const MOMENTS_MS: [u64; 7] = [600, 1_250, 1_450, 1_700, 2_100, 2_450, 7_200];

/// What happens in the exhaustive search.
fn kinds() -> Vec<Kind> {
    let (first, second) = (Node::Vm(0), Node::Vm(1));
    let part = |a, b, for_ms| Kind::Part { a, b, for_ms };
    let cut = |from, to, for_ms| Kind::Cut { from, to, for_ms };
    vec![
        Kind::Start,
        Kind::Restart { member: 0 },
        Kind::Restart { member: 1 },
        Kind::Restart { member: 2 },
        Kind::Crash { for_ms: 1_000 },
        Kind::Busy {
            member: 2,
            for_ms: 600,
        },
        Kind::MemberReadsLate {
            member: 0,
            for_ms: 1_500,
        },
        Kind::MemberReadsLate {
            member: 2,
            for_ms: 3_000,
        },
        Kind::Unlist { member: 2 },
        Kind::Freeze {
            vm: 0,
            for_ms: 2_000,
        },
        Kind::Freeze {
            vm: 0,
            for_ms: 6_500,
        },
        Kind::Freeze {
            vm: 1,
            for_ms: 1_000,
        },
        Kind::Kill { vm: 0 },
        Kind::Kill { vm: 1 },
        part(first, second, 1_000),
        part(first, Node::Member(2), 1_000),
        cut(Node::Member(1), first, 1_000),
        part(first, Node::Promotion, 600),
        part(first, Node::Promotion, 6_500),
        cut(Node::Promotion, first, 1_500),
        Kind::PromotionSlow { for_ms: 5_000 },
        Kind::PromotionReadsLate { for_ms: 2_000 },
        Kind::PromotionReadsLate { for_ms: 8_000 },
        Kind::StoreAway { for_ms: 800 },
        Kind::StoreAway { for_ms: 3_000 },
        part(first, Node::Store, 1_500),
        cut(Node::Store, first, 1_500),
        Kind::StoreHoldsWrites { for_ms: 1_000 },
    ]
}

/// Those of them at which most of the pairs that break a rule began in the full search.
const FEW_MOMENTS_MS: [u64; 2] = [1_450, 2_100];

/// All disturbances of the exhaustive search, in order.
pub fn disturbances() -> Vec<Disturbance> {
    at_moments(&MOMENTS_MS)
}

/// Few of them, for the pairs of an ordinary test run.
pub fn few_disturbances() -> Vec<Disturbance> {
    at_moments(&FEW_MOMENTS_MS)
}

fn at_moments(moments: &[u64]) -> Vec<Disturbance> {
    let at = |at_ms| move |kind| Disturbance { at_ms, kind };
    let moments = moments.iter().copied();
    moments
        .flat_map(|at_ms| kinds().into_iter().map(at(at_ms)))
        .collect()
}

/// A random scenario.
pub fn random(rng: &mut StdRng) -> Scenario {
    let vms = rng.random_range(2..=3);
    let base = Base::ALL[rng.random_range(0..Base::ALL.len())];
    let count = rng.random_range(1..=6);
    let mut disturbances: Vec<Disturbance> = (0..count).map(|_| disturbance(rng, vms)).collect();
    disturbances.sort();
    let mut lag = || rng.random_range(2..200);
    let lag_ms = [lag(), lag(), lag(), lag()];
    let mut jitter = || rng.random_range(0..150);
    let jitter_ms = [jitter(), jitter(), jitter()];
    Scenario {
        vms,
        disturbances,
        timing: Timing {
            promote_ms: rng.random_range(300..=1_000),
            listing_ms: rng.random_range(10..=300),
            return_ms: rng.random_range(10..=2_400),
            link_ms: rng.random_range(1..=25),
            lag_ms,
            jitter_ms,
            commit_gap_ms: rng.random_range(30..150),
        },
        ..Scenario::new(base)
    }
}

fn disturbance(rng: &mut StdRng, vms: usize) -> Disturbance {
    // Most of it happens around the first attempt.
    let at_ms = match rng.random_ratio(3, 4) {
        true => rng.random_range(800..3_500),
        false => rng.random_range(300..9_000),
    };
    let for_ms = match rng.random_ratio(3, 4) {
        true => rng.random_range(50..1_500),
        false => rng.random_range(1_500..7_000),
    };
    let (vm, member) = (rng.random_range(0..vms), rng.random_range(0..4));
    let (vm_node, member_node) = (Node::Vm(vm), Node::Member(member));
    let other = (vm + rng.random_range(1..vms)) % vms;
    let partner = match rng.random_range(0..4) {
        0 => Node::Vm(other),
        1 => Node::Store,
        2 => Node::Promotion,
        _ => member_node,
    };
    let (a, b) = match rng.random_ratio(1, 8) {
        true => (Node::Member(0), Node::Member(1 + member % 3)),
        false => (vm_node, partner),
    };
    let kind = match rng.random_range(0..19) {
        0 | 1 => Kind::Start,
        2 => Kind::Restart { member: member % 3 },
        3 => Kind::Crash { for_ms },
        4 => Kind::Busy { member, for_ms },
        5 => Kind::Unlist { member: member % 3 },
        6 => Kind::Freeze { vm, for_ms },
        7 => Kind::Kill { vm },
        8 => Kind::Cut {
            from: a,
            to: b,
            for_ms,
        },
        9 => Kind::Cut {
            from: b,
            to: a,
            for_ms,
        },
        10 | 11 => Kind::Part { a, b, for_ms },
        12 => Kind::StoreAway { for_ms },
        13 => Kind::StoreHoldsWrites { for_ms },
        14 | 15 => Kind::PromotionReadsLate { for_ms },
        16 | 17 => Kind::MemberReadsLate { member, for_ms },
        _ => Kind::PromotionSlow { for_ms },
    };
    Disturbance { at_ms, kind }
}
