//! Two dispatchers with stores and peers on loopback, one of which is upgraded.

mod helper;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::{env, fs};

use helper::{
    Connection, Program, accept_watch, accept_watch_since, admin_command, admin_command_until, configuration,
    free_address, send_heartbeats, start,
};

/// A dispatcher's folder, with its configuration and store.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An address at which nobody receives datagrams now.
fn datagram_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Writes the configuration of a dispatcher with a store and one peer into a folder of its own.
fn write_configuration(
    name: &str,
    (listen, discovery): (SocketAddr, SocketAddr),
    own_datagrams: SocketAddr,
    (peer, peer_datagrams): (&str, SocketAddr),
) -> Folder {
    let folder = env::temp_dir().join(format!("topazsail-peers-{name}-{}", std::process::id()));
    let store = folder.join("store");
    fs::create_dir_all(&store).unwrap();
    let more = format!(
        r#"{{"store":{{"folder":{:?},"require":false}},
        "peers":{{"listen":"{own_datagrams}","members":[{{"name":"{peer}","address":"{peer_datagrams}"}}]}},"#,
        store.display().to_string()
    );
    let text = configuration(listen, discovery).replace(r#""name":"n0""#, &format!(r#""name":"{name}""#));
    fs::write(folder.join("config.json"), text.replacen('{', &more, 1)).unwrap();
    Folder(folder)
}

/// Starts a process and answers its watch with a list of one runner, `s-a`.
fn start_with_runner(
    folder: &Path,
    (listen, admin): (SocketAddr, SocketAddr),
    (discovery, runner): (&TcpListener, &TcpListener),
) -> (Program, Connection) {
    let program = start(folder, listen, Some(admin));
    let mut watch = accept_watch(discovery);
    watch.list_runner_with_weight(runner, 1.0);
    (program, watch)
}

/// Guards against a call at another dispatcher that only the new process of an upgrade hears of, while the old
/// one still forwards.
#[test]
fn a_call_at_a_peer_reaches_both_processes_of_an_upgrade() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let lists = (&discovery, &runner);
    let listens = [free_address(101), free_address(102)];
    let [old, new, peer] = [free_address(103), free_address(104), free_address(105)];
    let datagrams = [datagram_address(), datagram_address()];
    let at = discovery.local_addr().unwrap();
    let folders = [
        write_configuration("n0", (listens[0], at), datagrams[0], ("n1", datagrams[1])),
        write_configuration("n1", (listens[1], at), datagrams[1], ("n0", datagrams[0])),
    ];
    let (_old, old_watch) = start_with_runner(&folders[0].0, (listens[0], old), lists);
    let _old_heartbeats = send_heartbeats(&old_watch);
    let (_peer, peer_watch) = start_with_runner(&folders[1].0, (listens[1], peer), lists);
    let _peer_heartbeats = send_heartbeats(&peer_watch);
    admin_command_until(old, "status", "peers=1/1");
    admin_command_until(peer, "status", "peers=1/1");

    let _new = start(&folders[0].0, listens[0], Some(new));
    let new_watch = accept_watch_since(&discovery, 1);
    let _new_heartbeats = send_heartbeats(&new_watch);
    admin_command_until(new, "status", "peers=1/1");
    for (call, out) in [("maint-on s-a", 1), ("maint-off s-a", 0), ("maint-on s-a", 1)] {
        assert_eq!(admin_command(peer, call), "YES\n");
        for process in [new, old] {
            admin_command_until(process, "stats", &format!("skipped_runners={out}\n"));
        }
    }
}
