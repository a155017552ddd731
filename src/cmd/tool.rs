//! `foxtailknot`.

use std::process::ExitCode;

use bpaf::Bpaf;

use super::{
    config::{self, ConfigCommand, config_command},
    error::Result,
};

/// Operates foxtailknot.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum ToolArgs {
    /// Check, compare, apply and show the configuration.
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
}

/// Parses the command line and runs the subcommand.
pub fn main() -> ExitCode {
    match run(tool_args().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxtailknot: {error}");
            ExitCode::from(error.code.exit_status())
        }
    }
}

fn run(args: ToolArgs) -> Result<()> {
    match args {
        ToolArgs::Config(command) => config::run(command),
    }
}
