//! A VM that asks another one for news, as `news/subscription.rs` does.

use foxtailknot::decide::news_sources::{
    CONNECT_TIMEOUT_MS, NEWS_MARGIN_MS, NEWS_WAIT_MS, confirmed_ms,
};
use rand::Rng;

use crate::world::World;

/// Pause while there is no source.
const NO_SOURCE_PAUSE_MS: u64 = 500;
/// Time from a question to an answer that is ready.
const ANSWER_MS: u64 = 40;

#[derive(Clone, Copy, Debug, Default)]
pub struct Subscriber {
    connected: Option<usize>,
    state: State,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Idle,
    Pausing {
        until_ms: u64,
    },
    Asking {
        source: usize,
        began_ms: u64,
        known: u64,
        is_lost: bool,
    },
}

impl World {
    pub fn step_subscriber(&mut self, vm: usize, index: usize) {
        let now_ms = self.now_ms;
        match self.vms[vm].subscribers[index].state {
            State::Pausing { until_ms } if now_ms < until_ms => {}
            State::Idle | State::Pausing { .. } => self.ask(vm, index),
            State::Asking {
                source,
                began_ms,
                known,
                is_lost,
            } => {
                let is_lost = is_lost || !self.faults.reaches(vm, source, now_ms);
                let limit_ms = match self.vms[vm].subscribers[index].connected == Some(source) {
                    true => NEWS_WAIT_MS + NEWS_MARGIN_MS,
                    false => CONNECT_TIMEOUT_MS,
                };
                let has_news = self.vms[source].known > known;
                let is_answered = has_news || now_ms >= began_ms + NEWS_WAIT_MS;
                if is_lost && now_ms >= began_ms + limit_ms {
                    self.fail(vm, index, source);
                } else if !is_lost && is_answered && now_ms >= began_ms + ANSWER_MS {
                    self.answered(vm, index, source, began_ms);
                } else {
                    self.vms[vm].subscribers[index].state = State::Asking {
                        source,
                        began_ms,
                        known,
                        is_lost,
                    };
                }
            }
        }
    }

    fn ask(&mut self, vm: usize, index: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.vms[vm];
        let chosen = state.choice.choose(index, now_ms);
        let chosen = chosen.map(|name| self.numbers[&name]);
        state.subscribers[index].state = match chosen {
            None => State::Pausing {
                until_ms: now_ms + NO_SOURCE_PAUSE_MS,
            },
            Some(source) => State::Asking {
                source,
                began_ms: now_ms,
                known: state.known,
                is_lost: false,
            },
        };
    }

    fn answered(&mut self, vm: usize, index: usize, source: usize, began_ms: u64) {
        let now_ms = self.now_ms;
        let (known, age_ms) = (self.vms[source].known, self.vms[source].age_ms(now_ms));
        let has_copy = self.vms[source].confirmed_ms > 0;
        let name = self.names[source].clone();
        let state = &mut self.vms[vm];
        state.subscribers[index] = Subscriber {
            connected: Some(source),
            state: State::Idle,
        };
        if !has_copy {
            state
                .choice
                .pass_over_if_old(index, &name, u64::MAX, now_ms);
            return;
        }
        let own_age_ms = match state.confirmed_ms {
            0 => u64::MAX / 2,
            _ => state.age_ms(now_ms),
        };
        let held_ms = (now_ms - began_ms).saturating_sub(ANSWER_MS);
        state.hear(known, confirmed_ms(began_ms, held_ms, age_ms));
        let is_good = state.choice.record_answer(&name, age_ms, own_age_ms);
        state.choice.pass_over_if_old(index, &name, age_ms, now_ms);
        if !is_good {
            self.fail(vm, index, source);
        }
    }

    fn fail(&mut self, vm: usize, index: usize, source: usize) {
        let (now_ms, name) = (self.now_ms, self.names[source].clone());
        let rng = &mut self.rng;
        let state = &mut self.vms[vm];
        state.choice.record_failure(&name, now_ms, |pause_ms| {
            rng.random_range(pause_ms / 2..=pause_ms)
        });
        state.subscribers[index] = Subscriber::default();
    }
}
