//! Keys of the table service.

/// Key of the head row, which names the configuration in force.
pub const CONFIG_HEAD: &str = "config/head";
/// Prefix of the keys of service rows.
pub const SERVICE_PREFIX: &str = "service/";

/// Key of a service's row.
pub fn service(name: &str) -> String {
    format!("{SERVICE_PREFIX}{name}")
}
