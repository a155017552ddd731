//! What a VM makes of the answers to its calls.

use foxtailknot::decide::{
    attempt::{ListRead, OrderAnswer, Step},
    claim::{Claim, ClaimRow, Claimant},
    revision::Revision,
};

use super::{
    call::{Call, Reply, Request},
    member::Role,
    mutation::Mutation,
    node::Node,
    run::Stage,
    world::World,
};

impl World {
    /// A call is answered, or given up.
    pub fn answered(&mut self, call: &Call, reply: Reply) {
        let vm = call.vm;
        if self.run(vm).open_order == Some(call.id) {
            self.run(vm).open_order = None;
            self.run(vm).order_reply = Some(reply);
            return;
        }
        self.run(vm).calls.remove(&call.id);
        let is_unserved = matches!(reply, Reply::Silent | Reply::Refused);
        if call.request.target() == Node::Store && is_unserved {
            self.vms[vm].away_at_ms = Some(self.now_ms);
        }
        match self.run(vm).stage {
            Stage::Claiming => self.claim_answered(vm, reply),
            Stage::Releasing => self.vms[vm].run = None,
            Stage::Steps => {
                self.step_answered(call, reply);
                self.end_step_if_done(vm);
            }
        }
    }

    fn claim_answered(&mut self, vm: usize, reply: Reply) {
        let own = self.vms[vm].name.clone();
        match reply {
            Reply::Claim {
                row,
                version,
                now_ms,
            } => {
                let held = row.map(|row| match self.lacks(Mutation::OpenOrdersIgnored) {
                    true => ClaimRow {
                        ordered: None,
                        ..row
                    },
                    false => row,
                });
                let claimant = Claimant {
                    vm: &own,
                    highest_term: self.run(vm).highest_term,
                };
                let known = Revision::new(0, version);
                let Some(row) = ClaimRow::claimed(held.as_ref(), known, claimant, now_ms) else {
                    self.note(|_| format!("vm-{vm}: claim not granted"));
                    self.end_attempt(vm);
                    return;
                };
                self.run(vm).claimed_ms = now_ms;
                self.write_claim(vm, row, version);
            }
            Reply::Written { version } => {
                self.claim_written(vm, version);
                let run = self.run(vm);
                let open_order = run.claim.as_ref().and_then(|c| c.open_order().cloned());
                run.attempt = run.attempt.clone().after_open_order(open_order);
                self.begin_steps(vm);
            }
            _ => {
                self.note(|_| format!("vm-{vm}: claim not granted"));
                self.end_attempt(vm);
            }
        }
    }

    fn step_answered(&mut self, call: &Call, reply: Reply) {
        let vm = call.vm;
        match &call.request {
            Request::ReadList => {
                if let Reply::List(list) = reply {
                    let now_ms = self.now_ms;
                    self.vms[vm].apply_list(&list, now_ms);
                    let away_at_ms = self.vms[vm].away_at_ms;
                    let back_ms = away_at_ms.map(|away_at_ms| now_ms - away_at_ms);
                    // The answer comes a round trip after the question.
                    let asked_ms = now_ms - 2 * self.scenario.timing.link_ms;
                    self.run(vm).list = Some(ListRead { asked_ms, back_ms });
                }
            }
            Request::WriteClaim { .. } => {
                if let Reply::Written { version } = reply {
                    self.claim_written(vm, version);
                    self.run(vm).is_recorded = true;
                }
            }
            Request::StepDown { .. } => self.step_down_answered(call, &reply),
            Request::Fence { member, .. } => self.member_answered(vm, *member, &reply),
            Request::Status { member } => match self.run(vm).attempt.step() {
                Step::AwaitLeadership { .. } => self.run(vm).outcome = Some(reply),
                _ => self.member_answered(vm, *member, &reply),
            },
            Request::Promote { .. } => self.run(vm).outcome = Some(reply),
            Request::ReadClaim => {
                if let Reply::Claim { now_ms, .. } = reply
                    && let Some(claim) = self.run(vm).claim.clone()
                {
                    let row = claim.renewed_row(now_ms);
                    self.write_claim(vm, row, claim.revision.version);
                }
            }
            Request::Resume { .. } => {}
        }
    }

    /// Writes the claim's row.
    pub fn write_claim(&mut self, vm: usize, row: ClaimRow, version: u64) {
        self.run(vm).written = Some(row.clone());
        self.call(vm, Request::WriteClaim { row, version });
    }

    fn claim_written(&mut self, vm: usize, version: u64) {
        let run = self.run(vm);
        let row = run.written.take();
        run.claim = row.map(|row| Claim::after_write(row, Revision::new(0, version)));
    }

    fn member_answered(&mut self, vm: usize, member: usize, reply: &Reply) {
        let name = self.members[member].name.clone();
        let run = self.run(vm);
        let answer = order_answer(reply, run.term, run.primary == Some(member));
        run.answers.insert(name, answer);
    }

    fn step_down_answered(&mut self, call: &Call, reply: &Reply) {
        let vm = call.vm;
        let run = self.run(vm);
        let answer = order_answer(reply, run.term, true);
        run.step_down_calls.remove(&call.id);
        let is_fenced = matches!(answer, OrderAnswer::Fenced { .. });
        let is_relayed = run.relayed_calls.contains(&call.id);
        if is_fenced || (!is_relayed && answer != OrderAnswer::Silent) {
            run.step_down_answer = answer;
        }
        if is_fenced {
            // The other paths are dropped, and their connections reset.
            for id in std::mem::take(&mut run.step_down_calls) {
                run.calls.remove(&id);
            }
        }
        if !run.step_down_calls.is_empty() {
            return;
        }
        let (answer, has_ordered) = (run.step_down_answer, run.has_ordered_others);
        if let Some(primary) = run.primary {
            let name = self.members[primary].name.clone();
            self.run(vm).answers.insert(name, answer);
        }
        if !has_ordered {
            self.order_others(vm, is_fenced);
        }
    }
}

/// What a member's report, or the lack of one, says about its fence.
fn order_answer(reply: &Reply, term: u64, is_primary: bool) -> OrderAnswer {
    match *reply {
        Reply::Report {
            role: Role::Primary,
            ..
        } => match is_primary {
            true => OrderAnswer::NotSteppedDown,
            false => OrderAnswer::Leads,
        },
        Reply::Report {
            held_term,
            received,
            ..
        } => match is_primary || held_term >= term {
            true => OrderAnswer::Fenced { received },
            false => OrderAnswer::Receiving { received },
        },
        Reply::Closed => OrderAnswer::Lost,
        _ => OrderAnswer::Silent,
    }
}
