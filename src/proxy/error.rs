//! Errors of the statement path.

use crate::prelude::*;

/// Why a connection or a request failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ProxyError {
    /// The connection broke.
    #[display("connection: {source}")]
    Io {
        /// Why.
        source: std::io::Error,
    },
    /// The other side closed the connection.
    #[display("the connection was closed")]
    Closed,
    /// A message does not follow the protocol.
    #[display("protocol: {text}")]
    Protocol {
        /// What is wrong.
        text: String,
    },
    /// A message is larger than allowed.
    #[display("a message of {bytes} bytes is larger than allowed")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// The other side did not answer in time.
    #[display("no answer in time")]
    Timeout,
    /// The other VM says that it did not run the request.
    #[display("not run: {text}")]
    NotRun {
        /// Its words.
        text: String,
    },
    /// The endpoint refused the connection.
    #[display("the endpoint refused: {text}")]
    Refused {
        /// Its words.
        text: String,
    },
}

/// Result of the statement path.
pub type Result<T> = std::result::Result<T, ProxyError>;

impl From<std::io::Error> for ProxyError {
    fn from(source: std::io::Error) -> ProxyError {
        ProxyError::Io { source }
    }
}

impl From<pgwire::error::PgWireError> for ProxyError {
    fn from(error: pgwire::error::PgWireError) -> ProxyError {
        ProxyError::protocol(error.to_string())
    }
}

impl ProxyError {
    /// An error of a message that does not follow the protocol.
    pub fn protocol(text: impl Into<String>) -> ProxyError {
        ProxyError::Protocol { text: text.into() }
    }
}

/// A request that is answered with a numbered code.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("FK{}: {text}", code.number())]
pub struct Refusal {
    /// The code.
    pub code: Code,
    /// Text for a person.
    pub text: String,
    /// Time after which to try again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(code: Code, text: impl Into<String>) -> Refusal {
        Refusal {
            code,
            text: text.into(),
            retry_after_ms: None,
        }
    }
}
