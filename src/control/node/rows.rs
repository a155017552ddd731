//! Service rows: reading and writing them, claiming the delegate role, placing
//! slots and reserving terms.

use futures::future::join_all;
use rand::seq::IteratorRandom;

use super::{KnownRow, Node, NodeMessage};
use crate::{
    clock,
    control::{ids, keys, service_row::ServiceRow},
    decide::{
        failover::Event,
        placement::{Candidate, place},
    },
    decision_log::decision,
    prelude::*,
    store::{Result, Row, WriteOutcome},
};

/// Interval between two checks of the rows that this VM is responsible for, in
/// milliseconds.
const ROWS_INTERVAL_MS: u64 = 500;
/// Age at which a row that this VM is responsible for is read again, in
/// milliseconds.
const ROW_REREAD_MS: u64 = 60_000;
/// Longest wait for a VM to which a row is sent, or which is asked for one.
const ROW_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of VMs asked for a row, besides the standby delegate, while the
/// platform is down.
const ROW_PEERS: usize = 6;
/// Number of reserved terms below which more are reserved.
const RESERVED_TERMS_MIN: u64 = 8;

impl Node {
    pub(super) fn tick_rows(&mut self, now_ms: u64) {
        let knows_site = self.has_listed_vms && self.head.is_some();
        let is_ready = knows_site && self.knows_standbys && !self.is_draining();
        if now_ms < self.due.rows_ms || !is_ready {
            return;
        }
        self.due.rows_ms = now_ms + ROWS_INTERVAL_MS;
        let mut services: BTreeSet<Name> = self
            .standbys
            .services_of(&self.own_vm)
            .into_iter()
            .collect();
        services.extend(self.delegates.keys().cloned());
        services.extend(self.slots.keys().cloned());
        for service in services {
            self.check_row(&service, now_ms);
        }
    }

    /// Reads the row if it is unknown or old, places its slots as the delegate, or
    /// claims the delegate role if the delegate is gone.
    fn check_row(&mut self, service: &Name, now_ms: u64) {
        if self.row_writes.contains(service) {
            return;
        }
        let Some(known) = self.rows.get_mut(service) else {
            self.read_row_once(service);
            return;
        };
        if now_ms >= known.read_ms + ROW_REREAD_MS {
            known.read_ms = now_ms;
            self.read_row(service);
            return;
        }
        let row = known.row.clone();
        let delegate = row.value.delegate.clone();
        let has_working_delegate = delegate
            .as_ref()
            .is_some_and(|vm| self.membership.is_working(vm));
        if delegate.as_ref() == Some(&self.own_vm) {
            self.place_slots(service, &row);
        } else if !has_working_delegate && self.is_standby(service) {
            self.claim(service, Some(&row));
        }
    }

    fn is_standby(&self, service: &Name) -> bool {
        self.standbys.standby_of(service) == Some(&self.own_vm)
    }

    fn read_row_once(&mut self, service: &Name) {
        if !self.row_reads.contains_key(service) {
            self.row_reads.insert(service.clone(), Vec::new());
            self.read_row(service);
        }
    }

    pub(super) fn row_read(&mut self, service: &Name, result: Result<Option<Row<ServiceRow>>>) {
        if let Err(error) = &result
            && self.ask_peers_for_row(service)
        {
            log::warn!(
                target: "control", service = &**service, code = error.code().number();
                "service row not read; asking other VMs: {error}"
            );
            return;
        }
        let waiting = self.row_reads.remove(service).unwrap_or_default();
        match result {
            Ok(Some(row)) => self.adopt_row(service, row, true),
            Ok(None) if self.knows_standbys && self.is_standby(service) => {
                self.claim(service, None);
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!(
                    target: "control", service = &**service, code = error.code().number();
                    "service row not read: {error}"
                );
            }
        }
        for reply in waiting {
            // The caller may have gone away.
            let _ = reply.send(());
        }
    }

    /// Asks VMs that may know a row while the platform is down. Returns `false` if
    /// the row is known here or no VM can be asked.
    fn ask_peers_for_row(&mut self, service: &Name) -> bool {
        if self.rows.contains_key(service) {
            return false;
        }
        let others = self.membership.peers().keys();
        let mut vms = others.choose_multiple(&mut self.rng, ROW_PEERS);
        vms.extend(self.standbys.standby_of(service));
        let addresses: BTreeSet<_> = vms.iter().filter_map(|vm| self.address_of(vm)).collect();
        if addresses.is_empty() {
            return false;
        }
        let peers = self.peers.clone();
        let service = service.clone();
        self.spawn_task(async move {
            let calls = addresses.into_iter().map(|address| {
                let (peers, service) = (peers.clone(), service.clone());
                async move {
                    let call = peers.call(address, ROW_CALL_TIMEOUT, async |client, context| {
                        client.row(context, service.clone()).await
                    });
                    call.await.ok().flatten()
                }
            });
            let rows = join_all(calls).await.into_iter().flatten();
            let newest = rows.max_by_key(|row| row.version);
            NodeMessage::RowFromPeers {
                service,
                row: newest,
            }
        });
        true
    }

    /// Takes a row from other VMs. If they know none, the row may still exist, so
    /// the service is not claimed.
    pub(super) fn row_from_peers(&mut self, service: &Name, row: Option<Row<ServiceRow>>) {
        if let Some(row) = row {
            self.adopt_row(service, row, false);
        }
        for reply in self.row_reads.remove(service).unwrap_or_default() {
            // The caller may have gone away.
            let _ = reply.send(());
        }
    }

    /// Takes a row that another VM sent. A delegate sends a promotion before it
    /// writes the row: then the version is old, but the term is new.
    pub(super) fn row_pushed(&mut self, service: &Name, row: Row<ServiceRow>) {
        let known_term = self
            .rows
            .get(service)
            .map_or(0, |known| known.row.value.term);
        if row.value.term > known_term {
            self.refresh_slot(service);
        }
        self.adopt_row(service, row, false);
    }

    /// Stores a row if it is newer than the known one, and starts or stops the slot
    /// and the delegate here accordingly.
    pub(super) fn adopt_row(&mut self, service: &Name, row: Row<ServiceRow>, is_read: bool) {
        let now_ms = clock::now_ms();
        if let Some(known) = self.rows.get_mut(service)
            && known.row.version >= row.version
        {
            if is_read {
                known.read_ms = now_ms;
            }
            return;
        }
        if !self.services.contains_key(service) {
            return;
        }
        let term_before = self
            .rows
            .get(service)
            .map_or(0, |known| known.row.value.term);
        let term_after = row.value.term;
        let known = KnownRow {
            row,
            read_ms: now_ms,
        };
        self.rows.insert(service.clone(), known);
        self.reconcile(service);
        if term_after > term_before {
            self.refresh_slot(service);
        }
        self.publish();
    }

    /// Makes this VM the delegate of a service whose delegate is gone, with newly
    /// reserved terms.
    fn claim(&mut self, service: &Name, known: Option<&Row<ServiceRow>>) {
        let mut row = known.map(|k| k.value.clone()).unwrap_or_default();
        decision!(
            "placement", service = &**service, reason = "guardian",
            from = row.delegate.as_deref().unwrap_or("none"); "claiming delegate role"
        );
        row.delegate = Some(self.own_vm.clone());
        row.reserve(row.term);
        self.assign_slots(service, &mut row);
        self.write_row(service, known.map_or(0, |k| k.version), row);
    }

    /// Assigns slots without a working holder to other VMs, and writes a promotion
    /// that the row lacks.
    fn place_slots(&mut self, service: &Name, known: &Row<ServiceRow>) {
        let mut row = known.value.clone();
        self.assign_slots(service, &mut row);
        let unwritten = self.promotions.get(service).cloned();
        if let Some((term, member)) = unwritten.filter(|(term, _)| *term > row.term) {
            row.term = term;
            row.primary = Some(member);
            row.reserved_from = row.reserved_from.max(term + 1);
            if row.reserved_from + RESERVED_TERMS_MIN > row.reserved_until {
                row.reserve(term);
            }
        }
        if row != known.value {
            self.write_row(service, known.version, row);
        }
    }

    fn assign_slots(&self, service: &Name, row: &mut ServiceRow) {
        let Some(settings) = self.services.get(service) else {
            return;
        };
        let zones: Vec<Name> = settings.members.values().map(|m| m.zone.clone()).collect();
        let zones: Vec<Name> = (0..settings.slots as usize)
            .map(|slot| zones[slot % zones.len()].clone())
            .collect();
        let vms: Vec<Candidate> = self
            .membership
            .working()
            .map(|(vm, zone)| Candidate {
                vm: vm.clone(),
                zone: zone.clone(),
            })
            .collect();
        let placed = place(service, &zones, &row.holders(), &vms);
        let holders: Vec<Option<Name>> = placed
            .iter()
            .enumerate()
            .map(|(slot, placed)| {
                let (vm, reason) = placed.as_ref()?;
                if row.slots.get(slot).and_then(|s| s.vm.as_ref()) != Some(vm) {
                    decision!(
                        "placement", service = &**service, slot = slot, peer = &**vm,
                        reason = reason.to_string().as_str(); "slot placed"
                    );
                }
                Some(vm.clone())
            })
            .collect();
        row.set_holders(&holders);
    }

    pub(super) fn reserve_terms(&mut self, service: &Name, highest: u64) {
        let Some(known) = self.rows.get(service).map(|k| k.row.clone()) else {
            return;
        };
        let is_delegate = known.value.delegate.as_ref() == Some(&self.own_vm);
        if !is_delegate || self.row_writes.contains(service) {
            return;
        }
        let mut row = known.value;
        row.reserve(highest);
        self.write_row(service, known.version, row);
    }

    fn write_row(&mut self, service: &Name, expect_version: u64, row: ServiceRow) {
        self.row_writes.insert(service.clone());
        let platform = self.parts.platform.clone();
        let service = service.clone();
        let change_id = ids::change_id(&self.own_vm);
        self.spawn_task(async move {
            let key = keys::service(&service);
            let result = platform.write(&key, expect_version, &row, &change_id).await;
            let row = Box::new(row);
            NodeMessage::RowWritten {
                service,
                row,
                result,
            }
        });
    }

    pub(super) fn row_written(
        &mut self,
        service: &Name,
        row: ServiceRow,
        result: Result<WriteOutcome<ServiceRow>>,
    ) {
        self.row_writes.remove(service);
        match result {
            Ok(WriteOutcome::Done(version)) => {
                let reserved = row.reserved_from..row.reserved_until;
                let row = Row {
                    version,
                    value: row,
                    change_id: "".into(),
                };
                self.adopt_row(service, row.clone(), true);
                self.notify_delegate(
                    service,
                    Event::Reserved {
                        from: reserved.start,
                        until: reserved.end,
                    },
                );
                self.push_row(service, &row);
            }
            Ok(WriteOutcome::Conflict(Some(row))) => {
                log::info!(
                    target: "control", service = &**service, version = row.version;
                    "service row was written by another VM"
                );
                self.adopt_row(service, row, true);
            }
            Ok(WriteOutcome::Conflict(None)) => {
                self.rows.remove(service);
            }
            Err(error) => {
                log::warn!(
                    target: "control", service = &**service, code = error.code().number();
                    "service row not written: {error}"
                );
                // Reading the row again shows whether it was written.
                if let Some(known) = self.rows.get_mut(service) {
                    known.read_ms = 0;
                }
            }
        }
    }

    /// Sends a row to the slot holders and the delegate that it names.
    pub(super) fn push_row(&mut self, service: &Name, row: &Row<ServiceRow>) {
        let mut vms: BTreeSet<Name> = row.value.holders().into_iter().flatten().collect();
        vms.extend(row.value.delegate.clone());
        vms.remove(&self.own_vm);
        let addresses: Vec<_> = vms.iter().filter_map(|vm| self.address_of(vm)).collect();
        let peers = self.peers.clone();
        let service = service.clone();
        let row = row.clone();
        compio::runtime::spawn(async move {
            let calls = addresses.into_iter().map(|address| {
                let (service, row) = (service.clone(), row.clone());
                let peers = peers.clone();
                async move {
                    // A VM that misses it reads the row when it needs it.
                    let _ = peers
                        .call(address, ROW_CALL_TIMEOUT, async |client, context| {
                            client
                                .row_changed(context, service.clone(), row.clone())
                                .await
                        })
                        .await;
                }
            });
            join_all(calls).await;
        })
        .detach();
    }
}
