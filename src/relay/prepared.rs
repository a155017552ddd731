//! Prepared statements, named by what they are, so that callers share them.

use std::hash::Hasher;

use bytes::Bytes;
use siphasher::sip::SipHasher13;

use super::Access;
use crate::prelude::*;

/// What a prepared statement is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub access: Access,
    /// The statement.
    pub text: Bytes,
    /// Name that it has on connections to members.
    pub name: Name,
}

impl PreparedStatement {
    /// Creates a prepared statement and derives its name.
    pub fn new(access: Access, text: Bytes) -> PreparedStatement {
        let mut hasher = SipHasher13::new();
        hasher.write(&text);
        let mark = match access {
            Access::Read => 'r',
            Access::Write => 'w',
        };
        let name = format!("{mark}{:016x}", hasher.finish()).into();
        PreparedStatement { access, text, name }
    }
}
