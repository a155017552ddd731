//! The promotion service.

use foxtailknot::prelude::{BTreeMap, BTreeSet};

use super::{
    call::{Call, Reply, Request},
    event::Event,
    member::Role,
    node::Node,
    world::World,
};

/// Time after which an old primary that reaches the new one gives up its role, in
/// milliseconds.
const RETIRE_MS: u64 = 1_000;
/// Delay of the answers of a slow promotion service, in milliseconds.
const SLOW_MS: u64 = 1_000;

/// An order that arrived.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// VM that sent it.
    pub vm: usize,
    /// Time of its claim, in milliseconds.
    pub claimed_ms: u64,
    /// Member to be promoted.
    pub member: usize,
    /// Fencing token.
    pub fence: u64,
}

/// The promotion service.
#[derive(Clone, Debug, Default)]
pub struct Promotions {
    /// Orders that it accepted.
    pub orders: Vec<Order>,
    /// Highest fencing token that it has seen.
    pub fence: u64,
    /// Time until which it answers late, in milliseconds.
    pub slow_until_ms: u64,
    /// Time from which it reads orders again, in milliseconds.
    pub reads_from_ms: u64,
    /// Orders that its machine has received.
    pub received: BTreeSet<u64>,
    /// Members of those that it has not read yet.
    pub unread: BTreeMap<u64, usize>,
    /// Member that leads by the latest order that took effect.
    pub leader: Option<usize>,
    /// Time at which that order took effect, in milliseconds.
    pub effect_ms: u64,
}

/// Time within which the orders are read that arrived while the service stood still, in
/// milliseconds.
const READING_MS: u64 = 50;

impl World {
    /// An order gets to the machine of the promotion service. What its sender does from now
    /// on changes nothing.
    pub fn order_received(&mut self, call: Call) {
        self.promotions.received.insert(call.id);
        let reads_from_ms = self.promotions.reads_from_ms;
        if self.now_ms >= reads_from_ms {
            self.promotion_call(call);
            return;
        }
        self.note(|_| format!("order of vm-{} waits to be read", call.vm));
        if let Request::Promote { member, .. } = call.request {
            self.promotions.unread.insert(call.id, member);
        }
        let earlier = self.promotions.received.len() as u64;
        let delay_ms = READING_MS.saturating_sub(5 * earlier);
        self.push(reads_from_ms + delay_ms, Event::ReadOrder(call));
    }

    /// Handles an order that is read.
    pub fn promotion_call(&mut self, call: Call) {
        let Request::Promote {
            member,
            fence,
            claimed_ms,
        } = call.request
        else {
            return;
        };
        self.promotions.unread.remove(&call.id);
        let order = Order {
            vm: call.vm,
            claimed_ms,
            member,
            fence,
        };
        self.note(|w| {
            let name = &w.members[member].name;
            format!(
                "order of vm-{} arrives: promote {name}, token {fence}",
                order.vm
            )
        });
        self.check_order(order);
        let delay_ms = match self.now_ms < self.promotions.slow_until_ms {
            true => SLOW_MS,
            false => 0,
        };
        if !self.members[member].is_running {
            self.note(|_| "refused: the member does not run".into());
            self.reply(call, Reply::Refused, delay_ms);
            return;
        }
        self.promotions.orders.push(order);
        if !self.members[member].leads() {
            let promote_ms = self.scenario.timing.promote_ms;
            self.after(promote_ms, Event::TakeEffect { member });
        }
        self.reply(call, Reply::Accepted, delay_ms);
    }

    fn check_order(&mut self, order: Order) {
        let highest = self.promotions.fence;
        if order.fence < highest {
            self.violate("ONE", format!("token {} after {highest}", order.fence));
        }
        self.promotions.fence = highest.max(order.fence);
        for earlier in self.promotions.orders.clone() {
            let is_same_claim = (earlier.vm, earlier.claimed_ms) == (order.vm, order.claimed_ms);
            if earlier.fence == order.fence && earlier.vm != order.vm {
                self.violate("ONE", format!("two holders with token {}", order.fence));
            }
            if is_same_claim && earlier.member != order.member {
                let names = (
                    &self.members[earlier.member].name,
                    &self.members[order.member].name,
                );
                let text = format!("one claim orders {} and {}", names.0, names.1);
                self.violate("ONE", text);
            }
        }
    }

    /// Carries out a promotion.
    pub fn take_effect(&mut self, member: usize) {
        let promoted = &self.members[member];
        if !promoted.is_running || promoted.leads() {
            return;
        }
        let highest = self.members.iter().map(|m| m.term).max();
        let term = highest.unwrap_or(0) + 1;
        let has = |commit: &&u32| !promoted.log.contains(commit);
        let lost: Vec<u32> = self.acknowledged.iter().filter(has).copied().collect();
        self.note(|w| {
            let m = &w.members[member];
            format!("{} leads term {term} with {} commits", m.name, m.log.len())
        });
        if let (Some(first), Some(last)) = (lost.first(), lost.last()) {
            let name = self.members[member].name.clone();
            let count = lost.len();
            let text = format!("{name} lacks {count} acknowledged commits, {first} to {last}");
            self.violate("LOST", text);
        }
        self.promotions.leader = Some(member);
        self.promotions.effect_ms = self.now_ms;
        for index in 0..self.members.len() {
            let other = &mut self.members[index];
            if index == member {
                other.role = Role::Primary;
                other.term = term;
                other.log_term = term;
                other.follows = None;
                other.waiting.clear();
                other.held_term = 0;
                continue;
            }
            // A promotion ends the pause of the whole group.
            other.held_term = 0;
            match other.leads() {
                true => self.after(RETIRE_MS, Event::Retire { member: index }),
                false => self.follow(index, member),
            }
        }
    }

    /// Makes an old primary a replica once it has reached the new one for long enough.
    pub fn retire(&mut self, member: usize) {
        let Some(leader) = self.promotions.leader.filter(|leader| *leader != member) else {
            return;
        };
        if !self.members[member].leads() {
            return;
        }
        match self.passes(Node::Member(member), Node::Member(leader)) {
            true => self.follow(member, leader),
            false => self.after(RETIRE_MS, Event::Retire { member }),
        }
    }
}
