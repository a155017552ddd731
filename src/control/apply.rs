//! Applying a configuration: its objects are written to the object store, then
//! a conditional write of the head row makes it the version in force.

use super::{ids, keys};
use crate::{
    decide::rollout::{ChangeRef, Head, Plan, SiteChange},
    prelude::*,
    settings::SiteSettings,
    store::{Row, StoreClient, StoreError, WriteOutcome},
};

/// Why a configuration was not accepted.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ApplyError {
    /// A call to the platform failed.
    #[display("{source}")]
    Platform {
        /// Error of the call.
        source: StoreError,
    },
    /// Another change was accepted since the configuration was read.
    #[display(
        "version {version} was accepted meanwhile, by change {change_id}; compare and try again"
    )]
    Conflict {
        /// The version in force.
        version: u64,
        /// Change that created that version.
        change_id: Name,
    },
    /// An object of the configuration is missing or can't be decoded.
    #[display("configuration version {version} can't be read from the object store")]
    Unreadable {
        /// Version the object belongs to.
        version: u64,
    },
    /// The configuration is the same as the one in force.
    #[display("version {version} already says the same")]
    Unchanged {
        /// The version in force.
        version: u64,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, ApplyError>;

impl From<StoreError> for ApplyError {
    fn from(source: StoreError) -> ApplyError {
        ApplyError::Platform { source }
    }
}

impl ApplyError {
    /// The numbered code.
    pub fn code(&self) -> Code {
        match self {
            ApplyError::Platform { source } => source.code(),
            ApplyError::Conflict { .. } => Code::ConfigurationConflict,
            ApplyError::Unreadable { .. } => Code::ConfigurationUnknown,
            ApplyError::Unchanged { .. } => Code::ConfigurationConflict,
        }
    }
}

/// The configuration in force, with the head row that names it.
pub struct InForce {
    /// Version of the head row; zero if there is no row.
    pub row_version: u64,
    /// The head; `None` before the first configuration.
    pub head: Option<Head>,
    /// The configuration.
    pub site: SiteSettings,
}

/// An accepted change.
pub struct Accepted {
    /// Head after the change.
    pub head: Head,
    /// The change.
    pub change: SiteChange,
    /// Id of the change.
    pub change_id: Name,
}

/// Reads the configuration in force.
///
/// # Errors
///
/// Returns an error when the platform does not answer or an object is missing.
pub async fn read(platform: &StoreClient) -> Result<InForce> {
    let row: Option<Row<Head>> = platform.read(keys::CONFIG_HEAD).await?;
    let Some(row) = row else {
        return Ok(InForce {
            row_version: 0,
            head: None,
            site: SiteSettings::default(),
        });
    };
    let site = read_site(platform, &row.value).await?;
    Ok(InForce {
        row_version: row.version,
        head: Some(row.value),
        site,
    })
}

/// Reads the configuration that a head names: its snapshot and the changes
/// after it.
///
/// # Errors
///
/// Returns an error when the platform does not answer or an object is missing.
pub async fn read_site(platform: &StoreClient, head: &Head) -> Result<SiteSettings> {
    let unreadable = || ApplyError::Unreadable {
        version: head.version,
    };
    let Plan::Snapshot(snapshot, changes) = head.plan(None) else {
        return Err(unreadable());
    };
    let body = platform.read_object(&snapshot.digest).await?;
    let body = body.ok_or_else(unreadable)?;
    let mut site: SiteSettings = serde_json::from_slice(&body).map_err(|_| unreadable())?;
    for change in changes {
        let body = platform.read_object(&change.digest).await?;
        let body = body.ok_or_else(unreadable)?;
        let change: SiteChange = serde_json::from_slice(&body).map_err(|_| unreadable())?;
        change.apply(&mut site);
    }
    Ok(site)
}

/// Replaces the configuration that was read with `site`.
///
/// # Errors
///
/// Returns a conflict when another change was accepted first, and an unknown
/// outcome when the answer to the write was lost and re-reading the head row
/// does not show whether it took effect.
pub async fn apply(
    platform: &StoreClient,
    in_force: &InForce,
    site: &SiteSettings,
    by: &str,
) -> Result<Accepted> {
    let previous = in_force.head.as_ref();
    let version = previous.map_or(0, |head| head.version) + 1;
    let change = SiteChange::between(version, &in_force.site, site);
    if change.services.is_empty() && previous.is_some() {
        return Err(ApplyError::Unchanged {
            version: version - 1,
        });
    }
    let change_id = ids::change_id(by);
    let digest = write_object(platform, &change).await?;
    let snapshot = match Head::needs_snapshot(previous) {
        true => Some(write_object(platform, site).await?),
        false => None,
    };
    let change_ref = ChangeRef {
        version,
        digest,
        change_id: change_id.clone(),
    };
    let head = Head::next(previous, change_ref, snapshot);
    let written = platform
        .write(keys::CONFIG_HEAD, in_force.row_version, &head, &change_id)
        .await;
    let accepted = Accepted {
        head,
        change,
        change_id,
    };
    match written {
        Ok(WriteOutcome::Done(_)) => Ok(accepted),
        Ok(WriteOutcome::Conflict(row)) => Err(conflict(row)),
        Err(error) => resolve_lost_answer(platform, accepted, error).await,
    }
}

async fn write_object(platform: &StoreClient, object: &impl serde::Serialize) -> Result<Name> {
    let body = serde_json::to_vec(object).unwrap_or_default();
    let digest = ids::digest(&body);
    platform.write_object(&digest, body).await?;
    Ok(digest)
}

fn conflict(row: Option<Row<Head>>) -> ApplyError {
    let head = row.map(|row| row.value).unwrap_or_else(Head::empty);
    let change_id = head.changes.last().map(|c| c.change_id.clone());
    ApplyError::Conflict {
        version: head.version,
        change_id: change_id.unwrap_or_else(|| "?".into()),
    }
}

/// Finds out whether a write whose answer was lost took effect: the head, and
/// heads written after it, list the ids of the latest changes.
async fn resolve_lost_answer(
    platform: &StoreClient,
    accepted: Accepted,
    error: StoreError,
) -> Result<Accepted> {
    let row: Option<Row<Head>> = match platform.read(keys::CONFIG_HEAD).await {
        Ok(row) => row,
        Err(_) => return Err(error.into()),
    };
    let Some(row) = row else {
        return Err(error.into());
    };
    if row.value.version_of(&accepted.change_id).is_some() {
        return Ok(accepted);
    }
    match row.value.version >= accepted.head.version {
        true => Err(conflict(Some(row))),
        false => Err(error.into()),
    }
}
