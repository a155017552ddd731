//! Errors of the relay.

/// Why a connection can't be used any longer.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum RelayError {
    /// The other side closed it.
    #[display("the connection was closed")]
    Closed,
    /// The operating system reports an error.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The other side does not follow the protocol.
    #[display("the message can't be read: {text}")]
    #[from(ignore)]
    Malformed {
        /// What is wrong.
        text: String,
    },
    /// A message is larger than allowed.
    #[display("a message is larger than {max_bytes} bytes")]
    #[from(ignore)]
    TooLarge {
        /// Largest size allowed.
        max_bytes: usize,
    },
    /// The member refused the request; it was not run.
    #[display("the member refused: {class}")]
    #[from(ignore)]
    Refused {
        /// Class of its error.
        class: super::ErrorClass,
    },
    /// Nothing came in time.
    #[display("no answer in time")]
    Timeout,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RelayError>;

impl RelayError {
    /// An error of a message that can't be read.
    pub fn malformed(text: impl Into<String>) -> RelayError {
        RelayError::Malformed { text: text.into() }
    }
}
