//! HTTP/1.1 messages: bytes to requests and answers by httparse, answers and requests to bytes.
//!
//! It owns framing: lengths, chunks, what ends a message, how large one may be. It must never know what a
//! message is about, and never keep bytes between calls but in [`Chunks`].

use std::str;

pub const MAX_BODY_BYTES: usize = 64 << 10;
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
/// The longest message on a connection, with some room for the framing of chunks.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_HEAD_BYTES;

/// Why bytes are no message: the status to answer with, and a code for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError(pub u16, pub &'static str);

#[derive(Debug)]
pub struct Request<'b> {
    pub method: &'b str,
    /// Path with query, as it came.
    pub target: &'b str,
    pub headers: Vec<(&'b str, &'b [u8])>,
    pub body: Vec<u8>,
    /// Whether the connection is to be kept.
    pub keep_alive: bool,
}

#[derive(Debug)]
pub struct Response<'b> {
    pub status: u16,
    pub headers: Vec<(&'b str, &'b [u8])>,
    pub body: Vec<u8>,
    pub keep_alive: bool,
}

impl<'b> Request<'b> {
    /// The one value of a header; a second value is a fault.
    pub fn single_header(&self, name: &str) -> Result<Option<&'b str>, HttpError> {
        only(&self.headers, name)
    }

    pub fn path(&self) -> &'b str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

impl<'b> Response<'b> {
    pub fn header(&self, name: &str) -> Option<&'b str> {
        only(&self.headers, name).ok().flatten()
    }
}

fn only<'b>(headers: &[(&'b str, &'b [u8])], name: &str) -> Result<Option<&'b str>, HttpError> {
    let mut values = headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    let Some((_, value)) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HttpError(400, "repeated_header"));
    }
    str::from_utf8(value).map(|value| Some(value.trim())).map_err(|_| HttpError(400, "bad_header"))
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilEnd,
}

fn framing(headers: &[(&str, &[u8])], absent: Framing) -> Result<Framing, HttpError> {
    let length = only(headers, "content-length").map_err(|_| HttpError(400, "bad_length"))?;
    let coding = only(headers, "transfer-encoding").map_err(|_| HttpError(400, "bad_coding"))?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(HttpError(400, "length_and_coding")),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (None, Some(_)) => Err(HttpError(400, "bad_coding")),
        (Some(length), None) if !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit()) => {
            // All digits, so that what does not parse is merely too long.
            Ok(Framing::Length(length.parse().unwrap_or(usize::MAX)))
        }
        (Some(_), None) => Err(HttpError(400, "bad_length")),
        (None, None) => Ok(absent),
    }
}

fn keeps(headers: &[(&str, &[u8])], version: u8) -> bool {
    let says = |word: &str| {
        let values = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
        values
            .flat_map(|(_, value)| value.split(|byte| *byte == b','))
            .any(|value| value.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    };
    if version == 0 { says("keep-alive") } else { !says("close") }
}

fn malformed(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError(431, "too_many_headers"),
        _ => HttpError(400, "malformed"),
    }
}

/// The body that begins `input`, with the bytes that it takes there; `None` while it is not whole.
fn body(input: &[u8], framing: Framing, ended: bool) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let whole = match framing {
        Framing::Length(length) if length > MAX_BODY_BYTES => return Err(HttpError(413, "body_too_large")),
        Framing::Length(length) => input.get(..length).map(|body| (body.to_vec(), length)),
        Framing::UntilEnd => ended.then(|| (input.to_vec(), input.len())),
        Framing::Chunked => {
            let (mut chunks, mut body) = (Chunks::default(), Vec::new());
            let used = chunks.feed(input, &mut body)?;
            if body.len() > MAX_BODY_BYTES {
                return Err(HttpError(413, "body_too_large"));
            }
            chunks.done().then_some((body, used))
        }
    };
    if whole.as_ref().is_some_and(|(body, _)| body.len() > MAX_BODY_BYTES) {
        return Err(HttpError(413, "body_too_large"));
    }
    Ok(whole)
}

/// The request that begins `input` and how many bytes it takes there; `None` while it is not whole.
pub fn parse_request(input: &[u8]) -> Result<Option<(Request<'_>, usize)>, HttpError> {
    let mut room = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut room);
    let head = match parsed.parse(&input[..input.len().min(MAX_HEAD_BYTES)]).map_err(malformed)? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if input.len() >= MAX_HEAD_BYTES => {
            return Err(HttpError(431, "head_too_large"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
    let framing = framing(&headers, Framing::Length(0))?;
    let Some((body, used)) = body(&input[head..], framing, false)? else { return Ok(None) };
    let keep = keeps(&headers, parsed.version.unwrap_or(1));
    let (method, target) = (parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
    Ok(Some((Request { method, target, headers, body, keep_alive: keep }, head + used)))
}

/// The head of the answer that begins `input`, passing over those that only say that one will come.
pub fn parse_response_head(mut input: &[u8]) -> Result<Option<(Response<'_>, Framing, usize)>, HttpError> {
    let mut passed = 0;
    loop {
        let mut room = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut room);
        let head = match parsed.parse(&input[..input.len().min(MAX_HEAD_BYTES)]).map_err(malformed)? {
            httparse::Status::Complete(head) => head,
            httparse::Status::Partial if input.len() >= MAX_HEAD_BYTES => {
                return Err(HttpError(431, "head_too_large"));
            }
            httparse::Status::Partial => return Ok(None),
        };
        let status = parsed.code.unwrap_or(0);
        passed += head;
        if (100..200).contains(&status) {
            input = &input[head..];
            continue;
        }
        let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
        let framing = match status {
            204 | 304 => Framing::Length(0),
            _ => framing(&headers, Framing::UntilEnd)?,
        };
        let keep = framing != Framing::UntilEnd && keeps(&headers, parsed.version.unwrap_or(1));
        return Ok(Some((Response { status, headers, body: Vec::new(), keep_alive: keep }, framing, passed)));
    }
}

/// The answer that begins `input` and how many bytes it takes there; `ended` says that no more will come.
pub fn parse_response(input: &[u8], ended: bool) -> Result<Option<(Response<'_>, usize)>, HttpError> {
    let Some((mut answer, framing, head)) = parse_response_head(input)? else { return Ok(None) };
    let Some((body, used)) = body(&input[head..], framing, ended)? else { return Ok(None) };
    answer.body = body;
    Ok(Some((answer, head + used)))
}

/// A body in chunks, fed as it comes.
#[derive(Debug, Default)]
pub struct Chunks {
    state: Chunk,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Chunk {
    #[default]
    Size,
    Data(u64),
    /// The line's end after a chunk.
    After,
    Trailer,
    Done,
}

impl Chunks {
    pub fn done(&self) -> bool {
        self.state == Chunk::Done
    }

    /// Takes what it can of `input`, appends what was in the chunks, and returns how much was taken.
    pub fn feed(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let bad = HttpError(400, "bad_chunk");
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                Chunk::Done => return Ok(used),
                Chunk::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((taken, size))) => {
                        used += taken;
                        self.state = if size == 0 { Chunk::Trailer } else { Chunk::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD_BYTES => return Ok(used),
                    _ => return Err(bad),
                },
                Chunk::Data(left) => {
                    let taken = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    if taken == 0 {
                        return Ok(used);
                    }
                    out.extend_from_slice(&rest[..taken]);
                    used += taken;
                    let left = left - taken as u64;
                    self.state = if left == 0 { Chunk::After } else { Chunk::Data(left) };
                }
                Chunk::After => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.state = Chunk::Size;
                    }
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(bad),
                },
                Chunk::Trailer => match rest.iter().position(|byte| *byte == b'\n') {
                    Some(end) => {
                        used += end + 1;
                        if rest[..end].trim_ascii().is_empty() {
                            self.state = Chunk::Done;
                        }
                    }
                    None if rest.len() < MAX_HEAD_BYTES => return Ok(used),
                    None => return Err(bad),
                },
            }
        }
    }
}

/// An answer, whole; `more` are header lines, each with its end.
pub fn encode_response(status: u16, more: &str, body: &[u8], keep: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Bad Gateway",
    };
    let close = if keep { "" } else { "Connection: close\r\n" };
    let length = body.len();
    let mut out =
        format!("HTTP/1.1 {status} {reason}\r\n{more}{close}Content-Length: {length}\r\n\r\n").into_bytes();
    out.extend_from_slice(body);
    out
}

/// A request without a body.
pub fn encode_bodiless_request(method: &str, target: &str, host: impl std::fmt::Display) -> Vec<u8> {
    let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
    format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n{length}\r\n").into_bytes()
}
