//! HTTP/1.1 messages: parses requests and responses with httparse, and encodes them.
//!
//! This module owns framing: lengths, chunks, the end of a message and the size limits. It does not know what
//! a message is about and keeps no state between calls except in [`ChunkDecoder`].

use std::str;

/// The largest accepted body.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The largest accepted start line with headers; also the largest chunk size line and trailer line.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most headers of a message.
const MAX_HEADERS: usize = 64;
/// The longest message on a connection, with an allowance for the framing of chunks.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_HEAD_BYTES;

/// Why bytes are not a valid message: the status to respond with, and a code for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError(pub u16, pub &'static str);

/// A parsed request.
#[derive(Debug)]
pub struct Request<'b> {
    /// The method, as sent.
    pub method: &'b str,
    /// Path with query, as sent.
    pub target: &'b str,
    /// Names and values in the order in which they were sent.
    pub headers: Vec<(&'b str, &'b [u8])>,
    /// The body without framing.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

/// A parsed response.
#[derive(Debug)]
pub struct Response<'b> {
    /// The status code.
    pub status: u16,
    /// Names and values in the order in which they were sent.
    pub headers: Vec<(&'b str, &'b [u8])>,
    /// The body without framing.
    pub body: Vec<u8>,
    /// Whether the connection stays open after this response.
    pub keep_alive: bool,
}

impl<'b> Request<'b> {
    /// The trimmed value of a header.
    ///
    /// # Errors
    ///
    /// `repeated_header` if the header occurs twice, `bad_header` if its value is not UTF-8.
    pub fn single_header(&self, name: &str) -> Result<Option<&'b str>, HttpError> {
        find_single_header(&self.headers, name)
    }

    /// The target without query and fragment.
    pub fn path(&self) -> &'b str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

impl<'b> Response<'b> {
    /// The trimmed value of a header, if it occurs exactly once.
    pub fn header(&self, name: &str) -> Option<&'b str> {
        find_single_header(&self.headers, name).ok().flatten()
    }
}

/// The trimmed value of the header of this name, if it occurs.
///
/// # Errors
///
/// `repeated_header` if the header occurs twice, `bad_header` if its value is not UTF-8.
fn find_single_header<'b>(headers: &[(&'b str, &'b [u8])], name: &str) -> Result<Option<&'b str>, HttpError> {
    let mut values = headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    let Some((_, value)) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HttpError(400, "repeated_header"));
    }
    str::from_utf8(value).map(|value| Some(value.trim())).map_err(|_| HttpError(400, "bad_header"))
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
    /// By the close of the connection.
    UntilEnd,
}

/// The framing that the headers declare, or `absent` if they declare none.
fn declared_framing(headers: &[(&str, &[u8])], absent: Framing) -> Result<Framing, HttpError> {
    let length = find_single_header(headers, "content-length").map_err(|_| HttpError(400, "bad_length"))?;
    let coding =
        find_single_header(headers, "transfer-encoding").map_err(|_| HttpError(400, "bad_coding"))?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(HttpError(400, "length_and_coding")),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (None, Some(_)) => Err(HttpError(400, "bad_coding")),
        (Some(length), None) if !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit()) => {
            // All digits, so that a value that does not parse is too large.
            Ok(Framing::Length(length.parse().unwrap_or(usize::MAX)))
        }
        (Some(_), None) => Err(HttpError(400, "bad_length")),
        (None, None) => Ok(absent),
    }
}

/// Whether the connection stays open: the default depends on the minor version of HTTP.
fn keeps_alive(headers: &[(&str, &[u8])], version: u8) -> bool {
    let lists = |word: &str| {
        let values = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
        values
            .flat_map(|(_, value)| value.split(|byte| *byte == b','))
            .any(|value| value.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    };
    if version == 0 { lists("keep-alive") } else { !lists("close") }
}

/// The error to report when httparse rejects a start line or a header.
fn head_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError(431, "too_many_headers"),
        _ => HttpError(400, "malformed"),
    }
}

/// The body at the start of `input` and the number of bytes that it takes there; `None` while it is
/// incomplete. `ended` says that no more bytes will come.
fn parse_body(input: &[u8], framing: Framing, ended: bool) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let complete = match framing {
        Framing::Length(length) if length > MAX_BODY_BYTES => return Err(HttpError(413, "body_too_large")),
        Framing::Length(length) => input.get(..length).map(|body| (body.to_vec(), length)),
        Framing::UntilEnd => ended.then(|| (input.to_vec(), input.len())),
        Framing::Chunked => {
            let (mut chunks, mut body) = (ChunkDecoder::default(), Vec::new());
            let used = chunks.feed(input, &mut body)?;
            if body.len() > MAX_BODY_BYTES {
                return Err(HttpError(413, "body_too_large"));
            }
            chunks.is_done().then_some((body, used))
        }
    };
    if complete.as_ref().is_some_and(|(body, _)| body.len() > MAX_BODY_BYTES) {
        return Err(HttpError(413, "body_too_large"));
    }
    Ok(complete)
}

/// The head of the request at the start of `input`, the framing of its body and the number of bytes that the
/// head takes there; `None` while it is incomplete.
///
/// # Errors
///
/// The bytes are not a valid request, or exceed a limit.
pub fn parse_request_head(input: &[u8]) -> Result<Option<(Request<'_>, Framing, usize)>, HttpError> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut header_buffer);
    let head_length = match parsed.parse(&input[..input.len().min(MAX_HEAD_BYTES)]).map_err(head_error)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if input.len() >= MAX_HEAD_BYTES => {
            return Err(HttpError(431, "head_too_large"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
    let framing = declared_framing(&headers, Framing::Length(0))?;
    let keep_alive = keeps_alive(&headers, parsed.version.unwrap_or(1));
    let (method, target) = (parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
    let request = Request { method, target, headers, body: Vec::new(), keep_alive };
    Ok(Some((request, framing, head_length)))
}

/// The request at the start of `input` and the number of bytes that it takes there; `None` while it is
/// incomplete.
///
/// # Errors
///
/// The bytes are not a valid request, or exceed a limit.
pub fn parse_request(input: &[u8]) -> Result<Option<(Request<'_>, usize)>, HttpError> {
    let Some((mut request, framing, head_length)) = parse_request_head(input)? else { return Ok(None) };
    let Some((body, used)) = parse_body(&input[head_length..], framing, false)? else { return Ok(None) };
    request.body = body;
    Ok(Some((request, head_length + used)))
}

/// The head of the response at the start of `input`, the framing of its body and the number of bytes that the
/// head takes there; `None` while it is incomplete. Interim responses (1xx) are skipped.
///
/// # Errors
///
/// The bytes are not a valid response, or exceed a limit.
pub fn parse_response_head(mut input: &[u8]) -> Result<Option<(Response<'_>, Framing, usize)>, HttpError> {
    let mut used = 0;
    loop {
        let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut header_buffer);
        let head_length = match parsed.parse(&input[..input.len().min(MAX_HEAD_BYTES)]).map_err(head_error)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if input.len() >= MAX_HEAD_BYTES => {
                return Err(HttpError(431, "head_too_large"));
            }
            httparse::Status::Partial => return Ok(None),
        };
        let status = parsed.code.unwrap_or(0);
        used += head_length;
        if (100..200).contains(&status) {
            input = &input[head_length..];
            continue;
        }
        let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
        let framing = match status {
            204 | 304 => Framing::Length(0),
            _ => declared_framing(&headers, Framing::UntilEnd)?,
        };
        let keep_alive = framing != Framing::UntilEnd && keeps_alive(&headers, parsed.version.unwrap_or(1));
        return Ok(Some((Response { status, headers, body: Vec::new(), keep_alive }, framing, used)));
    }
}

/// The response at the start of `input` and the number of bytes that it takes there; `None` while it is
/// incomplete. `ended` says that no more bytes will come.
///
/// # Errors
///
/// The bytes are not a valid response, or exceed a limit.
pub fn parse_response(input: &[u8], ended: bool) -> Result<Option<(Response<'_>, usize)>, HttpError> {
    let Some((mut response, framing, head_length)) = parse_response_head(input)? else { return Ok(None) };
    let Some((body, used)) = parse_body(&input[head_length..], framing, ended)? else { return Ok(None) };
    response.body = body;
    Ok(Some((response, head_length + used)))
}

/// A decoder of chunked bodies, fed with bytes as they arrive.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    state: ChunkState,
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    #[default]
    Size,
    /// So many bytes are left of the chunk.
    Data(u64),
    /// The line end after a chunk.
    DataEnd,
    Trailer,
    Done,
}

impl ChunkDecoder {
    /// Whether the last chunk and the trailer have been read.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Decodes as much of `input` as possible, appends the data of the chunks to `out`, and returns the
    /// number of bytes of `input` that were used.
    ///
    /// # Errors
    ///
    /// `bad_chunk` if the bytes are not a valid chunked body.
    pub fn feed(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let bad = HttpError(400, "bad_chunk");
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                ChunkState::Done => return Ok(used),
                ChunkState::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((taken, size))) => {
                        used += taken;
                        self.state = if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD_BYTES => return Ok(used),
                    _ => return Err(bad),
                },
                ChunkState::Data(left) => {
                    let taken = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    if taken == 0 {
                        return Ok(used);
                    }
                    out.extend_from_slice(&rest[..taken]);
                    used += taken;
                    let left = left - taken as u64;
                    self.state = if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                }
                ChunkState::DataEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.state = ChunkState::Size;
                    }
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(bad),
                },
                ChunkState::Trailer => match rest.iter().position(|byte| *byte == b'\n') {
                    Some(end) => {
                        used += end + 1;
                        if rest[..end].trim_ascii().is_empty() {
                            self.state = ChunkState::Done;
                        }
                    }
                    None if rest.len() < MAX_HEAD_BYTES => return Ok(used),
                    None => return Err(bad),
                },
            }
        }
    }
}

/// Encodes a response. `extra_headers` holds further header lines, each with its line end; `keep_alive` says
/// whether the connection stays open.
pub fn encode_response(status: u16, extra_headers: &str, body: &[u8], keep_alive: bool) -> Vec<u8> {
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
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let length = body.len();
    let mut out =
        format!("HTTP/1.1 {status} {reason}\r\n{extra_headers}{close}Content-Length: {length}\r\n\r\n")
            .into_bytes();
    out.extend_from_slice(body);
    out
}

/// Encodes a request without a body.
pub fn encode_bodiless_request(method: &str, target: &str, host: impl std::fmt::Display) -> Vec<u8> {
    let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
    format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n{length}\r\n").into_bytes()
}
