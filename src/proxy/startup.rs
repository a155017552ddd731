//! Startup phase of a caller's connection.

use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, SslNegotiationMetaMessage,
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, SecretKey, Startup},
};

use super::{
    error::{ProxyError, Refusal, Result},
    message,
    session::{OWN_PREFIX, Session, TOKEN_PARAMETER},
    wire::Wire,
};
use crate::prelude::*;

/// Answer to a request for encryption, which is not offered.
const ENCRYPTION_REFUSED: &[u8] = b"N";
/// Largest accepted first message.
const STARTUP_MAX_BYTES: usize = 10_000;
/// `server_version` reported to callers.
const SERVER_VERSION: &str = "16.0 (foxtailknot)";

/// First request on a new connection.
pub enum StartupRequest {
    /// Start a session.
    Session(Startup),
    /// Cancel the running request of another connection.
    Cancel(CancelRequest),
}

/// Reads up to the startup message or cancel request.
///
/// # Errors
///
/// Returns an error when the input is not a valid start of the protocol.
pub async fn read_startup(wire: &mut Wire) -> Result<StartupRequest> {
    let mut context = DecodeContext::default();
    loop {
        check_length(wire)?;
        match PgWireFrontendMessage::decode(wire.input(), &context)? {
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                context.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => {
                wire.push(ENCRYPTION_REFUSED);
                wire.flush().await?;
            }
            Some(PgWireFrontendMessage::Startup(startup)) => {
                return Ok(StartupRequest::Session(startup));
            }
            Some(PgWireFrontendMessage::CancelRequest(request)) => {
                return Ok(StartupRequest::Cancel(request));
            }
            Some(_) => return Err(ProxyError::protocol("no startup message")),
            None => wire.fill().await?,
        }
    }
}

fn check_length(wire: &mut Wire) -> Result<()> {
    let input = wire.input();
    let Some(length) = input.first_chunk::<4>() else {
        return Ok(());
    };
    let length = u32::from_be_bytes(*length) as usize;
    if !(8..=STARTUP_MAX_BYTES).contains(&length) {
        return Err(ProxyError::protocol("the first message has a bad length"));
    }
    Ok(())
}

/// Creates a session from the startup parameters.
///
/// # Errors
///
/// Returns a refusal for a missing or invalid parameter.
pub fn start_session(startup: &Startup) -> std::result::Result<Session, Refusal> {
    let refuse = |text: &str| Refusal::new(Code::StartupRefused, text);
    let parameters = &startup.parameters;
    let user = parameters.get("user").filter(|user| !user.is_empty());
    let user = user.ok_or_else(|| refuse("no user was named"))?;
    let service = parameters.get("database").unwrap_or(user);
    let mut session = Session::new(service.as_str().into());
    for (name, value) in parameters {
        match name.as_str() {
            "user" | "database" | "replication" => {}
            "options" => read_options(&mut session, value)?,
            "client_encoding" => check_encoding(value)?,
            name if name.starts_with(OWN_PREFIX) => session.set_own(name, value)?,
            name => {
                session.set_carried(name, value);
            }
        }
    }
    Ok(session)
}

fn check_encoding(value: &str) -> std::result::Result<(), Refusal> {
    let plain = value.replace(['-', '\''], "").to_uppercase();
    match plain.as_str() {
        "UTF8" | "UNICODE" => Ok(()),
        _ => {
            let text = format!("client encoding {value} is not carried; use UTF8");
            Err(Refusal::new(Code::StartupRefused, text))
        }
    }
}

/// Reads `-c name=value` and `--name=value` options.
fn read_options(session: &mut Session, options: &str) -> std::result::Result<(), Refusal> {
    let words: Vec<&str> = options.split_whitespace().collect();
    let mut words = words.into_iter();
    while let Some(word) = words.next() {
        let assignment = match word {
            "-c" => words.next().unwrap_or_default(),
            word => word
                .strip_prefix("-c")
                .or_else(|| word.strip_prefix("--"))
                .unwrap_or_default(),
        };
        let Some((name, value)) = assignment.split_once('=') else {
            let text = format!("option {word:?} is not understood");
            return Err(Refusal::new(Code::StartupRefused, text));
        };
        if name.starts_with(OWN_PREFIX) {
            session.set_own(name, value)?;
        } else if !session.set_carried(name, value) {
            let text = format!("option {name} is not carried between connections");
            return Err(Refusal::new(Code::StartupRefused, text));
        }
    }
    Ok(())
}

/// Queues the messages that complete the startup.
pub fn put_startup_reply(wire: &mut Wire, session: &Session, key: (i32, i32)) {
    let output = wire.output();
    message::put(output, &Authentication::Ok);
    let parameters = [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        message::put_parameter(output, name, value);
    }
    message::put_parameter(output, TOKEN_PARAMETER, &session.token());
    message::put(output, &BackendKeyData::new(key.0, SecretKey::I32(key.1)));
    message::put_ready(output);
}
