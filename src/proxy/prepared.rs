//! Prepared statements of callers, independent of the connections they run on.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::{decide::classify::Class, prelude::*};

/// A prepared statement of a caller.
#[derive(Clone, Debug)]
pub struct Prepared {
    /// Text.
    pub sql: Arc<str>,
    /// Parameter types that the caller specified.
    pub type_oids: Arc<[u32]>,
    /// Class of the statement.
    pub class: Class,
    /// Name on connections, derived from the text and the parameter types.
    pub key: Name,
}

impl Prepared {
    /// Creates the description of a statement.
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
