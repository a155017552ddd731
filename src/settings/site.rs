//! The configuration of a site: its services.

use serde::{Deserialize, Serialize};

use super::{Result, ServicePart, ServiceSettings, SettingsError, part::part};
use crate::prelude::*;

part! {
    /// Configuration of a site in one file.
    SitePart {
        /// Services by name.
        #[garde(dive)]
        services: BTreeMap<String, ServicePart>,
    }
}

/// The configuration of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteSettings {
    /// Services by name. A caller gives the name of the service as its database.
    pub services: BTreeMap<Name, ServiceSettings>,
}

impl SitePart {
    /// Merges the services of `over` one by one.
    pub fn overlay_deep(&mut self, over: SitePart) {
        let services = self.services.get_or_insert_default();
        for (name, service) in over.services.into_iter().flatten() {
            services.entry(name).or_default().overlay_deep(service);
        }
    }
}

impl SiteSettings {
    /// Builds the configuration from the merged files, with defaults for missing
    /// keys.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key at fault.
    pub fn build(part: &SitePart) -> Result<SiteSettings> {
        let mut services = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for (name, service) in part.services.iter().flatten() {
            let key = format!("services.{name}");
            if !is_valid_name(name) {
                let text = "must be letters, digits, `-` and `_` only";
                return Err(SettingsError::merged(key, text));
            }
            let settings = ServiceSettings::build(&key, service)?;
            for member in settings.members.values() {
                if let Some(other) = addresses.insert(member.address, name) {
                    let text = format!("shares address {} with {other}", member.address);
                    return Err(SettingsError::merged(key, text));
                }
            }
            services.insert(name.as_str().into(), settings);
        }
        Ok(SiteSettings { services })
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.chars().all(allowed)
}
