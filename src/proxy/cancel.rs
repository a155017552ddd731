//! Cancel requests of callers.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use compio::{io::AsyncWriteExt, net::TcpStream};
use pgwire::messages::{cancel::CancelRequest, startup::SecretKey};

use super::{connect::secret, message};
use crate::prelude::*;

/// Process id and secret, as PostgreSQL's protocol names a connection.
pub type CancelKey = (i32, i32);

/// Where a caller's request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Running {
    /// Address of the endpoint or VM.
    pub address: SocketAddr,
    /// Process id and secret there.
    pub key: CancelKey,
}

/// Places by the key that the caller was given; `None` between requests.
type Places = BTreeMap<CancelKey, Option<Running>>;

/// Requests that run now, by the key that the caller was given.
#[derive(Clone, Default)]
pub struct CancelRegistry {
    running: Rc<RefCell<Places>>,
}

impl CancelRegistry {
    /// Registers a caller and returns the key it is given.
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

    /// Records where a caller's request runs.
    pub fn set(&self, key: CancelKey, place: Option<Running>) {
        self.running.borrow_mut().insert(key, place);
    }

    /// Forgets a caller.
    pub fn remove(&self, key: CancelKey) {
        self.running.borrow_mut().remove(&key);
    }

    /// Passes a cancel request on to where the caller's request runs. A
    /// request that has ended or a wrong secret is ignored, as PostgreSQL does.
    pub async fn cancel(&self, request: &CancelRequest) {
        let key = (request.pid, secret(&request.secret_key));
        let place = self.running.borrow().get(&key).copied().flatten();
        let Some(place) = place else {
            return;
        };
        let mut bytes = bytes::BytesMut::new();
        message::put(
            &mut bytes,
            &CancelRequest::new(place.key.0, SecretKey::I32(place.key.1)),
        );
        if let Ok(mut stream) = TcpStream::connect(place.address).await {
            // The endpoint closes without an answer.
            let _ = stream.write_all(bytes).await;
        }
    }
}
