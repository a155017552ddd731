//! The files that operators write: the settings of a VM and the configuration of
//! a site, each a base file with overlays.

mod error;
mod file;
mod member;
mod part;
mod service;
mod site;
mod vm;

pub use error::{Result, SettingsError};
pub use file::{parse, read, read_site, read_vm};
pub use member::{MemberPart, MemberSettings};
pub use service::{ServicePart, ServiceSettings};
pub use site::{SitePart, SiteSettings};
pub use vm::{Authentication, ListenPart, LogPart, VmPart, VmSettings};
