//! Several processes of one dispatcher, and the runner that they share.

use std::env;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;

use super::*;

/// What the two processes of an upgrade share: discovery, the folder with their configuration, and the address for
/// clients.
pub struct UpgradeSite {
    pub discovery: TcpListener,
    pub listen: SocketAddr,
    /// The admin addresses of the first and the second process.
    pub admins: [SocketAddr; 2],
    pub folder: PathBuf,
}

/// An open watch of a process, with heartbeats.
pub struct Watch {
    _connection: Connection,
    _heartbeats: Heartbeats,
}

impl Watch {
    pub fn new(connection: Connection) -> Watch {
        Watch { _heartbeats: send_heartbeats(&connection), _connection: connection }
    }
}

impl UpgradeSite {
    /// Writes the configuration. The octets are for [`free_address`], three from this one on.
    pub fn new(octet: u8) -> UpgradeSite {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let (listen, admins) = (free_address(octet), [free_address(octet + 1), free_address(octet + 2)]);
        let folder = env::temp_dir().join(format!("topazsail-upgrade-{octet}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let text = configuration(listen, discovery.local_addr().unwrap());
        fs::write(folder.join("config.json"), text).unwrap();
        UpgradeSite { discovery, listen, admins, folder }
    }

    /// Starts the first process and lists this runner to it.
    pub fn start_first(&self, runner: &TcpListener) -> (Program, Watch) {
        let program = start(&self.folder, self.listen, Some(self.admins[0]));
        let mut watch = accept_watch(&self.discovery);
        watch.list_runner_with_weight(runner, 1.0);
        (program, Watch::new(watch))
    }

    /// Starts the second process, which goes on from the list of the first, and waits for its yes.
    pub fn start_second(&self) -> (Program, Watch) {
        let program = start(&self.folder, self.listen, Some(self.admins[1]));
        let watch = Watch::new(accept_watch_since(&self.discovery, 1));
        assert_eq!(admin_command(self.admins[1], "status"), "YES\n");
        (program, watch)
    }
}

impl Drop for UpgradeSite {
    fn drop(&mut self) {
        print_log_if_panicking(&self.folder);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Runs a runner that accepts every forward and reports it done at once; records the ids in `forwarded`, in
/// order.
pub fn complete_at_once(runner: TcpListener, listen: SocketAddr, forwarded: Arc<Mutex<Vec<String>>>) {
    for stream in runner.incoming() {
        let (mut connection, forwarded) = (Connection::new(stream.unwrap()), forwarded.clone());
        thread::spawn(move || {
            loop {
                let forward = connection.receive();
                let Some(id) = forward.strip_prefix("POST /plan HTTP/1.1 ") else { return };
                forwarded.lock().unwrap().push(id.trim().to_owned());
                connection.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                let event = format!(r#"{{"id":"{}","from":"s-a","state":"done","result":"r"}}"#, id.trim());
                call_back(listen, &event);
            }
        });
    }
}
