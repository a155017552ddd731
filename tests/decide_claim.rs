//! Tests of who may replace the primary of a service.

use foxtailknot::{
    decide::{
        claim::{CLAIM_MS, Claim, ClaimRow, Claimant, ORDER_LOST_MS, OrderRecord},
        revision::Revision,
    },
    prelude::Name,
};
use yare::parameterized;

/// Time of the claim on the store's clock, in milliseconds.
const CLAIMED_MS: u64 = 40_000;
const EXPIRES_MS: u64 = CLAIMED_MS + CLAIM_MS;
const LOST_MS: u64 = CLAIMED_MS + ORDER_LOST_MS;
/// Highest term when the order was recorded.
const TERM: u64 = 3;
/// Revision of the row.
const KNOWN: Revision = Revision {
    era: 2,
    version: 30,
};

fn held_by(vm: &str) -> ClaimRow {
    ClaimRow {
        vm: vm.into(),
        claimed_ms: CLAIMED_MS,
        is_released: false,
        ordered: None,
        ordered_ms: None,
        ordered_term: None,
        fence: None,
        settled_term: 0,
    }
}

fn ordered_by(vm: &str) -> ClaimRow {
    ClaimRow {
        ordered: Some("member".into()),
        ordered_ms: Some(CLAIMED_MS),
        ordered_term: Some(TERM),
        fence: Some(Revision::new(KNOWN.era, 20).to_fence()),
        ..held_by(vm)
    }
}

fn repeated_by(vm: &str) -> ClaimRow {
    ClaimRow {
        ordered_term: None,
        ..ordered_by(vm)
    }
}

/// A row of a build that did not tell when an order was sent.
fn ordered_in_an_older_build(vm: &str) -> ClaimRow {
    ClaimRow {
        ordered: Some("member".into()),
        ..held_by(vm)
    }
}

fn released(row: ClaimRow) -> ClaimRow {
    ClaimRow {
        is_released: true,
        ..row
    }
}

fn claim(held: Option<&ClaimRow>, now_ms: u64, highest_term: u64) -> Option<ClaimRow> {
    let vm: Name = "own".into();
    let claimant = Claimant {
        vm: &vm,
        highest_term,
    };
    ClaimRow::claimed(held, KNOWN, claimant, now_ms)
}

#[parameterized(
    none = { None, 0, true },
    own = { Some(held_by("own")), CLAIMED_MS, true },
    own_before_expiry = { Some(held_by("own")), EXPIRES_MS - 1, true },
    own_expired = { Some(held_by("own")), EXPIRES_MS, true },
    other = { Some(held_by("other")), CLAIMED_MS, false },
    other_before_expiry = { Some(held_by("other")), EXPIRES_MS - 1, false },
    other_expired = { Some(held_by("other")), EXPIRES_MS, true },
    other_on_a_clock_before_the_claim = { Some(held_by("other")), 0, false },
    other_released = { Some(released(held_by("other"))), CLAIMED_MS, true },
    own_released = { Some(released(held_by("own"))), CLAIMED_MS, true },
    other_ordered = { Some(ordered_by("other")), CLAIMED_MS, false },
    other_ordered_expired = { Some(ordered_by("other")), EXPIRES_MS, false },
    other_ordered_before_it_is_lost = { Some(ordered_by("other")), LOST_MS - 1, false },
    other_ordered_lost = { Some(ordered_by("other")), LOST_MS, true },
    other_ordered_on_a_clock_before_the_claim = { Some(ordered_by("other")), 0, false },
    older_build_before_it_is_lost = { Some(ordered_in_an_older_build("other")), LOST_MS - 1, false },
    older_build_lost = { Some(ordered_in_an_older_build("other")), LOST_MS, true },
)]
fn claims(held: Option<ClaimRow>, now_ms: u64, expected: bool) {
    assert_eq!(claim(held.as_ref(), now_ms, TERM).is_some(), expected);
}

#[parameterized(
    at_once = { ordered_by("other"), CLAIMED_MS, TERM + 1, false },
    expired = { ordered_by("other"), EXPIRES_MS, TERM + 1, true },
    expired_in_the_same_term = { ordered_by("other"), EXPIRES_MS, TERM, false },
    sent_twice = { repeated_by("other"), EXPIRES_MS, TERM + 1, false },
    sent_twice_and_lost = { repeated_by("other"), LOST_MS, TERM, true },
)]
fn later_term_proves_that_an_order_has_arrived(
    held: ClaimRow,
    now_ms: u64,
    highest_term: u64,
    expected: bool,
) {
    let row = claim(Some(&held), now_ms, highest_term);
    assert_eq!(row.is_some(), expected);
    if let Some(row) = row {
        assert_eq!((row.ordered, row.fence), (None, None));
    }
}

/// The VM that ordered may claim again, and can order nothing else as long as the order may
/// arrive; its token never goes back.
#[parameterized(
    at_once = { CLAIMED_MS, TERM, true },
    before_it_is_lost = { LOST_MS - 1, TERM, true },
    lost = { LOST_MS, TERM, false },
    arrived = { CLAIMED_MS, TERM + 1, false },
    on_a_clock_before_the_claim = { 0, TERM, true },
)]
fn own_order_is_kept(now_ms: u64, highest_term: u64, is_open: bool) {
    let held = ordered_by("own");
    let row = claim(Some(&held), now_ms, highest_term).unwrap();
    let open_order = row.ordered.clone();
    assert_eq!(open_order, is_open.then(|| "member".into()));
    assert_eq!((row.claimed_ms, row.fence), (now_ms, held.fence));
    if is_open {
        let kept = (row.ordered_ms, row.ordered_term);
        assert_eq!(kept, (held.ordered_ms, held.ordered_term));
    }
}

/// The store has lost which tokens were given out after the copy that it came back from.
#[test]
fn token_of_an_older_era_is_not_used_again() {
    let held = ClaimRow {
        fence: Some(Revision::new(KNOWN.era - 1, 20).to_fence()),
        ..ordered_by("own")
    };
    let row = claim(Some(&held), CLAIMED_MS, TERM).unwrap();
    assert_eq!(row.fence, None);
}

/// A term that an earlier order has led to proves nothing about the next one.
#[test]
fn term_of_an_earlier_order_does_not_prove_the_next() {
    let first = Claim::after_write(ordered_by("own"), KNOWN);
    let settled = Claim::after_write(first.row_with_order(None), KNOWN);
    assert_eq!(settled.open_order(), None);
    let order = OrderRecord {
        member: "member".into(),
        // This VM has not heard of the term that its first order led to.
        term: Some(TERM),
    };
    let row = settled.row_with_order(Some(&order));
    assert!(!row.is_later_term(TERM + 1));
    assert!(row.is_later_term(TERM + 2));
}

/// Else no later term would prove anything after a few attempts that could not order.
#[test]
fn order_that_was_not_sent_leaves_the_terms_as_they_are() {
    let recorded = Claim::after_write(ordered_by("own"), KNOWN);
    let released = Claim::after_write(recorded.released_row(), KNOWN);
    assert_eq!(released.open_order(), None);
    let order = OrderRecord {
        member: "member".into(),
        term: Some(TERM),
    };
    assert!(
        released
            .row_with_order(Some(&order))
            .is_later_term(TERM + 1)
    );
}

#[test]
fn token_stays_for_all_orders_of_a_claim() {
    let row = claim(None, CLAIMED_MS, TERM).unwrap();
    let first = Claim::after_write(row, KNOWN);
    assert_eq!(first.fence, KNOWN.to_fence());
    let order = OrderRecord {
        member: "member".into(),
        term: Some(TERM),
    };
    let mut claim = first.clone();
    for (index, row) in [
        first.row_with_order(Some(&order)),
        first.renewed_row(CLAIMED_MS + 2_000),
        first.row_with_order(None),
        first.released_row(),
    ]
    .into_iter()
    .enumerate()
    {
        let revision = Revision::new(KNOWN.era, KNOWN.version + 1 + index as u64);
        claim = Claim::after_write(row, revision);
        assert_eq!(claim.fence, first.fence);
    }
    assert!(claim.row.is_released);
}

/// A row of a build that recorded no orders is one under which nothing was ordered.
#[test]
fn row_without_an_order_is_read() {
    let row = r#"{"vm":"own","claimed_ms":40000,"is_released":false}"#;
    assert_eq!(
        serde_json::from_str::<ClaimRow>(row).unwrap(),
        held_by("own")
    );
}
