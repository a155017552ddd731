//! Opening connections to members.

use std::net::SocketAddr;

use bytes::BytesMut;
use compio::net::TcpStream;

use super::{
    MemberCodec, MemberRequest, RelayError, Result, connection::Connection, exchange::read_answer,
    socket::Socket,
};
use crate::{decide::holders::MemberPath, prelude::*, proxy::connection::Permit};

/// Longest time to open a connection: three trips to another region and back,
/// the member's work and a full queue there.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// A member to connect to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Id of the member.
    pub member: Name,
    /// How it is reached.
    pub way: MemberPath,
    /// Address of the member, or of the VM that the way leads through.
    pub address: SocketAddr,
}

/// Opens a connection. The member's id goes with it, since addresses are used
/// again.
///
/// # Errors
///
/// Returns an error when nobody answers in time or the member refuses.
pub async fn open(target: Target, codec: MemberCodec, permit: Permit) -> Result<Connection> {
    let opened = compio::time::timeout(OPEN_TIMEOUT, connect(target, codec, permit)).await;
    opened.map_err(|_| RelayError::Timeout)?
}

async fn connect(target: Target, codec: MemberCodec, permit: Permit) -> Result<Connection> {
    let stream = TcpStream::connect(target.address).await?;
    let mut connection = Connection {
        socket: Socket::new(stream)?,
        member: target.member.clone(),
        way: target.way.clone(),
        variables: BTreeMap::new(),
        prepared: BTreeSet::new(),
        run: None,
        idle_since_ms: 0,
        _permit: permit,
    };
    let mut output = BytesMut::new();
    let request = MemberRequest::Open {
        service: &target.service,
        member: &target.member,
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
