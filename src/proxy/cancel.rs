//! Forwards callers' cancel requests to where their requests run.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use compio::{io::AsyncWriteExt, net::TcpStream};
use pgwire::messages::{cancel::CancelRequest, startup::SecretKey};

use super::{connect::secret, message};
use crate::prelude::*;

/// Process id and secret key that identify a connection in a `CancelRequest`.
pub type CancelKey = (i32, i32);

/// Connection on which a caller's request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Address of the endpoint or VM.
    pub address: SocketAddr,
    /// Cancel key of the connection.
    pub key: CancelKey,
}

/// Running requests by the callers' cancel keys; `None` between requests.
type RunningRequests = BTreeMap<CancelKey, Option<RunningRequest>>;

/// Requests that are running, by the cancel key given to the caller.
#[derive(Clone, Default)]
pub struct CancelRegistry {
    running: Rc<RefCell<RunningRequests>>,
}

impl CancelRegistry {
    /// Registers a caller and returns its cancel key.
    pub fn register(&self) -> CancelKey {
        let mut running = self.running.borrow_mut();
        loop {
            let key = (rand::random::<i32>() & i32::MAX, rand::random());
            if let std::collections::btree_map::Entry::Vacant(entry) = running.entry(key) {
                entry.insert(None);
                return key;
            }
        }
    }

    /// Records where a caller's request runs; `None` when it has ended.
    pub fn set(&self, key: CancelKey, request: Option<RunningRequest>) {
        self.running.borrow_mut().insert(key, request);
    }

    /// Removes a caller that has disconnected.
    pub fn remove(&self, key: CancelKey) {
        self.running.borrow_mut().remove(&key);
    }

    /// Forwards a cancel request to where the caller's request runs. As in
    /// PostgreSQL, an unknown key or a request that has ended is ignored.
    pub async fn cancel(&self, request: &CancelRequest) {
        let key = (request.pid, secret(&request.secret_key));
        let running = self.running.borrow().get(&key).copied().flatten();
        let Some(running) = running else {
            return;
        };
        let mut bytes = bytes::BytesMut::new();
        message::put(
            &mut bytes,
            &CancelRequest::new(running.key.0, SecretKey::I32(running.key.1)),
        );
        if let Ok(mut stream) = TcpStream::connect(running.address).await {
            // The endpoint closes without an answer.
            let _ = stream.write_all(bytes).await;
        }
    }
}
