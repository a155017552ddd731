//! Events of a simulation.

use super::{
    call::{Call, Reply},
    member::Waiting,
};

/// Something that happens at a set time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The reason for the replacement arises.
    Trouble,
    /// A disturbance begins.
    Disturb { index: usize },
    /// Each VM that reaches a primary commits there.
    Commit,
    /// A replica receives a log up to a length.
    Receive { from: usize, to: usize, len: usize },
    /// A replica receives all that the member which it follows has.
    CatchUp { member: usize },
    /// A VM is told that its commit is acknowledged.
    Acknowledge {
        primary: usize,
        commit: u32,
        waiting: Waiting,
    },
    /// A VM looks at its members.
    Watch { vm: usize },
    /// A call arrives, or is tried again while bytes are held up.
    Arrive(Call),
    /// The same where nobody waits for the answer.
    ArriveUnawaited(Call),
    /// The promotion service reads an order that its machine has received.
    ReadOrder(Call),
    /// A member reads an order that its machine has received.
    ReadCall { member: usize, call: Call },
    /// An answer arrives, or is tried again.
    Answer { call: Call, reply: Reply },
    /// A VM gives a call up.
    Expire { call: Call },
    /// The other members are kept fenced while an order has no answer.
    KeepFenced { vm: usize, order: u64 },
    /// A timer of an attempt.
    Timer { vm: usize, number: u64 },
    /// The store carries out a write that it held.
    LateWrite { call: Call },
    /// An order takes effect.
    TakeEffect { member: usize },
    /// An old primary has reached the new one for a second.
    Retire { member: usize },
    /// A member runs again.
    Run { member: usize },
    /// A member's entry is written.
    List { member: usize },
    /// A VM starts again.
    StartVm { vm: usize },
}
