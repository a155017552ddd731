//! Command line of `foxtailknotd`.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;

use super::error::Result;
use crate::{control::daemon, logging, settings};

/// A database proxy with session consistency.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct DaemonArgs {
    /// Settings of this VM.
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Overlay over the settings; repeat for more.
    #[bpaf(argument("FILE"))]
    pub overlay: Vec<PathBuf>,
    /// Check the settings and exit.
    pub check: bool,
}

/// Parses the command line and runs the daemon.
pub fn main() -> ExitCode {
    match run(&daemon_args().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxtailknotd: {error}");
            ExitCode::from(error.code.exit_status())
        }
    }
}

fn run(args: &DaemonArgs) -> Result<()> {
    let settings = settings::read_vm(&args.settings, &args.overlay)?;
    if args.check {
        println!("settings of {} are good", settings.vm);
        return Ok(());
    }
    // Fails only if logging has been started before.
    let _ = logging::start(&settings.vm, settings.log_level, &settings.log_targets);
    let ended = daemon::run(settings);
    logging::flush();
    Ok(ended?)
}
