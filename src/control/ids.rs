//! Change ids and object digests.

use sha2::{Digest, Sha256};

use crate::{clock, prelude::*};

/// Creates a change id from its author, the time and a random part.
pub fn change_id(by: &str) -> Name {
    let random: u32 = rand::random();
    format!("{by}-{:x}-{random:08x}", clock::epoch_ms()).into()
}

/// SHA-256 digest of an object in hexadecimal, its name in the object store.
pub fn digest(body: &[u8]) -> Name {
    let bytes = Sha256::digest(body);
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    hex.into()
}
