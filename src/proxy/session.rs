//! State of a caller's session, carried from one endpoint connection to the next.

use super::{error::Refusal, prepared::Prepared};
use crate::{
    decide::{classify::Class, group_floor::GroupFloor},
    prelude::*,
    token::{self, NEW_SESSION},
};

/// Database parameters that are carried between connections.
pub type Parameters = Arc<BTreeMap<String, String>>;

/// Prefix of foxtailknot's own parameters.
pub const OWN_PREFIX: &str = "foxtailknot.";
/// Parameter that holds the session token.
pub const TOKEN_PARAMETER: &str = "foxtailknot.session_token";
/// Token of a session whose position is unknown: it may have written through any
/// VM.
pub const UNKNOWN_TOKEN: &str = "unknown";

const MAX_AGE_PARAMETER: &str = "foxtailknot.max_age_ms";
const IDEMPOTENT_PARAMETER: &str = "foxtailknot.idempotent";

/// Database parameters that are set again on each connection.
const CARRIED_PARAMETERS: &[&str] = &[
    "application_name",
    "bytea_output",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "idle_in_transaction_session_timeout",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "standard_conforming_strings",
    "statement_timeout",
    "timezone",
];

/// State of a caller's session.
#[derive(Clone, Debug)]
pub struct Session {
    /// Service that the caller uses.
    pub service: Name,
    /// Minimum position that its reads must see.
    pub floor: GroupFloor,
    /// Largest age of data that it accepts, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Whether its writes may be repeated when their outcome is unknown.
    pub is_idempotent: bool,
    /// Parameters set on each connection it uses.
    pub parameters: Parameters,
    /// Named prepared statements.
    pub statements: BTreeMap<String, Prepared>,
    /// The unnamed prepared statement.
    pub unnamed: Option<Prepared>,
    /// Classes of open portals.
    pub portals: BTreeMap<String, Class>,
}

impl Session {
    /// Creates a session whose position is unknown.
    pub fn new(service: Name) -> Session {
        Session {
            service,
            floor: GroupFloor::UNKNOWN,
            max_age_ms: None,
            is_idempotent: false,
            parameters: Parameters::default(),
            statements: BTreeMap::new(),
            unnamed: None,
            portals: BTreeMap::new(),
        }
    }

    /// The session's token.
    pub fn token(&self) -> String {
        match self.floor.position() {
            Some((position, group)) => token::encode(&self.service, group, position),
            None if self.floor.is_new() => NEW_SESSION.into(),
            None => UNKNOWN_TOKEN.into(),
        }
    }

    /// Sets one of foxtailknot's parameters.
    ///
    /// # Errors
    ///
    /// Returns a refusal for an unknown name or an invalid value.
    pub fn set_own(&mut self, name: &str, value: &str) -> Result<(), Refusal> {
        let bad = || {
            Refusal::new(
                Code::BadParameter,
                format!("bad value {value:?} for {name}"),
            )
        };
        match name {
            TOKEN_PARAMETER if value == UNKNOWN_TOKEN => self.floor = GroupFloor::UNKNOWN,
            TOKEN_PARAMETER => {
                self.floor = token::decode(&self.service, value)
                    .map_err(|error| Refusal::new(Code::BadToken, error.to_string()))?;
            }
            MAX_AGE_PARAMETER if value.is_empty() => self.max_age_ms = None,
            MAX_AGE_PARAMETER => self.max_age_ms = Some(value.parse().map_err(|_| bad())?),
            IDEMPOTENT_PARAMETER => self.is_idempotent = parse_bool(value).ok_or_else(bad)?,
            _ => {
                let text = format!("unknown parameter {name}");
                return Err(Refusal::new(Code::BadParameter, text));
            }
        }
        Ok(())
    }

    /// Value of one of foxtailknot's parameters.
    ///
    /// # Errors
    ///
    /// Returns a refusal for an unknown name.
    pub fn show_own(&self, name: &str) -> Result<String, Refusal> {
        match name {
            TOKEN_PARAMETER => Ok(self.token()),
            MAX_AGE_PARAMETER => Ok(self.max_age_ms.map(|ms| ms.to_string()).unwrap_or_default()),
            IDEMPOTENT_PARAMETER => Ok(if self.is_idempotent { "on" } else { "off" }.into()),
            _ => {
                let text = format!("unknown parameter {name}");
                Err(Refusal::new(Code::BadParameter, text))
            }
        }
    }

    /// Sets a database parameter; returns `false` if it is not a carried one.
    pub fn set_carried(&mut self, name: &str, value: &str) -> bool {
        let name = name.to_lowercase();
        if !CARRIED_PARAMETERS.contains(&name.as_str()) {
            return false;
        }
        Arc::make_mut(&mut self.parameters).insert(name, value.to_owned());
        true
    }
}

fn parse_bool(value: &str) -> Option<bool> {
    match value.to_lowercase().as_str() {
        "on" | "true" | "1" | "yes" => Some(true),
        "off" | "false" | "0" | "no" => Some(false),
        _ => None,
    }
}
