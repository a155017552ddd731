//! Which configuration version a VM holds in force, and how it gets there.
//!
//! The head row names a snapshot and the changes since. A VM that is a few
//! versions behind fetches only the changes.

use serde::{Deserialize, Serialize};

use crate::{
    prelude::*,
    settings::{ServiceSettings, SiteSettings},
};

/// Changes after which the next one writes a new snapshot.
pub const SNAPSHOT_INTERVAL: u64 = 16;
/// Changes kept in the head row.
pub const CHANGES_MAX: usize = 16;

/// Changes named when other VMs are told of a head.
const UPDATE_CHANGES: usize = 2;

/// A change that made a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRef {
    /// Version it made.
    pub version: u64,
    /// Digest of the object that holds it.
    pub digest: Name,
    /// Id that its operator's tool gave it.
    pub change_id: Name,
}

/// A snapshot of a whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// Its version.
    pub version: u64,
    /// Digest of the object that holds it.
    pub digest: Name,
}

/// The head row of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version; it only rises.
    pub version: u64,
    /// Newest snapshot.
    pub snapshot: SnapshotRef,
    /// Latest changes, oldest first.
    pub changes: Vec<ChangeRef>,
}

/// What one version changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteChange {
    /// Version it made.
    pub version: u64,
    /// Services that were set, or removed with `None`.
    pub services: BTreeMap<Name, Option<ServiceSettings>>,
}

/// How a VM reaches the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The head is in force already.
    Keep,
    /// The head is older than what is in force: a late message.
    RefuseOlder,
    /// Apply these changes in order.
    Changes(Vec<ChangeRef>),
    /// Start from the snapshot, then apply these changes.
    Snapshot(SnapshotRef, Vec<ChangeRef>),
    /// This head names too few changes: read the head row.
    ReadRow,
}

impl Head {
    /// The head before any configuration was accepted.
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

    /// The head as it is told to other VMs: with only its latest changes. Who
    /// is further behind asks for them.
    pub fn for_update(&self) -> Head {
        let surplus = self.changes.len().saturating_sub(UPDATE_CHANGES);
        Head {
            version: self.version,
            snapshot: self.snapshot.clone(),
            changes: self.changes[surplus..].to_vec(),
        }
    }

    /// Whether the next change must write a snapshot too.
    pub fn needs_snapshot(previous: Option<&Head>) -> bool {
        previous.is_none_or(|h| h.version + 1 >= h.snapshot.version + SNAPSHOT_INTERVAL)
    }

    /// Version that a change made, if the row still tells.
    pub fn version_of(&self, change_id: &str) -> Option<u64> {
        let found = self.changes.iter().find(|c| &*c.change_id == change_id);
        found.map(|c| c.version)
    }

    /// How a VM that has `in_force` reaches this head.
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
        let is_whole = changes.len() as u64 == self.version - version;
        is_whole.then_some(changes)
    }
}

impl SiteChange {
    /// What turns `old` into `new`.
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

    /// Applies the change.
    pub fn apply(&self, site: &mut SiteSettings) {
        for (name, settings) in &self.services {
            match settings {
                Some(settings) => site.services.insert(name.clone(), settings.clone()),
                None => site.services.remove(name),
            };
        }
    }
}
