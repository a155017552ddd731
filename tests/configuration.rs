//! Configuration changes across separate processes: conflicts, distribution and
//! outages of the platform.

use standin::{
    bench::{Bench, BenchSettings},
    platform::Faults,
};

fn start(proxies: usize) -> Bench {
    Bench::start(BenchSettings::builder().proxies(proxies).build())
}

fn write(bench: &Bench, file: &str, line: &str) -> String {
    let path = bench.folder().join(file);
    std::fs::write(&path, bench.config_text(&[line.to_owned()])).unwrap();
    path.to_string_lossy().into_owned()
}

fn version(bench: &Bench, index: usize) -> Option<u64> {
    let text = bench.run_cli(&["status", "--json"]).ok()?;
    let reports: serde_json::Value = serde_json::from_str(&text).ok()?;
    let reports = reports.as_array()?;
    let vm = bench.proxies[index].vm.as_str();
    let report = reports.iter().find(|r| r["vm"] == vm)?;
    report["status"]["config_version"].as_u64()
}

#[test]
fn an_accepted_change_is_in_force_everywhere() {
    let bench = start(6);
    let file = write(&bench, "next.yaml", "queue_deadline_ms: 4000");
    let output = bench
        .run_cli(&["config", "apply", "--base", &file])
        .unwrap();
    assert!(output.contains("in force on 6 VMs"), "{output}");
    let again = bench
        .run_cli(&["config", "apply", "--base", &file])
        .unwrap_err();
    assert!(again.1.contains("FK501"), "{}", again.1);
}

#[test]
fn a_change_spreads_while_the_platform_is_slow() {
    let bench = start(6);
    bench.set_faults(&Faults {
        slow_ms: 800,
        ..Faults::default()
    });
    let file = write(&bench, "next.yaml", "queue_deadline_ms: 4000");
    let output = bench.run_cli(&["config", "apply", "--base", &file, "--wait-s", "9"]);
    assert!(output.is_ok(), "{output:?}");
}

#[test]
fn of_two_operators_one_is_told_of_the_conflict() {
    let bench = start(1);
    let files = [
        write(&bench, "a.yaml", "queue_deadline_ms: 4000"),
        write(&bench, "b.yaml", "queue_deadline_ms: 5000"),
    ];
    // The delay makes both read the same version before either writes.
    bench.set_faults(&Faults {
        slow_ms: 300,
        ..Faults::default()
    });
    let results: Vec<_> = std::thread::scope(|scope| {
        let bench = &bench;
        let tasks: Vec<_> = files
            .iter()
            .map(|file| {
                scope.spawn(move || {
                    bench.run_cli(&["config", "apply", "--base", file, "--wait-s", "0"])
                })
            })
            .collect();
        tasks.into_iter().map(|task| task.join().unwrap()).collect()
    });
    let refused: Vec<_> = results.iter().filter_map(|r| r.as_ref().err()).collect();
    assert_eq!(refused.len(), 1, "{results:?}");
    assert!(refused[0].1.contains("FK501"), "{}", refused[0].1);
    assert!(refused[0].1.contains("version 2"), "{}", refused[0].1);
}

#[test]
fn a_lost_answer_is_resolved_by_the_change_id() {
    let bench = start(1);
    let file = write(&bench, "next.yaml", "queue_deadline_ms: 4000");
    // The lost answer may be to the write of an object or of the head row. The
    // write itself takes effect in both cases.
    bench.set_faults(&Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let first = bench.run_cli(&["config", "apply", "--base", &file, "--wait-s", "0"]);
    let output = match first {
        Ok(output) => output,
        // The answer to an object's write was lost, before the head row was
        // written: nothing is accepted yet.
        Err((_, text)) => {
            assert!(text.contains("FK601"), "{text}");
            bench
                .run_cli(&["config", "apply", "--base", &file, "--wait-s", "0"])
                .unwrap()
        }
    };
    assert!(output.contains("version 2 accepted"), "{output}");
}

#[test]
fn a_new_vm_takes_the_configuration_from_another_while_the_platform_is_down() {
    let mut bench = start(4);
    let file = write(&bench, "next.yaml", "queue_deadline_ms: 4000");
    bench
        .run_cli(&["config", "apply", "--base", &file])
        .unwrap();
    bench.set_faults(&Faults {
        down: true,
        ..Faults::default()
    });
    bench.proxies[3].kill();
    bench.start_proxy(3);
    let mut client = bench.proxies[3].connect(&bench.service(0)).unwrap();
    client.batch_execute("CREATE TABLE t (id INTEGER)").unwrap();
    bench.set_faults(&Faults::default());
    assert_eq!(version(&bench, 3), Some(2));
}

#[test]
fn bad_files_are_refused_with_their_place() {
    let bench = start(1);
    let path = bench.folder().join("bad.yaml");
    let cases = [
        ("services:\n  a:\n    colour: red\n", "line 3"),
        ("services:\n  a:\n    connections: 1\n", "connections"),
        ("services:\n  a: {}\n", "services.a.members"),
        ("services: [\n", "line"),
    ];
    for (text, expected) in cases {
        std::fs::write(&path, text).unwrap();
        let file = path.to_string_lossy().into_owned();
        let (status, error) = bench
            .run_cli(&["config", "check", "--base", &file])
            .unwrap_err();
        assert_eq!(status, 2, "{error}");
        assert!(
            error.contains("FK102") && error.contains(expected),
            "{error}"
        );
    }
}
