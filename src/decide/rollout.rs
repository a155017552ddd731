//! Configuration versions, and how a VM updates to the newest one.
//!
//! The head row names a snapshot and the changes since. A VM that is only a few
//! versions behind fetches only the changes.

use serde::{Deserialize, Serialize};

use crate::{
    prelude::*,
    settings::{ServiceSettings, SiteSettings},
};

/// Number of versions after which a change also writes a new snapshot.
pub const SNAPSHOT_INTERVAL: u64 = 16;
/// Maximum number of changes listed in the head row.
pub const CHANGES_MAX: usize = 16;

/// Maximum number of changes listed in an update that is sent to other VMs.
const UPDATE_CHANGES: usize = 2;

/// Reference to the change that created a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRef {
    /// Version that the change created.
    pub version: u64,
    /// Digest of the object that contains it.
    pub digest: Name,
    /// Id that the operator's tool gave it.
    pub change_id: Name,
}

/// Reference to a snapshot of the whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the object that contains it.
    pub digest: Name,
}

/// The head row of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version; it only increases.
    pub version: u64,
    /// Newest snapshot.
    pub snapshot: SnapshotRef,
    /// Latest changes, oldest first.
    pub changes: Vec<ChangeRef>,
}

/// The changes of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteChange {
    /// Version that the change created.
    pub version: u64,
    /// Services that were added or changed; `None` for those that were removed.
    pub services: BTreeMap<Name, Option<ServiceSettings>>,
}

/// How a VM updates to a head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The head is already in force.
    Keep,
    /// The head is older than the version in force, because its message was
    /// late.
    RefuseOlder,
    /// Apply these changes in order.
    Changes(Vec<ChangeRef>),
    /// Start from the snapshot, then apply these changes.
    Snapshot(SnapshotRef, Vec<ChangeRef>),
    /// The head lists too few changes; read the head row.
    ReadRow,
}

impl Head {
    /// The head before the first configuration is accepted.
    pub fn empty() -> Head {
        let snapshot = SnapshotRef {
            version: 0,
            digest: "".into(),
        };
        Head {
            version: 0,
            snapshot,
            changes: Vec::new(),
        }
    }

    /// The head that follows `previous`.
    pub fn next(previous: Option<&Head>, change: ChangeRef, snapshot: Option<Name>) -> Head {
        let version = change.version;
        let mut changes = previous.map(|h| h.changes.clone()).unwrap_or_default();
        changes.push(change);
        let surplus = changes.len().saturating_sub(CHANGES_MAX);
        changes.drain(..surplus);
        let taken = snapshot.map(|digest| SnapshotRef { version, digest });
        let kept = previous.map(|h| h.snapshot.clone());
        Head {
            version,
            snapshot: taken.or(kept).unwrap_or(Head::empty().snapshot),
            changes,
        }
    }

    /// The head as sent to other VMs, with only its latest changes. A VM that
    /// is further behind asks for the others.
    pub fn for_update(&self) -> Head {
        let surplus = self.changes.len().saturating_sub(UPDATE_CHANGES);
        Head {
            version: self.version,
            snapshot: self.snapshot.clone(),
            changes: self.changes[surplus..].to_vec(),
        }
    }

    /// Whether the next change must also write a snapshot.
    pub fn needs_snapshot(previous: Option<&Head>) -> bool {
        previous.is_none_or(|h| h.version + 1 >= h.snapshot.version + SNAPSHOT_INTERVAL)
    }

    /// Version that a change created, if the head row still lists the change.
    pub fn version_of(&self, change_id: &str) -> Option<u64> {
        let found = self.changes.iter().find(|c| &*c.change_id == change_id);
        found.map(|c| c.version)
    }

    /// How a VM whose version is `in_force` updates to this head.
    pub fn plan(&self, in_force: Option<u64>) -> Plan {
        match in_force {
            Some(version) if version == self.version => return Plan::Keep,
            Some(version) if version > self.version => return Plan::RefuseOlder,
            _ => {}
        }
        if let Some(changes) = in_force.and_then(|version| self.changes_after(version)) {
            return Plan::Changes(changes);
        }
        match self.changes_after(self.snapshot.version) {
            Some(changes) => Plan::Snapshot(self.snapshot.clone(), changes),
            None => Plan::ReadRow,
        }
    }

    fn changes_after(&self, version: u64) -> Option<Vec<ChangeRef>> {
        let after = self.changes.iter().filter(|c| c.version > version);
        let changes: Vec<ChangeRef> = after.cloned().collect();
        let is_complete = changes.len() as u64 == self.version - version;
        is_complete.then_some(changes)
    }
}

impl SiteChange {
    /// The change from `old` to `new`.
    pub fn between(version: u64, old: &SiteSettings, new: &SiteSettings) -> SiteChange {
        let mut services = BTreeMap::new();
        for (name, settings) in &new.services {
            if old.services.get(name) != Some(settings) {
                services.insert(name.clone(), Some(settings.clone()));
            }
        }
        for name in old.services.keys() {
            if !new.services.contains_key(name) {
                services.insert(name.clone(), None);
            }
        }
        SiteChange { version, services }
    }

    /// Applies the change to `site`.
    pub fn apply(&self, site: &mut SiteSettings) {
        for (name, settings) in &self.services {
            match settings {
                Some(settings) => site.services.insert(name.clone(), settings.clone()),
                None => site.services.remove(name),
            };
        }
    }
}
