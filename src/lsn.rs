//! Log sequence numbers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A log sequence number (LSN): a position in a database's log, written in
/// PostgreSQL's format `X/Y` with both halves in hexadecimal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Lsn(pub u64);

/// A text that is not a valid LSN.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("bad log position {text:?}")]
pub struct LsnError {
    text: String,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, LsnError>;

impl fmt::Display for Lsn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:X}/{:X}", self.0 >> 32, self.0 & 0xFFFF_FFFF)
    }
}

impl FromStr for Lsn {
    type Err = LsnError;

    fn from_str(text: &str) -> Result<Lsn> {
        let error = || LsnError { text: text.into() };
        let (high, low) = text.split_once('/').ok_or_else(error)?;
        let high = u32::from_str_radix(high, 16).map_err(|_| error())?;
        let low = u32::from_str_radix(low, 16).map_err(|_| error())?;
        Ok(Lsn(u64::from(high) << 32 | u64::from(low)))
    }
}
