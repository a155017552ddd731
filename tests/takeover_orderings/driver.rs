//! How a VM carries out the steps of an attempt, like `relay::takeover`.

use foxtailknot::{
    decide::{
        attempt::{ATTEMPT_MS, Leadership, ListRead, OrderAnswer, PromoteOutcome, Step},
        claim::OrderRecord,
    },
    prelude::*,
};

use super::{
    call::{Call, Reply, Request},
    event::Event,
    member::Role,
    mutation::Mutation,
    run::{Run, Stage},
    world::World,
};

/// Pause between two rounds of orders, in milliseconds.
const ROUND_PAUSE_MS: u64 = 50;
/// Time that the order to step down has before other members are fenced, in milliseconds.
const HEAD_START_MS: u64 = 200;
/// Time after which other VMs are asked as well, unless the primary was silent before.
const RELAY_AFTER_MS: u64 = 80;
/// Pause between two questions whether the promoted member leads, in milliseconds.
const LEADS_PAUSE_MS: u64 = 40;
/// Pause between two rounds of orders while a promotion is carried out, in milliseconds.
const KEEP_PAUSE_MS: u64 = 100;
/// Pause after an attempt, in milliseconds.
const PAUSE_MS: u64 = 800;
/// The same after one that could not settle its order, in milliseconds.
const FAILED_ORDER_PAUSE_MS: u64 = 3_000;

impl World {
    /// The attempt that a VM runs. Calls and timers end with it.
    pub fn run(&mut self, vm: usize) -> &mut Run {
        let run = self.vms[vm].run.as_mut();
        run.expect("only a running attempt waits for calls and timers")
    }

    fn index(&self, name: &Name) -> usize {
        let found = self.members.iter().position(|m| m.name == *name);
        found.expect("an attempt knows members of the group only")
    }

    /// Sends a call of the present step.
    pub fn call(&mut self, vm: usize, request: Request) {
        self.call_through(vm, request, None, 0);
    }

    fn call_through(
        &mut self,
        vm: usize,
        request: Request,
        through: Option<usize>,
        delay_ms: u64,
    ) -> u64 {
        let id = self.number();
        self.run(vm).calls.insert(id, request.clone());
        let call = Call {
            id,
            vm,
            through,
            request,
        };
        self.send(call, delay_ms);
        id
    }

    fn start_timer(&mut self, vm: usize, delay_ms: u64) {
        let number = self.number();
        self.run(vm).timer = Some(number);
        self.after(delay_ms, Event::Timer { vm, number });
    }

    /// A timer of an attempt has fired.
    pub fn timer_fired(&mut self, vm: usize, number: u64) {
        let run = self.vms[vm].run.as_mut();
        let Some(run) = run.filter(|run| run.timer == Some(number)) else {
            return;
        };
        run.timer = None;
        if matches!(run.attempt.step(), Step::Fence) && !run.has_ordered_others {
            self.order_others(vm, false);
        }
        self.end_step_if_done(vm);
    }

    /// Begins the present step of an attempt.
    fn begin_step(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let lacks_list = self.lacks(Mutation::ListReadOnce);
        let run = self.run(vm);
        run.answers.clear();
        run.outcome = None;
        let keeps_list = lacks_list && run.list.is_some();
        if !keeps_list {
            run.list = None;
        }
        let step = run.attempt.step().clone();
        let has_stepped_down = run.attempt.has_stepped_down();
        let (started_ms, primary) = (run.started_ms, run.primary);
        if !matches!(step, Step::AwaitLeadership { .. }) {
            self.note(|_| format!("vm-{vm}: {step:?}"));
        }
        match step {
            Step::Fence => {
                if !keeps_list {
                    self.call(vm, Request::ReadList);
                }
                self.run(vm).has_ordered_others = false;
                let known = &self.vms[vm].known;
                match primary.filter(|p| !has_stepped_down && known.contains_key(p)) {
                    Some(primary) => self.order_step_down(vm, primary),
                    None => self.order_others(vm, has_stepped_down),
                }
            }
            Step::Pause => self.start_timer(vm, ROUND_PAUSE_MS),
            Step::Settle { until_ms } => {
                self.start_timer(vm, until_ms.saturating_sub(now_ms));
            }
            Step::Prepare { member } => {
                if !keeps_list {
                    self.call(vm, Request::ReadList);
                }
                let is_primary = primary.is_some_and(|p| self.members[p].name == member);
                self.record_order(vm, member);
                self.order_others(vm, false);
                if let Some(member) = primary.filter(|_| is_primary) {
                    self.call(vm, Request::Status { member });
                }
            }
            // A path that is cut later counts as open.
            Step::Connect { .. } => self.end_step(vm),
            Step::Renew { .. } => {
                self.run(vm).renewal_asked_ms = now_ms;
                self.run(vm).is_recorded = false;
                self.call(vm, Request::ReadClaim);
            }
            Step::Promote { member } => {
                let member = self.index(&member);
                let run = self.run(vm);
                let claimed_ms = run.claimed_ms;
                let asked_ms = run.renewal_asked_ms.max(started_ms);
                let claim = run.claim.clone();
                match claim.filter(|_| now_ms < asked_ms + ATTEMPT_MS) {
                    Some(claim) => {
                        let fence = claim.fence;
                        let request = Request::Promote {
                            member,
                            fence,
                            claimed_ms,
                        };
                        let order = self.call_through(vm, request, None, 0);
                        if primary != Some(member) {
                            self.after(KEEP_PAUSE_MS, Event::KeepFenced { vm, order });
                        }
                    }
                    None => self.end_step(vm),
                }
            }
            Step::AwaitLeadership { member } => {
                let member = self.index(&member);
                self.call(vm, Request::Status { member });
                if primary != Some(member) {
                    self.keep_fenced(vm);
                }
            }
            Step::Resume => {
                if self.run(vm).attempt.may_resume(now_ms) {
                    for member in self.replicas(vm) {
                        self.call(vm, Request::Resume { member });
                    }
                }
                self.end_step_if_done(vm);
            }
            Step::End => self.end_attempt(vm),
        }
    }

    /// Keeps the other members fenced while an order has no answer, before the next step
    /// does.
    pub fn keep_fenced_during(&mut self, vm: usize, order: u64) {
        let run = self.vms[vm].run.as_ref();
        if !run.is_some_and(|run| run.calls.contains_key(&order)) {
            return;
        }
        if self.is_awake(vm) {
            self.keep_fenced(vm);
        }
        self.after(KEEP_PAUSE_MS, Event::KeepFenced { vm, order });
    }

    /// Repeats the orders to step down and to stop receiving while a promotion is carried
    /// out. Nothing waits for them.
    fn keep_fenced(&mut self, vm: usize) {
        let run = self.run(vm);
        let (term, primary) = (run.term, run.primary);
        let vms = match self.lacks(Mutation::RelaysSilent) {
            true => vm..vm + 1,
            false => 0..self.vms.len(),
        };
        let step_down = primary.map(|member| Request::StepDown { member, term });
        let throughs = vms.map(|other| (other != vm).then_some(other));
        let step_down = step_down.into_iter().flat_map(|request| {
            let requests = throughs.clone();
            requests.map(move |through| (through, request.clone()))
        });
        let fence = self.replicas(vm).into_iter();
        let fence = fence.map(|member| (None, Request::Fence { member, term }));
        for (through, request) in step_down.chain(fence).collect::<Vec<_>>() {
            let id = self.number();
            let call = Call {
                id,
                vm,
                through,
                request,
            };
            self.push_unawaited(call);
        }
    }

    fn replicas(&mut self, vm: usize) -> Vec<usize> {
        let primary = self.run(vm).primary;
        let known = self.vms[vm].known.keys().copied();
        known.filter(|m| Some(*m) != primary).collect()
    }

    /// Fences all members but the primary, or asks them for their positions.
    pub fn order_others(&mut self, vm: usize, only_asks: bool) {
        let term = self.run(vm).term;
        self.run(vm).has_ordered_others = true;
        for member in self.replicas(vm) {
            let request = match only_asks {
                true => Request::Status { member },
                false => Request::Fence { member, term },
            };
            self.call(vm, request);
        }
    }

    fn order_step_down(&mut self, vm: usize, primary: usize) {
        let run = self.run(vm);
        let request = Request::StepDown {
            member: primary,
            term: run.term,
        };
        let delay_ms = match run.is_primary_silent {
            true => 0,
            false => RELAY_AFTER_MS,
        };
        let direct = self.call_through(vm, request.clone(), None, 0);
        self.run(vm).step_down_calls = [direct].into();
        self.run(vm).relayed_calls.clear();
        self.run(vm).step_down_answer = OrderAnswer::Silent;
        if !self.lacks(Mutation::RelaysSilent) {
            for other in (0..self.vms.len()).filter(|other| *other != vm) {
                let id = self.call_through(vm, request.clone(), Some(other), delay_ms);
                self.run(vm).step_down_calls.insert(id);
                self.run(vm).relayed_calls.insert(id);
            }
        }
        self.start_timer(vm, HEAD_START_MS);
    }

    fn record_order(&mut self, vm: usize, member: Name) {
        let run = self.run(vm);
        run.is_recorded = false;
        let order = OrderRecord {
            member,
            term: (!run.attempt.has_open_order()).then_some(run.highest_term),
        };
        let Some(claim) = run.claim.clone() else {
            return;
        };
        let mut row = claim.row_with_order(Some(&order));
        if self.lacks(Mutation::OpenOrdersIgnored) {
            row.fence = None;
        }
        self.write_claim(vm, row, claim.revision.version);
    }

    /// Leaves an order open whose bytes the service's machine has received.
    pub fn keep_open(&mut self, call: &Call) {
        let run = self.run(call.vm);
        run.calls.remove(&call.id);
        run.open_order = Some(call.id);
        run.outcome = None;
        self.note(|_| format!("vm-{}: order stays open", call.vm));
        self.end_step_if_done(call.vm);
    }

    /// Ends the present step once nothing is outstanding.
    pub fn end_step_if_done(&mut self, vm: usize) {
        let Some(run) = self.vms[vm].run.as_ref() else {
            return;
        };
        let is_fence = matches!(run.attempt.step(), Step::Fence);
        let waits = match is_fence {
            true => !run.has_ordered_others,
            false => run.timer.is_some(),
        };
        if run.stage == Stage::Steps && run.calls.is_empty() && !waits {
            self.end_step(vm);
        }
    }

    fn end_step(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let step = self.run(vm).attempt.step().clone();
        let is_reading = matches!(step, Step::Fence | Step::Prepare { .. });
        if is_reading && !self.lacks(Mutation::ListReadOnce) {
            let primary = self.run(vm).primary;
            let members = self.attempt_members(vm, primary);
            self.run(vm).attempt.update_members(members);
        }
        let ignores_return = self.lacks(Mutation::ReturnIgnored);
        let ignores_age = self.lacks(Mutation::ListReadOnce);
        let counts_refused = self.lacks(Mutation::UnknownIsRefused);
        let run = self.run(vm);
        let list = match ignores_return {
            true => run.list.map(|list| ListRead {
                back_ms: None,
                ..list
            }),
            false => run.list,
        };
        let list = match ignores_age {
            true => list.map(|list| ListRead {
                asked_ms: now_ms,
                ..list
            }),
            false => list,
        };
        let row = run.claim.as_ref().map(|claim| &claim.row);
        let leadership = match run.outcome {
            Some(Reply::Report {
                role: Role::Primary,
                term,
                ..
            }) => match row.is_some_and(|row| row.is_later_term(term)) {
                true => Leadership::LaterTerm,
                false => Leadership::SameTerm,
            },
            _ => Leadership::No,
        };
        let outcome_of = |reply: Option<&Reply>| match reply {
            Some(Reply::Accepted) => PromoteOutcome::Accepted,
            Some(Reply::Refused) => PromoteOutcome::Refused,
            Some(_) if counts_refused => PromoteOutcome::Refused,
            Some(_) => PromoteOutcome::Lost,
            None => PromoteOutcome::Open,
        };
        match step {
            Step::Fence => {
                run.timer = None;
                run.attempt.fenced(&run.answers, list, now_ms);
                self.note(|w| {
                    let run = w.vms[vm].run.as_ref();
                    run.map_or(String::new(), |run| {
                        format!("vm-{vm}: answers {:?}, list {list:?}", run.answers)
                    })
                });
            }
            Step::Pause => run.attempt.paused(now_ms),
            Step::Settle { .. } => run.attempt.settled(now_ms),
            Step::Prepare { .. } => {
                let is_recorded = run.is_recorded;
                run.attempt
                    .prepared(is_recorded, &run.answers, list, now_ms);
            }
            Step::Connect { .. } => run.attempt.connected(true, now_ms),
            Step::Renew { .. } => {
                let (is_renewed, asked_ms) = (run.is_recorded, run.renewal_asked_ms);
                run.attempt.renewed(is_renewed, asked_ms, now_ms);
            }
            Step::Promote { .. } => {
                let outcome = match (&run.outcome, run.open_order) {
                    (None, None) => PromoteOutcome::NotSent,
                    (reply, _) => outcome_of(reply.as_ref()),
                };
                run.attempt.ordered(outcome, now_ms);
            }
            Step::AwaitLeadership { .. }
                if leadership == Leadership::No && run.outcome.take().is_some() =>
            {
                self.start_timer(vm, LEADS_PAUSE_MS);
                return;
            }
            Step::AwaitLeadership { .. } => {
                let reply = run.order_reply.take();
                let is_order_open = run.attempt.is_order_open();
                let outcome = is_order_open.then(|| outcome_of(reply.as_ref()));
                run.attempt.awaited(leadership, outcome, now_ms);
            }
            Step::Resume => run.attempt.resumed(),
            Step::End => return,
        }
        self.begin_step(vm);
    }

    /// Begins the steps, once the claim is made.
    pub fn begin_steps(&mut self, vm: usize) {
        self.run(vm).stage = Stage::Steps;
        self.begin_step(vm);
    }

    /// Pauses after an attempt; releases the claim if no order was sent.
    pub fn end_attempt(&mut self, vm: usize) {
        let run = self.run(vm);
        run.stage = Stage::Releasing;
        let pause_ms = match run.attempt.has_failed_to_order() {
            true => FAILED_ORDER_PAUSE_MS,
            false => PAUSE_MS,
        };
        let (is_unused, has_open_order) = (
            run.attempt.has_ordered_nothing(),
            run.attempt.has_open_order(),
        );
        let claim = run.claim.clone().filter(|_| !has_open_order);
        self.vms[vm].pause_until_ms = self.now_ms + pause_ms;
        self.note(|_| format!("vm-{vm}: attempt ended"));
        let Some(claim) = claim else {
            self.vms[vm].run = None;
            return;
        };
        let row = match is_unused {
            true => claim.released_row(),
            false => claim.row_with_order(None),
        };
        self.write_claim(vm, row, claim.revision.version);
    }
}
