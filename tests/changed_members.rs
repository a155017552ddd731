//! Sessions whose service gets members of another group and later its first ones again, in
//! separate processes.

use std::time::Duration;

use postgres::{Client, SimpleQueryMessage};
use standin::bench::{Bench, BenchSettings, wait_until};

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Replay lag of replicas: longer than the test takes.
const REPLAY_LAG_MS: u64 = 60_000;
const TABLE: &str = "CREATE TABLE shades (id INTEGER PRIMARY KEY, name TEXT)";
const SHADE: &str = "SELECT name FROM shades WHERE id = 100";
/// Rows that bring the log of the first group beyond that of the second.
const ROWS: usize = 40;
/// Reads in a row, of which some would go to a replica that any read may use.
const READS: usize = 30;

/// First value of the answer; `None` if it has no row.
fn first_value(client: &mut Client, sql: &str) -> Option<String> {
    let answer = client.simple_query(sql).expect("the statement is run");
    answer.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

fn run(client: &mut Client, sql: &str) {
    wait_until("the statement is run", TIMEOUT, || {
        client.batch_execute(sql).is_ok()
    });
}

/// Applies a configuration in which the two services have their own members, or each other's.
fn apply(bench: &Bench, are_swapped: bool) {
    let mut text = bench.config_text(&[]);
    if are_swapped {
        for (from, to) in [
            ("service-0:", "first:"),
            ("service-1:", "service-0:"),
            ("first:", "service-1:"),
        ] {
            text = text.replace(from, to);
        }
    }
    let file = bench.folder().join("members.yaml");
    std::fs::write(&file, text).unwrap();
    let applied = bench.run_cli(&["config", "apply", "--base", &file.to_string_lossy()]);
    assert!(applied.is_ok(), "{applied:?}");
}

fn fail_over(bench: &mut Bench, service: usize) {
    let primary = bench.primary(service).unwrap();
    bench.endpoints[service][primary].kill();
    wait_until("another member leads", TIMEOUT, || {
        bench.primary_excluding(service, primary).is_some()
    });
}

/// Positions of two groups were compared, so that a later term of one hid a commit in the other.
#[test]
fn session_reads_its_write_after_its_service_had_other_members() {
    let mut bench = Bench::start(BenchSettings::builder().services(2).proxies(3).build());
    run(&mut bench.proxies[0].connect("service-1").unwrap(), TABLE);
    fail_over(&mut bench, 1);
    let mut session = bench.proxies[0].connect("service-0").unwrap();
    run(&mut session, TABLE);
    for id in 0..ROWS {
        run(
            &mut session,
            &format!("INSERT INTO shades (id, name) VALUES ({id}, 'umber')"),
        );
    }
    let primary = bench.primary(0).unwrap();
    for (index, member) in bench.endpoints[0].iter().enumerate() {
        if index != primary {
            member.set_lag(0, REPLAY_LAG_MS);
        }
    }
    run(
        &mut session,
        "INSERT INTO shades (id, name) VALUES (100, 'ochre')",
    );
    apply(&bench, true);
    run(
        &mut session,
        "INSERT INTO shades (id, name) VALUES (100, 'sienna')",
    );
    let token = first_value(&mut session, "SHOW foxtailknot.session_token").unwrap();
    fail_over(&mut bench, 0);
    apply(&bench, false);
    let mut moved = bench.proxies[1]
        .connect_with_token("service-0", &token)
        .unwrap();
    for client in [&mut session, &mut moved] {
        wait_until("reads are served", TIMEOUT, || {
            client.batch_execute(SHADE).is_ok()
        });
        for read in 0..READS {
            assert_eq!(
                first_value(client, SHADE).as_deref(),
                Some("ochre"),
                "read {read}"
            );
        }
    }
}
