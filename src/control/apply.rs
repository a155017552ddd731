//! Accepting a configuration: a conditional write of the head row.

use super::{ids, keys};
use crate::{
    decide::rollout::{ChangeRef, Head, Plan, SiteChange},
    prelude::*,
    settings::SiteSettings,
    store::{Row, StoreClient, StoreError, Written},
};

/// Why a configuration was not accepted.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ApplyError {
    /// The platform failed.
    #[display("{source}")]
    Platform {
        /// How.
        source: StoreError,
    },
    /// Somebody else was first.
    #[display(
        "version {version} was accepted meanwhile, by change {change_id}; compare and try again"
    )]
    Conflict {
        /// The version in force.
        version: u64,
        /// The change that made it.
        change_id: Name,
    },
    /// An object is missing or can't be read.
    #[display("configuration version {version} can't be read from the object store")]
    Broken {
        /// The version.
        version: u64,
    },
    /// Nothing to do.
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
            ApplyError::Broken { .. } => Code::ConfigurationUnknown,
            ApplyError::Unchanged { .. } => Code::ConfigurationConflict,
        }
    }
}

/// The configuration in force, with its row.
pub struct InForce {
    /// Version of the row; zero if there is none.
    pub row_version: u64,
    /// The head.
    pub head: Option<Head>,
    /// The configuration.
    pub site: SiteSettings,
}

/// What an accepted change made.
pub struct Accepted {
    /// The head.
    pub head: Head,
    /// What it changed.
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

/// Reads the configuration that a head names.
///
/// # Errors
///
/// Returns an error when the platform does not answer or an object is missing.
pub async fn read_site(platform: &StoreClient, head: &Head) -> Result<SiteSettings> {
    let broken = || ApplyError::Broken {
        version: head.version,
    };
    let Plan::Snapshot(snapshot, changes) = head.plan(None) else {
        return Err(broken());
    };
    let body = platform.read_object(&snapshot.digest).await?;
    let body = body.ok_or_else(broken)?;
    let mut site: SiteSettings = serde_json::from_slice(&body).map_err(|_| broken())?;
    for change in changes {
        let body = platform.read_object(&change.digest).await?;
        let body = body.ok_or_else(broken)?;
        let change: SiteChange = serde_json::from_slice(&body).map_err(|_| broken())?;
        change.apply(&mut site);
    }
    Ok(site)
}

/// Puts `site` in the place of the configuration that was read.
///
/// # Errors
///
/// Returns a conflict when somebody else was first, and an unknown outcome
/// only when the change id can't be found in the row either.
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
    let made = ChangeRef {
        version,
        digest,
        change_id: change_id.clone(),
    };
    let head = Head::next(previous, made, snapshot);
    let written = platform
        .write(keys::CONFIG_HEAD, in_force.row_version, &head, &change_id)
        .await;
    let accepted = Accepted {
        head,
        change,
        change_id,
    };
    match written {
        Ok(Written::Done(_)) => Ok(accepted),
        Ok(Written::Conflict(row)) => Err(conflict(row)),
        Err(error) => find_out(platform, accepted, error).await,
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

/// The answer was lost: later heads still name the change if it was made.
async fn find_out(
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
