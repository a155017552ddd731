//! Identities of database groups.

use std::{hash::Hasher, net::SocketAddr};

use siphasher::sip::SipHasher13;

/// Identifies a group of members, and with it the log that a position is of. Positions of
/// different groups can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{_0:016x}")]
pub struct GroupId(pub u64);

impl GroupId {
    /// Identity of the group that has members at these addresses. It changes with each address,
    /// also where the log stays: a session then determines its floor anew.
    pub fn of_members(addresses: impl Iterator<Item = SocketAddr>) -> GroupId {
        let mut texts: Vec<String> = addresses.map(|address| address.to_string()).collect();
        texts.sort();
        let mut hasher = SipHasher13::new();
        for text in texts {
            hasher.write(text.as_bytes());
            hasher.write_u8(0);
        }
        GroupId(hasher.finish())
    }
}
