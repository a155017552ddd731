//! The command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    foxtailknot::cmd::tool::main()
}
