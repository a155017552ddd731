//! Handle of the task that meters accounts.

use std::rc::Rc;

use futures::channel::oneshot;

use super::{
    Take,
    message::MeterMessage,
    meter::{Meter, WAIT_MS},
};
use crate::{
    decide::load::{account::Account, allotment::Grant},
    metrics::Metrics,
    relay::{RelayOptions, Vms},
};

/// Meters the operations of accounts.
#[derive(Clone)]
pub struct AccountMeter {
    mailbox: flume::Sender<MeterMessage>,
}

impl AccountMeter {
    /// Starts the task.
    pub fn start(options: Rc<RelayOptions>, metrics: Metrics) -> AccountMeter {
        let (mailbox, messages) = flume::unbounded();
        let meter = Meter::new(options, metrics, mailbox.clone());
        compio::runtime::spawn(meter.run(messages)).detach();
        AccountMeter { mailbox }
    }

    /// Waits until the account may run an operation.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should try again, in milliseconds, when
    /// the account is over its limit or too few VMs answer to tell.
    pub async fn admit(&self, account: &Account) -> Result<(), u64> {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let (reply, admitted) = oneshot::channel();
        self.send(MeterMessage::Admit {
            account: account.name.clone(),
            limit,
            reply,
        });
        admitted.await.unwrap_or(Err(WAIT_MS))
    }

    /// Gives back the token of an operation that was not sent to any member.
    pub fn give_back(&self, account: &Account) {
        if account.limit.is_some() {
            let account = account.name.clone();
            self.send(MeterMessage::GiveBack { account });
        }
    }

    /// Grants tokens to another VM; `None` while this VM can't tell.
    pub async fn take(&self, take: Take) -> Option<Grant> {
        let (reply, granted) = oneshot::channel();
        self.send(MeterMessage::Take { take, reply });
        granted.await.ok()
    }

    /// Replaces the active VMs.
    pub fn update_vms(&self, vms: Rc<Vms>) {
        self.send(MeterMessage::Vms(vms));
    }

    fn send(&self, message: MeterMessage) {
        // The task ends only with the process.
        let _ = self.mailbox.send(message);
    }
}
