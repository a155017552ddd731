//! Configuration and settings files of a bench.

use std::{fmt::Write, net::SocketAddr};

use super::{Bench, ProxyProcess};

impl Bench {
    /// Writes the configuration of this bench's services to a file.
    ///
    /// # Panics
    ///
    /// Panics when the file can't be written.
    pub fn write_config(&self, file: &str) {
        let path = self.folder().join(file);
        std::fs::write(path, self.config_text(&self.settings.extra))
            .expect("the configuration file can be written");
    }

    /// Configuration of this bench's services as YAML, with the lines `extra` for
    /// each service.
    pub fn config_text(&self, extra: &[String]) -> String {
        let mut text = String::from("services:\n");
        for (index, members) in self.endpoints.iter().enumerate() {
            let connections = self.settings.connections;
            // Writing to a String does not fail.
            let _ = writeln!(text, "  {}:", self.service(index));
            let _ = writeln!(text, "    connections: {connections}");
            for line in extra {
                let _ = writeln!(text, "    {line}");
            }
            let _ = writeln!(text, "    members:");
            for (i, member) in members.iter().enumerate() {
                let address = member.address;
                let _ = writeln!(
                    text,
                    "      member-{i}: {{ address: \"{address}\", zone: zone-{i} }}"
                );
            }
        }
        text
    }
}

/// Settings file of a VM.
pub fn vm_settings(proxy: &ProxyProcess, platform: SocketAddr) -> String {
    format!(
        "vm: {}\nzone: {}\nregion: region\nplatform: \"{platform}\"\nauthentication: trust\n\
         listen:\n  callers: \"{}\"\n  internal: \"{}\"\n  peer: \"{}\"\n  admin: \"{}\"\n",
        proxy.vm, proxy.zone, proxy.callers, proxy.internal, proxy.peer, proxy.admin
    )
}
