//! Options and connections that subcommands share.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::error::{CmdError, Result};
use crate::{
    control::peer_clients::PeerClients,
    prelude::*,
    store::{ListedVm, StoreClient},
};

/// Options of every subcommand that reaches the platform.
#[derive(Clone, Debug, Bpaf)]
pub struct Target {
    /// Address of the platform's services.
    #[bpaf(argument("ADDR"), env("FOXTAILKNOT_PLATFORM"))]
    pub platform: SocketAddr,
    /// Print JSON instead of a table.
    pub json: bool,
}

/// Connections that a subcommand uses.
pub struct Connections {
    /// Client of the platform.
    pub platform: StoreClient,
    /// Clients of the VMs.
    pub peers: PeerClients,
}

impl Target {
    /// Prepares the connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be set up.
    pub fn connect(&self) -> Result<Connections> {
        Ok(Connections {
            platform: StoreClient::new(self.platform)?,
            peers: PeerClients::default(),
        })
    }
}

impl Connections {
    /// Lists the VMs that the platform knows.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer or lists no VM.
    pub async fn vms(&self) -> Result<Vec<ListedVm>> {
        let vms = self.platform.list_vms().await?;
        if vms.is_empty() {
            let text = "the platform lists no VM";
            return Err(CmdError::new(Code::PeerUnavailable, text));
        }
        Ok(vms)
    }
}

/// Runs a subcommand's asynchronous work to its end.
///
/// # Errors
///
/// Returns the error of the work, or an error when the runtime can't be set up.
pub fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    let setup = |error: std::io::Error| CmdError::new(Code::ListenFailed, error);
    let timers = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_time()
        .build()
        .map_err(setup)?;
    let _entered = timers.enter();
    compio::runtime::Runtime::new()
        .map_err(setup)?
        .block_on(work)
}
