//! State of a simulation: machines, links, and the events to come.

use std::fmt::Display;

use foxtailknot::prelude::*;

use super::{
    call::{Call, Reply},
    cut::Cut,
    event::Event,
    member::Member,
    mutation::Mutation,
    node::Node,
    promotions::Promotions,
    scenario::{END_MS, Scenario, TROUBLE_MS},
    store::Store,
    violation::Violation,
    vm::Vm,
};

/// Pause between two attempts to deliver bytes that are held up, in milliseconds.
const RETRY_MS: u64 = 25;
/// Time after which nothing of an attempt or a disturbance is on its way, in milliseconds.
const SETTLE_MS: u64 = 2_500;
/// Interval at which a VM looks at its members, in milliseconds.
pub const WATCH_MS: u64 = 100;

/// A simulation.
pub struct World {
    /// What is played.
    pub scenario: Scenario,
    /// Present time, in milliseconds.
    pub now_ms: u64,
    /// VMs.
    pub vms: Vec<Vm>,
    /// Members.
    pub members: Vec<Member>,
    /// The store.
    pub store: Store,
    /// The promotion service.
    pub promotions: Promotions,
    /// Cuts of links.
    pub cuts: Vec<Cut>,
    /// Commits that clients were told of.
    pub acknowledged: BTreeSet<u32>,
    /// Time at which each commit was written, in milliseconds.
    pub written_ms: Vec<u64>,
    /// The first broken rule.
    pub violation: Option<Violation>,
    /// What happened, if it is kept.
    pub trace: Option<Vec<String>>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
}

impl World {
    /// Plays a scenario to its end, or until a rule is broken.
    pub fn play(scenario: &Scenario, is_traced: bool) -> World {
        let mut world = World {
            scenario: scenario.clone(),
            now_ms: 0,
            vms: (0..scenario.vms).map(Vm::new).collect(),
            members: (0..4).map(Member::new).collect(),
            store: Store::default(),
            promotions: Promotions::default(),
            cuts: Vec::new(),
            acknowledged: BTreeSet::new(),
            written_ms: Vec::new(),
            violation: None,
            trace: is_traced.then(Vec::new),
            events: BTreeMap::new(),
            next: 0,
        };
        world.push(TROUBLE_MS, Event::Trouble);
        // Long before the trouble nothing differs from a simulation that starts here.
        world.push(TROUBLE_MS - 400, Event::Commit);
        for vm in 0..scenario.vms {
            world.push(TROUBLE_MS - 390 + 7 * vm as u64, Event::Watch { vm });
        }
        for (index, disturbance) in scenario.disturbances.iter().enumerate() {
            world.push(disturbance.at_ms, Event::Disturb { index });
        }
        while let Some(((at_ms, _), event)) = world.events.pop_first() {
            if at_ms > END_MS || world.violation.is_some() {
                break;
            }
            world.now_ms = at_ms;
            if matches!(event, Event::Watch { vm: 0 }) && world.is_settled() {
                break;
            }
            world.handle(event);
        }
        world
    }

    /// Whether a promotion has taken effect, nobody attempts another one, and nothing is
    /// to come.
    fn is_settled(&self) -> bool {
        let disturbances = self.scenario.disturbances.iter();
        let last_ms = disturbances.map(|d| d.at_ms).max().unwrap_or(0);
        let active_ms = last_ms.max(self.promotions.reads_from_ms);
        let settled_ms = self.promotions.effect_ms.max(active_ms) + SETTLE_MS;
        let is_cut =
            |cut: &Cut| cut.to == Node::Promotion && self.now_ms < cut.until_ms + SETTLE_MS;
        let is_idle = |vm: usize| self.is_awake(vm) && self.vms[vm].run.is_none();
        self.now_ms >= settled_ms
            && self
                .promotions
                .leader
                .is_some_and(|leader| self.members[leader].leads())
            && self.members.iter().filter(|m| m.leads()).count() == 1
            && self
                .members
                .iter()
                .all(|m| m.held_term <= m.term && !m.is_leaving)
            && (0..self.vms.len()).all(is_idle)
            && !self.cuts.iter().any(is_cut)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Trouble => self.trouble(),
            Event::Disturb { index } => self.disturb(self.scenario.disturbances[index].kind),
            Event::Commit => self.commit(),
            Event::Receive { from, to, len } => self.receive(from, to, len),
            Event::CatchUp { member } => self.catch_up(member),
            Event::Acknowledge {
                primary,
                commit,
                waiting,
            } => self.acknowledge(primary, commit, waiting),
            Event::Watch { vm } => self.watch(vm),
            Event::Arrive(call) => self.arrive(call),
            Event::ArriveUnawaited(call) => self.arrive_unawaited(call),
            Event::ReadOrder(call) => self.promotion_call(call),
            Event::ReadCall { member, call } => self.member_call(member, call),
            Event::Answer { call, reply } => self.deliver(call, reply),
            Event::Expire { call } => self.expire(call),
            Event::KeepFenced { vm, order } => self.keep_fenced_during(vm, order),
            Event::Timer { vm, number } => self.timer(vm, number),
            Event::LateWrite { call } => self.late_write(&call),
            Event::TakeEffect { member } => self.take_effect(member),
            Event::Retire { member } => self.retire(member),
            Event::Run { member } => self.run_member(member),
            Event::List { member } => self.list(member),
            Event::StartVm { vm } => self.start_vm(vm),
        }
    }

    /// Adds an event at a time.
    pub fn push(&mut self, at_ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((at_ms, self.next), event);
    }

    /// Adds an event after a delay.
    pub fn after(&mut self, delay_ms: u64, event: Event) {
        self.push(self.now_ms + delay_ms, event);
    }

    /// A number that was not used before.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Keeps a line of the trace.
    pub fn note(&mut self, line: impl FnOnce(&World) -> String) {
        if self.trace.is_some() {
            let line = format!("{:>6} ms  {}", self.now_ms, line(self));
            self.trace
                .iter_mut()
                .for_each(|trace| trace.push(line.clone()));
        }
    }

    /// Keeps the first broken rule.
    pub fn violate(&mut self, rule: &'static str, text: impl Display) {
        let text = text.to_string();
        self.note(|_| format!("{rule} broken: {text}"));
        self.violation.get_or_insert(Violation { rule, text });
    }

    /// Whether a part of the mend is switched off.
    pub fn lacks(&self, mutation: Mutation) -> bool {
        self.scenario.mutations.contains(&mutation)
    }

    /// Whether bytes pass from one machine to another.
    pub fn passes(&self, from: Node, to: Node) -> bool {
        let is_cut = |cut: &Cut| cut.from == from && cut.to == to && self.now_ms < cut.until_ms;
        !self.cuts.iter().any(is_cut)
    }

    /// Holds up bytes from one machine to another.
    pub fn cut(&mut self, from: Node, to: Node, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        self.cuts.push(Cut { from, to, until_ms });
    }

    /// Holds up bytes in both directions.
    pub fn part(&mut self, a: Node, b: Node, for_ms: u64) {
        self.cut(a, b, for_ms);
        self.cut(b, a, for_ms);
    }

    /// Whether a VM runs and is not suspended.
    pub fn is_awake(&self, vm: usize) -> bool {
        self.vms[vm].is_running && self.now_ms >= self.vms[vm].frozen_until_ms
    }

    /// Puts an event off while its VM is suspended; gives it back if it is not. Timers go
    /// by the steady clock, which does not count that time, so that those which were due
    /// meanwhile run on afterwards. Bytes that were held up go out at once.
    fn awake(&mut self, vm: usize, event: Event) -> Option<Event> {
        let (from_ms, until_ms) = (self.vms[vm].frozen_from_ms, self.vms[vm].frozen_until_ms);
        if self.now_ms >= until_ms {
            return Some(event);
        }
        let rest_ms = match event {
            Event::Expire { .. } | Event::Timer { .. } => self.now_ms - from_ms,
            _ => 0,
        };
        self.push(until_ms + rest_ms, event);
        None
    }

    /// Machines that a call passes, in order.
    fn path(call: &Call) -> Vec<Node> {
        let through = call.through.map(Node::Vm);
        let nodes = [
            Some(Node::Vm(call.vm)),
            through,
            Some(call.request.target()),
        ];
        nodes.into_iter().flatten().collect()
    }

    /// Whether a call, or its answer if `is_back`, gets to its end now.
    fn gets_through(&self, call: &Call, is_back: bool) -> bool {
        let path = World::path(call);
        let is_up = |pair: &[Node]| match is_back {
            true => self.passes(pair[1], pair[0]),
            false => self.passes(pair[0], pair[1]),
        };
        call.through.is_none_or(|vm| self.is_awake(vm)) && path.windows(2).all(is_up)
    }

    /// Sends a call after a delay. It is given up after the product's time-out.
    pub fn send(&mut self, call: Call, delay_ms: u64) {
        let hops = World::path(&call).len() as u64 - 1;
        let link_ms = self.scenario.timing.link_ms;
        let timeout_ms = delay_ms + call.request.timeout_ms();
        self.after(timeout_ms, Event::Expire { call: call.clone() });
        self.after(delay_ms + hops * link_ms, Event::Arrive(call));
    }

    /// Sends a call whose answer nobody waits for.
    pub fn push_unawaited(&mut self, call: Call) {
        let hops = World::path(&call).len() as u64 - 1;
        let delay_ms = hops * self.scenario.timing.link_ms;
        self.after(delay_ms, Event::ArriveUnawaited(call));
    }

    /// A call whose answer nobody waits for; it is reset if it does not get through.
    fn arrive_unawaited(&mut self, call: Call) {
        let is_up = self.is_awake(call.vm) && self.gets_through(&call, false);
        if let Node::Member(member) = call.request.target()
            && is_up
        {
            self.call_received(member, call);
        }
    }

    fn arrive(&mut self, call: Call) {
        let is_kept = matches!(call.request.target(), Node::Promotion)
            && self.lacks(Mutation::OrdersNotReset);
        if !self.is_pending(&call) && !is_kept {
            return;
        }
        let Some(Event::Arrive(call)) = self.awake(call.vm, Event::Arrive(call)) else {
            return;
        };
        if !self.gets_through(&call, false) {
            self.after(RETRY_MS, Event::Arrive(call));
            return;
        }
        match call.request.target() {
            Node::Member(member) => self.call_received(member, call),
            Node::Promotion => self.order_received(call),
            Node::Store | Node::Vm(_) => self.store_call(call),
        }
    }

    /// Sends an answer back after a delay.
    pub fn reply(&mut self, call: Call, reply: Reply, delay_ms: u64) {
        let hops = World::path(&call).len() as u64 - 1;
        let delay_ms = delay_ms + hops * self.scenario.timing.link_ms;
        self.after(delay_ms, Event::Answer { call, reply });
    }

    fn deliver(&mut self, call: Call, reply: Reply) {
        if !self.is_pending(&call) {
            return;
        }
        let vm = call.vm;
        if !self.gets_through(&call, true) {
            self.after(RETRY_MS, Event::Answer { call, reply });
            return;
        }
        let event = self.awake(vm, Event::Answer { call, reply });
        if let Some(Event::Answer { call, reply }) = event {
            self.answered(&call, reply);
        }
    }

    fn expire(&mut self, call: Call) {
        if !self.is_pending(&call) {
            return;
        }
        let vm = call.vm;
        let Some(Event::Expire { call }) = self.awake(vm, Event::Expire { call }) else {
            return;
        };
        let has_arrived = self.promotions.received.contains(&call.id);
        let is_received = has_arrived && self.passes(Node::Promotion, Node::Vm(vm));
        match is_received && !self.lacks(Mutation::OrdersGivenUp) {
            true => self.keep_open(&call),
            false => self.answered(&call, Reply::Silent),
        }
    }

    fn timer(&mut self, vm: usize, number: u64) {
        if self.awake(vm, Event::Timer { vm, number }).is_some() {
            self.timer_fired(vm, number);
        }
    }

    /// Whether the sender still waits for an answer.
    fn is_pending(&self, call: &Call) -> bool {
        let run = self.vms[call.vm].run.as_ref();
        run.is_some_and(|run| run.calls.contains_key(&call.id) || run.open_order == Some(call.id))
    }
}
