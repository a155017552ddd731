//! Tests of who may replace the primary of a service.

use foxtailknot::decide::claim::{CLAIM_MS, ClaimRow, may_claim};
use yare::parameterized;

/// Time of the claim on the store's clock, in milliseconds.
const CLAIMED_MS: u64 = 40_000;
const EXPIRES_MS: u64 = CLAIMED_MS + CLAIM_MS;

fn held_by(vm: &str) -> ClaimRow {
    ClaimRow {
        vm: vm.into(),
        claimed_ms: CLAIMED_MS,
        is_released: false,
        ordered: None,
    }
}

fn ordered_by(vm: &str) -> ClaimRow {
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
    own_ordered = { Some(ordered_by("own")), CLAIMED_MS, false },
    own_ordered_before_expiry = { Some(ordered_by("own")), EXPIRES_MS - 1, false },
    own_ordered_expired = { Some(ordered_by("own")), EXPIRES_MS, true },
    own_ordered_on_a_clock_before_the_claim = { Some(ordered_by("own")), 0, false },
    other_ordered_before_expiry = { Some(ordered_by("other")), EXPIRES_MS - 1, false },
    other_ordered_expired = { Some(ordered_by("other")), EXPIRES_MS, true },
)]
fn claims(held: Option<ClaimRow>, now_ms: u64, expected: bool) {
    assert_eq!(may_claim(held.as_ref(), &"own".into(), now_ms), expected);
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
