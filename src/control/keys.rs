//! Keys of the table service.

/// Row that names the configuration in force.
pub const CONFIG_HEAD: &str = "config/head";
/// Prefix of the rows of services.
pub const SERVICE_PREFIX: &str = "service/";

/// Row of a service.
pub fn service(name: &str) -> String {
    format!("{SERVICE_PREFIX}{name}")
}
