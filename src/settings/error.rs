//! Errors of settings.

use std::path::PathBuf;

use crate::prelude::*;

/// Reason to refuse settings.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[display("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file can't be parsed or a value is not allowed; the text names line and column.
    #[display("{}: {text}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Why.
        text: String,
    },
    /// The merged settings contradict each other or lack something.
    #[display("{key}: {text}")]
    Merged {
        /// Key, with dots.
        key: String,
        /// Why.
        text: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, SettingsError>;

impl SettingsError {
    /// The numbered code.
    pub fn code(&self) -> Code {
        match self {
            SettingsError::Unreadable { .. } => Code::SettingsUnreadable,
            _ => Code::SettingsInvalid,
        }
    }

    /// An error of merged settings.
    pub fn merged(key: impl Into<String>, text: impl Into<String>) -> SettingsError {
        SettingsError::Merged {
            key: key.into(),
            text: text.into(),
        }
    }
}
