//! HTTP/1.1 for the emulated clients, runners and discovery. Written from the platform's protocol and without
//! the dispatcher's code, so that a misinterpretation cannot hide on both sides.
//!
//! This module owns the bytes of one connection. Messages have a `Content-Length` or no body; heads and
//! bodies are limited in size.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Upper limit of a message's head.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Upper limit of a message's body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// A request's method; empty for a response.
    pub method: String,
    /// A request's target; empty for a response.
    pub target: String,
    /// A response's status; 0 for a request.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body; empty without a `Content-Length`.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether the sender keeps the connection open after this message.
    pub fn keeps_alive(&self) -> bool {
        !self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// One TCP connection.
pub struct Connection {
    stream: TcpStream,
    /// Bytes that have arrived and belong to no received message yet.
    unparsed: Vec<u8>,
    /// The invocation that was last answered on this connection.
    pub last_answered: Option<u64>,
}

/// State of a connection between two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Open, and nothing has arrived.
    Quiet,
    /// Closed by the peer.
    Ended,
    /// Bytes have arrived without a request.
    UnexpectedData,
}

/// Returns an error for a malformed message.
fn invalid_data(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl Connection {
    /// Takes over a connected stream.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, unparsed: Vec::new(), last_answered: None }
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the write.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the peer closes the connection or sends more bytes.
    pub async fn wait_for_input(&mut self) {
        let _ = self.stream.read_buf(&mut self.unparsed).await;
    }

    /// Returns the state between two messages, without waiting.
    pub fn idle_state(&mut self) -> IdleState {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            _ if !self.unparsed.is_empty() => IdleState::UnexpectedData,
            Ok(0) => IdleState::Ended,
            Ok(_) => IdleState::UnexpectedData,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
            Err(_) => IdleState::Ended,
        }
    }

    /// Receives the next complete message; `None` if the peer closes the connection between two messages.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails, or if the message is malformed, too large or incomplete.
    pub async fn receive(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, used)) = parse(&self.unparsed)? {
                self.unparsed.drain(..used);
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.unparsed).await? == 0 {
                return if self.unparsed.is_empty() {
                    Ok(None)
                } else {
                    Err(invalid_data("connection closed inside a message"))
                };
            }
        }
    }

    /// Closes the connection with a reset, like a process that ends with unread data.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// Parses a message at the start of `bytes`. Returns it and its length, or `None` if it is incomplete.
fn parse(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut message = Message::default();
    let is_response = bytes.starts_with(b"HTTP/");
    let parsed_head = if is_response {
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|error| invalid_data(&error.to_string()))?;
        message.status = parsed.code.unwrap_or(0);
        status
    } else {
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(|error| invalid_data(&error.to_string()))?;
        message.method = parsed.method.unwrap_or_default().to_owned();
        message.target = parsed.path.unwrap_or_default().to_owned();
        status
    };
    let httparse::Status::Complete(head_length) = parsed_head else {
        return if bytes.len() > MAX_HEAD_BYTES {
            Err(invalid_data(&format!("head longer than {MAX_HEAD_BYTES} bytes")))
        } else {
            Ok(None)
        };
    };
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        message
            .headers
            .push((header.name.to_owned(), String::from_utf8_lossy(header.value).trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        return Err(invalid_data("transfer-encoding is not supported"));
    }
    let length = match message.header("content-length") {
        Some(text) => {
            text.parse().map_err(|_| invalid_data(&format!("content-length is not a number: {text}")))?
        }
        None => 0usize,
    };
    if length > MAX_BODY_BYTES {
        return Err(invalid_data(&format!("body of {length} bytes, at most {MAX_BODY_BYTES} are allowed")));
    }
    if bytes.len() < head_length + length {
        return Ok(None);
    }
    message.body = bytes[head_length..head_length + length].to_vec();
    Ok(Some((message, head_length + length)))
}

/// Formats a response; `more` holds complete header lines.
pub fn response(status: u16, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} .\r\n{more}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Formats a request; `more` holds complete header lines.
pub fn request(method: &str, target: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {target} HTTP/1.1\r\nHost: lab\r\n{more}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
