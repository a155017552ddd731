//! An attempt of a VM and the calls that it waits for.

use foxtailknot::{
    decide::{
        attempt::{Attempt, ListRead, OrderAnswer},
        claim::{Claim, ClaimRow},
    },
    prelude::*,
};

use super::call::{Reply, Request};

/// Part of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The claim is being made.
    Claiming,
    /// The steps of [`Attempt`] are taken.
    Steps,
    /// The claim is being released.
    Releasing,
}

/// An attempt that is being carried out.
#[derive(Clone, Debug)]
pub struct Run {
    /// Decides the steps.
    pub attempt: Attempt,
    /// Part that it is in.
    pub stage: Stage,
    /// Time at which the claim was asked for by the store's clock, in milliseconds.
    pub claimed_ms: u64,
    /// Time at which it was started, in milliseconds.
    pub started_ms: u64,
    /// Member to be replaced.
    pub primary: Option<usize>,
    /// Whether that member did not answer before.
    pub is_primary_silent: bool,
    /// Term that members are fenced for.
    pub term: u64,
    /// Highest term that a member has reported.
    pub highest_term: u64,
    /// The claim, once it is held.
    pub claim: Option<Claim>,
    /// Calls that the present step waits for.
    pub calls: BTreeMap<u64, Request>,
    /// Those of them that order the primary to step down.
    pub step_down_calls: BTreeSet<u64>,
    /// Those of the latter that go through another VM.
    pub relayed_calls: BTreeSet<u64>,
    /// Last answer to the orders to step down, except those that were not delivered.
    pub step_down_answer: OrderAnswer,
    /// Whether the other members have been ordered in this step.
    pub has_ordered_others: bool,
    /// What the members have answered in this step.
    pub answers: BTreeMap<Name, OrderAnswer>,
    /// The list, as read in this step.
    pub list: Option<ListRead>,
    /// Whether the order is recorded, or the claim renewed.
    pub is_recorded: bool,
    /// Row of the claim that is being written.
    pub written: Option<ClaimRow>,
    /// Call of the order that waits for its answer.
    pub open_order: Option<u64>,
    /// Answer to that order.
    pub order_reply: Option<Reply>,
    /// Time at which the claim's renewal was asked for, in milliseconds.
    pub renewal_asked_ms: u64,
    /// Number of the timer that the step waits for.
    pub timer: Option<u64>,
    /// What a call in this step has led to.
    pub outcome: Option<Reply>,
}
