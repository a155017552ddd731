//! One HTTP call with a time limit, shared by the clients of outside services.

use crate::prelude::*;

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: bytes::Bytes,
}

/// Why a call got no answer; whether it was carried out is not known.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum HttpError {
    /// The time is over.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
    /// The connection or the answer is broken.
    #[display("{_0}")]
    Broken(cyper::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, HttpError>;

/// Sends a request and reads the whole answer, within `limit`.
///
/// # Errors
///
/// Returns an error when no whole answer came in time.
pub async fn send(request: cyper::RequestBuilder, limit: Duration) -> Result<HttpResponse> {
    let call = async {
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?;
        Ok(HttpResponse { status, body })
    };
    let answer = compio::time::timeout(limit, call).await;
    answer.unwrap_or(Err(HttpError::Timeout))
}
