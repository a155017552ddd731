//! Prepared statements of a caller, independent of connections.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::{decide::classify::Class, prelude::*};

/// A statement that a caller prepared.
#[derive(Clone, Debug)]
pub struct Prepared {
    /// Its text.
    pub sql: Arc<str>,
    /// Parameter types that the caller gave.
    pub type_oids: Arc<[u32]>,
    /// What it needs.
    pub class: Class,
    /// Name under which connections know it.
    pub key: Name,
}

impl Prepared {
    /// Describes a statement.
    pub fn new(sql: &str, type_oids: &[u32], class: Class) -> Prepared {
        let mut hasher = SipHasher13::new_with_keys(0x666f_7874_6169_6c6b, 0x6e6f_7400);
        hasher.write(sql.as_bytes());
        for oid in type_oids {
            hasher.write_u32(*oid);
        }
        let key = format!("fk_{:016x}_{:x}", hasher.finish(), sql.len());
        Prepared {
            sql: sql.into(),
            type_oids: type_oids.into(),
            class,
            key: key.into(),
        }
    }
}
