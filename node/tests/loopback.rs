//! The real program over loopback sockets: start, reload, upgrade, store, migration and clean exit. The tests
//! play discovery, the runner and the clients, one step at a time.

mod helper;

use std::env;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use helper::upgrade_site::*;
use helper::*;

/// One process from its start to SIGTERM: a forward, reloads of bad and good configurations, and a call-back
/// that arrives during the shutdown.
#[test]
fn from_start_to_a_clean_exit() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = free_address(77);
    let path = env::temp_dir().join(format!("topazsail-loopback-{}.json", std::process::id()));
    fs::write(&path, configuration(listen, discovery.local_addr().unwrap())).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_topazsail"));
    command.args(["serve", "--config"]).arg(&path).stderr(Stdio::piped());
    let mut program = Program(command.spawn().unwrap());

    let mut watch = accept_watch(&discovery);
    watch.list_runner_with_weight(&runner, 1.0);

    let mut client = Connection::new(TcpStream::connect(listen).unwrap());
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(client.receive(), "HTTP/1.1 200 OK ");
    client.send("POST /plan?a=b HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 25000\r\n");
    client.send("Content-Length: 2\r\n\r\nhi");
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan?a=b HTTP/1.1 i1 hi");
    forward.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");

    // A half-written or missing file changes nothing. A new discovery address is used at once.
    let mut log = BufReader::new(program.0.stderr.take().unwrap()).lines();
    let mut wait_for_log = |code: &str| while !log.next().unwrap().unwrap().starts_with(code) {};
    fs::write(&path, r#"{"name":"n0","listen":"#).unwrap();
    send_signal(&program, "HUP");
    wait_for_log("configuration-refused");
    fs::remove_file(&path).unwrap();
    send_signal(&program, "HUP");
    wait_for_log("configuration-refused");
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    fs::write(&path, configuration(listen, elsewhere.local_addr().unwrap())).unwrap();
    send_signal(&program, "HUP");
    wait_for_log("reloaded");
    assert!(watch.is_closed());
    let mut watch = Connection::accept(&elsewhere);
    assert_eq!(watch.receive(), "GET /v1/servers HTTP/1.1 ");
    let list = r#"{"generation":5,"reset":true,"instances":[]}"#;
    watch.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    assert_eq!(watch.receive(), "GET /v1/servers?follow=1&since=5 HTTP/1.1 ");

    // After SIGTERM it still accepts call-backs for its unanswered invocations and answers them before it
    // exits.
    send_signal(&program, "TERM");
    wait_for_log("going-down");
    let _call = call_back(listen, r#"{"id":"i1","from":"s-a","state":"done","result":"plan"}"#);
    assert_eq!(client.receive(), "HTTP/1.1 200 OK plan");
    assert!(client.is_closed());
    assert_eq!(program.0.wait().unwrap().code(), Some(0));
    fs::remove_file(path).unwrap();
}

/// A second process takes the listener over: it serves new connections, the first process answers the
/// invocations that it has accepted, and admin overrides of runners hold in both.
#[test]
fn a_second_process_takes_over_from_the_first() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let (listen, admins) = (free_address(79), [free_address(80), free_address(81)]);
    let folder = env::temp_dir().join(format!("topazsail-upgrade-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join("config.json");
    let text = configuration(listen, discovery.local_addr().unwrap());
    fs::write(&path, text.replacen('{', &format!("{{\"admin_addr\":\"{}\",", admins[0]), 1)).unwrap();
    // The first process has its admin address from the file, the second from the environment, which overrides
    // it.
    let mut first = start(&folder, listen, None);
    let mut watch = accept_watch(&discovery);
    watch.list_runner_with_weight(&runner, 1.0);
    let mut client = Connection::new(TcpStream::connect(listen).unwrap());
    client.send("POST /plan HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 25000\r\n\r\n");
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 i1 ");
    assert_eq!(admin_command(admins[0], "status"), "YES\n");
    assert_eq!(admin_command(admins[0], "maint-on s-a"), "YES\n");

    // With an unreadable file, the second process must get the configuration in force from the first.
    fs::write(&path, "{").unwrap();
    let _second = start(&folder, listen, Some(admins[1]));
    let mut watch = Connection::accept(&discovery);
    assert_eq!(watch.receive(), "GET /v1/servers?follow=1&since=1 HTTP/1.1 ");
    assert_eq!(admin_command(admins[1], "status"), "YES\n");
    assert!(admin_command(admins[1], "stats").contains("edge_relay.skipped_runners=1\n"));
    send_signal(&first, "TERM");
    // The second process accepts this new connection, and must forward the call-back to the first.
    let _call = call_back(listen, r#"{"id":"i1","from":"s-a","state":"done","result":"plan"}"#);
    assert_eq!(client.receive(), "HTTP/1.1 200 OK close plan");
    assert_eq!(first.0.wait().unwrap().code(), Some(0));

    let mut client = Connection::new(TcpStream::connect(listen).unwrap());
    client.send("POST /plan HTTP/1.1\r\nX-Request-Id: i2\r\nX-Deadline-Ms: 25000\r\n\r\n");
    assert_eq!(admin_command(admins[1], "maint-off s-a"), "YES\n");
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 i2 ");
    drop(watch);
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a store that is lost, or that two processes use, in an upgrade and after a kill.
#[test]
fn a_store_is_handed_over_and_its_contents_survive_every_exit() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let (listen, admins) = (free_address(85), [free_address(86), free_address(87)]);
    let folder = env::temp_dir().join(format!("topazsail-store-{}", std::process::id()));
    let store = folder.join("store");
    fs::create_dir_all(&store).unwrap();
    let text = configuration(listen, discovery.local_addr().unwrap());
    let with_store =
        format!("{{\"store\":{{\"folder\":{:?},\"require\":true}},", store.display().to_string());
    fs::write(folder.join("config.json"), text.replacen('{', &with_store, 1)).unwrap();
    let mut first = start(&folder, listen, Some(admins[0]));
    let mut watch = accept_watch(&discovery);
    watch.list_runner_with_weight(&runner, 1.0);
    assert_eq!(admin_command_until(admins[0], "status", "serving"), "YES stage=serving boot=1 store=well\n");
    assert_eq!(admin_command_until(admins[0], "maint-on s-a", "YES"), "YES\n");

    // An upgrade: the new process takes over the store folder, and only it accepts admin commands from then
    // on.
    let second = start(&folder, listen, Some(admins[1]));
    let _watch = accept_watch_since(&discovery, 1);
    admin_command_until(admins[1], "status", "boot=2");
    assert_eq!(admin_command(admins[0], "maint-off s-a"), "NO another process takes over: call that one\n");
    admin_command_until(admins[1], "stats", "skipped_runners=0");
    assert_eq!(admin_command(admins[1], "maint-on s-a"), "YES\n");
    send_signal(&first, "TERM");
    assert_eq!(first.0.wait().unwrap().code(), Some(0));

    // Another dispatcher cannot use the folder meanwhile; it reports that and exits before it listens.
    let other = folder.join("other.json");
    let text = fs::read_to_string(folder.join("config.json")).unwrap();
    fs::write(&other, text.replace(&listen.to_string(), &free_address(88).to_string())).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_topazsail"));
    let refused = command.args(["serve", "--config"]).arg(&other).env("TMPDIR", "").output().unwrap();
    let stderr = String::from_utf8(refused.stderr).unwrap();
    let expected = format!("store.folder {}: another process uses this folder", store.display());
    assert!(!refused.status.success() && stderr.contains(&expected), "{stderr}");

    // Killed and started again: the admin override still holds, and applies to the stored roster.
    drop(second);
    let _third = start(&folder, listen, Some(admins[0]));
    let mut watch = Connection::accept(&discovery);
    assert_eq!(watch.receive(), "GET /v1/servers?follow=1&since=1 HTTP/1.1 ");
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    admin_command_until(admins[0], "status", "boot=3");
    admin_command_until(admins[0], "stats", "skipped_runners=1");
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a call that takes effect before an earlier one, which the other process of an upgrade has answered
/// and whose message waits behind the ids of invocations.
#[test]
fn calls_at_both_processes_of_an_upgrade_take_effect_in_their_order() {
    let site = UpgradeSite::new(118);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let _first = site.start_first(&runner);
    let admins = site.admins;
    admin_command_until(admins[0], "stats", "known_runners=1\n");
    let _second = site.start_second();
    for nth in 0..200 {
        let calls = ["maint-on s-a", "maint-off s-a", "maint-on s-a", "maint-off s-a"];
        for (call, admin) in calls[nth % 2..nth % 2 + 3].iter().zip([0, 1, 0]) {
            assert_eq!(admin_command(admins[(admin + nth) % 2], call), "YES\n");
        }
        let expected = format!("skipped_runners={}\n", 1 - nth % 2);
        for admin in admins {
            let stats = admin_command(admin, "stats");
            assert!(stats.contains(&expected), "round {nth}: expected {expected}{stats}");
        }
    }
}

/// From SIGTERM until the platform kills a process: 3 s, and 0.7 s more.
const KILL_TIMEOUT: Duration = Duration::from_millis(3_700);

/// Clients send requests during the whole upgrade, each on a connection that it keeps until the program
/// closes it. Every invocation is answered and reaches the runner once, and admin commands are answered
/// although hundreds of admin connections send nothing. Guards, too, against a process that does not end while
/// its successor is under load, and tells it without a pause which ids it takes.
#[test]
fn an_upgrade_under_load_loses_and_repeats_no_invocation() {
    let site = UpgradeSite::new(82);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut first, _first_watch) = site.start_first(&runner);
    let (listen, admins) = (site.listen, site.admins);
    let forwarded = Arc::new(Mutex::new(Vec::new()));
    let recorded = forwarded.clone();
    thread::spawn(move || complete_at_once(runner, listen, recorded));
    // This invocation is served only after the roster has arrived, so that the roster is part of the
    // handover.
    let mut first_client = Connection::new(TcpStream::connect(listen).unwrap());
    first_client.send("POST /plan HTTP/1.1\r\nX-Request-Id: first\r\nX-Deadline-Ms: 25000\r\n\r\n");
    assert_eq!(first_client.receive(), "HTTP/1.1 200 OK r");
    let finished = Arc::new(AtomicBool::new(false));
    let client = |nth: usize| {
        let finished = finished.clone();
        thread::spawn(move || {
            let (mut sent, mut kept) = (0, None);
            while !finished.load(Ordering::Relaxed) {
                let mut connection =
                    kept.take().unwrap_or_else(|| Connection::new(TcpStream::connect(listen).unwrap()));
                let head = format!("X-Request-Id: c{nth}-{sent}\r\nX-Deadline-Ms: 25000");
                connection.send(&format!("POST /plan HTTP/1.1\r\n{head}\r\n\r\n"));
                let answer = connection.receive();
                assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
                sent += 1;
                kept = Some(connection).filter(|_| !answer.contains(" close "));
            }
            sent
        })
    };
    let clients: Vec<_> = (0..3).map(client).collect();
    let silent: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(admins[0]).unwrap()).collect();
    assert_eq!(admin_command(admins[0], "status"), "YES\n");
    let _second = site.start_second();
    send_signal(&first, "TERM");
    let terminated = Instant::now();
    assert_eq!(first.0.wait().unwrap().code(), Some(0));
    assert!(terminated.elapsed() < KILL_TIMEOUT, "ended after {:?}", terminated.elapsed());
    drop(silent);
    assert_eq!(admin_command(admins[1], "status"), "YES\n");
    finished.store(true, Ordering::Relaxed);
    let sent = 1 + clients.into_iter().map(|client| client.join().unwrap()).sum::<usize>();
    let mut forwarded = forwarded.lock().unwrap().clone();
    assert!(sent > 3, "the clients sent only {sent} requests");
    assert_eq!(forwarded.len(), sent, "invocations were lost or repeated");
    forwarded.sort();
    forwarded.dedup();
    assert_eq!(forwarded.len(), sent, "invocations were repeated");
}

/// Guards against an id that runs twice when it comes again at the other process of an upgrade, and that process
/// reads the request before the message that the id is taken.
#[test]
fn an_id_that_the_other_process_has_taken_does_not_run_again() {
    let site = UpgradeSite::new(91);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let _first = site.start_first(&runner);
    let listen = site.listen;
    let forwarded = Arc::new(Mutex::new(Vec::new()));
    let recorded = forwarded.clone();
    thread::spawn(move || complete_at_once(runner, listen, recorded));
    let request =
        |id: &str| format!("POST /plan HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 25000\r\n\r\n");
    let mut old_client = Connection::new(TcpStream::connect(listen).unwrap());
    old_client.send(&request("i0"));
    assert_eq!(old_client.receive(), "HTTP/1.1 200 OK r");
    let (second, _second_watch) = site.start_second();
    let mut new_client = Connection::new(TcpStream::connect(listen).unwrap());
    new_client.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(new_client.receive(), "HTTP/1.1 200 OK ");

    // The new process stands still while the old one takes the id.
    send_signal(&second, "STOP");
    old_client.send(&request("i1"));
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !forwarded.lock().unwrap().contains(&"i1".to_owned()) {
        assert!(Instant::now() < deadline, "i1 was not forwarded");
        thread::sleep(Duration::from_millis(1));
    }
    drop(old_client);
    new_client.send(&request("i1"));
    send_signal(&second, "CONT");
    assert_eq!(new_client.receive(), "HTTP/1.1 400 Bad Request close repeated_id");
    assert_eq!(*forwarded.lock().unwrap(), ["i0", "i1"]);
}

/// Runs `topazsail migrate` with these arguments; returns its exit code, standard output and standard error.
fn run_migrate(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_topazsail")).arg("migrate").args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Guards against a migration that drops a setting without a notice, overwrites a file, or writes a
/// configuration that cannot be served.
#[test]
fn a_configuration_is_moved_to_the_new_shape_and_served() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = free_address(78);
    let folder = env::temp_dir().join(format!("topazsail-migrate-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = |name: &str| folder.join(name).to_str().unwrap().to_owned();
    let (old, new) = (path("old.json"), path("new.json"));
    let text = configuration(listen, discovery.local_addr().unwrap())
        .replace(
            r#""balancers":1"#,
            r#""balancers":3,"localities":["a","b","c"],"myZone":"a","weights":"off""#,
        )
        .replace(r#""instances":[]"#, r#""instances":[{"instanceId":"s-old","lifecycle":"up","weight":9}]"#)
        .replace(r#""operations""#, r#""report":{"fields":["x0","outstanding"]},"operations""#)
        .replace(r#""cancel":true"#, r#""cancel":true,"probes":true"#);
    fs::write(&old, &text).unwrap();

    // A dry run, an unknown zone, and then the migration, which never overwrites an existing file.
    let common = ["--config", &old, "--to", &new, "--dispatchers", "4", "--zones", "a,b"];
    let (code, dry_run, stderr) = run_migrate(&[&common[..], &["--dry-run"]].concat());
    assert_eq!((code, fs::exists(&new).unwrap()), (Some(0), false), "{stderr}");
    let (code, _, stderr) = run_migrate(&[&common[..], &["--my-zone", "z"]].concat());
    assert_eq!((code, fs::exists(&new).unwrap()), (Some(1), false));
    assert!(stderr.contains("settings.myZone 'z' is not in settings.localities"), "{stderr}");
    let (code, _, stderr) = run_migrate(&common);
    assert_eq!((code, fs::read_to_string(&new).unwrap()), (Some(0), dry_run));
    expect_test::expect![[r#"
        changed: settings.registryMode: "subscribe" -> "automatic"
        changed: settings.weights: "off" -> "live"
        changed: settings.report.how: null -> "on_probe"
        changed: settings.limits.secondCopies: null -> true
        changed: settings.balancers: 3 -> 4
        changed: settings.localities: ["a","b","c"] -> ["a","b"]
        changed: known: 1 runners -> none
        not carried over: settings.familyInfo.tellsStart is not true: without it no work moves before it starts
        not carried over: settings.familyInfo.classStretch is missing: objectives do not grow with the work
        not carried over: settings.invariants.askWithin is kept and no longer read: the list is sent unasked
        not carried over: known: 1 runners were of the old shape; the list is sent at the start
        written: NEW
    "#]].assert_eq(&stderr.replace(&new, "NEW"));
    let migrated = fs::read_to_string(&new).unwrap();
    let (code, _, stderr) = run_migrate(&common);
    assert_eq!((code, fs::read_to_string(&new).unwrap()), (Some(1), migrated));
    assert!(stderr.contains("nothing was written"), "{stderr}");
    assert_eq!(fs::read_to_string(&old).unwrap(), text);
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 2);

    // The program watches discovery although the settings say that the roster is sent without a request. The
    // listed weights change with load.
    let mut command = Command::new(env!("CARGO_BIN_EXE_topazsail"));
    let mut program =
        Program(command.args(["serve", "--config", &new]).stderr(Stdio::null()).spawn().unwrap());
    let mut watch = accept_watch(&discovery);
    watch.list_runner_with_weight(&runner, 3.0);
    watch.list_runner_with_weight(&runner, 0.5);
    let mut client = Connection::new(TcpStream::connect(listen).unwrap());
    client.send("POST /plan HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 25000\r\nX-Cost-Hint: 120.5\r\n");
    client.send("Content-Length: 2\r\n\r\nhi");
    // The forward, and one probe for the number of slots.
    let mut connections = [Connection::accept(&runner), Connection::accept(&runner)];
    let mut requests = connections.each_mut().map(Connection::receive);
    requests.sort();
    assert_eq!(requests, ["GET /load HTTP/1.1 ", "POST /plan HTTP/1.1 i1 hi"]);
    drop(connections);
    assert_eq!(client.receive(), "HTTP/1.1 502 Bad Gateway ");
    program.0.kill().unwrap();
    fs::remove_dir_all(folder).unwrap();
}
