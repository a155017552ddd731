//! The delegate of a service: the task that monitors the service's primary and
//! replaces it when it fails.

use super::{
    node::NodeMessage,
    operation::{Operation, run_operations},
};
use crate::{
    clock,
    decide::failover::{Action, Event, Failover, FailoverSettings, PhaseName},
    metrics::{Metrics, label, name_label},
    prelude::*,
    proxy::{connect::ConnectOptions, connection::ConnectionTarget},
    settings::ServiceSettings,
};

/// Interval of ticks while the primary is healthy, in milliseconds.
const WATCHING_TICK_MS: u64 = 250;
/// Interval of ticks while the primary is suspected or being replaced, in
/// milliseconds.
const FAILOVER_TICK_MS: u64 = 25;

/// What a delegate shares with its VM.
#[derive(Clone)]
pub struct DelegateContext {
    /// Name of the service.
    pub service: Name,
    /// Its settings.
    pub settings: Arc<ServiceSettings>,
    /// Mailbox of this VM's control task.
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
    /// Starts a delegate that may promote members with the reserved terms.
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

    /// Sends the delegate an event.
    pub fn send(&self, event: Event) {
        // Nothing is lost if the task has stopped.
        let _ = self.events.send(event);
    }

    /// Current phase of the failover.
    pub fn phase(&self) -> PhaseName {
        *self.phase.lock().expect("no thread panics under this lock")
    }
}

struct Delegate {
    context: DelegateContext,
    failover: Failover,
    member_names: Vec<Name>,
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
            spawn_operations(index, options, events.clone())
        });
        Delegate {
            operations: operations.collect(),
            member_names: list.iter().map(|(name, _)| name.clone()).collect(),
            failover,
            context,
            phase,
        }
    }

    async fn run(mut self, mailbox: flume::Receiver<Event>) {
        loop {
            let tick_ms = match self.failover.phase() {
                PhaseName::Watching => WATCHING_TICK_MS,
                _ => FAILOVER_TICK_MS,
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
            self.execute(action);
        }
    }

    fn execute(&self, action: Action) {
        let service = self.context.service.clone();
        match action {
            Action::Probe(member) => self.start_operation(member, Operation::Probe),
            Action::Raise { member, term } => self.start_operation(member, Operation::Raise(term)),
            Action::Promote { member, term } => {
                log::info!(
                    target: "placement", service = &*service,
                    member = &*self.member_names[member], term = term, reason = "most_advanced";
                    "promoting"
                );
                self.start_operation(member, Operation::Promote(term));
            }
            Action::CheckReachability(member) => self.notify_node(NodeMessage::CheckReachability {
                service,
                member: self.member_names[member].clone(),
            }),
            Action::Announce { member, term } => {
                let labels = [label("outcome", "done"), name_label("service", &service)];
                self.context.metrics.promotions.add(1, &labels);
                self.notify_node(NodeMessage::Promoted {
                    service,
                    member: self.member_names[member].clone(),
                    term,
                });
            }
            Action::Reserve => self.notify_node(NodeMessage::ReserveTerms {
                service,
                highest: self.failover.highest_term(),
            }),
        }
    }

    fn start_operation(&self, member: usize, operation: Operation) {
        // The member's task runs as long as this sender exists.
        let _ = self.operations[member].send(operation);
    }

    fn notify_node(&self, message: NodeMessage) {
        // A control task that has stopped drops this delegate.
        let _ = self.context.node.send(message);
    }
}

/// Starts the task that runs operations on one member and reports each result
/// as an event.
fn spawn_operations(
    member: usize,
    options: ConnectOptions,
    events: flume::WeakSender<Event>,
) -> flume::Sender<Operation> {
    let (sender, operations) = flume::unbounded();
    let report = move |operation, status| {
        let event = match operation {
            Operation::Probe => Event::Probed { member, status },
            Operation::Raise(_) => Event::Raised { member, status },
            Operation::Promote(_) => Event::Promoted { member, status },
        };
        if let Some(events) = events.upgrade() {
            // Nothing is lost if the delegate has stopped.
            let _ = events.send(event);
        }
    };
    compio::runtime::spawn(run_operations(options, operations, report)).detach();
    sender
}
