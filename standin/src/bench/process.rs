//! Child processes of the bench.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
};

/// A child process; dropping this kills it.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and redirects its output to a file.
    ///
    /// # Panics
    ///
    /// Panics when the program can't be started.
    pub fn start(program: &Path, args: &[String], log: &Path) -> Process {
        let output = File::create(log).expect("a log file can be made");
        let errors = output.try_clone().expect("a file handle can be cloned");
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        Process { child }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `STOP`.
    ///
    /// # Panics
    ///
    /// Panics when the signal can't be sent.
    pub fn signal(&self, name: &str) {
        signal(self.id(), name);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code, -1 after a signal, or `None` while the process runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }
}

/// Sends a signal by name, such as `STOP`, to a process that the bench started.
///
/// # Panics
///
/// Panics when the signal can't be sent.
pub fn signal(id: u32, name: &str) {
    let sent = Command::new("kill")
        .args([format!("-{name}"), id.to_string()])
        .status();
    assert!(
        sent.is_ok_and(|s| s.success()),
        "signal {name} was not sent"
    );
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
