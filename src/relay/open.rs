//! Opening connections to members.

use std::net::SocketAddr;

use bytes::BytesMut;
use compio::net::TcpStream;

use super::{
    MemberRequest, RelayError, RelayOptions, Result,
    connection::{Connection, SessionSetup},
    exchange::read_answer,
    socket::Socket,
};
use crate::{decide::load::holders::MemberPath, prelude::*, proxy::connection::Permit};

/// Longest time to open a connection: three round trips to another region, the
/// member's own work and a full queue there.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// A member to connect to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Id of the member.
    pub member: Name,
    /// Client account whose statements run on it; `None` for the VM's own.
    pub account: Option<Name>,
    /// Path to it.
    pub path: MemberPath,
    /// Address of the member, or of the VM that forwards to it.
    pub address: SocketAddr,
}

/// Opens a connection. The request names the member, since addresses are reused.
///
/// # Errors
///
/// Returns an error when no answer comes in time or the member refuses.
pub async fn open(target: Target, options: &RelayOptions, permit: Permit) -> Result<Connection> {
    let opened = compio::time::timeout(OPEN_TIMEOUT, connect(target, options, permit)).await;
    opened.map_err(|_| RelayError::Timeout)?
}

async fn connect(target: Target, options: &RelayOptions, permit: Permit) -> Result<Connection> {
    let codec = options.codecs.member;
    let stream = TcpStream::connect(target.address).await?;
    let mut connection = Connection {
        socket: Socket::new(stream)?,
        member: target.member.clone(),
        path: target.path.clone(),
        setup: SessionSetup {
            account: target.account.clone(),
            variables: BTreeMap::new(),
        },
        prepared: BTreeSet::new(),
        run_permit: None,
        idle_since_ms: 0,
        large_answers: options.large_answers.clone(),
        _permit: permit,
    };
    let mut output = BytesMut::new();
    let request = MemberRequest::Open {
        service: &target.service,
        member: &target.member,
        account: target.account.as_deref(),
    };
    (codec.encode)(&mut output, &request);
    connection.socket.write(output).await?;
    match read_answer(&mut connection, &codec).await {
        Ok(answer) => match answer.error {
            None => Ok(connection),
            Some(class) => Err(RelayError::Refused { class }),
        },
        Err(error) => match (codec.opening_error)(&connection.socket.input) {
            Some(class) => Err(RelayError::Refused { class }),
            None => Err(error),
        },
    }
}
