//! Reads a base file and merges its overlays over it.

use std::path::{Path, PathBuf};

use garde::Validate;
use serde::de::DeserializeOwned;

use super::{Result, SettingsError, SitePart, SiteSettings, VmPart, VmSettings};

/// Reads the settings of a VM.
///
/// # Errors
///
/// Returns an error with file, line and column, or with the key at fault.
pub fn read_vm(base: &Path, overlays: &[PathBuf]) -> Result<VmSettings> {
    let mut part: VmPart = read(base)?;
    for overlay in overlays {
        part.overlay_deep(read(overlay)?);
    }
    VmSettings::build(&part)
}

/// Reads the configuration of a site.
///
/// # Errors
///
/// Returns an error with file, line and column, or with the key at fault.
pub fn read_site(base: &Path, overlays: &[PathBuf]) -> Result<SiteSettings> {
    let mut part: SitePart = read(base)?;
    for overlay in overlays {
        part.overlay_deep(read(overlay)?);
    }
    SiteSettings::build(&part)
}

/// Reads and checks one file.
///
/// # Errors
///
/// Returns an error with file, line and column, or with the key at fault.
pub fn read<T>(path: &Path) -> Result<T>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.into(),
        source,
    })?;
    parse(&text).map_err(|text| SettingsError::Invalid {
        path: path.into(),
        text,
    })
}

/// Parses and checks the text of a file.
///
/// # Errors
///
/// Returns a description of the first error, with the line or key at fault.
pub fn parse<T>(text: &str) -> std::result::Result<T, String>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    serde_saphyr::from_str_valid(text).map_err(|error| error.to_string())
}
