//! `foxtailknot explain` and `foxtailknot session show`.

use bpaf::Bpaf;

use super::error::{CmdError, Result};
use crate::{
    decide::classify::{Class, classify},
    prelude::*,
    token,
};

/// Options of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Explain {
    /// The statement.
    #[bpaf(positional("SQL"))]
    pub sql: String,
}

/// Subcommands of `session`.
#[derive(Clone, Debug, Bpaf)]
pub enum SessionCommand {
    /// Show what a token says.
    #[bpaf(command)]
    Show {
        /// Service that the token is for.
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// The token.
        #[bpaf(positional("TOKEN"))]
        token: String,
    },
}

/// Runs `explain`.
///
/// # Errors
///
/// Never fails; every text has a class.
pub fn run(explain: &Explain) -> Result<()> {
    let class = classify(&explain.sql);
    println!("class {class}: {}", meaning(class));
    Ok(())
}

/// Runs `session`.
///
/// # Errors
///
/// Returns an error for a bad token.
pub fn run_session(command: SessionCommand) -> Result<()> {
    let SessionCommand::Show { service, token } = command;
    let floor =
        token::decode(&service, &token).map_err(|error| CmdError::new(Code::BadToken, error))?;
    let (position, group) = match floor.position() {
        Some((position, group)) => (position, group.to_string()),
        None => (Position::default(), "any".to_owned()),
    };
    let Position { term, lsn } = position;
    println!("service {service}, group {group}, term {term}, position {lsn}");
    Ok(())
}

fn meaning(class: Class) -> &'static str {
    match class {
        Class::Empty | Class::Read => {
            "goes to a replica that has reached the session's position, else to the primary"
        }
        Class::BeginReadOnly => "the whole transaction goes to such a replica",
        Class::Begin => "the whole transaction goes to the primary",
        Class::Write => "goes to the primary; acknowledged once it is confirmed",
        Class::Commit => "ends the transaction; acknowledged once it is confirmed",
        Class::RollBack => "ends the transaction",
        Class::Own => "answered by the proxy",
        Class::Session => "carried by the proxy if it can be, else refused",
        Class::Copy => "refused",
    }
}
