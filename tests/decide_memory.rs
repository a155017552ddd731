//! Tests of the limits on what callers make a VM hold.

use std::collections::BTreeMap;

use foxtailknot::decide::load::memory::{CallerLimits, CallerPhase, Room, room_for_caller};
use yare::parameterized;

const MESSAGE_BYTES: usize = 1 << 20;

#[parameterized(
    entry_vm = { 112, 3_010, 1_433 },
    usual_vm = { 182, 3_010, 1_806 },
    few_descriptors = { 512, 256, 153 },
    hardly_any_memory = { 1, 3_010, 12 },
)]
fn callers_by_memory_and_descriptors(memory_mb: u64, descriptors: usize, expected: usize) {
    let limits = CallerLimits::new(Some(memory_mb << 20), Some(descriptors));
    assert_eq!(limits.callers_max, expected);
    assert!(limits.unopened_max >= 1);
}

/// What callers can make a VM hold is less than its memory, and one message fits.
#[parameterized(
    entry_vm = { 112 },
    usual_vm = { 182 },
    hardly_any_memory = { 8 },
)]
fn memory_is_not_given_twice(memory_mb: u64) {
    let limits = CallerLimits::new(Some(memory_mb << 20), Some(3_010));
    let sessions_bytes = limits.callers_max as u64 * (32 << 10);
    let sum_bytes = sessions_bytes + limits.messages_bytes + limits.answers_bytes;
    assert!(sum_bytes <= memory_mb << 20);
    let cost_bytes = limits.large_cost_bytes(MESSAGE_BYTES);
    assert!(cost_bytes <= limits.messages_bytes && cost_bytes <= limits.answers_bytes);
}

const LIMITS: CallerLimits = CallerLimits {
    callers_max: 4,
    unopened_max: 2,
    messages_bytes: 1 << 20,
    answers_bytes: 1 << 20,
};
const OPENING: CallerPhase = CallerPhase::Opening;
const BUSY: CallerPhase = CallerPhase::Busy;

fn idle(since_ms: u64) -> CallerPhase {
    CallerPhase::Idle(since_ms)
}

#[parameterized(
    room = { &[BUSY, OPENING, idle(1)], 0, Room::Free },
    crowd_that_never_opens = { &[OPENING, OPENING], 0, Room::Close(0) },
    longest_idle_goes = { &[BUSY, idle(9), idle(5), BUSY], 0, Room::Close(2) },
    opening_goes_where_none_is_idle = { &[BUSY, OPENING, BUSY, BUSY], 0, Room::Close(1) },
    running_statements_are_not_cut = { &[BUSY, BUSY, BUSY, BUSY], 0, Room::Full },
    those_being_closed_count = { &[idle(1), BUSY], 2, Room::Full },
)]
fn room_for_another_caller(phases: &[CallerPhase], closing: usize, expected: Room) {
    let callers: BTreeMap<u64, CallerPhase> = (0..).zip(phases.iter().copied()).collect();
    let callers = callers.iter().map(|(id, phase)| (id, *phase));
    assert_eq!(room_for_caller(&LIMITS, closing, callers), expected);
}
