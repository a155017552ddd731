//! Errors of reading settings.

use std::path::PathBuf;

use crate::prelude::*;

/// Why settings are refused.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[display("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// A file can't be parsed, or a value is not allowed; the text names the line
    /// and column.
    #[display("{}: {text}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        text: String,
    },
    /// The merged settings contradict each other, or a required key is missing.
    #[display("{key}: {text}")]
    Merged {
        /// Dotted path of the key.
        key: String,
        /// What is wrong.
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

    /// Creates an error of merged settings.
    pub fn merged(key: impl Into<String>, text: impl Into<String>) -> SettingsError {
        SettingsError::Merged {
            key: key.into(),
            text: text.into(),
        }
    }
}
