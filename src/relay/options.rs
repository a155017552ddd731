//! Options of the relay, and the interface through which it has members promoted.

use std::rc::Rc;

use futures::future::LocalBoxFuture;

use super::{Codecs, socket::LargeBudget};
pub use crate::decide::{
    attempt::{ListRead, PromoteOutcome},
    claim::{Claim, OrderRecord},
};
use crate::{
    decide::{certainty::ConfigAge, load::memory::CallerLimits},
    news::FloorListener,
    prelude::*,
};

/// Window in which the limits of client accounts hold, unless the settings name another
/// one, in milliseconds.
pub const LIMIT_WINDOW_MS: u64 = 5_000;

/// An order to promote a member.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// Name of the service.
    pub service: Name,
    /// Id of the member.
    pub member: Name,
    /// Fencing token of the claim.
    pub fence: u64,
    /// Time after which it must not be sent any more, in milliseconds since the machine
    /// booted.
    pub send_until_ms: u64,
}

/// A claim that is on its way.
pub type PendingClaim = LocalBoxFuture<'static, Option<Claim>>;

/// Functions that decide which VM may replace a primary, and that promote members.
#[derive(Clone)]
pub struct Authority {
    /// Claims the right for a service, for a VM that knows of a term; `None` when another VM
    /// holds it or the platform does not answer.
    pub claim: Rc<dyn Fn(Name, u64) -> PendingClaim>,
    /// Records in the claim which member is to be ordered, or that no order may arrive any
    /// more; `None` when the claim is lost or the platform does not answer.
    pub record_order: Rc<dyn Fn(Name, Claim, Option<OrderRecord>) -> PendingClaim>,
    /// Renews a claim whose order waits for its answer; `None` when it is lost or the
    /// platform does not answer.
    pub renew: Rc<dyn Fn(Name, Claim) -> PendingClaim>,
    /// Reads the member list and applies it; `None` when the platform does not answer.
    pub read_members: Rc<dyn Fn() -> LocalBoxFuture<'static, Option<ListRead>>>,
    /// Gives up the claim.
    pub release: Rc<dyn Fn(Name, Claim) -> LocalBoxFuture<'static, ()>>,
    /// Opens the connection for an order; `false` when that is not possible now.
    pub connect: Rc<dyn Fn(Name) -> LocalBoxFuture<'static, bool>>,
    /// Orders a promotion.
    pub promote: Rc<dyn Fn(Promotion) -> LocalBoxFuture<'static, PromoteOutcome>>,
    /// Waits for a short time for the answer to the open order of a service.
    pub await_order: Rc<dyn Fn(Name) -> LocalBoxFuture<'static, PromoteOutcome>>,
}

/// Options of the relay.
#[derive(Clone, bon::Builder)]
pub struct RelayOptions {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// Codecs of callers, members and other VMs.
    pub codecs: Codecs,
    /// Grants claims and promotes members.
    pub authority: Authority,
    /// Whether the whole system starts for the first time: no member has left yet.
    pub is_first_start: bool,
    /// Is told of each floor that this VM raises, so that other VMs can use it.
    pub on_floor: FloorListener,
    /// Age of the configuration.
    #[builder(default = Rc::new(|| ConfigAge { age_ms: Some(0), is_platform_lost: false }))]
    pub config_age: Rc<dyn Fn() -> ConfigAge>,
    /// Longest age with which the configuration counts as the newest, in milliseconds.
    #[builder(default = u64::MAX)]
    pub config_age_max_ms: u64,
    /// Longest time of a graceful shutdown, in milliseconds.
    pub grace_ms: u64,
    /// Whether to learn from a member's answers how many requests it takes well at once.
    #[builder(default)]
    pub learns_capacity: bool,
    /// Limits on what callers make the VM hold.
    #[builder(default)]
    pub caller_limits: CallerLimits,
    /// Memory for large messages, within these limits.
    #[builder(skip = LargeBudget::for_messages(&caller_limits))]
    pub large_messages: LargeBudget,
    /// Memory for large answers, within these limits.
    #[builder(skip = LargeBudget::for_answers(&caller_limits))]
    pub large_answers: LargeBudget,
    /// Window in which the limits of client accounts hold, in milliseconds.
    #[builder(default = LIMIT_WINDOW_MS)]
    pub limit_window_ms: u64,
    /// Time after which a leaving member must get no requests, in milliseconds.
    pub drain_ms: u64,
}

impl RelayOptions {
    /// Region of the VM; a zone without one counts as a region of its own.
    pub fn region(&self) -> &Name {
        self.regions.get(&self.zone).unwrap_or(&self.zone)
    }

    /// Distance of a zone: 0 for the VM's own zone, 1 within its region, 2 outside.
    pub fn distance(&self, zone: &Name) -> u32 {
        if *zone == self.zone {
            return 0;
        }
        let region = self.regions.get(zone);
        let is_near = region.is_some() && region == self.regions.get(&self.zone);
        if is_near { 1 } else { 2 }
    }
}
