//! Opens connections to endpoints and to other VMs.

use std::net::SocketAddr;

use bytes::BytesMut;
use compio::net::TcpStream;
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey, Startup};

use super::{
    connection::{Connection, ConnectionTarget, Permit},
    error::{ProxyError, Result},
    frame::from_endpoint as tag,
    message,
    wire::Wire,
};
use crate::prelude::*;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Largest message from an endpoint that is buffered whole.
const FRAME_MAX_BYTES: usize = 1 << 30;
/// `application_name` of connections to endpoints and VMs.
pub const APPLICATION_NAME: &str = "foxtailknot";

/// How to open a connection.
#[derive(Clone, Debug)]
pub struct ConnectOptions {
    /// Address.
    pub address: SocketAddr,
    /// User.
    pub user: Name,
    /// Database.
    pub database: Name,
    /// The other end.
    pub target: ConnectionTarget,
}

/// Opens a connection.
///
/// # Errors
///
/// Returns an error when the other side can't be reached, refuses or does not
/// answer in time.
pub async fn connect(options: ConnectOptions, permit: Option<Permit>) -> Result<Connection> {
    let opened = compio::time::timeout(CONNECT_TIMEOUT, open(options, permit)).await;
    opened.map_err(|_| ProxyError::Timeout)?
}

async fn open(options: ConnectOptions, permit: Option<Permit>) -> Result<Connection> {
    let stream = TcpStream::connect(options.address).await?;
    stream.set_nodelay(true)?;
    let mut wire = Wire::new(stream, FRAME_MAX_BYTES);
    put_startup(wire.output(), &options);
    wire.flush().await?;
    let mut key = (0, 0);
    loop {
        let frame = wire.next_frame().await?;
        match frame.tag() {
            tag::AUTHENTICATION => match message::read::<Authentication>(&frame)? {
                Authentication::Ok => {}
                other => {
                    let text = format!("unsupported authentication {other:?}");
                    return Err(ProxyError::Refused { text });
                }
            },
            tag::ERROR => {
                let (state, text) = message::error_fields(&frame);
                let text = format!("{state} {text}");
                return Err(ProxyError::Refused { text });
            }
            tag::KEY_DATA => {
                let data: BackendKeyData = message::read(&frame)?;
                key = (data.pid, secret(&data.secret_key));
            }
            tag::READY => break,
            _ => {}
        }
    }
    Ok(Connection {
        wire,
        address: options.address,
        target: options.target,
        prepared: BTreeSet::new(),
        unnamed: None,
        parameters: Arc::default(),
        key,
        permit,
    })
}

fn put_startup(output: &mut BytesMut, options: &ConnectOptions) {
    let mut startup = Startup::new();
    let mut put = |name: &str, value: &str| {
        startup.parameters.insert(name.to_owned(), value.to_owned());
    };
    put("user", &options.user);
    put("database", &options.database);
    put("application_name", APPLICATION_NAME);
    message::put(output, &startup);
}

/// The first four bytes of a secret key as a number.
pub fn secret(key: &SecretKey) -> i32 {
    match key {
        SecretKey::I32(number) => *number,
        SecretKey::Bytes(bytes) => {
            let mut four = [0; 4];
            let count = bytes.len().min(4);
            four[..count].copy_from_slice(&bytes[..count]);
            i32::from_be_bytes(four)
        }
    }
}
