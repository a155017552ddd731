//! A slot: this VM's share of the connections to one service.

mod handle;
mod member;
mod message;
mod task;

pub use handle::SlotHandle;
pub use message::{Acquire, Granted, SlotMessage, SlotReport, Want};
pub use task::{SlotContext, run};
