//! Processes of the project, started with the command and the template of the deploy file.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a process that starts.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// A running VM.
pub struct Vm {
    pub callers: SocketAddr,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Fields that the platform fills in, as JSON.
pub type Fields = BTreeMap<String, String>;

/// Fields of a small deployment for a VM at a loopback address of its own.
pub fn fields(name: &str, zone: &str, ip: &str, store: SocketAddr, promotions: SocketAddr) -> Fields {
    let text = |value: &str| format!("\"{value}\"");
    let fields = [
        ("node_name", text(name)),
        ("zone", text(zone)),
        ("zones", r#"{"za":"ra","zb":"rb","zc":"rc"}"#.into()),
        ("limits.cpu_share", "0.17".into()),
        ("limits.memory_mb", "182".into()),
        ("limits.max_fds", "3010".into()),
        ("listen.front", text(&format!("{ip}:8784"))),
        ("listen.ready", text(&format!("{ip}:8785"))),
        ("ip", text(ip)),
        ("inner_ports.0", "7440".into()),
        ("inner_ports.1", "7455".into()),
        ("inner_ports", "[7440,7455]".into()),
        ("bootstrap", "true".into()),
        ("platform.address", text(&store.to_string())),
        ("cloud_api.address", text(&promotions.to_string())),
        ("bounds.config_apply_ms", "4000".into()),
        ("bounds.quota_window_s", "null".into()),
        ("bounds.drain_ms", "7000".into()),
        ("bounds.grace_s", "6".into()),
        ("contracts", r#"["base","drain","config","cost","recover","sql","platform"]"#.into()),
    ];
    fields.into_iter().map(|(name, value)| (name.into(), value)).collect()
}

/// Fills in the placeholders of a template.
fn fill(template: &str, fields: &Fields) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").expect("a placeholder ends");
        let (name, is_json) = match name.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let value = fields.get(name).unwrap_or_else(|| panic!("no field {name}"));
        text.push_str(before);
        text.push_str(if is_json { value } else { value.trim_matches('"') });
        rest = after;
    }
    text + rest
}

impl Vm {
    /// Starts a VM from the repository `root`, and waits until it listens.
    pub fn start(root: &Path, folder: &Path, fields: &Fields) -> Vm {
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).expect("deploy file");
        let value = |key: &str| {
            let lines = deploy.lines().filter_map(|line| line.split_once(" = "));
            let mut values = lines.filter(|(name, _)| name.trim() == key);
            values.next().expect("a key of the deploy file").1.trim_matches('"').to_owned()
        };
        let template = fs::read_to_string(root.join(value("template"))).expect("template");
        let name = fields["node_name"].trim_matches('"');
        let settings: PathBuf = folder.join(format!("{name}.yaml"));
        fs::write(&settings, fill(&template, fields)).expect("settings can be written");
        let run = value("run");
        let mut words = run.split(' ');
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("log");
        let mut command = Command::new(root.join(words.next().expect("a program")));
        // It ends with this process, however that ends.
        // SAFETY: the closure only makes a system call.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, KILL);
                Ok(())
            });
        }
        let child = command
            .args(words)
            .current_dir(root)
            .env("FOXTAILKNOT_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file is built");
        let callers = fields["listen.front"].trim_matches('"').parse().expect("address");
        let vm = Vm { callers, child };
        let until = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(callers).is_err() {
            assert!(Instant::now() < until, "the VM does not listen");
            thread::sleep(Duration::from_millis(20));
        }
        vm
    }

    /// Ends the process, as the platform does.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory, in KiB.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        number.unwrap_or(0)
    }
}
