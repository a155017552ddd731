//! Tests of placement, membership, configuration versions and admission.

use std::collections::{BTreeMap, BTreeSet};

use foxtailknot::{
    decide::{
        load::admission::{Admission, AdmissionQueue},
        membership::{Change, Liveness, Membership, MembershipSettings, Place},
        placement::{Candidate, Reason, StandbyMap, place, standby_delegate},
        rollout::{ChangeRef, Head, Plan, SiteChange},
    },
    prelude::Name,
    settings::SiteSettings,
};
use yare::parameterized;

fn names(count: usize) -> BTreeSet<Name> {
    (0..count).map(|i| format!("vm-{i}").into()).collect()
}

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |i: usize| Candidate {
        vm: format!("vm-{i}").into(),
        zone: format!("zone-{}", i % 3).into(),
    };
    (0..count).map(candidate).collect()
}

fn zones() -> Vec<Name> {
    (0..3).map(|i| format!("zone-{i}").into()).collect()
}

#[parameterized(one = { 1, 1 }, two = { 2, 2 }, many = { 13, 3 })]
fn slots_go_to_different_vms(vms: usize, expected: usize) {
    let placed = place("s", &zones(), &[None, None, None], &candidates(vms));
    let holders: BTreeSet<_> = placed.iter().flatten().map(|(vm, _)| vm.clone()).collect();
    assert_eq!(holders.len(), expected);
    if vms >= 9 {
        assert!(
            placed
                .iter()
                .flatten()
                .all(|(_, why)| *why == Reason::SameZone)
        );
    }
}

#[test]
fn an_available_holder_keeps_its_slot() {
    let vms = candidates(13);
    let first = place("s", &zones(), &[None, None, None], &vms);
    let current: Vec<Option<Name>> = first
        .iter()
        .map(|p| p.as_ref().map(|(vm, _)| vm.clone()))
        .collect();
    let more = candidates(40);
    let again = place("s", &zones(), &current, &more);
    assert!(again.iter().flatten().all(|(_, why)| *why == Reason::Kept));
    let gone = current[1].clone().unwrap();
    let fewer: Vec<_> = vms.into_iter().filter(|c| c.vm != gone).collect();
    let moved = place("s", &zones(), &current, &fewer);
    assert_ne!(moved[1].as_ref().unwrap().0, gone);
    assert_eq!(moved[0].as_ref().unwrap().0, current[0].clone().unwrap());
}

#[test]
fn the_standby_map_agrees_with_the_full_computation() {
    let mut map = StandbyMap::default();
    let services: Vec<Name> = (0..50).map(|i| format!("s-{i}").into()).collect();
    map.add_services(services.iter());
    let mut vms = names(20);
    for gone in [0, 7, 19] {
        // In steps of three VMs; a daemon takes larger steps.
        while !map.converge(&vms, 3) {}
        for service in &services {
            assert_eq!(
                map.standby_of(service),
                standby_delegate(service, vms.iter())
            );
        }
        vms.remove(&*format!("vm-{gone}"));
    }
    let assigned: usize = vms.iter().map(|vm| map.services_of(vm).len()).sum();
    assert!(assigned <= services.len());
}

fn place_of(zone: &str) -> Place {
    Place {
        zone: zone.into(),
        internal: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
    }
}

fn membership(name: &str) -> Membership {
    let settings = MembershipSettings::builder().build();
    Membership::new(settings, name.into(), place_of("zone-0"), 5)
}

fn change(vm: &str, incarnation: u64, liveness: Liveness) -> Change {
    Change {
        vm: vm.into(),
        incarnation,
        liveness,
        place: None,
    }
}

#[test]
fn a_silent_vm_is_suspected_then_dead_and_may_come_back() {
    let mut own = membership("a");
    let other: Name = "b".into();
    own.listed(0, &other, &place_of("zone-1"), false);
    own.answered(10, &other, 3);
    own.silent(100, &other);
    assert_eq!(own.peers()["b"].liveness, Liveness::Suspect);
    assert!(own.is_working("b"));
    assert!(own.tick(2_099).is_empty());
    assert_eq!(own.tick(2_100), std::slice::from_ref(&other));
    assert!(!own.is_working("b"));
    // Neither the list, which lags, nor an old answer revives a dead VM.
    own.listed(2_200, &other, &place_of("zone-1"), false);
    own.answered(2_300, &other, 3);
    assert!(!own.is_working("b"));
    own.answered(2_400, &other, 4);
    assert!(own.is_working("b"));
}

#[test]
fn a_vm_refutes_its_own_suspicion() {
    let mut own = membership("a");
    own.merge(0, &[change("a", 5, Liveness::Suspect)]);
    assert_eq!(own.incarnation(), 6);
    let sent = own.outgoing();
    assert_eq!(
        (sent[0].incarnation, sent[0].liveness),
        (6, Liveness::Alive)
    );
    own.merge(0, &[change("a", 3, Liveness::Dead)]);
    assert_eq!(own.incarnation(), 6);
}

#[test]
fn a_leaving_vm_stays_leaving() {
    let mut own = membership("a");
    own.listed(0, &"b".into(), &place_of("zone-1"), false);
    own.merge(1, &[change("b", 0, Liveness::Leaving)]);
    assert!(!own.is_working("b"));
    own.answered(2, &"b".into(), 0);
    assert!(!own.is_working("b"));
    own.leave();
    assert_eq!(own.working().count(), 0);
}

fn head(versions: u64) -> Head {
    let mut head = Head::empty();
    for version in 1..=versions {
        let change_ref = ChangeRef {
            version,
            digest: format!("d{version}").into(),
            change_id: format!("c{version}").into(),
        };
        let snapshot = Head::needs_snapshot(Some(&head)).then(|| format!("s{version}").into());
        head = Head::next(Some(&head), change_ref, snapshot);
    }
    head
}

fn refs(plan: &Plan) -> Option<usize> {
    match plan {
        Plan::Changes(refs) | Plan::Snapshot(_, refs) => Some(refs.len()),
        Plan::Keep | Plan::RefuseOlder | Plan::ReadRow => None,
    }
}

#[parameterized(
    same = { 40, Some(40), None },
    older_is_refused = { 40, Some(41), None },
    one_behind = { 40, Some(39), Some(1) },
    a_few_behind = { 40, Some(26), Some(14) },
    far_behind = { 40, Some(2), Some(8) },
    new_vm_starts_from_the_snapshot = { 40, None, Some(8) },
)]
fn versions_only_increase(versions: u64, in_force: Option<u64>, changes: Option<usize>) {
    let plan = head(versions).plan(in_force);
    assert_eq!(refs(&plan), changes, "{plan:?}");
    if in_force > Some(versions) {
        assert_eq!(plan, Plan::RefuseOlder);
    }
}

#[test]
fn updates_with_too_few_changes_lead_to_the_head_row() {
    let update = head(40).for_update();
    assert_eq!(refs(&update.plan(Some(38))), Some(2));
    assert_eq!(update.plan(Some(37)), Plan::ReadRow);
    assert_eq!(update.plan(None), Plan::ReadRow);
    assert_eq!(head(40).version_of("c30"), Some(30));
    assert_eq!(head(40).version_of("c41"), None);
}

#[test]
fn a_change_turns_the_old_site_into_the_new() {
    let old = SiteSettings::default();
    let change = SiteChange {
        version: 1,
        services: BTreeMap::from([("gone".into(), None)]),
    };
    let mut site = old.clone();
    change.apply(&mut site);
    assert_eq!(site, old);
    assert!(SiteChange::between(2, &old, &site).services.is_empty());
}

#[test]
fn the_queue_serves_by_deadline_and_refuses_early() {
    let mut queue = AdmissionQueue::new(3);
    assert_eq!(queue.admit(10, 0), Admission::Queue);
    for _ in 0..20 {
        queue.record(10_000);
    }
    for (deadline_ms, name) in [(300, "c"), (100, "a"), (200, "b")] {
        queue.push(0, deadline_ms, name);
    }
    // Three requests wait, so a fourth is refused regardless of its deadline.
    assert!(matches!(queue.admit(1_000, 1), Admission::Refuse { .. }));
    assert_eq!(queue.pop(), Some("a"));
    // Two requests ahead and the new one, 10 ms each on one connection, take 30
    // ms.
    assert_eq!(queue.admit(29, 1), Admission::Refuse { retry_after_ms: 1 });
    assert_eq!(queue.admit(30, 1), Admission::Queue);
    assert_eq!(queue.admit(15, 2), Admission::Queue);
    assert_eq!(queue.expire(200), ["b"]);
    assert_eq!(queue.drain(), ["c"]);
}
