//! Messages of the PostgreSQL protocol in encoded form, and their tags.

use bytes::Bytes;

/// Size of a message's tag and length.
pub const HEADER_BYTES: usize = 5;

/// Tags of messages that callers send.
pub mod from_caller {
    /// `Query`.
    pub const QUERY: u8 = b'Q';
    /// `Parse`.
    pub const PARSE: u8 = b'P';
    /// `Bind`.
    pub const BIND: u8 = b'B';
    /// `Describe`.
    pub const DESCRIBE: u8 = b'D';
    /// `Execute`.
    pub const EXECUTE: u8 = b'E';
    /// `Close`.
    pub const CLOSE: u8 = b'C';
    /// `Flush`.
    pub const FLUSH: u8 = b'H';
    /// `Sync`.
    pub const SYNC: u8 = b'S';
    /// `Terminate`.
    pub const TERMINATE: u8 = b'X';
    /// `FunctionCall`.
    pub const FUNCTION_CALL: u8 = b'F';
}

/// Tags of messages that endpoints send.
pub mod from_endpoint {
    /// `Authentication`.
    pub const AUTHENTICATION: u8 = b'R';
    /// `BackendKeyData`.
    pub const KEY_DATA: u8 = b'K';
    /// `ParameterStatus`.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// `ReadyForQuery`.
    pub const READY: u8 = b'Z';
    /// `ErrorResponse`.
    pub const ERROR: u8 = b'E';
    /// `NoticeResponse`.
    pub const NOTICE: u8 = b'N';
    /// `NotificationResponse`.
    pub const NOTIFICATION: u8 = b'A';
    /// `CommandComplete`.
    pub const COMPLETE: u8 = b'C';
    /// `EmptyQueryResponse`.
    pub const EMPTY: u8 = b'I';
    /// `DataRow`.
    pub const ROW: u8 = b'D';
    /// `RowDescription`.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// `ParameterDescription`.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// `NoData`.
    pub const NO_DATA: u8 = b'n';
    /// `ParseComplete`.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// `BindComplete`.
    pub const BIND_COMPLETE: u8 = b'2';
    /// `CloseComplete`.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// `PortalSuspended`.
    pub const SUSPENDED: u8 = b's';
    /// `CopyInResponse`.
    pub const COPY_IN: u8 = b'G';
    /// `CopyOutResponse`.
    pub const COPY_OUT: u8 = b'H';
    /// `CopyBothResponse`.
    pub const COPY_BOTH: u8 = b'W';
}

/// A whole message with its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Tag, length and body.
    pub bytes: Bytes,
}

impl Frame {
    /// Message tag.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// Bytes after the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// A whole message, or a piece of one that is too long to buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// A whole message.
    Frame(Frame),
    /// A piece of a row.
    Part(Bytes),
}
