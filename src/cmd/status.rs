//! `foxtailknot status`.

use futures::future::join_all;
use serde::Serialize;

use super::{
    context::{Connections, Target, block_on},
    error::Result,
    table,
};
use crate::{control::status::VmStatus, prelude::*, store::ListedVm};

/// Longest wait for the answer of one VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A VM with its status, if it answered.
#[derive(Clone, Debug, Serialize)]
pub struct VmReport {
    /// Name.
    pub vm: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
    /// Its status; `None` if it did not answer.
    pub status: Option<VmStatus>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error when the platform does not answer.
pub fn run(target: &Target) -> Result<()> {
    let reports = block_on(async {
        let connections = target.connect()?;
        let vms = connections.vms().await?;
        Ok(read_status(&connections, vms).await)
    })?;
    if target.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&reports).unwrap_or_default()
        );
        return Ok(());
    }
    let rows: Vec<Vec<String>> = reports.iter().map(row).collect();
    table::print(
        &[
            "VM",
            "ZONE",
            "STATE",
            "CONFIG",
            "CALLERS",
            "SLOTS",
            "DELEGATE OF",
        ],
        &rows,
    );
    Ok(())
}

/// Reads the status of every VM.
pub async fn read_status(connections: &Connections, vms: Vec<ListedVm>) -> Vec<VmReport> {
    let calls = vms.into_iter().map(|vm| async move {
        let status = connections
            .peers
            .call(vm.peer, CALL_TIMEOUT, async |client, context| {
                client.status(context).await
            })
            .await;
        VmReport {
            vm: vm.name,
            zone: vm.zone,
            leaving: vm.leaving,
            status: status.ok().flatten(),
        }
    });
    join_all(calls).await
}

fn row(report: &VmReport) -> Vec<String> {
    let Some(status) = &report.status else {
        let silent = ["silent", "-", "-", "-", "-"].map(str::to_owned);
        return [report.vm.to_string(), report.zone.to_string()]
            .into_iter()
            .chain(silent)
            .collect();
    };
    let state = match (status.is_draining, report.leaving) {
        (true, _) => "stopping",
        (false, true) => "leaving",
        (false, false) => "working",
    };
    let names = |names: Vec<&Name>| {
        let names: Vec<&str> = names.into_iter().map(|n| &**n).collect();
        names.join(",")
    };
    vec![
        report.vm.to_string(),
        report.zone.to_string(),
        state.to_owned(),
        status.config_version.map_or("-".into(), |v| v.to_string()),
        status.callers.to_string(),
        names(status.slots.iter().map(|s| &s.service).collect()),
        names(status.delegate_of.keys().collect()),
    ]
}
