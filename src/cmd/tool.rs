//! Command line of `foxtailknot`, the command-line tool.

use std::process::ExitCode;

use bpaf::Bpaf;

use super::{
    config::{self, ConfigCommand, config_command},
    context::{Target, target},
    error::Result,
    explain::{self, Explain, SessionCommand, explain, session_command},
    man,
    service::{self, FailoverCommand, ServiceCommand, failover_command, service_command},
    status,
    vm::{self, VmCommand, vm_command},
};

/// Operates foxtailknot.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum ToolArgs {
    /// Check, compare, apply and show the configuration.
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// List and show services.
    #[bpaf(command)]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// Plan and run a change of primary.
    #[bpaf(command)]
    Failover(#[bpaf(external(failover_command))] FailoverCommand),
    /// List and stop VMs.
    #[bpaf(command)]
    Vm(#[bpaf(external(vm_command))] VmCommand),
    /// Show which VM holds which slot.
    #[bpaf(command)]
    Slots(#[bpaf(external(target))] Target),
    /// Show what every VM reports.
    #[bpaf(command)]
    Status(#[bpaf(external(target))] Target),
    /// Tell where a statement would be routed, and why.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
    /// Read session tokens.
    #[bpaf(command)]
    Session(#[bpaf(external(session_command))] SessionCommand),
    /// Print the manual page. For shell completions, run with
    /// `--bpaf-complete-style-bash`, or the same for another shell.
    #[bpaf(command)]
    Man,
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
        ToolArgs::Service(command) => service::run(command),
        ToolArgs::Failover(command) => service::run_failover(command),
        ToolArgs::Vm(command) => vm::run(command),
        ToolArgs::Slots(target) => service::run_slots(&target),
        ToolArgs::Status(target) => status::run(&target),
        ToolArgs::Explain(options) => explain::run(&options),
        ToolArgs::Session(command) => explain::run_session(command),
        ToolArgs::Man => man::run(),
    }
}
