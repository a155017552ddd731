//! HTTP client of the platform's services.

use std::net::SocketAddr;

use serde::{Serialize, de::DeserializeOwned};

use super::{ListedVm, Result, Row, StoreError, WriteOutcome};
use crate::{
    http::{HttpClient, HttpResponse},
    prelude::*,
};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of reads that try to find out whether a write took effect.
const RESOLVE_ATTEMPTS: u32 = 3;
/// Pause before each of these reads.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;

/// Client of the platform's table service, object store and VM list.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    base_url: Arc<str>,
}

#[derive(Serialize)]
struct WriteBody<'a, T> {
    expect_version: u64,
    value: &'a T,
    change_id: &'a str,
}

impl StoreClient {
    /// Creates a client of the platform at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be set up.
    pub fn new(address: SocketAddr) -> Result<StoreClient> {
        Ok(StoreClient {
            http: HttpClient::new().map_err(StoreError::unavailable)?,
            base_url: format!("http://{address}").into(),
        })
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<Row<T>>> {
        let answer = self.get(&format!("table/{key}")).await?;
        match answer.status {
            NOT_FOUND => Ok(None),
            _ => json(&answer).map(Some),
        }
    }

    /// Reads the rows whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn list<T: DeserializeOwned>(&self, prefix: &str) -> Result<BTreeMap<Name, Row<T>>> {
        json(&self.get(&format!("tables?prefix={prefix}")).await?)
    }

    /// Writes a row if it still has version `expect_version`; zero expects that
    /// there is no row.
    ///
    /// If the answer is lost, the row is read again and its change id tells
    /// whether the write took effect.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unknown`] when that can't be found out.
    pub async fn write<T: Serialize + DeserializeOwned>(
        &self,
        key: &str,
        expect_version: u64,
        value: &T,
        change_id: &str,
    ) -> Result<WriteOutcome<T>> {
        let body = WriteBody {
            expect_version,
            value,
            change_id,
        };
        let body = serde_json::to_vec(&body).map_err(bad_answer)?;
        let error = match self.put(&format!("table/{key}"), body).await {
            Ok(answer) if answer.status == CONFLICT => {
                return Ok(WriteOutcome::Conflict(json(&answer)?));
            }
            Ok(answer) => return Ok(WriteOutcome::Done(json::<Row<T>>(&answer)?.version)),
            Err(error) => error,
        };
        self.resolve(key, expect_version, change_id, &error).await
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn read_object(&self, digest: &str) -> Result<Option<bytes::Bytes>> {
        let answer = self.get(&format!("objects/{digest}")).await?;
        Ok((answer.status == OK).then_some(answer.body))
    }

    /// Writes an object under its digest; writing it twice is idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn write_object(&self, digest: &str, body: Vec<u8>) -> Result<()> {
        self.put(&format!("objects/{digest}"), body).await?;
        Ok(())
    }

    /// Lists the VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>> {
        json(&self.get("vms").await?)
    }

    /// Finds out whether a write whose answer was lost took effect.
    async fn resolve<T: DeserializeOwned>(
        &self,
        key: &str,
        expect_version: u64,
        change_id: &str,
        error: &StoreError,
    ) -> Result<WriteOutcome<T>> {
        for _ in 0..RESOLVE_ATTEMPTS {
            compio::time::sleep(RESOLVE_PAUSE).await;
            let Ok(row) = self.read::<T>(key).await else {
                continue;
            };
            let version = row.as_ref().map_or(0, |row| row.version);
            let is_ours = row.as_ref().is_some_and(|row| &*row.change_id == change_id);
            if is_ours {
                return Ok(WriteOutcome::Done(version));
            }
            if version == expect_version + 1 {
                return Ok(WriteOutcome::Conflict(row));
            }
            // At the old version the write may still be in flight; at a later one
            // it may have taken effect and been overwritten.
        }
        Err(StoreError::Unknown {
            text: error.to_string(),
        })
    }

    async fn get(&self, path: &str) -> Result<HttpResponse> {
        let url = format!("{}/{path}", self.base_url);
        self.send(|client| client.get(url)).await
    }

    async fn put(&self, path: &str, body: Vec<u8>) -> Result<HttpResponse> {
        let url = format!("{}/{path}", self.base_url);
        self.send(|client| {
            let request = client.put(url)?;
            let request = request.header("content-type", "application/json")?;
            Ok(request.body(body))
        })
        .await
    }

    async fn send(
        &self,
        build: impl FnOnce(&cyper::Client) -> cyper::Result<cyper::RequestBuilder>,
    ) -> Result<HttpResponse> {
        let answer = self.http.send(CALL_TIMEOUT, build).await;
        let answer = answer.map_err(StoreError::unavailable)?;
        match answer.status {
            OK | NOT_FOUND | CONFLICT => Ok(answer),
            status => Err(StoreError::unavailable(format!("status {status}"))),
        }
    }
}

fn json<T: DeserializeOwned>(answer: &HttpResponse) -> Result<T> {
    serde_json::from_slice(&answer.body).map_err(bad_answer)
}

fn bad_answer(error: serde_json::Error) -> StoreError {
    StoreError::BadAnswer {
        text: error.to_string(),
    }
}
