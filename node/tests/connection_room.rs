//! Which connections are closed when the descriptors run short.

use super::*;

/// The descriptors of [`configuration`].
const SOCKETS: usize = 64;

/// Guards against clients whose kept connections are closed, while they send requests on them, because
/// connections to runners that rest after an answer fill the descriptors.
#[test]
fn resting_connections_to_runners_do_not_close_those_of_clients() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let client = node.accept();
    let runner_calls = node.accept();
    for nth in 0..2 * SOCKETS {
        // Another client comes and goes, which takes room as well.
        let visitor = node.accept();
        let request = format!("POST /plan HTTP/1.1\r\nX-Request-Id: i{nth}\r\nX-Deadline-Ms: 900\r\n\r\n");
        node.driver.trace.clear();
        node.feed(client, &request);
        let forward = node.driver.trace.split_once(" dials 127.0.0.1:3001").unwrap().0;
        let forward = forward.rsplit('#').next().unwrap().parse().unwrap();
        node.connect(forward);
        node.feed(forward, ACCEPTED);
        let event = format!(r#"{{"id":"i{nth}","from":"s-a","state":"done","result":"r"}}"#);
        let length = event.len();
        let call = format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{event}");
        node.feed(runner_calls, &call);
        assert!(node.driver.trace.contains("200 OK; Content-Length: 1 = r"), "{}", node.driver.trace);
        if node.driver.roles.contains_key(&visitor) {
            node.close(visitor, CloseReason::PeerClosed);
        }
        assert!(node.driver.roles.contains_key(&client), "the client's connection was closed");
    }
    assert!(node.driver.roles.len() <= SOCKETS - SOCKETS / 8, "{} connections", node.driver.roles.len());
}
