//! Prepared statements. Their names are derived from their content, so that
//! callers share them on pooled connections.

use std::hash::Hasher;

use bytes::Bytes;
use siphasher::sip::SipHasher13;

use super::Access;
use crate::prelude::*;

/// A prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub access: Access,
    /// Text of the statement.
    pub text: Bytes,
    /// Name on connections to members.
    pub name: Name,
}

impl PreparedStatement {
    /// Creates a prepared statement and derives its name.
    pub fn new(access: Access, text: Bytes) -> PreparedStatement {
        let mut hasher = SipHasher13::new();
        hasher.write(&text);
        let prefix = match access {
            Access::Read => 'r',
            Access::Write => 'w',
        };
        let name = format!("{prefix}{:016x}", hasher.finish()).into();
        PreparedStatement { access, text, name }
    }
}
