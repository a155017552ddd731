//! Decisions across restores of the store from an older copy: what a copy of a table
//! takes from a page, fences, and entries of members.

use std::collections::BTreeMap;

use foxtailknot::{
    decide::{
        revision::Revision,
        table_copy::{PageError, StoreAnswer, StoreJudge, TableCopy, TablePage, TableRow},
    },
    news::NewsRequest,
    prelude::Name,
    relay::MemberEntry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use yare::parameterized;

fn row(key: &str, version: u64, value: &str) -> TableRow {
    TableRow {
        key: key.into(),
        value: value.into(),
        version,
        is_removed: false,
    }
}

fn whole(era: u64, version: u64, rows: Vec<TableRow>) -> TablePage {
    TablePage {
        after: None,
        revision: Revision::new(era, version),
        rows,
    }
}

fn changes(era: u64, after: u64, version: u64, rows: Vec<TableRow>) -> TablePage {
    TablePage {
        after: Some(after),
        ..whole(era, version, rows)
    }
}

fn content(copy: &TableCopy) -> BTreeMap<&str, &str> {
    copy.rows().map(|row| (&*row.key, &*row.value)).collect()
}

/// A copy of era 1 up to version 9, in which `a` was written last.
fn copy_of_era_1() -> TableCopy {
    let mut copy = TableCopy::default();
    copy.apply(whole(1, 4, vec![row("b", 4, "b1")])).unwrap();
    copy.apply(changes(1, 4, 9, vec![row("a", 9, "a1")]))
        .unwrap();
    copy
}

#[parameterized(
    whole_table = { whole(0, 20, vec![row("a", 20, "a0")]), PageError::OlderEra { era: 0, known_era: 1 } },
    changes_of_older_era = {
        changes(0, 9, 20, vec![row("a", 20, "a0")]), PageError::OlderEra { era: 0, known_era: 1 }
    },
    changes_of_newer_era = {
        changes(2, 9, 10, vec![row("a", 10, "a2")]), PageError::Gap { after: 9, version: 9 }
    },
)]
fn pages_of_another_era_change_nothing(page: TablePage, expected: PageError) {
    let mut copy = copy_of_era_1();
    assert_eq!(copy.apply(page), Err(expected));
    assert_eq!(content(&copy), BTreeMap::from([("a", "a1"), ("b", "b1")]));
    assert_eq!(copy.revision(), Revision::new(1, 9));
}

/// A whole table of a newer era replaces the copy, whatever versions it has.
#[parameterized(
    lower = { 5 },
    same = { 9 },
    higher = { 50 },
)]
fn whole_table_of_a_newer_era_replaces_the_copy(version: u64) {
    let mut copy = copy_of_era_1();
    let page = whole(2, version, vec![row("a", 3, "a2")]);
    assert_eq!(copy.apply(page), Ok(true));
    assert_eq!(content(&copy), BTreeMap::from([("a", "a2")]));
    assert_eq!(copy.revision(), Revision::new(2, version));
}

#[parameterized(
    newer_era = { Revision::new(1, 3), Revision::new(0, 9), StoreAnswer::Current },
    older_era = { Revision::new(0, 9), Revision::new(1, 3), StoreAnswer::Stale },
)]
fn era_of_an_answer_counts_before_its_version(
    answer: Revision,
    asked: Revision,
    expected: StoreAnswer,
) {
    assert_eq!(StoreJudge::default().judge(answer, asked, 0), expected);
}

/// The whole table for copies of an older era, no rows for those of a newer one.
#[parameterized(
    older_era = { Revision::new(0, 30), true, None },
    same_era = { Revision::new(1, 8), true, Some(8) },
    same_revision = { Revision::new(1, 9), false, Some(9) },
    newer_era = { Revision::new(2, 1), false, Some(9) },
)]
fn news_for_copies_of_other_eras(after: Revision, has_news: bool, expected: Option<u64>) {
    let copy = copy_of_era_1();
    assert_eq!(copy.has_changes_after(after), has_news);
    let page = copy.page_after(after);
    assert_eq!(page.after, expected);
    assert!(after.era < 2 || page.rows.is_empty());
}

/// Copies get each other's pages late and twice while the store is restored repeatedly.
#[test]
fn copies_converge_across_restores() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut store: BTreeMap<Name, TableRow> = BTreeMap::new();
        let mut revision = Revision::new(0, 1);
        let mut backup = (store.clone(), revision.version);
        let mut copies = vec![TableCopy::default(); 3];
        let mut pages: Vec<TablePage> = Vec::new();
        for step in 0..120 {
            match random.random_range(0..20) {
                0 => backup = (store.clone(), revision.version),
                1 => {
                    store = backup.0.clone();
                    revision = Revision::new(revision.era + 1, backup.1);
                }
                _ => {
                    revision.version += 1;
                    let key = format!("k{}", random.random_range(0..5));
                    let value = format!("{step}");
                    store.insert(Name::from(&*key), row(&key, revision.version, &value));
                }
            }
            let table = TablePage {
                after: None,
                revision,
                rows: store.values().cloned().collect(),
            };
            let (from, to) = (random.random_range(0..3), random.random_range(0..3));
            if random.random_bool(0.5) {
                pages.push(table);
            }
            pages.push(copies[from].page_after(copies[to].revision()));
            let page = pages[random.random_range(0..pages.len())].clone();
            let before = copies[to].revision();
            let _ = copies[to].apply(page);
            assert!(copies[to].revision() >= before, "seed {seed}");
        }
        for copy in &mut copies {
            let rows = store.values().cloned().collect();
            copy.apply(whole(revision.era, revision.version, rows))
                .unwrap();
            let expected: BTreeMap<&str, &str> =
                store.values().map(|row| (&*row.key, &*row.value)).collect();
            assert_eq!(content(copy), expected, "seed {seed}");
        }
    }
}

#[parameterized(
    next_version = { Revision::new(0, 7), Revision::new(0, 8) },
    next_era = { Revision::new(0, 1 << 30), Revision::new(1, 1) },
    later_era = { Revision::new(1, 1 << 30), Revision::new(7, 0) },
)]
fn fence_rises_with_the_revision(older: Revision, newer: Revision) {
    assert!(older.to_fence() < newer.to_fence());
    assert_eq!(Revision::from_fence(newer.to_fence()), newer);
}

/// Without an era the fence is the version, as older builds count.
#[test]
fn fence_of_the_first_era_is_the_version() {
    assert_eq!(Revision::new(0, 77).to_fence(), 77);
}

/// News of a build that names no era is of era zero.
#[test]
fn news_without_an_era_is_of_the_first() {
    let request = r#"{"from":"vm","after":{"op":5},"floors":{"floors":{},"echo_ms":0},
        "wants_floors":false,"wait_ms":1}"#;
    let request: NewsRequest = serde_json::from_str(request).unwrap();
    assert_eq!(request.revision(&"op".into()), Revision::new(0, 5));
    let page: TablePage = serde_json::from_str(r#"{"after":3,"version":5,"rows":[]}"#).unwrap();
    assert_eq!(page.revision, Revision::new(0, 5));
}

fn entry(started_ms: Option<u64>, is_leaving: bool) -> MemberEntry {
    MemberEntry {
        service: "s".into(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        is_leaving,
        role: None,
        started_ms,
    }
}

/// A member that leaves comes back as another process only, a replaced process never.
#[parameterized(
    leaving_is_not_taken_back = { entry(Some(5), true), entry(Some(5), false), Some(entry(Some(5), true)) },
    begins_to_leave = { entry(Some(5), false), entry(Some(5), true), Some(entry(Some(5), true)) },
    restarted = { entry(Some(5), true), entry(Some(6), false), Some(entry(Some(6), false)) },
    older_process = { entry(Some(6), false), entry(Some(5), false), None },
    unknown_start = { entry(None, true), entry(None, false), Some(entry(None, false)) },
)]
fn entry_of_a_member_does_not_go_back(
    known: MemberEntry,
    next: MemberEntry,
    expected: Option<MemberEntry>,
) {
    assert_eq!(known.followed_by(next), expected);
}
