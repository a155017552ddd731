//! The path of a statement through separate processes, with a driver that is
//! not ours.

use standin::bench::{Bench, BenchSettings};

#[test]
fn a_caller_reads_its_own_write_at_another_proxy() {
    let bench = Bench::start(BenchSettings::builder().build());
    let service = bench.service(0);
    let mut first = bench.proxies[0].connect(&service).unwrap();
    first
        .batch_execute("CREATE TABLE shades (id INTEGER PRIMARY KEY, name TEXT)")
        .unwrap();
    first
        .execute("INSERT INTO shades (id, name) VALUES (1, $1)", &[&"ochre"])
        .unwrap();
    let mut second = bench.proxies[1].connect(&service).unwrap();
    let row = second
        .query_one("SELECT name FROM shades WHERE id = 1", &[])
        .unwrap();
    assert_eq!(row.get::<_, String>(0), "ochre");
}
