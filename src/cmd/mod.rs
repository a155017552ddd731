//! Command lines of the daemon and of the command-line tool, with one file for
//! each subcommand.

pub mod config;
pub mod context;
pub mod daemon;
pub mod error;
pub mod explain;
pub mod man;
pub mod service;
pub mod status;
pub mod table;
pub mod tool;
pub mod vm;
