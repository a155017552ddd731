//! Errors of commands.

use crate::{
    control::{apply::ApplyError, daemon::DaemonError, peer_clients::PeerError},
    prelude::*,
    settings::SettingsError,
    store::StoreError,
};

/// Error of a command: a code and a one-line message for the operator.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("FK{} {text}", code.number())]
pub struct CmdError {
    /// The numbered code.
    pub code: Code,
    /// What went wrong.
    pub text: String,
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, CmdError>;

impl CmdError {
    /// Creates an error from a code and its cause.
    pub fn new(code: Code, text: impl ToString) -> CmdError {
        CmdError {
            code,
            text: text.to_string(),
        }
    }
}

impl From<SettingsError> for CmdError {
    fn from(error: SettingsError) -> CmdError {
        CmdError::new(error.code(), error)
    }
}

impl From<DaemonError> for CmdError {
    fn from(error: DaemonError) -> CmdError {
        CmdError::new(error.code(), error)
    }
}

impl From<StoreError> for CmdError {
    fn from(error: StoreError) -> CmdError {
        CmdError::new(error.code(), error)
    }
}

impl From<ApplyError> for CmdError {
    fn from(error: ApplyError) -> CmdError {
        CmdError::new(error.code(), error)
    }
}

impl From<PeerError> for CmdError {
    fn from(error: PeerError) -> CmdError {
        CmdError::new(Code::PeerUnavailable, error)
    }
}
