//! Upgrades in which a process is stopped, killed or told nonsense, and several at once, on loopback: no client may
//! notice, and what an operator was answered holds.

mod helper;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use helper::upgrade_site::*;
use helper::*;

/// A site whose first process serves, with a runner that completes everything at once.
struct Serving {
    site: UpgradeSite,
    first: Program,
    _watch: Watch,
}

impl Serving {
    /// For the octet see [`UpgradeSite::new`].
    fn start(octet: u8) -> Serving {
        let site = UpgradeSite::new(octet);
        let runner = TcpListener::bind("127.0.0.1:0").unwrap();
        let (first, watch) = site.start_first(&runner);
        let (listen, forwarded) = (site.listen, Arc::new(Mutex::new(Vec::new())));
        thread::spawn(move || complete_at_once(runner, listen, forwarded));
        let serving = Serving { site, first, _watch: watch };
        serving.assert_served("at-the-start");
        serving
    }

    /// Sends an invocation on a new connection, which has to be answered soon.
    fn assert_served(&self, id: &str) {
        let mut client = Connection::new(TcpStream::connect(self.site.listen).unwrap());
        client.0.get_ref().set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        client.send(&request(id, 25_000));
        assert!(client.receive().starts_with("HTTP/1.1 200 OK"), "{id}");
    }

    /// Asks for the hand-over as a successor that does nothing more, but for sending these bytes.
    fn ask_and_send(&self, bytes: &[u8]) -> UnixStream {
        let path = self.site.folder.join(format!("topazsail-{}.sock", self.site.listen));
        let mut successor = UnixStream::connect(path).unwrap();
        successor.write_all(b"{\"upgrade\":\"hello\"}\n").unwrap();
        successor.write_all(bytes).unwrap();
        successor
    }

    /// Starts a successor, waits for its yes and ends the process before.
    fn assert_can_be_upgraded(&mut self) {
        let second = self.site.start_second();
        send_signal(&self.first, "TERM");
        assert_eq!(self.first.0.wait().unwrap().code(), Some(0));
        self.assert_served("after-the-upgrade");
        drop(second);
    }
}

/// Well above what an invocation takes here, and below the time for which a stopped process is waited.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a successor that does nothing has to leave its predecessor serving: longer than it waits for one.
const PATIENCE: Duration = Duration::from_millis(5_500);

/// Guards against a process that stops accepting connections as soon as a successor has asked, though that one has
/// not begun to serve.
#[test]
fn a_successor_that_hangs_before_it_serves_costs_no_request() {
    let mut serving = Serving::start(132);
    let hanging = serving.ask_and_send(b"");
    let asked = Instant::now();
    for nth in 0.. {
        serving.assert_served(&format!("i{nth}"));
        thread::sleep(Duration::from_millis(100));
        if asked.elapsed() > PATIENCE {
            break;
        }
    }
    // It is given up, which an operator can see, and the next one takes over.
    admin_command_until(serving.site.admins[0], "status", "YES handover=failed\n");
    assert!(admin_command(serving.site.admins[0], "stats").contains("handover_failures=1\n"));
    serving.assert_can_be_upgraded();
    drop(hanging);
}

/// Guards against connections that nobody accepts while the new process of an upgrade is stopped.
#[test]
fn while_the_new_process_is_stopped_the_old_one_accepts_connections() {
    let mut serving = Serving::start(135);
    let (second, watch) = serving.site.start_second();
    for round in 0..2 {
        send_signal(&second, "STOP");
        serving.assert_served(&format!("stopped-{round}"));
        send_signal(&second, "CONT");
        serving.assert_served(&format!("continued-{round}"));
    }
    send_signal(&serving.first, "TERM");
    assert_eq!(serving.first.0.wait().unwrap().code(), Some(0));
    serving.assert_served("last");
    drop((second, watch));
}

/// Guards against processes that start from nothing beside one that serves, as it is handing over to another one.
#[test]
fn of_three_processes_that_are_started_at_once_one_takes_over() {
    let serving = Serving::start(138);
    let [_, admin] = serving.site.admins;
    assert_eq!(admin_command(serving.site.admins[0], "maint-on s-a"), "YES\n");
    // They share one admin address, at which only the one that serves answers.
    let started: Vec<Program> =
        (0..3).map(|_| start(&serving.site.folder, serving.site.listen, Some(admin))).collect();
    let watch = Watch::new(accept_watch_since(&serving.site.discovery, 1));
    let deadline = Instant::now() + STEP_TIMEOUT;
    let mut running = started;
    while running.len() > 1 {
        assert!(Instant::now() < deadline, "{} processes go on", running.len());
        running.retain_mut(|program| match program.0.try_wait().unwrap() {
            None => true,
            Some(status) => {
                assert_eq!(status.code(), Some(1), "a process that must not serve ends with an error");
                false
            }
        });
        thread::sleep(Duration::from_millis(10));
    }
    assert!(admin_command(admin, "stats").contains("skipped_runners=1\n"), "the call on s-a is forgotten");
    assert_eq!(admin_command(admin, "maint-off s-a"), "YES\n");
    admin_command_until(serving.site.admins[0], "stats", "skipped_runners=0\n");
    serving.assert_served("last");
    drop(watch);
}

/// Each process takes over what an operator has called at the one before it.
#[test]
fn a_call_holds_over_five_upgrades_in_a_row() {
    let mut serving = Serving::start(141);
    let [mut serving_at, mut next_at] = serving.site.admins;
    assert_eq!(admin_command(serving_at, "maint-on s-a"), "YES\n");
    for _ in 0..5 {
        let next = start(&serving.site.folder, serving.site.listen, Some(next_at));
        let watch = Watch::new(accept_watch_since(&serving.site.discovery, 1));
        assert_eq!(admin_command(next_at, "status"), "YES\n");
        send_signal(&serving.first, "TERM");
        assert_eq!(serving.first.0.wait().unwrap().code(), Some(0));
        (serving.first, serving._watch) = (next, watch);
        (serving_at, next_at) = (next_at, serving_at);
        assert!(admin_command(serving_at, "stats").contains("skipped_runners=1\n"));
    }
    assert_eq!(admin_command(serving_at, "maint-off s-a"), "YES\n");
    serving.assert_served("last");
}

/// What a successor sends that is no message is counted and told once; the process that serves goes on, and hands
/// over to the next one.
#[test]
fn nonsense_from_a_successor_changes_nothing() {
    let mut serving = Serving::start(144);
    let admin = serving.site.admins[0];
    let too_long = [&vec![b'x'; 9 << 20][..], b"\n"].concat();
    let inputs: [(&[u8], u64); 5] = [
        (b"no json\n{\"told\":7}\n", 2),
        (b"{\"upgrade\":\"later-version\"}\n", 1),
        (&too_long, 1),
        // A line that is cut off by the end of the connection.
        (b"{\"taken\":\"i1", 0),
        // A message that comes twice.
        (b"{\"taken\":\"i2\"}\n{\"taken\":\"i2\"}\n", 0),
    ];
    let (mut unread, mut failures) = (0, 0);
    for (bytes, is_unread) in inputs {
        let successor = serving.ask_and_send(bytes);
        unread += is_unread;
        failures += 1;
        admin_command_until(admin, "stats", &format!("handover_unread={unread}\n"));
        drop(successor);
        admin_command_until(admin, "stats", &format!("handover_failures={failures}\n"));
        serving.assert_served(&format!("n{failures}"));
    }
    serving.assert_can_be_upgraded();
}

/// Guards against a process that starts from nothing beside one that serves, as the successor of that one has just
/// been killed and it has not noticed yet.
#[test]
fn a_process_that_is_started_in_the_moment_of_a_kill_takes_over() {
    let serving = Serving::start(147);
    let [_, admin] = serving.site.admins;
    assert_eq!(admin_command(serving.site.admins[0], "maint-on s-a"), "YES\n");
    for _ in 0..3 {
        let (killed, watch) = serving.site.start_second();
        send_signal(&serving.first, "STOP");
        drop((killed, watch));
        let next = start(&serving.site.folder, serving.site.listen, Some(admin));
        thread::sleep(Duration::from_millis(300));
        send_signal(&serving.first, "CONT");
        let watch = Watch::new(accept_watch_since(&serving.site.discovery, 1));
        assert!(admin_command(admin, "stats").contains("skipped_runners=1\n"));
        drop((next, watch));
        admin_command_until(serving.site.admins[0], "stats", "skipped_runners=1\n");
    }
}
