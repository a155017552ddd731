//! Numbered result codes. The table for operators is `docs/ERRORS.md`.

use strum::{Display, EnumIter, IntoStaticStr};

/// Whether a request was run when its code is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It was not run.
    NotRun,
    /// It may have been run.
    Unknown,
    /// The code is not about a request.
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
    /// An address can't be listened on.
    ListenFailed = 103,
    /// The service is not configured.
    UnknownService = 201,
    /// The session token is bad.
    BadToken = 202,
    /// The request is too large.
    RequestTooLarge = 203,
    /// The statement needs session state that is not carried between connections.
    SessionState = 204,
    /// COPY is not carried.
    CopyRefused = 205,
    /// No primary took the request before its deadline.
    NoPrimary = 206,
    /// No connection became free before the deadline.
    QueueTimeout = 207,
    /// The queue can't serve the request before its deadline.
    Overloaded = 208,
    /// The VM is stopping.
    Stopping = 209,
    /// A parameter of foxtailknot has a bad value.
    BadParameter = 210,
    /// No VM that holds a slot of the service can be reached.
    NoSlot = 211,
    /// A prepared statement is not known.
    UnknownStatement = 212,
    /// The replica refused the statement as a write, and the position forbids a rerun.
    ReadOnly = 213,
    /// The primary failed before the commit was safe; its successor lacks it.
    TransactionDiscarded = 214,
    /// The connection broke after the request was sent.
    OutcomeUnknown = 301,
    /// The commit was not confirmed in its term.
    CommitUnconfirmed = 302,
    /// The member stopped answering in the middle of an answer.
    AnswerCut = 303,
    /// The message does not follow the protocol.
    ProtocolViolation = 401,
    /// The startup parameters are not accepted.
    StartupRefused = 402,
    /// The configuration was changed by somebody else.
    ConfigurationConflict = 501,
    /// Not every VM reported the version in time.
    ConfigurationPending = 502,
    /// No such version is kept.
    ConfigurationUnknown = 503,
    /// The platform does not answer.
    PlatformUnavailable = 601,
    /// It is not known whether the platform made the change.
    PlatformUnknown = 602,
    /// A VM does not answer.
    PeerUnavailable = 603,
    /// The promotion did not go ahead.
    PromotionRefused = 701,
}

impl Code {
    /// The number, stable between versions.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// SQLSTATE that callers see.
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

    /// Exit status of the command-line tool.
    pub fn exit_status(self) -> u8 {
        (self.number() / 100) as u8 + 1
    }
}
