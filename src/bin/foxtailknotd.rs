//! The proxy daemon, one on each VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    foxtailknot::cmd::daemon::main()
}
