//! Numbered result codes. `docs/ERRORS.md` describes them for operators.

use strum::{Display, EnumIter, IntoStaticStr};

/// What a code says about whether the request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// The code does not concern a request.
    None,
}

/// A numbered result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// A settings file can't be read or parsed.
    SettingsUnreadable = 101,
    /// A setting has a value that is not allowed.
    SettingsInvalid = 102,
    /// A listener can't be bound to its address.
    ListenFailed = 103,
    /// The service is not configured.
    UnknownService = 201,
    /// The session token is malformed, fails its checksum or belongs to another service.
    BadToken = 202,
    /// The request exceeds the size limit.
    RequestTooLarge = 203,
    /// The statement needs session state, which is not kept across connections.
    SessionState = 204,
    /// COPY is not supported.
    CopyRefused = 205,
    /// No primary accepted the request before its deadline.
    NoPrimary = 206,
    /// No connection to a member became free before the deadline.
    QueueTimeout = 207,
    /// The queue is too long to serve the request before its deadline.
    Overloaded = 208,
    /// The VM is shutting down.
    Stopping = 209,
    /// A foxtailknot parameter has an invalid value.
    BadParameter = 210,
    /// No slot holder of the service can be reached.
    NoSlot = 211,
    /// The prepared statement does not exist.
    UnknownStatement = 212,
    /// The replica refused the statement as a write, and it can't be run again on
    /// the primary at this point of the session.
    ReadOnly = 213,
    /// The primary failed before the commit was confirmed, and its successor does not
    /// have it.
    TransactionDiscarded = 214,
    /// The connection was lost after the request had been sent.
    OutcomeUnknown = 301,
    /// The commit was not confirmed within the term in which it was made.
    CommitUnconfirmed = 302,
    /// The member's answer broke off before its end.
    AnswerCut = 303,
    /// The message violates the protocol.
    ProtocolViolation = 401,
    /// The startup parameters are not accepted.
    StartupRefused = 402,
    /// The configuration was changed concurrently.
    ConfigurationConflict = 501,
    /// Not every VM reported the new version in time.
    ConfigurationPending = 502,
    /// The requested version is not stored.
    ConfigurationUnknown = 503,
    /// The platform does not respond.
    PlatformUnavailable = 601,
    /// The platform may or may not have made the change.
    PlatformUnknown = 602,
    /// Another VM does not respond.
    PeerUnavailable = 603,
    /// The promotion was refused or not completed.
    PromotionRefused = 701,
}

impl Code {
    /// The number, which is stable across releases.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The SQLSTATE that callers see.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Code::UnknownService => "3D000",
            Code::BadToken | Code::BadParameter => "22023",
            Code::RequestTooLarge => "54000",
            Code::SessionState | Code::CopyRefused => "0A000",
            Code::NoPrimary | Code::QueueTimeout | Code::NoSlot => "57P03",
            Code::Overloaded => "53400",
            Code::Stopping => "57P01",
            Code::UnknownStatement => "26000",
            Code::ReadOnly => "25006",
            Code::TransactionDiscarded => "40001",
            Code::OutcomeUnknown | Code::CommitUnconfirmed => "08007",
            Code::AnswerCut => "08006",
            Code::ProtocolViolation | Code::StartupRefused => "08P01",
            _ => "58000",
        }
    }

    /// Whether the request was run.
    pub fn outcome(self) -> Outcome {
        match self.number() {
            200..300 | 400..500 => Outcome::NotRun,
            300..400 => Outcome::Unknown,
            _ => Outcome::None,
        }
    }

    /// Exit status of the command-line tool, one for each hundred of numbers.
    pub fn exit_status(self) -> u8 {
        (self.number() / 100) as u8 + 1
    }
}
