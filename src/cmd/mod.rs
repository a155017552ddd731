//! Command lines of the daemon and of the command-line tool, a file per
//! subcommand.

pub mod config;
pub mod context;
pub mod daemon;
pub mod error;
pub mod tool;
