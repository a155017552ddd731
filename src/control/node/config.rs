//! Configuration: polling the head row, fetching versions, and spreading new
//! versions between VMs.

use rand::{Rng, seq::IteratorRandom};

use super::{Node, NodeMessage, message::Fetched};
use crate::{
    clock,
    control::{
        keys,
        peer::{ConfigUpdate, FullConfig},
    },
    decide::rollout::{Head, Plan, SiteChange},
    prelude::*,
    settings::SiteSettings,
    store::{Row, StoreClient},
};

/// Mean interval between two reads of the head row, in milliseconds.
const HEAD_INTERVAL_MS: u64 = 15_000;
/// Mean interval while no configuration is in force, and the pause after a
/// failed fetch, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 500;
/// Number of VMs to which a VM sends each new version.
const PUSH_FANOUT: usize = 3;
/// Longest wait for the answer to a pushed version, or to a request for changes.
const PUSH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a complete configuration from another VM.
const FULL_CONFIG_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of changes that a VM keeps to answer other VMs.
const CHANGES_KEPT: usize = 64;

impl Node {
    pub(super) fn tick_config(&mut self, now_ms: u64) {
        if now_ms < self.due.head_ms {
            return;
        }
        let interval_ms = match self.head {
            Some(_) => HEAD_INTERVAL_MS,
            None => RETRY_INTERVAL_MS,
        };
        let jitter_ms = self.rng.random_range(0..=interval_ms);
        self.due.head_ms = now_ms + interval_ms / 2 + jitter_ms;
        let platform = self.parts.platform.clone();
        self.spawn_task(
            async move { NodeMessage::HeadRead(platform.read(keys::CONFIG_HEAD).await) },
        );
    }

    pub(super) fn config_version(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.version)
    }

    pub(super) fn head_read(&mut self, result: crate::store::Result<Option<Row<Head>>>) {
        match result {
            Ok(Some(row)) => self.follow_head(row.value, None),
            Ok(None) => self.answer_waiting(),
            Err(error) => {
                log::warn!(target: "control", code = error.code().number(); "{error}");
                if self.head.is_none() {
                    self.fetch_from_peer();
                }
            }
        }
    }

    /// Fetches the missing changes from a VM if it has a newer version in force.
    pub(super) fn catch_up_with(&mut self, vm: &Name, theirs: Option<u64>) {
        if theirs <= self.config_version() || self.is_fetching {
            return;
        }
        let Some(address) = self.address_of(vm) else {
            return;
        };
        let Some(after) = self.config_version() else {
            self.fetch_from_peer();
            return;
        };
        self.is_fetching = true;
        let peers = self.peers.clone();
        let head = self.head.clone();
        self.spawn_task(async move {
            let answer = peers
                .call(address, PUSH_TIMEOUT, async |client, context| {
                    client.changes(context, after).await
                })
                .await;
            match (answer, head) {
                (Ok(Some((head, changes))), _) => NodeMessage::Fetched {
                    head,
                    result: Some(Fetched::Changes(changes)),
                },
                (_, Some(head)) => NodeMessage::Fetched { head, result: None },
                (_, None) => NodeMessage::HeadRead(Ok(None)),
            }
        });
    }

    pub(super) fn config_pushed(&mut self, update: ConfigUpdate) {
        self.follow_head(update.head, Some(update.change));
    }

    /// Brings the configuration to the version of `head`; `change` is the change
    /// that created it, if it is already here.
    fn follow_head(&mut self, head: Head, change: Option<SiteChange>) {
        let plan = head.plan(self.config_version());
        match plan {
            Plan::Keep => {}
            Plan::RefuseOlder => {
                log::info!(
                    target: "config", heard_version = head.version,
                    version = self.config_version(); "older configuration version ignored"
                );
            }
            Plan::Changes(refs) => {
                if let Some(change) =
                    change.filter(|c| refs.len() == 1 && c.version == head.version)
                {
                    self.put_in_force(head, Fetched::Changes(vec![change]));
                    return;
                }
                self.fetch(head, None, refs.into_iter().map(|r| r.digest).collect());
            }
            Plan::ReadRow => self.due.head_ms = 0,
            Plan::Snapshot(snapshot, refs) => {
                let digests = refs.into_iter().map(|r| r.digest).collect();
                self.fetch(head, Some(snapshot.digest), digests);
            }
        }
    }

    fn fetch(&mut self, head: Head, snapshot: Option<Name>, changes: Vec<Name>) {
        if self.is_fetching {
            return;
        }
        self.is_fetching = true;
        let platform = self.parts.platform.clone();
        self.spawn_task(async move {
            let result = fetch_objects(&platform, snapshot, &changes).await;
            NodeMessage::Fetched { head, result }
        });
    }

    /// Fetches the configuration that another VM has in force, for a VM that
    /// starts during an outage of the platform.
    fn fetch_from_peer(&mut self) {
        let others = self.membership.peers().keys().cloned();
        let Some(vm) = others.choose(&mut self.rng) else {
            return;
        };
        let Some(address) = self.address_of(&vm).filter(|_| !self.is_fetching) else {
            return;
        };
        self.is_fetching = true;
        let peers = self.peers.clone();
        self.spawn_task(async move {
            let answer = peers
                .call(address, FULL_CONFIG_TIMEOUT, async |client, context| {
                    client.site(context).await
                })
                .await;
            match answer {
                Ok(Some(full)) => NodeMessage::Fetched {
                    head: full.head,
                    result: Some(Fetched::Full(full.site, Vec::new())),
                },
                _ => NodeMessage::Fetched {
                    head: Head::empty(),
                    result: None,
                },
            }
        });
    }

    pub(super) fn fetched(&mut self, head: Head, result: Option<Fetched>) {
        self.is_fetching = false;
        match result {
            Some(fetched) => self.put_in_force(head, fetched),
            None if head.version > 0 => {
                log::warn!(
                    target: "config", version = head.version;
                    "configuration version could not be fetched"
                );
                self.due.head_ms = clock::now_ms() + RETRY_INTERVAL_MS;
            }
            None => {}
        }
    }

    fn put_in_force(&mut self, head: Head, fetched: Fetched) {
        if self
            .config_version()
            .is_some_and(|version| version >= head.version)
        {
            return;
        }
        let changes = match fetched {
            Fetched::Changes(changes) => changes,
            Fetched::Full(site, changes) => {
                self.site = site;
                changes
            }
        };
        for change in &changes {
            change.apply(&mut self.site);
        }
        log::info!(
            target: "config", version = head.version, from_version = self.config_version();
            "configuration in force"
        );
        let is_first = self.head.is_none();
        self.head = Some(head);
        let last = changes.last().cloned();
        for change in changes {
            self.changes.insert(change.version, change);
        }
        while self.changes.len() > CHANGES_KEPT {
            self.changes.pop_first();
        }
        self.apply_site();
        self.answer_waiting();
        if let Some(change) = last.filter(|_| !is_first) {
            self.push_to_peers(change);
        }
    }

    fn push_to_peers(&mut self, change: SiteChange) {
        let Some(head) = self.head.clone() else {
            return;
        };
        let others = self.membership.peers().keys();
        let chosen = others.choose_multiple(&mut self.rng, PUSH_FANOUT);
        let addresses: Vec<_> = chosen
            .into_iter()
            .filter_map(|vm| self.address_of(vm))
            .collect();
        let head = head.for_update();
        let update = ConfigUpdate { head, change };
        for address in addresses {
            let peers = self.peers.clone();
            let update = update.clone();
            compio::runtime::spawn(async move {
                // A VM that misses it sees the version in probes or in the head row.
                let _ = peers
                    .call(address, PUSH_TIMEOUT, async |client, context| {
                        client.push(context, update.clone()).await
                    })
                    .await;
            })
            .detach();
        }
    }

    pub(super) fn changes_after(&self, after: u64) -> Option<(Head, Vec<SiteChange>)> {
        let head = self.head.clone()?;
        let changes: Vec<_> = self
            .changes
            .range(after + 1..)
            .map(|(_, c)| c.clone())
            .collect();
        let is_complete = changes.len() as u64 == head.version.saturating_sub(after);
        (is_complete && !changes.is_empty()).then_some((head, changes))
    }

    pub(super) fn full_config(&self) -> Option<FullConfig> {
        let head = self.head.clone()?;
        let site = self.site.clone();
        Some(FullConfig { head, site })
    }
}

async fn fetch_objects(
    platform: &StoreClient,
    snapshot: Option<Name>,
    digests: &[Name],
) -> Option<Fetched> {
    let mut changes = Vec::new();
    for digest in digests {
        let body = platform.read_object(digest).await.ok()??;
        changes.push(serde_json::from_slice::<SiteChange>(&body).ok()?);
    }
    let Some(snapshot) = snapshot else {
        return Some(Fetched::Changes(changes));
    };
    let body = platform.read_object(&snapshot).await.ok()??;
    let site: SiteSettings = serde_json::from_slice(&body).ok()?;
    Some(Fetched::Full(site, changes))
}
