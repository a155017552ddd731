//! Errors of the relay.

/// Error after which a connection can't be used any more.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum RelayError {
    /// The peer closed the connection.
    #[display("the connection was closed")]
    Closed,
    /// An I/O error of the operating system.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The peer sent a message that violates the protocol.
    #[display("the message can't be read: {text}")]
    #[from(ignore)]
    Malformed {
        /// What is wrong with the message.
        text: String,
    },
    /// A message exceeds the size limit.
    #[display("a message is larger than {max_bytes} bytes")]
    #[from(ignore)]
    TooLarge {
        /// Size limit.
        max_bytes: usize,
    },
    /// The member refused the request; it was not run.
    #[display("the member refused: {class}")]
    #[from(ignore)]
    Refused {
        /// Class of the member's error.
        class: super::ErrorClass,
    },
    /// No answer arrived in time.
    #[display("no answer in time")]
    Timeout,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RelayError>;

impl RelayError {
    /// Creates an error for a message that can't be read.
    pub fn malformed(text: impl Into<String>) -> RelayError {
        RelayError::Malformed { text: text.into() }
    }
}
