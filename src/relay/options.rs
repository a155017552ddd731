//! What the relay needs from its surroundings.

use std::rc::Rc;

use futures::future::LocalBoxFuture;

use super::Codecs;
use crate::prelude::*;

/// Right to replace the primary of one service for a short time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Token that rises with each claim.
    pub fence: u64,
}

/// An order to promote a member.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// Service.
    pub service: Name,
    /// Id of the member.
    pub member: Name,
    /// Token of the claim.
    pub fence: u64,
}

/// Answer to a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PromoteOutcome {
    /// It will lead.
    Accepted,
    /// It can't lead.
    Refused,
    /// No usable answer came.
    Unknown,
}

/// Who decides which VM may promote, and who promotes.
#[derive(Clone)]
pub struct Authority {
    /// Claims the right for a service; `None` when another VM has it or the
    /// platform does not answer.
    pub claim: Rc<dyn Fn(Name) -> LocalBoxFuture<'static, Option<Claim>>>,
    /// Gives the right back.
    pub release: Rc<dyn Fn(Name, Claim) -> LocalBoxFuture<'static, ()>>,
    /// Orders a promotion.
    pub promote: Rc<dyn Fn(Promotion) -> LocalBoxFuture<'static, PromoteOutcome>>,
}

/// What the relay needs from its surroundings.
#[derive(Clone, bon::Builder)]
pub struct RelayOptions {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// Codecs.
    pub codecs: Codecs,
    /// Who decides about promotions.
    pub authority: Authority,
    /// Longest time of a graceful stop, in milliseconds.
    pub grace_ms: u64,
    /// Time after which a member that leaves must get no requests, in
    /// milliseconds.
    pub drain_ms: u64,
}

impl RelayOptions {
    /// Its region; a zone of no region is one of its own.
    pub fn region(&self) -> &Name {
        self.regions.get(&self.zone).unwrap_or(&self.zone)
    }

    /// Distance of a zone: 0 for the own one, 1 within the region, 2 beyond.
    pub fn distance(&self, zone: &Name) -> u32 {
        if *zone == self.zone {
            return 0;
        }
        let region = self.regions.get(zone);
        let is_near = region.is_some() && region == self.regions.get(&self.zone);
        if is_near { 1 } else { 2 }
    }
}
