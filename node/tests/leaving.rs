//! The program over loopback sockets, and a discovery that keeps it waiting: what has been announced as leaving gets
//! nothing new once that counts as told, heard or not.

mod helper;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use helper::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CALL: &str = "GET /v1/servers?follow=1&since=0 HTTP/1.1 ";

fn brief(text: String) -> String {
    text.replace("\"latencyObjective\":20000000", "\"latencyObjective\":200000")
}

/// Discovery has many callers: a call is answered after longer than a watch may be silent, and long enough for another
/// one to be made beside it. Against whoever gives its turn up, and is never heard.
#[test]
fn a_call_that_waits_its_turn_is_heard_when_it_comes() {
    let node = Node::new(112, |text| text);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut first = Peer::from(&node.discovery);
    assert_eq!(first.hear(), CALL);
    let mut second = Peer::from(&node.discovery);
    assert_eq!(second.hear(), CALL);
    first.say(HEAD);
    lists(&mut first, 1, runner.local_addr().unwrap(), "up");
    assert!(second.is_ended(), "both were kept");
    let _client = node.asks("i1");
    assert_eq!(Peer::from(&runner).hear(), "POST /plan HTTP/1.1 i1 ");
}

/// Discovery takes its calls and never answers: whoever is listed may have been announced as leaving 6 s ago.
#[test]
fn what_may_have_been_announced_as_leaving_gets_nothing_new() {
    let mut node = Node::new(113, brief);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = watched(&node.discovery);
    lists(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let listed = Instant::now();
    let _client = node.asks("i1");
    assert_eq!(Peer::from(&runner).hear(), "POST /plan HTTP/1.1 i1 ");
    node.logged("lease state=lapsed");
    assert!(listed.elapsed() > Duration::from_millis(5900), "too soon: {:?}", listed.elapsed());
    assert!(node.asks("i2").hear().starts_with("HTTP/1.1 429"));
    runner.set_nonblocking(true).unwrap();
    assert!(runner.accept().is_err(), "it was sent something all the same");
    // The last of the calls is answered.
    node.discovery.set_nonblocking(true).unwrap();
    let mut calls: Vec<Peer> = Vec::new();
    while let Ok((stream, _)) = node.discovery.accept() {
        stream.set_nonblocking(false).unwrap();
        calls.push(Peer::new(stream));
    }
    let last = calls.last_mut().unwrap();
    last.say(HEAD);
    lists(last, 2, runner.local_addr().unwrap(), "up");
    node.logged("lease state=renewed");
    runner.set_nonblocking(false).unwrap();
    let _client = node.asks("i3");
    assert_eq!(Peer::from(&runner).hear(), "POST /plan HTTP/1.1 i3 ");
}

/// Discovery goes down: its watch ends and it turns every call away. Nothing can be told, and service goes on.
#[test]
fn a_discovery_that_is_down_stops_no_service() {
    let node = Node::new(114, brief);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = watched(&node.discovery);
    lists(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let _client = node.asks("i1");
    assert_eq!(Peer::from(&runner).hear(), "POST /plan HTTP/1.1 i1 ");
    drop(watch);
    let down = Instant::now();
    while down.elapsed() < Duration::from_millis(6500) {
        let mut call = Peer::from(&node.discovery);
        call.hear();
        call.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assert!(call.is_ended());
    }
    let _client = node.asks("i2");
    assert_eq!(Peer::from(&runner).hear(), "POST /plan HTTP/1.1 i2 ");
}
