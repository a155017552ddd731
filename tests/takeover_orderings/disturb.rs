//! How disturbances and the reason for a replacement change the world.

use foxtailknot::decide::attempt::Step;

use super::{
    disturbance::Kind, event::Event, member::Role, node::Node, scenario::Base, vm::Vm, world::World,
};

/// A cut that outlasts the simulation, in milliseconds.
const LONG_MS: u64 = 20_000;
/// Time for which a member that restarts is down, in milliseconds.
const RESTART_MS: u64 = 100;
/// Time for which a VM that was killed is down, in milliseconds.
const VM_RESTART_MS: u64 = 400;

impl World {
    /// The reason for the replacement arises.
    pub fn trouble(&mut self) {
        self.note(|w| format!("{:?}", w.scenario.base));
        let primary = Node::Member(0);
        match self.scenario.base {
            Base::CutFromOne => self.part(Node::Vm(0), primary, LONG_MS),
            Base::CutFromAll | Base::CutFromAllForLong => {
                let for_ms = match self.scenario.base {
                    Base::CutFromAll => 1_500,
                    _ => LONG_MS,
                };
                for vm in 0..self.vms.len() {
                    self.part(Node::Vm(vm), primary, for_ms);
                }
            }
            Base::Leaving => self.members[0].is_leaving = true,
            Base::Crash => self.crash(0, 1_000),
            Base::CutFromReplicas => {
                for member in 1..self.members.len() {
                    self.part(Node::Member(member), primary, LONG_MS);
                }
            }
        }
    }

    /// A disturbance begins.
    pub fn disturb(&mut self, kind: Kind) {
        self.note(|_| format!("{kind:?}"));
        let now_ms = self.now_ms;
        match kind {
            Kind::Start if !self.members[3].is_running => {
                self.run_member(3);
                let listing_ms = self.scenario.timing.listing_ms;
                self.after(listing_ms, Event::List { member: 3 });
            }
            Kind::Start => {}
            Kind::Restart { member } => self.restart(member),
            Kind::Crash { for_ms } => self.crash(0, for_ms),
            Kind::Busy { member, for_ms } => self.members[member].busy_until_ms = now_ms + for_ms,
            Kind::MemberReadsLate { member, for_ms } => {
                self.members[member].reads_from_ms = now_ms + for_ms;
            }
            Kind::Unlist { member } => self.members[member].is_listed = false,
            Kind::Freeze { vm, for_ms } => {
                if self.is_awake(vm) {
                    self.vms[vm].frozen_from_ms = now_ms;
                    self.vms[vm].frozen_until_ms = now_ms + for_ms;
                }
            }
            Kind::Kill { vm } => {
                self.vms[vm].is_running = false;
                self.vms[vm].run = None;
                self.after(VM_RESTART_MS, Event::StartVm { vm });
            }
            Kind::Cut { from, to, for_ms } => self.cut(from, to, for_ms),
            Kind::Part { a, b, for_ms } => self.part(a, b, for_ms),
            Kind::StoreAway { for_ms } => self.store.away_until_ms = now_ms + for_ms,
            Kind::StoreHoldsWrites { for_ms } => self.store.holds_until_ms = now_ms + for_ms,
            Kind::PromotionReadsLate { for_ms } => {
                self.promotions.reads_from_ms = now_ms + for_ms;
            }
            Kind::PromotionSlow { for_ms } => self.promotions.slow_until_ms = now_ms + for_ms,
        }
    }

    fn crash(&mut self, member: usize, for_ms: u64) {
        let crashed = &mut self.members[member];
        if !crashed.is_running {
            return;
        }
        crashed.is_running = false;
        crashed.waiting.clear();
        self.after(for_ms, Event::Run { member });
    }

    /// A member loses its log. This is left out where no promotion could keep the
    /// acknowledged commits: nobody else that runs has them, or its promotion has been
    /// decided or ordered, and takes effect without it.
    fn restart(&mut self, member: usize) {
        let name = &self.members[member].name;
        let decided = self.vms.iter().filter_map(|vm| vm.run.as_ref());
        let mut decided = decided.map(|run| run.attempt.step());
        let is_decided = decided.any(|step| match step {
            Step::Prepare { member } | Step::Promote { member } => member == name,
            _ => false,
        });
        let is_ordered = self.promotions.orders.iter().any(|o| o.member == member)
            || self
                .promotions
                .unread
                .values()
                .any(|unread| *unread == member);
        let has_all = |log: &[u32]| self.acknowledged.iter().all(|c| log.contains(c));
        let others = self.members.iter().enumerate();
        let mut running = others.filter(|(index, m)| *index != member && m.is_running);
        let is_kept = running.any(|(_, m)| has_all(&m.log));
        let known = &self.members[member];
        if !known.is_running || is_ordered || is_decided || !is_kept {
            self.note(|_| "left out".into());
            return;
        }
        let replica = &mut self.members[member];
        replica.is_running = false;
        replica.role = Role::Replica;
        replica.follows = None;
        replica.waiting.clear();
        replica.log.clear();
        replica.log_term = 0;
        replica.held_term = 0;
        replica.restarted_ms = Some(self.now_ms + RESTART_MS);
        self.after(RESTART_MS, Event::Run { member });
    }

    /// A VM starts again and knows nothing of before.
    pub fn start_vm(&mut self, vm: usize) {
        self.note(|_| format!("vm-{vm} starts"));
        self.vms[vm] = Vm {
            known: Default::default(),
            primary: None,
            last_primary: None,
            missing_since_ms: self.now_ms,
            knows_departed: false,
            ..Vm::new(vm)
        };
    }
}
