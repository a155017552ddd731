//! Settings of one service: the members of a replicated database and how
//! requests reach them.

use bon::Builder;
use serde::{Deserialize, Serialize};

use super::{MemberPart, MemberSettings, Result, SettingsError, part::part};
use crate::{decide::acknowledge::AcknowledgeMode, group_id::GroupId, prelude::*};

/// Fewest members of a service: with fewer, no majority is left when one fails.
const MEMBERS_MIN: usize = 3;

part! {
    /// Settings of a service in one file.
    ServicePart {
        /// Members by name.
        #[garde(dive)]
        members: BTreeMap<String, MemberPart>,
        /// Connections to each member, in total over all slots.
        #[garde(range(min = 3, max = 10_000))]
        connections: u32,
        /// Number of slots: VMs that hold connections to the members.
        #[garde(range(min = 1, max = 16))]
        slots: u32,
        /// User that foxtailknot logs in as.
        #[garde(length(min = 1))]
        user: String,
        /// Name of the database on the members.
        #[garde(length(min = 1))]
        database: String,
        /// What must be confirmed before a commit is acknowledged.
        #[garde(skip)]
        acknowledge: AcknowledgeMode,
        /// Longest wait for the confirmation of a commit, in milliseconds.
        #[garde(range(min = 1, max = 600_000))]
        acknowledge_wait_ms: u64,
        /// Longest time a request waits for a connection, in milliseconds.
        #[garde(range(min = 1, max = 600_000))]
        queue_deadline_ms: u64,
        /// Most requests that may wait for a connection.
        #[garde(range(min = 1, max = 1_000_000))]
        queue_length: usize,
        /// Longest time a read waits for a replica to catch up, in milliseconds.
        #[garde(range(max = 60_000))]
        replica_wait_ms: u64,
        /// Silence after which a primary counts as failed, in milliseconds.
        #[garde(range(min = 200, max = 5_000))]
        detect_ms: u64,
    }
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Builder)]
pub struct ServiceSettings {
    /// Members by name.
    pub members: BTreeMap<Name, MemberSettings>,
    /// Connections to each member, in total over all slots.
    #[builder(default = 50)]
    pub connections: u32,
    /// Number of slots: VMs that hold connections to the members.
    #[builder(default = 3)]
    pub slots: u32,
    /// User that foxtailknot logs in as.
    #[builder(default = "foxtailknot".into())]
    pub user: Name,
    /// Name of the database on the members.
    #[builder(default = "postgres".into())]
    pub database: Name,
    /// What must be confirmed before a commit is acknowledged.
    #[builder(default)]
    pub acknowledge: AcknowledgeMode,
    /// Longest wait for the confirmation of a commit, in milliseconds.
    #[builder(default = 5_000)]
    pub acknowledge_wait_ms: u64,
    /// Longest time a request waits for a connection, in milliseconds.
    #[builder(default = 10_000)]
    pub queue_deadline_ms: u64,
    /// Most requests that may wait for a connection.
    #[builder(default = 1_000)]
    pub queue_length: usize,
    /// Longest time a read waits for a replica to catch up, in milliseconds.
    #[builder(default = 25)]
    pub replica_wait_ms: u64,
    /// Silence after which a primary counts as failed, in milliseconds.
    #[builder(default = 1_000)]
    pub detect_ms: u64,
}

impl ServicePart {
    /// Replaces each key that `over` sets; members are merged one by one instead of
    /// being replaced together.
    pub fn overlay_deep(&mut self, mut over: ServicePart) {
        if let Some(members) = over.members.take() {
            let merged = self.members.get_or_insert_default();
            for (name, member) in members {
                merged.entry(name).or_default().overlay(member);
            }
        }
        self.overlay(over);
    }
}

impl ServiceSettings {
    /// Builds the settings from the merged files, with defaults for missing keys.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key at fault.
    pub fn build(key: &str, part: &ServicePart) -> Result<ServiceSettings> {
        let mut members = BTreeMap::new();
        for (name, member) in part.members.iter().flatten() {
            let key = format!("{key}.members.{name}");
            members.insert(name.as_str().into(), MemberSettings::build(&key, member)?);
        }
        check_members(key, &members)?;
        let settings = ServiceSettings::builder()
            .members(members)
            .maybe_connections(part.connections)
            .maybe_slots(part.slots)
            .maybe_user(part.user.as_deref().map(Into::into))
            .maybe_database(part.database.as_deref().map(Into::into))
            .maybe_acknowledge(part.acknowledge)
            .maybe_acknowledge_wait_ms(part.acknowledge_wait_ms)
            .maybe_queue_deadline_ms(part.queue_deadline_ms)
            .maybe_queue_length(part.queue_length)
            .maybe_replica_wait_ms(part.replica_wait_ms)
            .maybe_detect_ms(part.detect_ms)
            .build();
        if settings.connections < 2 * (settings.slots + 1) {
            let text = "must be at least 2 * (slots + 1)";
            return Err(SettingsError::merged(format!("{key}.connections"), text));
        }
        Ok(settings)
    }

    /// Group that the members form.
    pub fn group(&self) -> GroupId {
        GroupId::of_members(self.members.values().map(|member| member.address))
    }

    /// Members in the order of their names; a member's position is the index by
    /// which slots and the delegate refer to it.
    pub fn member_list(&self) -> Vec<(Name, MemberSettings)> {
        let members = self.members.iter();
        members.map(|(n, m)| (n.clone(), m.clone())).collect()
    }
}

fn check_members(key: &str, members: &BTreeMap<Name, MemberSettings>) -> Result<()> {
    if members.len() < MEMBERS_MIN {
        let text = format!("needs at least {MEMBERS_MIN} members");
        return Err(SettingsError::merged(format!("{key}.members"), text));
    }
    let mut seen = BTreeMap::new();
    for (name, member) in members {
        if let Some(other) = seen.insert(member.address, name) {
            let text = format!("has the address of member {other}");
            let key = format!("{key}.members.{name}.address");
            return Err(SettingsError::merged(key, text));
        }
    }
    Ok(())
}
