//! Invalid input gives one clear line and a non-zero exit code, and leaves neither files nor processes
//! behind.

use std::process::Command;

use expect_test::{Expect, expect};
use topazsail_lab::scenario::Scenario;

const GOOD: &str = r#"name = "t"
length = "5s"
dispatchers = 1
[clients]
load = 0.5
[[pool]]
kind = "a"
count = 2
slots = 1
queue = 1
[[operation]]
name = "plan"
work = "100ms"
latency-objective = "1s"
client-timeout = "2s"
"#;

/// Checks the error for a valid scenario in which `from` is replaced by `to`.
fn assert_rejected(from: &str, to: &str, expected: Expect) {
    assert!(GOOD.contains(from), "the valid scenario does not contain {from}");
    let error = Scenario::parse("t.toml", &GOOD.replacen(from, to, 1)).unwrap_err();
    assert!(!error.contains('\n'), "{error}");
    expected.assert_eq(&error);
}

#[test]
fn an_error_names_file_line_and_field() {
    assert!(Scenario::parse("t.toml", GOOD).is_ok());
    assert_rejected(
        "length = \"5s\"",
        "length = 5",
        expect![[
            r#"t.toml:2: length: invalid type: integer `5`, expected a span with its unit, such as "250ms" or "2s""#
        ]],
    );
    assert_rejected(
        "length = \"5s\"",
        "length = \"5 parsecs\"",
        expect![[
            r#"t.toml:2: length: bad span '5 parsecs': unknown time unit "parsecs", supported units: ns, us/µs, ms, sec, min, hours, days, weeks, months, years (and few variations)"#
        ]],
    );
    assert_rejected(
        "length = \"5s\"",
        "length = \"99999h\"",
        expect!["t.toml:2: length: the span '99999h' is longer than a day"],
    );
    assert_rejected(
        "load = 0.5",
        "load = -1.0",
        expect!["t.toml:5: load: -1 is not within 0.001 to 1000000"],
    );
    assert_rejected(
        "load = 0.5",
        "load = 0.5\nlaod = 1",
        expect![
            "t.toml:6: unknown field `laod`, expected one of `load`, `arrivals`, `swing`, `period`, `zipf`, `retries`, `retry-wait`, `honour`, `leaves`, `front-notice`"
        ],
    );
    assert_rejected("count = 2", "count = 0", expect!["t.toml:8: count: 0 is not within 1 to 100000"]);
    assert_rejected("count = 2\n", "", expect!["t.toml:6: missing field `count`"]);
    assert_rejected(
        "\"plan\"",
        "\"a plan\"",
        expect!["t.toml:11: operation a plan: name must hold letters, digits and '-'"],
    );
    assert_rejected(
        "client-timeout = \"2s\"",
        "client-timeout = \"20ms\"",
        expect!["t.toml:11: operation plan: client-timeout lies under latency-objective"],
    );
    assert_rejected(
        "work = \"100ms\"",
        "work = \"100ms\"\nkind = \"b\"",
        expect!["t.toml:11: operation plan: no pool has the kind 'b'"],
    );
    assert_rejected(
        "[clients]",
        "[[fault]]\nkind = \"zone-cut\"\nat = \"1s\"\nlasts = \"1s\"\n[clients]",
        expect!["t.toml:4: fault ZoneCut: zone is missing"],
    );
    assert_rejected(
        "[clients]",
        "[[fault]]\nkind = \"slow\"\nat = \"1s\"\nlasts = \"1s\"\n[clients]",
        expect!["t.toml:4: fault Slow: size is missing"],
    );
    assert_rejected(
        "[clients]",
        "[[fault]]\nkind = \"melts\"\nat = \"1s\"\n[clients]",
        expect![
            "t.toml:5: kind: unknown variant `melts`, expected one of `crash`, `hang`, `pauses`, `slow`, `fast-errors`, `loses`, `late-reports`, `zone-cut`, `zone-mute`, `zone-loss`, `discovery-down`, `deploy`, `roll-term`, `roll-kill`, `reload`, `bad-clients`, `kill`, `freeze`, `power-loss`, `link`, `disk`"
        ],
    );
    let fault = |more: &str| format!("[[fault]]\nat = \"1s\"\nlasts = \"1s\"\n{more}\n[clients]");
    for (more, expected) in [
        ("kind = \"disk\"", "t.toml:4: fault Disk: there is no [store]"),
        ("kind = \"link\"", "t.toml:4: fault Link: link is for the kind link, and missing there"),
        ("kind = \"link\"\nlink = \"cut\"", "t.toml:4: fault Link: there are no peers in [store]"),
        (
            "kind = \"freeze\"\naway = 0.5",
            "t.toml:4: fault Freeze: spread and away are for what kills dispatchers",
        ),
        ("kind = \"freeze\"\ndisk = \"old\"", "t.toml:4: fault Freeze: disk is for what kills dispatchers"),
    ] {
        let text = GOOD.replacen("[clients]", &fault(more), 1);
        assert_eq!(Scenario::parse("t.toml", &text).unwrap_err(), expected);
    }
    assert_rejected("[clients]", "[clients", expect!["t.toml:4: unclosed table, expected `]`"]);
}

/// Runs a shell command, with `LAB` for the lab's program. Returns the exit code and the standard error.
fn lab(command: &str) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_topazsail-lab");
    let output = Command::new("sh").arg("-c").arg(command.replace("LAB", program)).output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn an_impossible_run_reports_why_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).display().to_string();
    let scenario = path("t.toml");
    std::fs::write(&scenario, GOOD).unwrap();
    std::fs::write(path("file"), "").unwrap();
    std::fs::write(path("over.toml"), "base = \"gone.toml\"\nname = \"o\"\n").unwrap();
    let failing_program = path("ends");
    std::fs::write(&failing_program, "#!/bin/sh\nexit 3\n").unwrap();
    std::fs::set_permissions(&failing_program, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    let (missing, file, overlay) = (path("gone"), path("file"), path("over.toml"));
    // Files may not grow, so that writes fail as on a full disk.
    let full_disk = "trap '' XFSZ; ulimit -f 0; exec LAB run";
    for (command, expected) in [
        (format!("LAB run {missing}"), "No such file"),
        (format!("LAB run {overlay}"), "gone.toml"),
        (format!("LAB run {scenario} --policy best"), "unknown policy 'best'"),
        (format!("LAB run {scenario} --clock sockets --program {missing}"), "no such program"),
        (format!("LAB run {scenario} --clock sockets --program {file}"), "ermission denied"),
        (
            format!("LAB run {scenario} --clock sockets --program {failing_program}"),
            "ended at once with Some(3)",
        ),
        (format!("LAB run {scenario} --report {file}/x"), "ot a directory"),
        (format!("{full_disk} {scenario} --json {missing}"), "too large"),
        (format!("LAB sweep {scenario} --vary clients.laod=1"), "laod"),
        (format!("LAB sweep {scenario} --vary clients.load"), "PATH=A,B,C"),
        (format!("LAB report {file}"), "EOF"),
    ] {
        let (code, stderr) = lab(&command);
        assert_eq!(code, Some(1), "{command}: {stderr}");
        assert!(stderr.lines().count() == 1 && stderr.contains(expected), "{command}: {stderr}");
    }
    assert!(!std::path::Path::new(&missing).exists(), "a partly written file was left behind");
}

/// Counts the processes whose command line contains `path`.
fn process_count(path: &str) -> usize {
    let folders = std::fs::read_dir("/proc").unwrap().flatten();
    let line = |folder: std::fs::DirEntry| std::fs::read(folder.path().join("cmdline")).unwrap_or_default();
    folders.map(line).filter(|line| String::from_utf8_lossy(line).contains(path)).count()
}

#[test]
fn a_lab_that_is_killed_leaves_no_dispatcher_behind() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = folder.path().join("t.toml");
    std::fs::write(&scenario, GOOD.replace("5s", "60s")).unwrap();
    let mut lab = Command::new(env!("CARGO_BIN_EXE_topazsail-lab"))
        .args(["run", "--clock", "sockets", "--program", env!("CARGO_BIN_EXE_lab-faulty")])
        .arg(&scenario)
        .env("TMPDIR", folder.path())
        .spawn()
        .unwrap();
    // The dispatchers' configurations are in this directory, so that their command lines contain its path.
    let configurations = folder.path().join("topazsail-lab-").display().to_string();
    let wait_for = |wanted: bool| {
        for _ in 0..1000 {
            if (process_count(&configurations) > 0) == wanted {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        panic!("expected dispatchers: {wanted}, processes found: {}", process_count(&configurations));
    };
    wait_for(true);
    lab.kill().unwrap();
    lab.wait().unwrap();
    wait_for(false);
}
