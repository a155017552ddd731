//! The task that watches one service's primary and replaces it.

use super::{
    node::NodeMessage,
    operate::{Operation, operate},
};
use crate::{
    clock,
    decide::failover::{Action, Event, Failover, FailoverSettings, PhaseName},
    metrics::{Metrics, label, name_label},
    prelude::*,
    proxy::{connect::ConnectOptions, connection::ConnectionTarget},
    settings::ServiceSettings,
};

/// Interval of ticks while all is well, in milliseconds.
const CALM_TICK_MS: u64 = 250;
/// Interval of ticks while the primary is in doubt, in milliseconds.
const DOUBT_TICK_MS: u64 = 25;

/// What a delegate needs from its VM.
#[derive(Clone)]
pub struct DelegateContext {
    /// Service.
    pub service: Name,
    /// Its settings.
    pub settings: Arc<ServiceSettings>,
    /// Control task of this VM.
    pub node: flume::Sender<NodeMessage>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Handle to a delegate's task; dropping it stops the task.
#[derive(Debug)]
pub struct DelegateHandle {
    events: flume::Sender<Event>,
    phase: Arc<std::sync::Mutex<PhaseName>>,
}

impl DelegateHandle {
    /// Starts a delegate that may use the reserved terms.
    pub fn start(context: DelegateContext, reserved: std::ops::Range<u64>) -> DelegateHandle {
        let (events, mailbox) = flume::unbounded();
        let phase = Arc::new(std::sync::Mutex::new(PhaseName::Watching));
        let handle = DelegateHandle {
            events: events.clone(),
            phase: phase.clone(),
        };
        handle.send(Event::Reserved {
            from: reserved.start,
            until: reserved.end,
        });
        let delegate = Delegate::new(context, events.downgrade(), phase);
        compio::runtime::spawn(delegate.run(mailbox)).detach();
        handle
    }

    /// Passes an event on.
    pub fn send(&self, event: Event) {
        // A stopped task needs no events.
        let _ = self.events.send(event);
    }

    /// Phase of the failover.
    pub fn phase(&self) -> PhaseName {
        *self.phase.lock().expect("no thread panics under this lock")
    }
}

struct Delegate {
    context: DelegateContext,
    failover: Failover,
    names: Vec<Name>,
    operations: Vec<flume::Sender<Operation>>,
    phase: Arc<std::sync::Mutex<PhaseName>>,
}

impl Delegate {
    fn new(
        context: DelegateContext,
        events: flume::WeakSender<Event>,
        phase: Arc<std::sync::Mutex<PhaseName>>,
    ) -> Delegate {
        let list = context.settings.member_list();
        let settings = FailoverSettings::builder()
            .detect_ms(context.settings.detect_ms)
            .build();
        let leaving = list
            .iter()
            .enumerate()
            .filter(|(_, (_, member))| member.leaving);
        let failover = Failover::new(settings, list.len(), clock::now_ms())
            .leaving(leaving.map(|(index, _)| index));
        let operations = list.iter().enumerate().map(|(index, (_, member))| {
            let options = ConnectOptions {
                address: member.address,
                user: context.settings.user.clone(),
                database: context.settings.database.clone(),
                target: ConnectionTarget::Member {
                    member: index,
                    term: 0,
                },
            };
            start_operations(index, options, events.clone())
        });
        Delegate {
            operations: operations.collect(),
            names: list.iter().map(|(name, _)| name.clone()).collect(),
            failover,
            context,
            phase,
        }
    }

    async fn run(mut self, mailbox: flume::Receiver<Event>) {
        loop {
            let tick_ms = match self.failover.phase() {
                PhaseName::Watching => CALM_TICK_MS,
                _ => DOUBT_TICK_MS,
            };
            let wait = Duration::from_millis(tick_ms);
            let event = match compio::time::timeout(wait, mailbox.recv_async()).await {
                Ok(Ok(event)) => event,
                Ok(Err(_)) => return,
                Err(_) => Event::Tick,
            };
            self.step(event);
        }
    }

    fn step(&mut self, event: Event) {
        let before = self.failover.phase();
        let actions = self.failover.step(clock::now_ms(), event);
        let after = self.failover.phase();
        if before != after {
            log::info!(
                target: "failover", service = &*self.context.service,
                from = before.to_string().as_str(), to = after.to_string().as_str();
                "phase changed"
            );
            *self.phase.lock().expect("no thread panics under this lock") = after;
        }
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        let service = self.context.service.clone();
        match action {
            Action::Probe(member) => self.operate(member, Operation::Probe),
            Action::Raise { member, term } => self.operate(member, Operation::Raise(term)),
            Action::Promote { member, term } => {
                log::info!(
                    target: "placement", service = &*service,
                    member = &*self.names[member], term = term, reason = "most_advanced";
                    "promoting"
                );
                self.operate(member, Operation::Promote(term));
            }
            Action::CheckReachability(member) => self.tell(NodeMessage::AskOpinions {
                service,
                member: self.names[member].clone(),
            }),
            Action::Announce { member, term } => {
                let labels = [label("outcome", "done"), name_label("service", &service)];
                self.context.metrics.promotions.add(1, &labels);
                self.tell(NodeMessage::Promoted {
                    service,
                    member: self.names[member].clone(),
                    term,
                });
            }
            Action::Reserve => self.tell(NodeMessage::Reserve {
                service,
                highest: self.failover.highest_term(),
            }),
        }
    }

    fn operate(&self, member: usize, operation: Operation) {
        // The task lives as long as this sender.
        let _ = self.operations[member].send(operation);
    }

    fn tell(&self, message: NodeMessage) {
        // A stopped control task is about to drop this delegate.
        let _ = self.context.node.send(message);
    }
}

fn start_operations(
    member: usize,
    options: ConnectOptions,
    events: flume::WeakSender<Event>,
) -> flume::Sender<Operation> {
    let (sender, operations) = flume::unbounded();
    let tell = move |operation, status| {
        let event = match operation {
            Operation::Probe => Event::Probed { member, status },
            Operation::Raise(_) => Event::Raised { member, status },
            Operation::Promote(_) => Event::Promoted { member, status },
        };
        if let Some(events) = events.upgrade() {
            // A stopped delegate needs no results.
            let _ = events.send(event);
        }
    };
    compio::runtime::spawn(operate(options, operations, tell)).detach();
    sender
}
