//! Session tokens. A caller passes its position from one proxy to the next in a token.

use std::hash::Hasher;

use siphasher::sip::SipHasher24;

use crate::{decide::group_floor::GroupFloor, group_id::GroupId, prelude::*};

/// Version prefix of the token format.
const PREFIX: &str = "fk2";
/// Token of a session that has not written anything yet.
pub const NEW_SESSION: &str = "new";

/// Reason why a token is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum TokenError {
    /// The text is not in the token format.
    #[display("the session token has a bad format")]
    Format,
    /// The checksum does not match.
    #[display("the session token has a bad checksum")]
    Checksum,
    /// The token was issued for another service.
    #[display("the session token belongs to another service")]
    Service,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, TokenError>;

/// Encodes a position in the log of a service's group as a token.
pub fn encode(service: &str, group: GroupId, position: Position) -> String {
    let check = checksum(service, group, position);
    let Position { term, lsn } = position;
    format!("{PREFIX}.{service}.{term}.{:x}.{group}.{check:016x}", lsn.0)
}

/// Decodes a token that a caller presents for `service`: the floor of its session.
///
/// # Errors
///
/// Returns an error when the format, the checksum or the service is wrong.
pub fn decode(service: &str, text: &str) -> Result<GroupFloor> {
    if text == NEW_SESSION {
        return Ok(GroupFloor::new_session());
    }
    let mut parts = text.rsplitn(5, '.');
    let mut next = || parts.next().ok_or(TokenError::Format);
    let (check, group, lsn, term, head) = (next()?, next()?, next()?, next()?, next()?);
    let (prefix, token_service) = head.split_once('.').ok_or(TokenError::Format)?;
    if prefix != PREFIX {
        return Err(TokenError::Format);
    }
    let parse = |text| u64::from_str_radix(text, 16).map_err(|_| TokenError::Format);
    let group = GroupId(parse(group)?);
    let term = term.parse().map_err(|_| TokenError::Format)?;
    let position = Position::new(term, Lsn(parse(lsn)?));
    if parse(check)? != checksum(token_service, group, position) {
        return Err(TokenError::Checksum);
    }
    if token_service != service {
        return Err(TokenError::Service);
    }
    Ok(GroupFloor::known(position, group))
}

fn checksum(service: &str, group: GroupId, position: Position) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(service.as_bytes());
    hasher.write_u64(group.0);
    hasher.write_u64(position.term);
    hasher.write_u64(position.lsn.0);
    hasher.finish()
}
