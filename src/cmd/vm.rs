//! `foxtailknot vm`.

use bpaf::Bpaf;

use super::{
    context::{Target, block_on, target},
    error::{CmdError, Result},
    status,
};
use crate::{control::peer::OrderAnswer, prelude::*};

/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Subcommands of `vm`.
#[derive(Clone, Debug, Bpaf)]
pub enum VmCommand {
    /// List the VMs.
    #[bpaf(command)]
    List {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
    },
    /// Stop a VM's daemon gracefully.
    #[bpaf(command)]
    Drain {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
        /// Name of the VM.
        #[bpaf(positional("VM"))]
        vm: String,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns the error with its code.
pub fn run(command: VmCommand) -> Result<()> {
    match command {
        VmCommand::List { target } => status::run(&target),
        VmCommand::Drain { target, vm } => block_on(drain(&target, &vm)),
    }
}

async fn drain(target: &Target, name: &str) -> Result<()> {
    let connections = target.connect()?;
    let vms = connections.vms().await?;
    let vm = vms.iter().find(|vm| &*vm.name == name).ok_or_else(|| {
        let text = format!("the platform lists no VM {name}");
        CmdError::new(Code::PeerUnavailable, text)
    })?;
    let answer = connections
        .peers
        .call(vm.peer, ORDER_TIMEOUT, async |client, context| {
            client.drain(context).await
        })
        .await?;
    match answer {
        OrderAnswer::Accepted => {
            println!("{name} is stopping");
            Ok(())
        }
        OrderAnswer::Refused(text) => Err(CmdError::new(Code::PeerUnavailable, text)),
    }
}
