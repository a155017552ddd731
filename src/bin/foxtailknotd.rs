//! The daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    foxtailknot::cmd::daemon::main()
}
