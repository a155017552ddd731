//! `foxtailknot service`, `slots` and `failover`.

use bpaf::Bpaf;

use super::{
    context::{Connections, Target, block_on, target},
    error::{CmdError, Result},
    status::read_status,
    table,
};
use crate::{
    control::{apply, keys, peer::OrderAnswer, service_row::ServiceRow},
    decide::member::Role,
    prelude::*,
    store::Row,
};

/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest wait for a change of primary, in milliseconds.
const FAILOVER_MS: u64 = 8_000;
/// Interval at which the tool checks for the new primary.
const FAILOVER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Subcommands of `service`.
#[derive(Clone, Debug, Bpaf)]
pub enum ServiceCommand {
    /// List the services.
    #[bpaf(command)]
    List {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
    },
    /// Show one service: its row and what the slots see of its members.
    #[bpaf(command)]
    Show {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
        /// Name of the service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

/// Subcommands of `failover`.
#[derive(Clone, Debug, Bpaf)]
pub enum FailoverCommand {
    /// Tell which member would be promoted now.
    #[bpaf(command)]
    Plan {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
        /// Name of the service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Change the primary and wait until it has changed.
    #[bpaf(command)]
    Run {
        /// Where to find the platform.
        #[bpaf(external)]
        target: Target,
        /// Name of the service.
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Member that is preferred if it is as advanced as any.
        #[bpaf(positional("MEMBER"))]
        member: String,
    },
}

/// A member as seen from the slots.
struct MemberSummary {
    name: Name,
    role: String,
    term: u64,
    position: Position,
    seen_by: usize,
}

/// Runs `service`.
///
/// # Errors
///
/// Returns the error with its code.
pub fn run(command: ServiceCommand) -> Result<()> {
    match command {
        ServiceCommand::List { target } => block_on(list(&target)),
        ServiceCommand::Show { target, service } => block_on(show(&target, &service)),
    }
}

/// Runs `failover`.
///
/// # Errors
///
/// Returns the error with its code.
pub fn run_failover(command: FailoverCommand) -> Result<()> {
    match command {
        FailoverCommand::Plan { target, service } => block_on(plan(&target, &service)),
        FailoverCommand::Run {
            target,
            service,
            member,
        } => block_on(change_primary(&target, &service, &member)),
    }
}

/// Runs `slots`.
///
/// # Errors
///
/// Returns the error with its code.
pub fn run_slots(target: &Target) -> Result<()> {
    let rows = block_on(async { read_rows(&target.connect()?).await })?;
    if target.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&rows).unwrap_or_default()
        );
        return Ok(());
    }
    let mut lines = Vec::new();
    for (service, row) in &rows {
        for (index, slot) in row.value.slots.iter().enumerate() {
            lines.push(vec![
                service.trim_start_matches(keys::SERVICE_PREFIX).to_owned(),
                index.to_string(),
                slot.vm.as_deref().unwrap_or("-").to_owned(),
                slot.generation.to_string(),
            ]);
        }
    }
    table::print(&["SERVICE", "SLOT", "VM", "GENERATION"], &lines);
    Ok(())
}

async fn read_rows(connections: &Connections) -> Result<BTreeMap<Name, Row<ServiceRow>>> {
    Ok(connections.platform.list(keys::SERVICE_PREFIX).await?)
}

async fn read_row(connections: &Connections, service: &str) -> Result<Row<ServiceRow>> {
    let row = connections.platform.read(&keys::service(service)).await?;
    row.ok_or_else(|| {
        let text = format!("service {service} has no row yet");
        CmdError::new(Code::UnknownService, text)
    })
}

async fn list(target: &Target) -> Result<()> {
    let connections = target.connect()?;
    let in_force = apply::read(&connections.platform).await?;
    let rows = read_rows(&connections).await?;
    if target.json {
        let text = serde_json::to_string_pretty(&in_force.site.services);
        println!("{}", text.unwrap_or_default());
        return Ok(());
    }
    let lines: Vec<Vec<String>> = in_force
        .site
        .services
        .iter()
        .map(|(name, settings)| {
            let row = rows.get(&*keys::service(name)).map(|row| &row.value);
            let text = |name: Option<&Name>| name.map_or("-".into(), ToString::to_string);
            vec![
                name.to_string(),
                settings.members.len().to_string(),
                settings.connections.to_string(),
                settings.acknowledge.to_string(),
                text(row.and_then(|row| row.delegate.as_ref())),
            ]
        })
        .collect();
    table::print(
        &[
            "SERVICE",
            "MEMBERS",
            "CONNECTIONS",
            "ACKNOWLEDGE",
            "DELEGATE",
        ],
        &lines,
    );
    Ok(())
}

async fn show(target: &Target, service: &str) -> Result<()> {
    let connections = target.connect()?;
    let row = read_row(&connections, service).await?;
    if target.json {
        println!("{}", serde_json::to_string_pretty(&row).unwrap_or_default());
        return Ok(());
    }
    let value = &row.value;
    println!("delegate {}", value.delegate.as_deref().unwrap_or("-"));
    println!(
        "reserved terms {}..{}",
        value.reserved_from, value.reserved_until
    );
    let members = read_members(&connections, service).await?;
    let lines: Vec<Vec<String>> = members
        .iter()
        .map(|m| {
            vec![
                m.name.to_string(),
                m.role.clone(),
                m.term.to_string(),
                m.position.to_string(),
                m.seen_by.to_string(),
            ]
        })
        .collect();
    table::print(&["MEMBER", "ROLE", "TERM", "POSITION", "SEEN BY"], &lines);
    Ok(())
}

/// Members of a service as its slots see them. If slots differ, the status with
/// the highest term and position counts.
async fn read_members(connections: &Connections, service: &str) -> Result<Vec<MemberSummary>> {
    let reports = read_status(connections, connections.vms().await?).await;
    let mut members: BTreeMap<Name, MemberSummary> = BTreeMap::new();
    let slots = reports.iter().filter_map(|r| r.status.as_ref());
    let slots = slots.flat_map(|status| &status.slots);
    for member in slots
        .filter(|s| &*s.service == service)
        .flat_map(|s| &s.members)
    {
        let Some(status) = member.status else {
            continue;
        };
        let seen = MemberSummary {
            name: member.name.clone(),
            role: status.role.to_string(),
            term: status.term,
            position: Position::new(status.synced_term, status.received_lsn),
            seen_by: 1,
        };
        let known = members.entry(member.name.clone());
        known
            .and_modify(|known| {
                let seen_by = known.seen_by + 1;
                if (seen.term, seen.position) > (known.term, known.position) {
                    known.role = seen.role.clone();
                    known.term = seen.term;
                    known.position = seen.position;
                }
                known.seen_by = seen_by;
            })
            .or_insert(seen);
    }
    Ok(members.into_values().collect())
}

/// The member that is primary in the highest term.
fn find_primary(members: &[MemberSummary]) -> Option<&MemberSummary> {
    let role = Role::Primary.to_string();
    let primaries = members.iter().filter(|m| m.role == role);
    primaries.max_by_key(|m| m.term)
}

async fn plan(target: &Target, service: &str) -> Result<()> {
    let connections = target.connect()?;
    let row = read_row(&connections, service).await?;
    let members = read_members(&connections, service).await?;
    let primary = find_primary(&members).map(|m| m.name.clone());
    let others = members.iter().filter(|m| Some(&m.name) != primary.as_ref());
    let chosen = others.max_by_key(|m| m.position);
    println!("primary {}", primary.as_deref().unwrap_or("-"));
    println!("delegate {}", row.value.delegate.as_deref().unwrap_or("-"));
    match chosen {
        Some(member) => println!("would promote {} at {}", member.name, member.position),
        None => println!("no other member is seen"),
    }
    Ok(())
}

async fn change_primary(target: &Target, service: &str, member: &str) -> Result<()> {
    let connections = target.connect()?;
    let row = read_row(&connections, service).await?;
    let before = read_members(&connections, service).await?;
    let term = find_primary(&before).map_or(0, |m| m.term);
    let vms = connections.vms().await?;
    let delegate = vms
        .iter()
        .find(|vm| Some(&vm.name) == row.value.delegate.as_ref());
    let delegate = delegate.ok_or_else(|| {
        CmdError::new(
            Code::PromotionRefused,
            "the service has no reachable delegate",
        )
    })?;
    let (service_name, member_name): (Name, Name) = (service.into(), member.into());
    let answer = connections
        .peers
        .call(delegate.peer, ORDER_TIMEOUT, async |client, context| {
            client
                .order_failover(context, service_name.clone(), member_name.clone())
                .await
        })
        .await?;
    if let OrderAnswer::Refused(text) = answer {
        return Err(CmdError::new(Code::PromotionRefused, text));
    }
    let deadline_ms = crate::clock::now_ms() + FAILOVER_MS;
    while crate::clock::now_ms() < deadline_ms {
        let now = read_members(&connections, service).await?;
        if let Some(primary) = find_primary(&now).filter(|m| m.term > term) {
            println!("{} leads in term {}", primary.name, primary.term);
            return Ok(());
        }
        compio::time::sleep(FAILOVER_POLL_INTERVAL).await;
    }
    let text = format!("no new primary within {FAILOVER_MS} ms");
    Err(CmdError::new(Code::PromotionRefused, text))
}
