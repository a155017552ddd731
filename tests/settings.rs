//! The example settings load, overlays override single keys, invalid settings are
//! refused with the line or key at fault, and the table of codes matches the code.

use std::path::{Path, PathBuf};

use foxtailknot::{
    code::Code,
    settings::{Authentication, read_site, read_vm},
};
use strum::IntoEnumIterator;
use yare::parameterized;

fn write_file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[parameterized(
    association = { "association", "shades-gandaki", 50 },
    empresa = { "empresa", "courses-zamora", 100 },
)]
fn examples_of_sites(site: &str, service: &str, connections: u32) {
    let base = PathBuf::from(format!("examples/{site}-base.yaml"));
    let overlay = PathBuf::from(format!("examples/{site}-site.yaml"));
    let settings = read_site(&base, &[overlay]).unwrap();
    assert_eq!(settings.services.len(), 3);
    let service = &settings.services[service];
    assert_eq!((service.connections, service.slots), (connections, 3));
    // The base file has no addresses.
    let error = read_site(&base, &[]).unwrap_err();
    assert!(error.to_string().contains("address: is missing"), "{error}");
}

#[test]
fn the_example_of_a_vm() {
    let settings = read_vm(Path::new("examples/vm.yaml"), &[]).unwrap();
    assert_eq!(settings.authentication, Authentication::Trust);
    assert_eq!(settings.seeds.len(), 2);
}

const LISTEN: &str = "listen: { callers: \"127.0.0.1:1\", internal: \"127.0.0.1:2\", \
                      peer: \"127.0.0.1:3\", admin: \"127.0.0.1:4\" }\n";
const HEAD: &str = "vm: a\nzone: z\nplatform: \"127.0.0.1:9\"\n";

#[parameterized(
    unknown_key = { "colour: red\n", "line 5" },
    bad_address = { "seeds: [\"nowhere\"]\n", "line 5" },
    out_of_range = { "callers_max: 0\n", "callers_max" },
    overlapping_ports = { "listen: { admin: \"0.0.0.0:3\" }\n", "listen.admin: 0.0.0.0:3 overlaps" },
    trust_beyond_loopback = {
        "authentication: trust\nlisten: { callers: \"0.0.0.0:1\" }\n", "trust is refused" },
)]
fn bad_settings_of_a_vm(text: &str, expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let base = write_file(folder.path(), "base.yaml", &format!("{HEAD}{LISTEN}"));
    let overlay = write_file(
        folder.path(),
        "overlay.yaml",
        &format!("#\n#\n#\n#\n{text}"),
    );
    read_vm(&base, &[]).unwrap();
    let error = read_vm(&base, &[overlay]).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
    assert_eq!(error.code(), Code::SettingsInvalid);
}

#[test]
fn callers_are_refused_by_default() {
    let folder = tempfile::tempdir().unwrap();
    let base = write_file(folder.path(), "base.yaml", &format!("{HEAD}{LISTEN}"));
    let settings = read_vm(&base, &[]).unwrap();
    assert_eq!(settings.authentication, Authentication::Refuse);
}

/// The table lists every code with its SQLSTATE and outcome, and no others.
#[test]
fn error_table_matches_codes() {
    let table = std::fs::read_to_string("docs/ERRORS.md").unwrap();
    let rows: Vec<&str> = table
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .collect();
    let expected: Vec<String> = Code::iter()
        .map(|code| {
            let (number, state, outcome) = (code.number(), code.sqlstate(), code.outcome());
            format!("| {number} | {code} | {state} | {outcome} | ")
        })
        .collect();
    assert_eq!(rows.len(), expected.len());
    for (row, expected) in rows.iter().zip(&expected) {
        assert!(row.starts_with(expected), "{row} is not {expected}");
    }
}
