//! Clients that leave with much unread, over loopback sockets: nothing of it is sent to a runner afterwards.

mod helper;
mod limited_node;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use helper::Connection;
use limited_node::*;
use socket2::Socket;

/// Clients that leave at once.
const CLIENTS: usize = 40;
/// Requests that a client sends behind its first.
const REQUESTS: usize = 600;
/// Within this time after the close of a client nothing may begin for it any more.
const CLIENT_LEFT_TIMEOUT: Duration = Duration::from_millis(100);
/// The jobs of the first requests take so long at most; until then requests behind them would be sent.
const SETTLE_SPAN: Duration = Duration::from_millis(2_500);

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
enum Close {
    Orderly,
    Reset,
}

/// A client that has sent many requests, the first of which runs for a while, and then `surplus` more bytes.
fn client(address: SocketAddr, nth: usize, first: &str, surplus: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let ids = (0..REQUESTS).map(|request| format!("{first}{nth}-{request}"));
    let text: String = ids.map(|id| request_with_body(&id, "hi")).collect();
    stream.set_nonblocking(true).unwrap();
    // What the program does not take is dropped.
    let _ = stream.write(text.as_bytes());
    let _ = stream.write(&vec![b'x'; surplus]);
    stream
}

/// Lets clients leave and checks how many forwards are written later than allowed.
fn assert_nothing_is_sent_after(octet: u8, first: &str, surplus: usize, close: Close) {
    let node = LimitedNode::new(octet);
    let clients: Vec<TcpStream> =
        (0..CLIENTS).map(|nth| client(node.node.listen, nth, first, surplus)).collect();
    thread::sleep(Duration::from_millis(50));
    for stream in clients {
        match close {
            Close::Orderly => drop(stream),
            Close::Reset => Connection::new(Socket::from(stream).into()).reset(),
        }
    }
    thread::sleep(CLIENT_LEFT_TIMEOUT);
    let sent = node.metric("upstream_tries");
    thread::sleep(SETTLE_SPAN);
    assert_eq!(node.metric("upstream_tries"), sent, "{first} {surplus} {close:?}");
    assert_eq!(node.metric("in_progress"), 0, "{first} {surplus} {close:?}");
}

/// Guards against requests that are sent on after their client has left, behind a first one that runs for long.
#[test]
fn what_is_unread_when_a_client_leaves_is_never_sent() {
    for (close, surplus) in [(Close::Orderly, 0), (Close::Reset, 0), (Close::Orderly, 4 << 20)] {
        assert_nothing_is_sent_after(94, "held", surplus, close);
    }
}

/// The same with requests that are answered at once, and whose answers are not read.
#[test]
fn what_is_unread_behind_unread_answers_is_never_sent() {
    for (close, surplus) in [(Close::Orderly, 0), (Close::Reset, 0)] {
        assert_nothing_is_sent_after(95, "long", surplus, close);
    }
}
