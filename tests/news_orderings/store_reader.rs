//! A VM that reads a table of the store, as `news/store_source.rs` does.

use foxtailknot::decide::news_sources::{STORE_CALL_MS, StoreUse, follow_retry, store_use};
use rand::{Rng, rngs::StdRng};

use crate::{faults::StoreState, world::World};

/// Time of a call that the store answers at once.
const CALL_MS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReader {
    failures: u32,
    state: State,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Deciding,
    Pausing {
        until_ms: u64,
        before_poll: bool,
    },
    Calling {
        began_ms: u64,
        wait_ms: u64,
        follows: bool,
        known: u64,
        /// The answer is lost.
        is_lost: bool,
        is_refused: bool,
    },
}

fn jittered(interval_ms: u64, rng: &mut StdRng) -> u64 {
    rng.random_range(interval_ms / 2..=interval_ms)
}

impl World {
    pub fn step_reader(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        match self.vms[vm].reader.state {
            State::Deciding => self.decide_read(vm, false),
            State::Pausing {
                until_ms,
                before_poll,
            } if now_ms >= until_ms => self.decide_read(vm, before_poll),
            State::Pausing { .. } => {}
            State::Calling { .. } => self.step_call(vm),
        }
    }

    fn decide_read(&mut self, vm: usize, has_paused: bool) {
        let now_ms = self.now_ms;
        let state = &self.vms[vm];
        let failures = state.reader.failures;
        let age_ms = state.age_ms(now_ms);
        let store_use = store_use(
            state.is_follower,
            self.vms.len(),
            age_ms,
            failures,
            self.pace,
        );
        let next = match store_use {
            // A VM that starts reads the table once.
            _ if state.confirmed_ms == 0 => self.begin_call(vm, 0, false),
            StoreUse::Follow if failures == 0 => self.begin_call(vm, self.pace.wait_ms, true),
            StoreUse::Follow => self.begin_call(vm, 0, true),
            StoreUse::Leave { for_ms } => State::Pausing {
                until_ms: now_ms + for_ms,
                before_poll: false,
            },
            StoreUse::Poll { .. } if has_paused => self.begin_call(vm, 0, false),
            StoreUse::Poll { interval_ms } => State::Pausing {
                until_ms: now_ms + jittered(interval_ms, &mut self.rng),
                before_poll: true,
            },
        };
        self.vms[vm].reader.state = next;
    }

    fn begin_call(&mut self, vm: usize, wait_ms: u64, follows: bool) -> State {
        let failure = self.faults.take_failure(vm, self.now_ms);
        State::Calling {
            began_ms: self.now_ms,
            wait_ms,
            follows,
            known: self.vms[vm].known,
            is_lost: failure == Some(false),
            is_refused: failure == Some(true),
        }
    }

    fn step_call(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let store = self.faults.store_state(vm, now_ms);
        let State::Calling {
            began_ms,
            wait_ms,
            follows,
            known,
            is_lost,
            is_refused,
        } = &mut self.vms[vm].reader.state
        else {
            return;
        };
        *is_lost |= store == StoreState::Silent;
        *is_refused |= store == StoreState::Refuses;
        let is_due = now_ms >= *began_ms + CALL_MS;
        let (wait_ms, follows) = (*wait_ms, *follows);
        let has_news = self.changes > *known || now_ms >= *began_ms + wait_ms;
        let is_over = now_ms >= *began_ms + wait_ms + STORE_CALL_MS;
        if *is_lost && is_over || *is_refused && !*is_lost && is_due {
            let state = &mut self.vms[vm];
            state.confirmed_ms = state.confirmed_ms.min(now_ms);
            state.reader.failures += 1;
            let failures = state.reader.failures;
            let pause_ms = match follows {
                true => follow_retry(self.pace).jittered_ms(failures, &mut self.rng),
                false => 0,
            };
            self.vms[vm].reader.state = State::Pausing {
                until_ms: now_ms + pause_ms,
                before_poll: false,
            };
        } else if !*is_lost && !*is_refused && is_due && has_news {
            let next_ms = if follows { self.pace.wait_ms } else { 0 };
            let changes = self.changes;
            let state = &mut self.vms[vm];
            state.hear(changes, now_ms + next_ms);
            state.reader = StoreReader::default();
        }
    }
}
