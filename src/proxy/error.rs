//! Errors of connections and refusals of requests.

use crate::prelude::*;

/// Why a connection or a request failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ProxyError {
    /// Input or output failed.
    #[display("connection: {source}")]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// The other side closed the connection.
    #[display("the connection was closed")]
    Closed,
    /// A message violates the protocol.
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
    /// The other VM reported that it did not run the request.
    #[display("not run: {text}")]
    NotRun {
        /// Text of its error.
        text: String,
    },
    /// The endpoint refused the connection.
    #[display("the endpoint refused: {text}")]
    Refused {
        /// Text of its error.
        text: String,
    },
}

/// Result of work on a connection.
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
    /// Error for a message that violates the protocol.
    pub fn protocol(text: impl Into<String>) -> ProxyError {
        ProxyError::Protocol { text: text.into() }
    }
}

/// Refusal of a request, with a numbered error code.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("FK{}: {text}", code.number())]
pub struct Refusal {
    /// Error code.
    pub code: Code,
    /// Human-readable text.
    pub text: String,
    /// Time after which the request may be retried, in milliseconds.
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
