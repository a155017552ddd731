//! Who may replace the primary of a service: one VM at a time, and nobody while an
//! order of an earlier claim may still be carried out.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time for which a claim excludes other VMs, by the store's clock, in milliseconds. Its
/// holder orders a promotion within 2.5 s and gives an order up within another 0.7 s;
/// the rest is for an order on its way.
pub const CLAIM_MS: u64 = 6_000;

/// A claim as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// VM that holds it.
    pub vm: Name,
    /// The store's clock shortly before the row was written, in milliseconds.
    pub claimed_ms: u64,
    /// Whether the holder released it.
    pub is_released: bool,
    /// Member whose promotion the holder may have ordered.
    #[serde(default)]
    pub ordered: Option<Name>,
}

/// Whether `own` may claim at `now_ms` of the store's clock, by the row that it read. Its
/// own claim may be renewed as long as nothing was ordered under it.
pub fn may_claim(held: Option<&ClaimRow>, own: &Name, now_ms: u64) -> bool {
    let Some(held) = held else {
        return true;
    };
    let is_expired = now_ms >= held.claimed_ms + CLAIM_MS;
    let is_renewal = held.vm == *own && held.ordered.is_none();
    is_expired || held.is_released || is_renewal
}
