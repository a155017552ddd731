//! A slot: this VM's share of the connections to the members of one service.

mod handle;
mod member;
mod message;
mod task;

pub use handle::SlotHandle;
pub use message::{Acquire, Granted, Purpose, SlotMessage, SlotReport};
pub use task::{SlotContext, run};
