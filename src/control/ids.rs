//! Ids of changes and digests of objects.

use sha2::{Digest, Sha256};

use crate::{clock, prelude::*};

/// A new change id: who made it, when, and a random part.
pub fn change_id(by: &str) -> Name {
    let random: u32 = rand::random();
    format!("{by}-{:x}-{random:08x}", clock::epoch_ms()).into()
}

/// Digest of an object.
pub fn digest(body: &[u8]) -> Name {
    let bytes = Sha256::digest(body);
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    hex.into()
}
