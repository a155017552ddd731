//! The task that meters the operations of accounts on one VM. It also counts for
//! other VMs, where this VM is the counter of an account.

mod contact;

use std::{collections::VecDeque, net::SocketAddr, rc::Rc};

use futures::channel::oneshot;

use super::{
    Take,
    client::{self, Question},
    message::{Inquiry, MeterMessage},
};
use crate::{
    clock,
    decide::load::{
        account::RateLimit,
        allotment::{Credit, Grant, WindowCount},
        askers::{ASKING_MS, Askers, DEPUTY_CONTACT_MS},
        counters::{
            CONTACT_MS, Counter, FAILED_MS, PROVE_CONTACT_MS, PeerHealth, choose_counter, counters,
        },
    },
    decision_log::decision,
    metrics::{Metrics, label},
    prelude::*,
    relay::{RelayOptions, Vms},
};

/// Longest time between two passes of the task.
const TICK: Duration = Duration::from_millis(250);
/// Longest wait for the answer of a counter, in milliseconds: two round trips to another
/// region, and VMs that get no processor time for a tenth of a second.
const ANSWER_MS: u64 = 300;
/// Added for each VM that the asked one may have to ask itself, in milliseconds.
const ANSWER_PER_RANK_MS: u64 = 200;
/// Longest time for which an operation waits for a token, in milliseconds: a counter
/// that does not answer, and its first deputy.
pub const WAIT_MS: u64 = 600;
/// Time after which a VM should ask again while it is not clear who counts, in
/// milliseconds.
const UNDECIDED_MS: u64 = 200;
/// Time after the start for which operations wait for the list of VMs, in milliseconds.
const VMS_WAIT_MS: u64 = 6_000;
/// Time after its start of which a counter does not know what was granted, in
/// milliseconds: other VMs may still ask the deputy that granted in its absence.
const OVERLAP_MS: u64 = FAILED_MS;
/// Time after which the state of an unused account is dropped, in milliseconds. A
/// window is over by then.
const IDLE_MS: u64 = 60_000;

/// An operation that waits for a token.
struct Waiting {
    since_ms: u64,
    reply: oneshot::Sender<Result<(), u64>>,
}

/// State of an account whose callers use this VM.
struct AccountState {
    limit: RateLimit,
    credit: Credit,
    waiting: VecDeque<Waiting>,
    /// Whether a counter is being asked.
    is_asking: bool,
    /// The VM that answered last, unless it is the first counter.
    deputy: Option<Name>,
}

/// Whether a question goes to the first counter of its account.
type IsFirst = bool;

/// Connection to another VM.
struct Peer {
    address: SocketAddr,
    questions: flume::Sender<Question>,
}

/// State of the task.
pub struct Meter {
    options: Rc<RelayOptions>,
    metrics: Metrics,
    mailbox: flume::Sender<MeterMessage>,
    accounts: BTreeMap<Name, AccountState>,
    /// Counts of the accounts that this VM counts for.
    counts: BTreeMap<Name, WindowCount>,
    /// VMs that ask this one as a deputy.
    askers: Askers,
    /// Counters of accounts, best first, for the present list of VMs.
    rankings: BTreeMap<Name, Rc<Vec<Name>>>,
    vms: Rc<Vms>,
    /// Connections, for questions to a first counter and for others apart: a deputy may have
    /// to ask others before it answers, and must not hold up those questions.
    peers: BTreeMap<(Name, IsFirst), Peer>,
    /// Whether the VMs answer that were asked; missing if they always did.
    health: BTreeMap<Name, PeerHealth>,
    /// Time since which this VM has counted without a break, in milliseconds.
    counting_since_ms: u64,
    /// Whether nothing can have been granted before.
    is_first_start: bool,
    started_ms: u64,
    /// Time of the last message from another VM, in milliseconds.
    contact_ms: u64,
    /// Time at which this VM last proved contact to the deputies that it asks, in
    /// milliseconds.
    deputy_contact_ms: u64,
    /// Time of the last pass of the task, in milliseconds.
    passed_ms: u64,
    /// Time of the next look for what is due, in milliseconds.
    expire_ms: u64,
}

impl Meter {
    /// Creates the state. `mailbox` takes messages to the task itself.
    pub fn new(
        options: Rc<RelayOptions>,
        metrics: Metrics,
        mailbox: flume::Sender<MeterMessage>,
    ) -> Meter {
        let now_ms = clock::boot_ms();
        Meter {
            is_first_start: options.is_first_start,
            options,
            metrics,
            mailbox,
            accounts: BTreeMap::new(),
            counts: BTreeMap::new(),
            askers: Askers::default(),
            rankings: BTreeMap::new(),
            vms: Rc::default(),
            peers: BTreeMap::new(),
            health: BTreeMap::new(),
            counting_since_ms: now_ms,
            started_ms: now_ms,
            contact_ms: now_ms,
            deputy_contact_ms: now_ms,
            passed_ms: now_ms,
            expire_ms: now_ms,
        }
    }

    /// Handles messages. Ends only with the process.
    pub async fn run(mut self, messages: flume::Receiver<MeterMessage>) {
        loop {
            let received = compio::time::timeout(TICK, messages.recv_async()).await;
            self.note_time();
            match received {
                Ok(Ok(message)) => self.handle(message),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            if self.passed_ms >= self.expire_ms {
                self.expire_ms = self.passed_ms + TICK.as_millis() as u64;
                self.expire();
            }
        }
    }

    fn handle(&mut self, message: MeterMessage) {
        match message {
            MeterMessage::Admit {
                account,
                limit,
                reply,
            } => self.admit(account, limit, reply),
            MeterMessage::GiveBack { account } => {
                if let Some(state) = self.accounts.get_mut(&account) {
                    state.credit.give_back();
                }
            }
            MeterMessage::Take { take, reply } => {
                self.note_contact(&take.from);
                match take.tokens {
                    // The other VM proves contact, and may have gone.
                    0 => drop(reply.send(Grant::default())),
                    _ => self.inquire(Inquiry::Passed { take, reply }),
                }
            }
            MeterMessage::Answered {
                inquiry,
                vm,
                asked_ms,
                grant,
            } => self.answered(inquiry, &vm, asked_ms, grant),
            MeterMessage::Vms(vms) => {
                self.rankings.clear();
                self.peers
                    .retain(|(vm, _), peer| vms.addresses.get(vm) == Some(&peer.address));
                self.vms = vms;
                self.ask_for_waiting();
            }
        }
    }

    fn admit(&mut self, account: Name, limit: RateLimit, reply: oneshot::Sender<Result<(), u64>>) {
        let now_ms = clock::boot_ms();
        let state = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountState {
                limit,
                credit: Credit::default(),
                waiting: VecDeque::new(),
                is_asking: false,
                deputy: None,
            });
        state.limit = limit;
        state.credit.record_demand(now_ms);
        if state.waiting.is_empty() && state.credit.spend(now_ms) {
            // The caller may have gone; its token expires.
            let _ = reply.send(Ok(()));
            if !state.is_asking && state.credit.is_low(now_ms) {
                self.ask(account);
            }
            return;
        }
        if let Some(retry_after_ms) = state.credit.refusal_ms(now_ms) {
            return self.refuse(&account, "over_limit", retry_after_ms, reply);
        }
        state.waiting.push_back(Waiting {
            since_ms: now_ms,
            reply,
        });
        if !state.is_asking {
            self.ask(account);
        }
    }

    fn refuse(
        &self,
        account: &Name,
        reason: &'static str,
        retry_after_ms: u64,
        reply: oneshot::Sender<Result<(), u64>>,
    ) {
        self.metrics
            .account_refusals
            .add(1, &[label("reason", reason)]);
        decision!(
            "account", account = &**account, reason = reason, retry_after_ms = retry_after_ms;
            "operation refused"
        );
        let _ = reply.send(Err(retry_after_ms));
    }

    /// Asks for tokens for the operations that wait and for those to come.
    fn ask(&mut self, account: Name) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.is_asking = true;
            self.inquire(Inquiry::Own { account });
        }
    }

    fn ranking(&mut self, account: &Name) -> Rc<Vec<Name>> {
        let places = &self.vms.places;
        let ranking = self
            .rankings
            .entry(account.clone())
            .or_insert_with(|| Rc::new(counters(account, places)));
        ranking.clone()
    }

    /// Asks the best ranked counter that answers, or decides here.
    fn inquire(&mut self, inquiry: Inquiry) {
        let now_ms = clock::boot_ms();
        let (take, asked_rank) = match &inquiry {
            Inquiry::Passed { take, .. } => (take.clone(), Some(take.rank)),
            Inquiry::Own { account } => match self.accounts.get(account) {
                Some(state) => {
                    let take = Take {
                        from: self.options.vm.clone(),
                        account: account.clone(),
                        tokens: state.credit.wanted(state.waiting.len()),
                        limit: state.limit,
                        rank: 0,
                    };
                    (take, None)
                }
                None => return,
            },
            Inquiry::Contact => return,
        };
        let ranking = self.ranking(&take.account);
        let state = |vm: &Name| {
            let health = self.health.get(vm).copied().unwrap_or_default();
            health.state(now_ms)
        };
        let is_alone = self.vms.places.len() <= 1;
        let has_contact = is_alone || now_ms < self.contact_ms + CONTACT_MS;
        let own = (&self.options.vm, has_contact);
        match choose_counter(&ranking, own, asked_rank, state) {
            Counter::Own => {
                let is_first = ranking.first() == Some(&self.options.vm);
                let grant = self.take_own(&take, is_first);
                self.apply(inquiry, now_ms, grant);
            }
            Counter::Other { vm, rank } => {
                let from = self.options.vm.clone();
                let take = Take { from, rank, ..take };
                self.send_question(inquiry, vm, take);
            }
            Counter::None => self.answer_without_counter(inquiry),
        }
    }

    fn take_own(&mut self, take: &Take, is_first: bool) -> Grant {
        let now_ms = clock::boot_ms();
        let counted_ms = match (is_first, self.is_first_start) {
            (true, true) => u64::MAX,
            (true, false) => now_ms.saturating_sub(self.counting_since_ms + OVERLAP_MS),
            // The first counter may have granted all until just now.
            (false, _) => 0,
        };
        let limit = match is_first {
            true => take.limit,
            false => {
                self.askers
                    .record_question(&take.account, &take.from, now_ms);
                let asking = self.askers.count(&take.account, now_ms);
                take.limit.for_deputy(asking, self.vms.places.len())
            }
        };
        let window_ms = self.options.limit_window_ms;
        let count = self
            .counts
            .entry(take.account.clone())
            .or_insert_with(|| WindowCount::new(limit, window_ms, counted_ms, now_ms));
        let grant = count.take(take.tokens, limit, now_ms);
        if grant.tokens < take.tokens {
            decision!(
                "account", account = &*take.account, wanted = take.tokens, granted = grant.tokens,
                rate_per_s = take.limit.rate_per_s, burst = take.limit.burst,
                version = take.limit.version, rank = take.rank; "account over its limit"
            );
        }
        grant
    }

    fn send_question(&mut self, inquiry: Inquiry, vm: Name, take: Take) {
        let now_ms = clock::boot_ms();
        let Some(address) = self.vms.addresses.get(&vm).copied() else {
            return;
        };
        let codec = self.options.codecs.forward;
        let peer = self
            .peers
            .entry((vm.clone(), take.rank == 0))
            .or_insert_with(|| {
                let (questions, asked) = flume::unbounded();
                compio::runtime::spawn(client::run(address, Rc::new(codec), asked)).detach();
                Peer { address, questions }
            });
        let (reply, granted) = oneshot::channel();
        let limit_ms = ANSWER_MS + ANSWER_PER_RANK_MS * take.rank as u64;
        // Fails only if the task of the connection has ended; the answer is then missing.
        let _ = peer.questions.send(Question { take, reply });
        let mailbox = self.mailbox.clone();
        compio::runtime::spawn(async move {
            let limit = Duration::from_millis(limit_ms);
            let granted = compio::time::timeout(limit, granted).await;
            let grant = granted.ok().and_then(|granted| granted.ok());
            // The task ends only with the process.
            let _ = mailbox.send(MeterMessage::Answered {
                inquiry,
                vm,
                asked_ms: now_ms,
                grant,
            });
        })
        .detach();
    }

    fn answered(&mut self, inquiry: Inquiry, vm: &Name, asked_ms: u64, grant: Option<Grant>) {
        let now_ms = clock::boot_ms();
        let Some(grant) = grant else {
            decision!("account", peer = &**vm; "a counter does not answer");
            let health = self.health.entry(vm.clone()).or_default();
            health.record_failure(asked_ms, now_ms);
            return self.inquire(inquiry);
        };
        self.health.remove(vm);
        self.note_contact(vm);
        match &inquiry {
            // This VM no longer counts for the account.
            Inquiry::Passed { take, .. } => drop(self.counts.remove(&take.account)),
            Inquiry::Own { account } => {
                let is_first = self.ranking(account).first() == Some(vm);
                if let Some(state) = self.accounts.get_mut(account) {
                    state.deputy = (!is_first).then(|| vm.clone());
                }
            }
            Inquiry::Contact => {}
        }
        self.apply(inquiry, asked_ms, grant);
    }

    fn apply(&mut self, inquiry: Inquiry, asked_ms: u64, grant: Grant) {
        let account = match inquiry {
            // The other VM may have stopped waiting.
            Inquiry::Passed { reply, .. } => {
                let _ = reply.send(grant);
                return;
            }
            Inquiry::Contact => return,
            Inquiry::Own { account } => account,
        };
        let now_ms = clock::boot_ms();
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        state.is_asking = false;
        state.credit.add(grant, asked_ms, now_ms);
        while !state.waiting.is_empty() && state.credit.spend(now_ms) {
            if let Some(waiting) = state.waiting.pop_front()
                && waiting.reply.send(Ok(())).is_err()
            {
                // The caller has gone.
                state.credit.give_back();
            }
        }
        if state.waiting.is_empty() {
            return;
        }
        match state.credit.refusal_ms(now_ms) {
            Some(retry_after_ms) => {
                for waiting in std::mem::take(&mut state.waiting) {
                    self.refuse(&account, "over_limit", retry_after_ms, waiting.reply);
                }
            }
            // More operations have come while the counter was asked.
            None => self.ask(account),
        }
    }

    /// Lets few operations pass while no counter answers.
    fn answer_without_counter(&mut self, inquiry: Inquiry) {
        let account = match inquiry {
            Inquiry::Own { account } => account,
            Inquiry::Contact => return,
            // The first counter may be back in a moment.
            Inquiry::Passed { reply, .. } => {
                let _ = reply.send(Grant {
                    tokens: 0,
                    retry_after_ms: UNDECIDED_MS,
                });
                return;
            }
        };
        let now_ms = clock::boot_ms();
        let knows_vms = !self.vms.places.is_empty();
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        state.is_asking = false;
        if !knows_vms && now_ms < self.started_ms + VMS_WAIT_MS {
            return;
        }
        for waiting in std::mem::take(&mut state.waiting) {
            let Some(state) = self.accounts.get_mut(&account) else {
                return;
            };
            let scope = (self.options.limit_window_ms, self.vms.places.len());
            match state.credit.pass_cut_off(state.limit, scope, now_ms) {
                Ok(()) => {
                    let _ = waiting.reply.send(Ok(()));
                }
                Err(retry_after_ms) => {
                    self.refuse(&account, "no_counter", retry_after_ms, waiting.reply);
                }
            }
        }
    }

    /// Asks again for the operations that wait while no counter is asked.
    fn ask_for_waiting(&mut self) {
        let unasked: Vec<Name> = self
            .accounts
            .iter()
            .filter(|(_, state)| !state.is_asking && !state.waiting.is_empty())
            .map(|(account, _)| account.clone())
            .collect();
        for account in unasked {
            self.ask(account);
        }
    }

    /// Refuses operations that have waited for too long, and drops unused state.
    fn expire(&mut self) {
        let now_ms = clock::boot_ms();
        let mut due = Vec::new();
        for (account, state) in &mut self.accounts {
            while let Some(waiting) = state.waiting.front()
                && now_ms >= waiting.since_ms + WAIT_MS
            {
                due.extend(state.waiting.pop_front().map(|w| (account.clone(), w)));
            }
        }
        for (account, waiting) in due {
            self.refuse(&account, "no_counter", WAIT_MS, waiting.reply);
        }
        self.ask_for_waiting();
        self.prove_contact();
        self.keep_contact();
        self.accounts.retain(|_, state| {
            state.is_asking || !state.waiting.is_empty() || state.credit.idle_ms(now_ms) < IDLE_MS
        });
        self.counts
            .retain(|_, count| count.idle_ms(now_ms) < IDLE_MS);
        self.askers.expire(now_ms);
        let places = &self.vms.places;
        self.health.retain(|vm, _| places.contains_key(vm));
    }
}
