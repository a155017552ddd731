//! Messages to the task that meters accounts.

use std::rc::Rc;

use futures::channel::oneshot;

use super::Take;
use crate::{
    decide::load::{account::RateLimit, allotment::Grant},
    prelude::*,
    relay::Vms,
};

/// A message to the task.
pub enum MeterMessage {
    /// A caller wants to run an operation.
    Admit {
        account: Name,
        limit: RateLimit,
        reply: oneshot::Sender<Result<(), u64>>,
    },
    /// An operation that was admitted was not sent to any member.
    GiveBack { account: Name },
    /// Another VM asks for tokens.
    Take {
        take: Take,
        reply: oneshot::Sender<Grant>,
    },
    /// Another VM has answered, or not.
    Answered {
        inquiry: Inquiry,
        vm: Name,
        asked_ms: u64,
        grant: Option<Grant>,
    },
    /// The active VMs.
    Vms(Rc<Vms>),
}

/// Why another VM is asked for tokens.
pub enum Inquiry {
    /// Operations of this VM's callers need them.
    Own { account: Name },
    /// To prove contact.
    Contact,
    /// A VM that does not reach it asked this VM instead.
    Passed {
        take: Take,
        reply: oneshot::Sender<Grant>,
    },
}
