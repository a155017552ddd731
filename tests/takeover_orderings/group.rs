//! What members do: commit, receive, and answer.

use super::{
    call::{Call, Reply, Request},
    event::Event,
    member::{Role, Waiting},
    mutation::Mutation,
    node::Node,
    world::World,
};

/// Longest time for which a VM waits for the answer to a commit, in milliseconds.
const ANSWER_MS: u64 = 3_000;
/// Time within which the orders are read that came while a member stood still, in
/// milliseconds.
const READING_MS: u64 = 50;
/// Pause between two attempts to deliver an answer that is held up, in milliseconds.
const RETRY_MS: u64 = 25;

impl World {
    /// Each VM that reaches the member which it takes for the primary commits there.
    pub fn commit(&mut self) {
        self.after(self.scenario.timing.commit_gap_ms, Event::Commit);
        for vm in 0..self.vms.len() {
            let Some(primary) = self.vms[vm].primary.filter(|_| self.is_awake(vm)) else {
                continue;
            };
            let (vm_node, member) = (Node::Vm(vm), Node::Member(primary));
            if !self.members[primary].leads() || !self.passes(vm_node, member) {
                continue;
            }
            let commit = self.written_ms.len() as u32;
            self.written_ms.push(self.now_ms);
            let written_ms = self.now_ms;
            let writer = &mut self.members[primary];
            writer.log.push(commit);
            let len = writer.log.len();
            writer.waiting.push(Waiting {
                vm,
                len,
                written_ms,
            });
            for to in (0..self.members.len()).filter(|to| *to != primary) {
                let lag_ms = self.scenario.timing.lag_ms[to];
                let from = primary;
                self.after(lag_ms, Event::Receive { from, to, len });
            }
        }
    }

    /// A replica receives the log of `from` up to a length.
    pub fn receive(&mut self, from: usize, to: usize, len: usize) {
        let is_up = self.passes(Node::Member(from), Node::Member(to));
        if !is_up || !self.members[to].receives_from(from) {
            return;
        }
        let len = len.min(self.members[from].log.len());
        let term = self.members[from].term;
        let replica = &self.members[to];
        let has_synchronized = replica.log_term == term;
        let known = replica.log.len();
        if replica.term > term || (has_synchronized && known >= len) {
            return;
        }
        let kept = match has_synchronized {
            true => known,
            false => 0,
        };
        let received = self.members[from].log[kept..len].to_vec();
        let replica = &mut self.members[to];
        replica.log.truncate(kept);
        replica.log.extend(received);
        replica.log_term = term;
        replica.term = term;
        self.confirm(from, to);
    }

    /// Acknowledges the commits of a primary that a replica has received.
    fn confirm(&mut self, primary: usize, replica: usize) {
        if !self.members[primary].leads()
            || !self.passes(Node::Member(replica), Node::Member(primary))
        {
            return;
        }
        let len = self.members[replica].log.len();
        let waiting = std::mem::take(&mut self.members[primary].waiting);
        let (done, rest): (Vec<Waiting>, Vec<Waiting>) =
            waiting.into_iter().partition(|w| w.len <= len);
        self.members[primary].waiting = rest;
        for waiting in done {
            let commit = self.members[primary].log[waiting.len - 1];
            self.acknowledge(primary, commit, waiting);
        }
    }

    /// A client is told of a commit if its VM runs and the answer gets there.
    pub fn acknowledge(&mut self, primary: usize, commit: u32, waiting: Waiting) {
        let vm = waiting.vm;
        if !self.vms[vm].is_running {
            return;
        }
        let is_held = !self.passes(Node::Member(primary), Node::Vm(vm));
        if is_held || !self.is_awake(vm) {
            let retry = Event::Acknowledge {
                primary,
                commit,
                waiting,
            };
            if self.now_ms < waiting.written_ms + ANSWER_MS {
                self.after(RETRY_MS, retry);
            }
            return;
        }
        if !self.is_commit_kept(vm, primary) {
            self.note(|_| format!("commit {commit} not told by vm-{vm}"));
            return;
        }
        self.acknowledged.insert(commit);
        self.note(|w| {
            let name = &w.members[primary].name;
            format!("commit {commit} of {name} acknowledged through vm-{vm}")
        });
        let Some(leader) = self.promotions.leader else {
            return;
        };
        if leader == primary || self.members[leader].log.contains(&commit) {
            return;
        }
        let name = self.members[leader].name.clone();
        let rule = match waiting.written_ms >= self.promotions.effect_ms {
            true => "ONE",
            false => "LOST",
        };
        let text = format!("commit {commit} acknowledged, {name} leads without it");
        self.violate(rule, text);
    }

    /// Whether the other members that a VM knows and reaches report now that they are not
    /// fenced for a later term.
    fn is_commit_kept(&self, vm: usize, primary: usize) -> bool {
        if self.lacks(Mutation::CommitsToldAtOnce) {
            return true;
        }
        if self.vms[vm].run.is_some() {
            return false;
        }
        let term = self.members[primary].term;
        let known = self.vms[vm].known.keys().copied();
        let others = known.filter(|m| *m != primary && self.members[*m].is_running);
        let reached = others.filter(|m| {
            let (vm, member) = (Node::Vm(vm), Node::Member(*m));
            self.passes(vm, member) && self.passes(member, vm)
        });
        let terms: Vec<u64> = reached
            .map(|m| self.members[m].term.max(self.members[m].held_term))
            .collect();
        !terms.is_empty() && terms.iter().all(|reported| *reported <= term)
    }

    /// A replica receives all that the primary which it follows has.
    pub fn catch_up(&mut self, member: usize) {
        let Some(from) = self.members[member].follows else {
            return;
        };
        if !self.members[from].leads() {
            return;
        }
        let len = self.members[from].log.len();
        self.receive(from, member, len);
    }

    /// Makes a member follow another one.
    pub fn follow(&mut self, member: usize, leader: usize) {
        let replica = &mut self.members[member];
        replica.role = Role::Replica;
        replica.follows = Some(leader);
        replica.waiting.clear();
        let lag_ms = self.scenario.timing.lag_ms[member];
        self.after(lag_ms, Event::CatchUp { member });
    }

    /// An order gets to the machine of a member. What its sender does from now on changes
    /// nothing.
    pub fn call_received(&mut self, member: usize, call: Call) {
        let known = &mut self.members[member];
        if !known.is_running || self.now_ms >= known.reads_from_ms {
            self.member_call(member, call);
            return;
        }
        known.unread += 1;
        let at_ms = known.reads_from_ms + READING_MS.saturating_sub(known.unread);
        self.push(at_ms, Event::ReadCall { member, call });
    }

    /// Answers an order to a member, or a question.
    pub fn member_call(&mut self, member: usize, call: Call) {
        let now_ms = self.now_ms;
        let known = &mut self.members[member];
        if !known.is_running {
            self.reply(call, Reply::Closed, 0);
            return;
        }
        if now_ms < known.busy_until_ms {
            self.reply(call, Reply::Refused, 0);
            return;
        }
        match call.request {
            Request::Fence { term, .. }
                if known.role == Role::Replica && term > known.term.max(known.held_term) =>
            {
                if known.held_term <= known.term {
                    known.held_since_ms = now_ms;
                }
                known.held_term = term;
            }
            Request::StepDown { term, .. } if known.role == Role::Primary && term > known.term => {
                known.role = Role::Replica;
                known.waiting.clear();
            }
            Request::Resume { .. } => {
                known.held_term = 0;
                let lag_ms = self.scenario.timing.lag_ms[member];
                self.after(lag_ms, Event::CatchUp { member });
            }
            _ => {}
        }
        let known = &self.members[member];
        let reply = Reply::Report {
            role: known.role,
            term: known.term,
            held_term: known.held_term.max(known.term),
            received: known.received(),
        };
        if !matches!(call.request, Request::Status { .. }) {
            self.note(|w| {
                let m = &w.members[member];
                let (request, received) = (&call.request, m.received());
                format!(
                    "vm-{}: {request:?} at {}: {:?}, {received}",
                    call.vm, m.name, m.role
                )
            });
        }
        self.reply(call, reply, 0);
    }

    /// A member runs again, or for the first time.
    pub fn run_member(&mut self, member: usize) {
        let leader = (0..self.members.len())
            .filter(|m| *m != member && self.members[*m].leads())
            .filter(|m| self.passes(Node::Member(*m), Node::Member(member)))
            .max_by_key(|m| self.members[*m].term);
        self.members[member].is_running = true;
        self.note(|w| format!("{} runs", w.members[member].name));
        if let Some(leader) = leader {
            self.follow(member, leader);
        }
    }

    /// A member's entry is written; while the store is away, after its return.
    pub fn list(&mut self, member: usize) {
        if self.now_ms < self.store.away_until_ms {
            let at_ms = self.store.away_until_ms + self.scenario.timing.return_ms;
            self.push(at_ms, Event::List { member });
            return;
        }
        self.members[member].is_listed = true;
        self.note(|w| format!("{} is listed", w.members[member].name));
    }
}
