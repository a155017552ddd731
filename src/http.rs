//! HTTP calls with a timeout, used by the clients of external services.

use std::{cell::RefCell, rc::Rc};

use axum::http::HeaderMap;
use cyper::RequestBuilder;

use crate::prelude::*;

/// A response, read to its end.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: bytes::Bytes,
}

/// Reason why a call got no complete response. The server may still have processed it.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum HttpError {
    /// The timeout expired.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
    /// The connection failed or the response was malformed.
    #[display("{_0}")]
    Transport(cyper::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, HttpError>;

/// An HTTP client that gives up its open connections after a call without an answer:
/// connections that go silent often do so together.
#[derive(Clone)]
pub struct HttpClient {
    pool: Rc<RefCell<Pool>>,
}

/// A client with its open connections.
#[derive(Clone)]
struct Pool {
    number: u64,
    client: cyper::Client,
}

impl HttpClient {
    /// Creates a client without connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be set up.
    pub fn new() -> cyper::Result<HttpClient> {
        let pool = Pool {
            number: 0,
            client: cyper::Client::new()?,
        };
        Ok(HttpClient {
            pool: Rc::new(RefCell::new(pool)),
        })
    }

    /// Sends the request that `build` makes, and reads the whole response within
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrived in time.
    pub async fn send(
        &self,
        timeout: Duration,
        build: impl FnOnce(&cyper::Client) -> cyper::Result<RequestBuilder>,
    ) -> Result<HttpResponse> {
        let pool = self.pool.borrow().clone();
        let request = build(&pool.client)?;
        let call = async {
            let response = request.send().await?;
            let status = response.status().as_u16();
            let headers = response.headers().clone();
            let body = response.bytes().await?;
            Ok(HttpResponse {
                status,
                headers,
                body,
            })
        };
        match compio::time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) => {
                self.give_up(pool.number);
                Err(HttpError::Timeout)
            }
        }
    }

    /// Lets later calls open new connections, unless an earlier call has done so.
    fn give_up(&self, number: u64) {
        let mut pool = self.pool.borrow_mut();
        if pool.number != number {
            return;
        }
        log::info!(
            target: "dependency", pool = number;
            "no answer in time; later calls use new connections"
        );
        match cyper::Client::new() {
            Ok(client) => {
                pool.number += 1;
                pool.client = client;
            }
            Err(error) => log::error!(
                target: "dependency", reason = error.to_string(); "connections not replaced"
            ),
        }
    }
}
