//! Runs the command-line tool against a running site.

use std::time::Duration;

use standin::bench::{Bench, BenchSettings, wait_until};

/// Specified upper bound of a failover.
const FAILOVER_MAX: Duration = Duration::from_secs(8);

fn run(bench: &Bench, args: &[&str]) -> String {
    bench
        .run_cli(args)
        .unwrap_or_else(|error| panic!("{args:?}: {error:?}"))
}

#[test]
fn subcommands_query_and_control_a_site() {
    let mut bench = Bench::start(BenchSettings::builder().proxies(4).build());
    let status = run(&bench, &["status"]);
    assert_eq!(status.lines().count(), 5, "{status}");
    assert!(run(&bench, &["service", "list"]).contains("majority"));
    assert_eq!(run(&bench, &["slots"]).lines().count(), 4);
    wait_until("every slot knows its members", FAILOVER_MAX, || {
        let shown = run(&bench, &["service", "show", "service-0"]);
        shown.matches("replica").count() == 2 && shown.contains("primary")
    });
    let plan = run(&bench, &["failover", "plan", "service-0"]);
    assert!(plan.contains("primary member-0"), "{plan}");
    let done = run(&bench, &["failover", "run", "service-0", "member-2"]);
    assert!(done.contains("leads in term"), "{done}");
    assert_ne!(bench.primary(0), None);
    let (status, error) = bench
        .run_cli(&["failover", "run", "service-0", "nobody"])
        .unwrap_err();
    assert_eq!(status, 8);
    assert!(error.contains("FK701"), "{error}");
    let (status, error) = bench.run_cli(&["service", "show", "nowhere"]).unwrap_err();
    assert_eq!(status, 3);
    assert!(error.contains("FK201"), "{error}");
    let drained = bench.slot_holders(0)[0];
    run(&bench, &["vm", "drain", &format!("vm-{drained}")]);
    let proxy = &mut bench.proxies[drained];
    wait_until("the drained VM exits", FAILOVER_MAX, || {
        proxy.process().and_then(|p| p.exit_code()) == Some(0)
    });
}

#[test]
fn subcommands_that_need_one_vm() {
    let bench = Bench::start(BenchSettings::builder().proxies(1).build());
    assert!(run(&bench, &["explain", "SELECT 1"]).contains("class read"));
    assert!(run(&bench, &["explain", "DELETE FROM t"]).contains("class write"));
    let shown = run(&bench, &["session", "show", "service-0", "new"]);
    assert!(shown.contains("position 0/0"), "{shown}");
    let (_, error) = bench
        .run_cli(&["session", "show", "service-0", "fk1.a.b"])
        .unwrap_err();
    assert!(error.contains("FK202"), "{error}");
    assert!(run(&bench, &["man"]).contains("foxtailknot"));
    assert!(run(&bench, &["config", "show"]).contains("member-0"));
    assert!(run(&bench, &["config", "history"]).contains("tool-"));
}
