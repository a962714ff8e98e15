//! HTTP/1.1 as the stand-ins speak it, written from the platform's protocol and not from the dispatcher's code:
//! one misreading is not to hide on both sides.
//!
//! It owns one connection's bytes. Messages have a length or none; both are bounded.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HEAD_MOST: usize = 32 << 10;
const BODY_MOST: usize = 1 << 20;

#[derive(Debug, Default)]
pub struct Message {
    /// A request's method and target, or an answer's status.
    pub method: String,
    pub target: String,
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether the sender keeps the connection after this.
    pub fn keeps(&self) -> bool {
        !self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

pub struct Wire {
    stream: TcpStream,
    read: Vec<u8>,
    /// The invocation that was answered here last.
    pub last: Option<u64>,
}

/// How a connection stands between two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    Quiet,
    Ended,
    /// Bytes have come that nobody asked for.
    Speaks,
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, read: Vec::new(), last: None }
    }

    pub async fn say(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits for the other side to end the connection, or to say something that nobody asked for.
    pub async fn ended(&mut self) {
        let _ = self.stream.read_buf(&mut self.read).await;
    }

    pub fn rest(&mut self) -> Rest {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            _ if !self.read.is_empty() => Rest::Speaks,
            Ok(0) => Rest::Ended,
            Ok(_) => Rest::Speaks,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Rest::Quiet,
            Err(_) => Rest::Ended,
        }
    }

    /// The next whole message; none where the connection ends between two.
    pub async fn hear(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, used)) = parse(&self.read)? {
                self.read.drain(..used);
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.read).await? == 0 {
                return if self.read.is_empty() { Ok(None) } else { Err(bad("half a message")) };
            }
        }
    }

    /// Ends it with a reset: what a process that dies does.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

fn parse(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut message = Message::default();
    let answer = bytes.starts_with(b"HTTP/");
    let head = if answer {
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|error| bad(&error.to_string()))?;
        message.status = parsed.code.unwrap_or(0);
        status
    } else {
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|error| bad(&error.to_string()))?;
        message.method = parsed.method.unwrap_or_default().to_owned();
        message.target = parsed.path.unwrap_or_default().to_owned();
        status
    };
    let httparse::Status::Complete(head) = head else {
        return if bytes.len() > HEAD_MOST { Err(bad("head too long")) } else { Ok(None) };
    };
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        message
            .headers
            .push((header.name.to_owned(), String::from_utf8_lossy(header.value).trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        return Err(bad("chunks are not spoken here"));
    }
    let length = match message.header("content-length") {
        Some(text) => text.parse().map_err(|_| bad("bad length"))?,
        None => 0usize,
    };
    if length > BODY_MOST {
        return Err(bad("body too long"));
    }
    if bytes.len() < head + length {
        return Ok(None);
    }
    message.body = bytes[head..head + length].to_vec();
    Ok(Some((message, head + length)))
}

pub fn answer(status: u16, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} .\r\n{more}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

pub fn request(method: &str, target: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {target} HTTP/1.1\r\nHost: lab\r\n{more}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
