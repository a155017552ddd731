//! `foxtailknot config`.

use std::{path::PathBuf, time::Instant};

use bpaf::Bpaf;
use futures::future::join_all;

use super::{
    context::{Connections, Target, block_on, target},
    error::{CmdError, Result},
};
use crate::{
    control::{
        apply::{self, Accepted},
        peer::ConfigUpdate,
    },
    decide::rollout::SiteChange,
    prelude::*,
    settings::{SiteSettings, read_site},
    store::ListedVm,
};

/// Longest wait for the answer of one VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which the tool checks which VMs have the version in force.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of VMs to which the tool sends an accepted version.
const PUSH_FANOUT: usize = 3;

/// Files of a configuration.
#[derive(Clone, Debug, Bpaf)]
pub struct Files {
    /// Base file.
    #[bpaf(argument("FILE"))]
    pub base: PathBuf,
    /// Overlay; repeat for more.
    #[bpaf(argument("FILE"))]
    pub overlay: Vec<PathBuf>,
}

/// Subcommands of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Check files without applying them.
    #[bpaf(command)]
    Check(#[bpaf(external(files))] Files),
    /// Show what files would change.
    #[bpaf(command)]
    Diff {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
        /// Files to read.
        #[bpaf(external)]
        files: Files,
    },
    /// Apply files and wait until they are in force everywhere.
    #[bpaf(command)]
    Apply {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
        /// Files to read.
        #[bpaf(external)]
        files: Files,
        /// Time to wait, in seconds; 0 does not wait.
        #[bpaf(argument("SECONDS"), fallback(9))]
        wait_s: u64,
    },
    /// Show the configuration in force.
    #[bpaf(command)]
    Show {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
    },
    /// Show the latest changes.
    #[bpaf(command)]
    History {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns the error with its code.
pub fn run(command: ConfigCommand) -> Result<()> {
    match command {
        ConfigCommand::Check(files) => check(&files),
        ConfigCommand::Diff { target, files } => block_on(diff(&target, &files)),
        ConfigCommand::Apply {
            target,
            files,
            wait_s,
        } => block_on(apply_files(&target, &files, wait_s)),
        ConfigCommand::Show { target } => block_on(show(&target)),
        ConfigCommand::History { target } => block_on(history(&target)),
    }
}

fn check(files: &Files) -> Result<()> {
    let site = read_site(&files.base, &files.overlay)?;
    println!("{} services are good", site.services.len());
    Ok(())
}

async fn diff(target: &Target, files: &Files) -> Result<()> {
    let site = read_site(&files.base, &files.overlay)?;
    let connections = target.connect()?;
    let in_force = apply::read(&connections.platform).await?;
    let version = in_force.head.map_or(0, |head| head.version);
    let change = SiteChange::between(version + 1, &in_force.site, &site);
    print_change(&change, &in_force.site);
    Ok(())
}

fn print_change(change: &SiteChange, old: &SiteSettings) {
    for (name, settings) in &change.services {
        let sign = match (settings, old.services.contains_key(name)) {
            (None, _) => '-',
            (Some(_), true) => '~',
            (Some(_), false) => '+',
        };
        println!("{sign} {name}");
    }
    if change.services.is_empty() {
        println!("nothing changes");
    }
}

async fn apply_files(target: &Target, files: &Files, wait_s: u64) -> Result<()> {
    let site = read_site(&files.base, &files.overlay)?;
    let connections = target.connect()?;
    let in_force = apply::read(&connections.platform).await?;
    let accepted = apply::apply(&connections.platform, &in_force, &site, "tool").await?;
    let version = accepted.head.version;
    println!(
        "version {version} accepted as change {}",
        accepted.change_id
    );
    if wait_s == 0 {
        return Ok(());
    }
    let vms = connections.platform.list_vms().await?;
    push_update(&connections, &vms, accepted).await;
    wait_for(&connections, &vms, version, Duration::from_secs(wait_s)).await
}

async fn push_update(connections: &Connections, vms: &[ListedVm], accepted: Accepted) {
    let update = ConfigUpdate {
        head: accepted.head,
        change: accepted.change,
    };
    for vm in vms.iter().take(PUSH_FANOUT) {
        // The other VMs get it from these or from the head row.
        let _ = connections
            .peers
            .call(vm.peer, CALL_TIMEOUT, async |client, context| {
                client.push(context, update.clone()).await
            })
            .await;
    }
}

async fn wait_for(
    connections: &Connections,
    vms: &[ListedVm],
    version: u64,
    wait: Duration,
) -> Result<()> {
    let started = Instant::now();
    loop {
        let behind = vms_behind(connections, vms, version).await;
        if behind.is_empty() {
            let elapsed_ms = started.elapsed().as_millis();
            println!("in force on {} VMs after {elapsed_ms} ms", vms.len());
            return Ok(());
        }
        if started.elapsed() >= wait {
            let text = format!(
                "version {version} is not in force on: {}",
                behind.join(", ")
            );
            return Err(CmdError::new(Code::ConfigurationPending, text));
        }
        eprintln!("{} of {} VMs have it", vms.len() - behind.len(), vms.len());
        compio::time::sleep(WAIT_POLL_INTERVAL).await;
    }
}

/// Names of the VMs that do not have the version in force; a VM that does not
/// answer counts as one of them.
async fn vms_behind(connections: &Connections, vms: &[ListedVm], version: u64) -> Vec<String> {
    let asked = vms.iter().filter(|vm| !vm.leaving).map(|vm| async move {
        let status = connections
            .peers
            .call(vm.peer, CALL_TIMEOUT, async |client, context| {
                client.status(context).await
            })
            .await;
        let in_force = status.ok().flatten().and_then(|s| s.config_version);
        (in_force < Some(version)).then(|| vm.name.to_string())
    });
    join_all(asked).await.into_iter().flatten().collect()
}

async fn show(target: &Target) -> Result<()> {
    let connections = target.connect()?;
    let in_force = apply::read(&connections.platform).await?;
    let text = match target.json {
        true => serde_json::to_string_pretty(&in_force.site).unwrap_or_default(),
        false => serde_saphyr::to_string(&in_force.site).unwrap_or_default(),
    };
    println!("{text}");
    Ok(())
}

async fn history(target: &Target) -> Result<()> {
    let connections = target.connect()?;
    let in_force = apply::read(&connections.platform).await?;
    let changes = in_force.head.map(|head| head.changes).unwrap_or_default();
    if target.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&changes).unwrap_or_default()
        );
        return Ok(());
    }
    println!("VERSION  CHANGE");
    for change in changes.iter().rev() {
        println!("{:<8} {}", change.version, change.change_id);
    }
    Ok(())
}
