//! The command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    foxtailknot::cmd::tool::main()
}
