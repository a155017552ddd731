//! Errors of the platform's client.

use crate::prelude::*;

/// Why a call to the platform failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// It did not answer, or answered with an error status; no row was changed.
    #[display("the platform does not answer: {text}")]
    Unavailable {
        /// Detail.
        text: String,
    },
    /// A write got no answer, and reading the row again did not show whether it
    /// took effect.
    #[display("it is not known whether the platform made the change: {text}")]
    Unknown {
        /// Detail.
        text: String,
    },
    /// Its answer can't be decoded.
    #[display("the platform's answer can't be read: {text}")]
    BadAnswer {
        /// Detail.
        text: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, StoreError>;

impl StoreError {
    /// The numbered code.
    pub fn code(&self) -> Code {
        match self {
            StoreError::Unknown { .. } => Code::PlatformUnknown,
            _ => Code::PlatformUnavailable,
        }
    }

    /// An error of a call that got no usable answer.
    pub fn unavailable(text: impl ToString) -> StoreError {
        StoreError::Unavailable {
            text: text.to_string(),
        }
    }
}
