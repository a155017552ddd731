//! Who may replace the primary of a service: one VM at a time, and nobody while an
//! order of an earlier claim may still be carried out.

use serde::{Deserialize, Serialize};

use crate::{decide::revision::Revision, prelude::*};

/// Time for which a claim excludes other VMs, by the store's clock, in milliseconds. Its
/// holder sends an order within 2.5 s and ends its attempt within 4.8 s, unless it renews
/// the claim.
pub const CLAIM_MS: u64 = 6_000;
/// Time after which an order that was sent, and of which nothing more is known, counts as
/// lost, by the store's clock, in milliseconds. What reads it later than that can't be told
/// from what never does; the partitions of the platform's site files last up to 12 s.
pub const ORDER_LOST_MS: u64 = 15_000;

/// A claim as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// VM that holds it.
    pub vm: Name,
    /// The store's clock shortly before the claim was made or renewed, in milliseconds.
    pub claimed_ms: u64,
    /// Whether the holder released it.
    pub is_released: bool,
    /// Member whose promotion the holder may have ordered.
    #[serde(default)]
    pub ordered: Option<Name>,
    /// Time of the claim under which that order was sent last, by the store's clock, in
    /// milliseconds; `None` in rows of older builds.
    #[serde(default)]
    pub ordered_ms: Option<u64>,
    /// Term before that order. A later one proves that it has arrived; `None` if it may
    /// arrive more than once.
    #[serde(default)]
    pub ordered_term: Option<u64>,
    /// Fencing token, if it is older than the row.
    #[serde(default)]
    pub fence: Option<u64>,
    /// Highest term that orders before the present one may have led to.
    #[serde(default)]
    pub settled_term: u64,
}

/// A VM that asks for a claim.
#[derive(Clone, Copy, Debug)]
pub struct Claimant<'a> {
    /// Its name.
    pub vm: &'a Name,
    /// Highest term that a member has reported to it.
    pub highest_term: u64,
}

/// A claim that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Fencing token. It stays the same as long as an order may still arrive.
    pub fence: u64,
    /// Revision of the row.
    pub revision: Revision,
    /// The row.
    pub row: ClaimRow,
}

/// An order that is about to be sent.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// Member to be promoted.
    pub member: Name,
    /// Highest term that a member has reported; `None` if an earlier order for the same
    /// member may also arrive.
    pub term: Option<u64>,
}

impl ClaimRow {
    /// Row for a claim by `claimant` at `now_ms` of the store's clock, where the present
    /// row is `held`, of revision `known`; `None` if another VM may still act.
    ///
    /// As long as an order may still arrive, only its own VM may claim again. The row then
    /// keeps the order, and the token: the same order sent once more is not another one.
    pub fn claimed(
        held: Option<&ClaimRow>,
        known: Revision,
        claimant: Claimant<'_>,
        now_ms: u64,
    ) -> Option<ClaimRow> {
        let new = ClaimRow {
            vm: claimant.vm.clone(),
            claimed_ms: now_ms,
            is_released: false,
            ordered: None,
            ordered_ms: None,
            ordered_term: None,
            fence: None,
            settled_term: 0,
        };
        let Some(held) = held else {
            return Some(new);
        };
        let is_own = held.vm == *claimant.vm;
        let is_expired = now_ms >= held.claimed_ms + CLAIM_MS;
        let may_arrive = held.may_arrive(claimant.highest_term, now_ms);
        if !is_own && (may_arrive || !(is_expired || held.is_released)) {
            return None;
        }
        // Versions that the store gave out before it was restored may be lower.
        let fence = held.fence.unwrap_or(known.to_fence());
        let keeps_fence = held.ordered.is_some() && Revision::from_fence(fence).era == known.era;
        let new = ClaimRow {
            fence: (is_own && keeps_fence).then_some(fence),
            settled_term: held.term_after_order(),
            ..new
        };
        Some(match may_arrive {
            true => ClaimRow {
                ordered: held.ordered.clone(),
                ordered_ms: Some(held.ordered_ms()),
                ordered_term: held.ordered_term,
                settled_term: held.settled_term,
                ..new
            },
            false => new,
        })
    }

    /// Whether the recorded order may still be carried out, for a VM that knows of a term.
    fn may_arrive(&self, highest_term: u64, now_ms: u64) -> bool {
        let is_lost = now_ms >= self.ordered_ms() + ORDER_LOST_MS;
        self.ordered.is_some() && !is_lost && !self.is_later_term(highest_term)
    }

    fn ordered_ms(&self) -> u64 {
        self.ordered_ms.unwrap_or(self.claimed_ms)
    }

    /// Whether a term proves that the recorded order has arrived.
    pub fn is_later_term(&self, term: u64) -> bool {
        self.ordered_term.is_some_and(|before| term > before)
    }

    /// Highest term that the recorded order and earlier ones may have led to.
    fn term_after_order(&self) -> u64 {
        let led = self.ordered_term.map_or(0, |term| term + 1);
        self.settled_term.max(led)
    }
}

impl Claim {
    /// The only member that may be ordered, because an order for it, given before this
    /// claim, may still be carried out.
    pub fn open_order(&self) -> Option<&Name> {
        self.row.ordered.as_ref()
    }

    /// Row that records an order before it is sent, or that none may arrive any more.
    pub fn row_with_order(&self, order: Option<&OrderRecord>) -> ClaimRow {
        let row = ClaimRow {
            fence: Some(self.fence),
            ..self.row.clone()
        };
        match order {
            Some(order) => ClaimRow {
                ordered: Some(order.member.clone()),
                ordered_ms: Some(row.claimed_ms),
                ordered_term: order.term.map(|term| term.max(row.settled_term)),
                ..row
            },
            None => ClaimRow {
                ordered: None,
                ordered_ms: None,
                ordered_term: None,
                settled_term: row.term_after_order(),
                ..row
            },
        }
    }

    /// Row that renews the claim at `now_ms` of the store's clock, while the holder waits
    /// for the answer to its order.
    pub fn renewed_row(&self, now_ms: u64) -> ClaimRow {
        ClaimRow {
            claimed_ms: now_ms,
            ordered_ms: Some(now_ms),
            fence: Some(self.fence),
            ..self.row.clone()
        }
    }

    /// Row that lets other VMs claim at once, where no order was sent.
    pub fn released_row(&self) -> ClaimRow {
        ClaimRow {
            claimed_ms: 0,
            is_released: true,
            settled_term: self.row.settled_term,
            ..self.row_with_order(None)
        }
    }

    /// The claim once `row` was written at `revision`.
    pub fn after_write(row: ClaimRow, revision: Revision) -> Claim {
        Claim {
            fence: row.fence.unwrap_or(revision.to_fence()),
            revision,
            row,
        }
    }
}
