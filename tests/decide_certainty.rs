//! What a VM may do with a configuration of some age.

use foxtailknot::decide::certainty::{Certainty, ConfigAge, certainty, is_loss};
use yare::parameterized;

const MAX_MS: u64 = 3_800;

#[parameterized(
    confirmed = { Some(MAX_MS), false, Certainty::Newest },
    confirmed_while_the_platform_is_lost = { Some(0), true, Certainty::Newest },
    lost = { Some(MAX_MS + 1), true, Certainty::PlatformLost },
    never_confirmed_and_lost = { None, true, Certainty::PlatformLost },
    suspended = { Some(MAX_MS + 1), false, Certainty::Late },
    never_confirmed = { None, false, Certainty::Late },
)]
fn old_configuration_is_acted_on_only_while_the_platform_is_lost(
    age_ms: Option<u64>,
    is_platform_lost: bool,
    expected: Certainty,
) {
    let age = ConfigAge {
        age_ms,
        is_platform_lost,
    };
    assert_eq!(certainty(age, MAX_MS), expected);
}

#[parameterized(
    refused_at_once = { 3, true },
    timed_out = { 1_010, true },
    timed_out_on_a_suspended_vm = { 4_000, false },
)]
fn call_that_ends_long_after_its_limit_shows_no_loss(took_ms: u64, expected: bool) {
    assert_eq!(is_loss(took_ms, 1_000), expected);
}
