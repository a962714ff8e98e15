//! Operators' calls on a runner at two dispatchers with stores and peers, on loopback: through a cut of the link
//! between them, restarts and upgrades.

mod helper;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use std::{env, fs, thread};

use helper::{
    Connection, Heartbeats, Program, accept_watch, accept_watch_since, admin_command, admin_command_until,
    configuration, free_address, print_log_if_panicking, send_heartbeats, start,
};

/// How long a state has to last to count as kept: several rounds of the exchange between peers.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// The way of the datagrams between two dispatchers: each has the other under an address of the link.
struct Link {
    /// The addresses under which the first and the second dispatcher are known to each other.
    faces: [SocketAddr; 2],
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// A link between dispatchers that receive datagrams at these addresses.
    fn new(ends: [SocketAddr; 2]) -> Link {
        let is_cut = Arc::new(AtomicBool::new(false));
        let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
        let faces = sockets.each_ref().map(|socket| socket.local_addr().unwrap());
        for receiver in [0, 1] {
            // What arrives at the face of one dispatcher goes to it, from the face of the other.
            let (from, through) =
                (sockets[receiver].try_clone().unwrap(), sockets[1 - receiver].try_clone().unwrap());
            let (to, is_cut) = (ends[receiver], is_cut.clone());
            thread::spawn(move || {
                let mut bytes = [0; 2_048];
                while let Ok(length) = from.recv(&mut bytes) {
                    if !is_cut.load(Ordering::SeqCst) {
                        // A process that is down receives nothing.
                        let _ = through.send_to(&bytes[..length], to);
                    }
                }
            });
        }
        Link { faces, is_cut }
    }

    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

/// One of two dispatchers: its addresses and its folder, with the configuration and the store.
struct Dispatcher {
    folder: PathBuf,
    listen: SocketAddr,
    admin: SocketAddr,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        print_log_if_panicking(&self.folder);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Copies the files of a folder.
fn copy_folder(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for file in fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), to.join(file.file_name())).unwrap();
    }
}

/// A running process that holds its watch.
struct Running {
    program: Program,
    _heartbeats: Heartbeats,
    _watch: Connection,
}

/// Two dispatchers with a store each, one runner `s-a`, and a link between them.
struct Pair {
    discovery: TcpListener,
    runner: TcpListener,
    link: Link,
    dispatchers: [Dispatcher; 2],
}

impl Pair {
    /// Writes the configurations. The octets are for [`free_address`], four from this one on.
    fn new(octet: u8) -> Pair {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let runner = TcpListener::bind("127.0.0.1:0").unwrap();
        let addresses = [octet, octet + 2].map(|octet| (free_address(octet), free_address(octet + 1)));
        // A dispatcher receives datagrams under the number of the port on which it listens, at an IP address where
        // no other socket does. A port that is bound here and freed again could be in use when the dispatcher binds
        // it: by another test, or by a copy in a child process that another test is starting.
        let link = Link::new(addresses.map(|(listen, _)| listen));
        let dispatchers = [0, 1].map(|nth: usize| {
            let (listen, admin) = addresses[nth];
            let folder =
                env::temp_dir().join(format!("topazsail-peers-{octet}-{nth}-{}", std::process::id()));
            let store = folder.join("store");
            fs::create_dir_all(&store).unwrap();
            let more = format!(
                r#"{{"store":{{"folder":{:?},"require":false}},
                "peers":{{"listen":"{}","members":[{{"name":"d{}","address":"{}"}}]}},"#,
                store.display().to_string(),
                listen,
                1 - nth,
                link.faces[1 - nth]
            );
            let text = configuration(listen, discovery.local_addr().unwrap());
            let text = text.replace(r#""name":"n0""#, &format!(r#""name":"d{nth}""#));
            fs::write(folder.join("config.json"), text.replacen('{', &more, 1)).unwrap();
            Dispatcher { folder, listen, admin }
        });
        Pair { discovery, runner, link, dispatchers }
    }

    /// Starts a dispatcher for the first time, and lists the runner to it.
    fn start(&self, nth: usize) -> Running {
        let program = self.start_process(nth);
        let mut watch = accept_watch(&self.discovery);
        watch.list_runner_with_weight(&self.runner, 1.0);
        Running { program, _heartbeats: send_heartbeats(&watch), _watch: watch }
    }

    /// Kills a dispatcher's process and starts it again from its store.
    fn restart(&self, nth: usize, running: Running) -> Running {
        drop(running.program);
        let program = self.start_process(nth);
        let watch = accept_watch_since(&self.discovery, 1);
        Running { program, _heartbeats: send_heartbeats(&watch), _watch: watch }
    }

    fn start_process(&self, nth: usize) -> Program {
        let dispatcher = &self.dispatchers[nth];
        start(&dispatcher.folder, dispatcher.listen, Some(dispatcher.admin))
    }

    /// Both dispatchers, running and in contact.
    fn start_both(&self) -> [Running; 2] {
        let running = [self.start(0), self.start(1)];
        self.wait_for_contact();
        running
    }

    fn wait_for_contact(&self) {
        for dispatcher in &self.dispatchers {
            admin_command_until(dispatcher.admin, "status", "peers=1/1");
        }
    }

    /// Makes an operator's call, which has to be answered yes.
    fn call(&self, nth: usize, line: &str) {
        assert_eq!(admin_command(self.dispatchers[nth].admin, line), "YES\n", "{line} at d{nth}");
    }

    /// Waits until both dispatchers have the runner out of service, or both in use, and checks that it stays so.
    fn assert_both(&self, out: bool) {
        let expected = format!("skipped_runners={}\n", u8::from(out));
        for dispatcher in &self.dispatchers {
            admin_command_until(dispatcher.admin, "stats", &expected);
        }
        thread::sleep(SETTLING_TIME);
        for (nth, dispatcher) in self.dispatchers.iter().enumerate() {
            let stats = admin_command(dispatcher.admin, "stats");
            assert!(stats.contains(&expected), "d{nth} does not keep {expected}{stats}");
        }
    }
}

/// Guards against a YES that a peer's call undoes which was made earlier, in ignorance of it (review case 3): a
/// count of calls that both sides of a cut raise apart orders nothing.
#[test]
fn a_call_answered_yes_is_undone_by_no_call_from_the_other_side_of_a_cut() {
    let pair = Pair::new(106);
    let _running = pair.start_both();
    pair.link.set_cut(true);
    pair.call(1, "maint-on s-a");
    pair.call(1, "maint-off s-a");
    pair.call(0, "maint-on s-a");
    pair.link.set_cut(false);
    pair.assert_both(true);
    // With the link whole, a call back at either dispatcher holds at both.
    for back in [1, 0] {
        pair.call(back, "maint-off s-a");
        pair.assert_both(false);
        pair.call(1 - back, "maint-on s-a");
        pair.assert_both(true);
    }
}

/// The same over kills of both processes, each of which starts from its store.
#[test]
fn calls_from_both_sides_of_a_cut_survive_restarts() {
    let pair = Pair::new(110);
    let [first, second] = pair.start_both();
    pair.call(0, "maint-on s-a");
    pair.assert_both(true);
    pair.link.set_cut(true);
    pair.call(1, "maint-off s-a");
    pair.call(1, "maint-on s-a");
    pair.call(1, "maint-off s-a");
    pair.call(0, "maint-on s-a");
    let _first = pair.restart(0, first);
    let _second = pair.restart(1, second);
    for dispatcher in &pair.dispatchers {
        admin_command_until(dispatcher.admin, "status", "YES stage=");
    }
    pair.link.set_cut(false);
    pair.wait_for_contact();
    pair.assert_both(true);
    pair.call(1, "maint-off s-a");
    pair.assert_both(false);
}

/// Guards against a process that starts from an old copy of its disk, whose new calls are taken for calls that have
/// been undone, or that brings back what has been undone.
#[test]
fn calls_hold_over_a_disk_that_is_rolled_back() {
    let pair = Pair::new(114);
    let [first, _second] = pair.start_both();
    let store = pair.dispatchers[0].folder.join("store");
    let copy = pair.dispatchers[0].folder.join("copy");
    pair.call(0, "maint-on s-a");
    pair.assert_both(true);
    copy_folder(&store, &copy);
    pair.call(0, "maint-off s-a");
    pair.assert_both(false);
    let roll_back = |running: Running| {
        drop(running.program);
        fs::remove_dir_all(&store).unwrap();
        copy_folder(&copy, &store);
        let program = pair.start_process(0);
        let watch = accept_watch_since(&pair.discovery, 1);
        admin_command_until(pair.dispatchers[0].admin, "status", "YES stage=");
        Running { program, _heartbeats: send_heartbeats(&watch), _watch: watch }
    };
    // The call that its disk has was undone, as the peer knows.
    let first = roll_back(first);
    pair.wait_for_contact();
    pair.assert_both(false);
    // Its new calls count, made in contact and in a cut.
    pair.call(0, "maint-on s-a");
    pair.assert_both(true);
    pair.call(1, "maint-off s-a");
    pair.assert_both(false);
    pair.link.set_cut(true);
    let _first = roll_back(first);
    pair.call(0, "maint-off s-a");
    pair.call(0, "maint-on s-a");
    pair.link.set_cut(false);
    pair.wait_for_contact();
    pair.assert_both(true);
}

/// Guards against a call at another dispatcher that only the new process of an upgrade hears of, while the old
/// one still forwards.
#[test]
fn a_call_at_a_peer_reaches_both_processes_of_an_upgrade() {
    let pair = Pair::new(101);
    let _running = pair.start_both();
    let (old, new) = (pair.dispatchers[0].admin, free_address(105));
    let _new = start(&pair.dispatchers[0].folder, pair.dispatchers[0].listen, Some(new));
    let new_watch = accept_watch_since(&pair.discovery, 1);
    let _new_heartbeats = send_heartbeats(&new_watch);
    admin_command_until(new, "status", "peers=1/1");
    for (call, out) in [("maint-on s-a", 1), ("maint-off s-a", 0), ("maint-on s-a", 1)] {
        pair.call(1, call);
        for process in [new, old] {
            admin_command_until(process, "stats", &format!("skipped_runners={out}\n"));
        }
    }
}

/// Guards against a process that has given its sockets up to a successor which was killed: the next upgrade has to
/// find it, and its peers have to reach it (review case 7).
#[test]
fn a_process_whose_successor_was_killed_hands_over_to_the_next_one() {
    let pair = Pair::new(121);
    let [first, _second] = pair.start_both();
    let (serving, killed, next) = (pair.dispatchers[0].admin, free_address(125), free_address(126));
    pair.call(0, "maint-on s-a");
    pair.assert_both(true);
    for _ in 0..3 {
        let successor = start(&pair.dispatchers[0].folder, pair.dispatchers[0].listen, Some(killed));
        let _watch = accept_watch_since(&pair.discovery, 1);
        admin_command_until(killed, "status", "YES");
        drop(successor);
        // The process that serves on hears its peer again.
        admin_command_until(serving, "status", "store=well peers=1/1");
        pair.call(1, "maint-off s-a");
        admin_command_until(serving, "stats", "skipped_runners=0\n");
        pair.call(1, "maint-on s-a");
        admin_command_until(serving, "stats", "skipped_runners=1\n");
    }
    let _next = start(&pair.dispatchers[0].folder, pair.dispatchers[0].listen, Some(next));
    let watch = accept_watch_since(&pair.discovery, 1);
    let _heartbeats = send_heartbeats(&watch);
    admin_command_until(next, "status", "store=well peers=1/1");
    assert!(admin_command(next, "stats").contains("skipped_runners=1\n"));
    // The two processes know of each other.
    assert_eq!(
        admin_command(serving, "maint-on s-a"),
        "NO another process takes over: call that one\n",
        "at the old process"
    );
    drop(first);
    pair.call(1, "maint-off s-a");
    admin_command_until(next, "stats", "skipped_runners=0\n");
}

/// Guards against a peer's call that both processes of an upgrade make their own: the peer's call back, which has not
/// seen that, would not end it.
#[test]
fn a_peers_call_that_was_passed_on_in_an_upgrade_ends_with_the_peers_call_back() {
    let pair = Pair::new(127);
    let _running = pair.start_both();
    let (serving, killed) = (pair.dispatchers[0].admin, free_address(131));
    let successor = start(&pair.dispatchers[0].folder, pair.dispatchers[0].listen, Some(killed));
    let _watch = accept_watch_since(&pair.discovery, 1);
    admin_command_until(killed, "status", "store=well peers=1/1");
    pair.call(1, "maint-on s-a");
    admin_command_until(serving, "stats", "skipped_runners=1\n");
    pair.link.set_cut(true);
    drop(successor);
    pair.call(1, "maint-off s-a");
    admin_command_until(serving, "status", "store=well");
    pair.link.set_cut(false);
    pair.wait_for_contact();
    pair.assert_both(false);
}
