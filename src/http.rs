//! HTTP calls with a timeout, used by the clients of external services.

use crate::prelude::*;

/// A response, read to its end.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
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

/// Sends a request and reads the whole response within `timeout`.
///
/// # Errors
///
/// Returns an error when no complete response arrived in time.
pub async fn send(request: cyper::RequestBuilder, timeout: Duration) -> Result<HttpResponse> {
    let call = async {
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?;
        Ok(HttpResponse { status, body })
    };
    let result = compio::time::timeout(timeout, call).await;
    result.unwrap_or(Err(HttpError::Timeout))
}
