//! Connections that others open to the HTTP listener: clients' invocations, runners' call-backs, readiness
//! requests.
//!
//! Tracks for each connection the request that is being read or the answer that is outstanding. Decodes an
//! invocation or a call-back once and hands it on as an event. It takes no decisions on invocations: their
//! answers come from the owner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use topazsail::{Id, Micros, hash};

use crate::ingress::operations::Operations;
use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, Timer};
use crate::net::http::{self, HttpError, MAX_MESSAGE_BYTES, Request, encode_response};
use crate::net::log::log;
use crate::net::request_progress::RequestProgress;

const READINESS_PATH: &str = "/healthz";
const CALLBACK_PATH: &str = "/v1/job-events";
/// Time to receive a complete request from its first byte on, and the first request of a connection from
/// accept on. In microseconds, like all times here.
const REQUEST_TIMEOUT: Micros = 2_500_000;
/// A new connection without a request is not closed for this long, even if its place is needed.
const NEW_CONNECTION_GRACE: Micros = 250_000;
/// How long a connection is kept between requests.
const IDLE_TIMEOUT: Micros = 120_000_000;
/// No client waits longer than an hour; the bound also keeps deadlines far from overflow.
const MAX_CLIENT_TIMEOUT: Micros = 3_600_000_000;
/// Subtracted from the client's timeout for the answer's way back: an answer that is in transit when the
/// client gives up is lost.
const RETURN_TIME: Micros = 20_000;
/// The most requests that are processed of a connection before all others have had their turn.
const MAX_REQUESTS_PER_TURN: usize = 8;
/// Maximum length of an invocation's id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A client's request to run an operation.
#[derive(Debug)]
pub struct Invocation {
    pub connection: ConnectionId,
    pub id: Id,
    /// The operation's number in [`Operations`].
    pub operation: usize,
    /// When the client gives up, less the time for the answer to reach it.
    pub expires_at: Micros,
    /// How many of a runner's slots it takes; 1 if the client does not state it.
    pub slots: f64,
    /// Its work as time on a standard core, if the client states it.
    pub work_hint: Option<Micros>,
    /// The session key, if the client sends one.
    pub key: Option<Id>,
    /// Request line and headers as sent to runners, except the time left and the length.
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

/// The state of a job as its runner reports it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// The job has begun to run.
    Started,
    /// The job has made progress.
    Running,
    /// The job has succeeded.
    Done,
    /// The job has ended with an error.
    Failed,
    /// The runner has turned the job away because of overload.
    Returned,
    /// The runner no longer has the job, which may have run in part.
    Lost,
}

impl JobState {
    /// The name in log lines.
    pub fn code(self) -> &'static str {
        match self {
            JobState::Started => "started",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Failed => "failed",
            JobState::Returned => "returned",
            JobState::Lost => "lost",
        }
    }
}

/// A runner's report on a job.
#[derive(Debug, Deserialize, Serialize)]
pub struct RunnerCallback {
    /// The id of the invocation.
    pub id: String,
    /// The id of the runner.
    pub from: String,
    pub state: JobState,
    /// The answer for the client, if the job has succeeded.
    pub result: Option<String>,
    /// The runner's load report, if it sends one.
    pub load: Option<serde_json::Value>,
}

/// Where a call-back has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallbackSource {
    connection: ConnectionId,
    /// How many requests had arrived on the connection, with this one.
    request_count: u64,
}

/// A call-back as it has arrived.
#[derive(Debug)]
pub struct ReceivedCallback {
    pub callback: RunnerCallback,
    /// Hash of its bytes, by which a repeat can be recognised.
    pub hash: u64,
    /// None if the other process of an upgrade has received it.
    pub source: Option<CallbackSource>,
}

/// What has arrived on a connection.
#[derive(Debug)]
pub enum ClientEvent {
    Invocation(Invocation),
    RunnerCallback(ReceivedCallback),
    /// The connection has ended while this invocation awaited its answer.
    Disconnected(ConnectionId, Id),
}

/// Which part of a request and its answer a connection is in.
enum Phase {
    /// Between requests.
    Idle,
    /// Part of a request has arrived.
    Reading,
    /// An invocation with this id has been handed on.
    AwaitingAnswer(Id),
}

/// The state of one connection, of a client or of a runner that calls back.
struct ClientConnection {
    phase: Phase,
    /// When it entered this phase.
    since: Micros,
    /// When the request that is being read began; no later than its first byte arrived.
    request_began_at: Micros,
    /// How far the request that is being read has arrived.
    progress: RequestProgress,
    /// When it was accepted; none once a first request has arrived completely.
    silent_since: Option<Micros>,
    keep_alive: bool,
    /// Whether an invocation has arrived on it.
    has_invoked: bool,
    /// Whether a call-back has arrived on it, so that its peer is a runner.
    is_runner: bool,
    /// Complete requests that have arrived on it.
    request_count: u64,
    /// Whether its peer has sent a request before it had the answer to the one before.
    is_pipelining: bool,
}

/// The connections of clients, and of runners that call back.
pub struct Clients {
    by_connection: BTreeMap<ConnectionId, ClientConnection>,
    /// The operations that invocations may name.
    pub operations: Operations,
    /// Readiness requests are answered with 503.
    is_unready: bool,
    /// Each connection is closed after its next answer, except those of runners.
    is_closing: bool,
    /// Limits on the number of connections of all roles. From the first on, a new connection takes the place
    /// of an idle one if there is one; from the second on, it is not accepted otherwise. The rest is reserved
    /// for runners and the watch.
    limits: (usize, usize),
    /// Events that the owner has not processed yet.
    pub events: Vec<ClientEvent>,
}

impl Clients {
    /// Starts without connections and without operations.
    pub fn new() -> Clients {
        Clients {
            by_connection: BTreeMap::new(),
            operations: Operations::default(),
            is_unready: false,
            is_closing: false,
            limits: (0, 0),
            events: Vec::new(),
        }
    }

    /// Sets the limits on the number of connections of all roles: from `replacing` on, a new one takes the
    /// place of an idle one if there is one; from `most` on, it is not accepted otherwise.
    pub fn set_limits(&mut self, replacing: usize, most: usize) {
        self.limits = (replacing, most);
    }

    /// Whether one more connection can be accepted. If there are too many, closes one first: one that only
    /// waits for its peer to close, else one that has sent no request yet, else the one idle longest.
    /// Connections that have carried invocations are closed last, as they are likely to carry more.
    pub fn ensure_room(&mut self, driver: &mut dyn ConnectionDriver) -> bool {
        driver.connection_count() < self.limits.0
            || self.make_room(driver)
            || driver.connection_count() < self.limits.1
    }

    /// Closes one connection without an outstanding answer. Returns whether there was one.
    pub fn make_room(&mut self, driver: &mut dyn ConnectionDriver) -> bool {
        if driver.close_oldest_lingering() {
            return true;
        }
        let now = driver.now();
        let rank = |(connection, client): (&ConnectionId, &ClientConnection)| match (
            &client.phase,
            client.silent_since,
        ) {
            (Phase::Idle | Phase::Reading, Some(at)) => {
                (now >= at + NEW_CONNECTION_GRACE).then_some((0, at, *connection))
            }
            (Phase::Idle, None) => Some((1 + u8::from(client.has_invoked), client.since, *connection)),
            _ => None,
        };
        let mut idle: Vec<(u8, Micros, ConnectionId)> = self.by_connection.iter().filter_map(rank).collect();
        idle.sort_unstable();
        idle.iter().any(|(_, _, connection)| self.end_idle(*connection, CloseReason::MadeRoom, driver))
    }

    /// Adds a connection that has been accepted.
    pub fn accepted(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let since = driver.now();
        let (phase, silent_since) = (Phase::Idle, Some(since));
        let client = ClientConnection {
            phase,
            since,
            request_began_at: since,
            progress: RequestProgress::New,
            silent_since,
            keep_alive: true,
            has_invoked: false,
            is_runner: false,
            request_count: 0,
            is_pipelining: false,
        };
        self.by_connection.insert(connection, client);
        driver.set_timer(Timer::Connection(connection), since + REQUEST_TIMEOUT);
    }

    /// Sends the one final answer of an invocation.
    pub fn answer(
        &mut self,
        connection: ConnectionId,
        status: u16,
        retry_after: Option<Micros>,
        body: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let headers = retry_after.map(|after| format!("Retry-After: {:.3}\r\n", after as f64 / 1e6));
        self.reply(
            connection,
            status,
            headers.as_deref().unwrap_or_default(),
            body,
            !self.is_closing,
            driver,
        );
    }

    /// Sends an answer, and closes the connection after it unless both sides keep it.
    fn reply(
        &mut self,
        connection: ConnectionId,
        status: u16,
        headers: &str,
        body: &[u8],
        may_keep: bool,
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(client) = self.by_connection.get_mut(&connection) else { return };
        let keep_alive = client.keep_alive && may_keep && !driver.has_overflowed(connection);
        driver.send(connection, &encode_response(status, headers, body, keep_alive));
        client.phase = Phase::Idle;
        client.since = driver.now();
        if keep_alive {
            driver.process_again(connection);
        } else {
            self.by_connection.remove(&connection);
            driver.finish(
                connection,
                if may_keep { CloseReason::AnsweredLast } else { CloseReason::Terminated },
            );
        }
    }

    /// Whether the runner has certainly read the answer to this call-back, and so does not repeat it: it has
    /// sent another request on the same connection since. False if that is not known.
    pub fn has_read_answer(&self, source: CallbackSource) -> bool {
        let client = self.by_connection.get(&source.connection);
        client.is_some_and(|client| !client.is_pipelining && client.request_count > source.request_count)
    }

    /// Notes whether `input` holds more behind a request that has just been processed.
    fn note_pipelining(&mut self, connection: ConnectionId, input: &[u8]) {
        if let Some(client) = self.by_connection.get_mut(&connection) {
            client.is_pipelining |= !input.is_empty();
        }
    }

    /// Notes whether more has already arrived on a connection whose answer has only just been sent.
    fn note_early_request(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        if let Some(client) = self.by_connection.get_mut(&connection) {
            client.is_pipelining |= !driver.is_reusable(connection);
        }
    }

    /// Sets whether readiness requests are answered positively.
    pub fn set_ready(&mut self, ready: bool) {
        self.is_unready = !ready;
    }

    /// Sets whether each connection is closed after its next answer, because another process takes over.
    pub fn set_handed_over(&mut self, handed_over: bool) {
        self.is_closing = handed_over;
    }

    /// Closes idle client connections, and from now on the others after their next answer. Connections of
    /// runners stay open, as they may still carry call-backs.
    pub fn drain(&mut self, driver: &mut dyn ConnectionDriver) {
        self.is_closing = true;
        let is_idle = |client: &ClientConnection| matches!(client.phase, Phase::Idle) && !client.is_runner;
        let idle_connections: Vec<ConnectionId> = self
            .by_connection
            .iter()
            .filter(|(_, client)| is_idle(client))
            .map(|(connection, _)| *connection)
            .collect();
        for connection in idle_connections {
            self.end_idle(connection, CloseReason::Terminated, driver);
        }
    }

    /// Closes a connection between requests, unless a request has just arrived, which would be lost, or an
    /// answer is not yet written. Returns whether it was closed.
    fn end_idle(
        &mut self,
        connection: ConnectionId,
        end: CloseReason,
        driver: &mut dyn ConnectionDriver,
    ) -> bool {
        if driver.has_unsent(connection) || !driver.is_reusable(connection) {
            return false;
        }
        self.by_connection.remove(&connection);
        driver.abort(connection, end);
        true
    }

    /// Whether a client is still connected, as a request that arrives on its connection has to be answered,
    /// or a runner's request is in progress.
    pub fn has_clients(&self) -> bool {
        self.by_connection.values().any(|client| !client.is_runner || !matches!(client.phase, Phase::Idle))
    }

    /// Answers a bad request with its status and reason, and closes the connection.
    pub fn reject(
        &mut self,
        connection: ConnectionId,
        HttpError(status, reason): HttpError,
        driver: &mut dyn ConnectionDriver,
    ) {
        log!("bad-request", "link={connection} status={status} reason={reason}");
        driver.send(connection, &encode_response(status, "", reason.as_bytes(), false));
        self.by_connection.remove(&connection);
        driver.finish(connection, CloseReason::BadInput);
    }

    /// Processes the request at the start of `input`, if it is complete and its turn has come. Returns the
    /// number of bytes that it takes there.
    fn process_next(
        &mut self,
        connection: ConnectionId,
        input: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) -> Option<usize> {
        let client = self.by_connection.get_mut(&connection)?;
        // A client that does not read its answers gets no more requests read, or answers would pile up.
        if input.is_empty()
            || matches!(client.phase, Phase::AwaitingAnswer(_))
            || driver.has_unsent(connection)
        {
            return None;
        }
        if driver.has_overflowed(connection) {
            self.reject(connection, HttpError(413, "message_too_long"), driver);
            return None;
        }
        if matches!(client.phase, Phase::Idle) {
            client.phase = Phase::Reading;
            client.since = driver.now();
            // The client's timeout runs from the arrival of the request, however long that has waited to be
            // read or processed.
            client.request_began_at = driver.received_since(connection);
        }
        let is_too_long = input.len() >= MAX_MESSAGE_BYTES;
        if !is_too_long && !client.progress.may_be_complete(input) {
            return None;
        }
        let parsed = match http::parse_request(input) {
            Ok(None) if is_too_long => Err(HttpError(413, "message_too_long")),
            Ok(None) => client.progress.note_incomplete(input).map(|()| None),
            parsed => parsed,
        };
        let processed = match parsed {
            Ok(None) => return None,
            Ok(Some((request, used))) => self.process_request(connection, request, driver).map(|()| used),
            Err(error) => Err(error),
        };
        match processed {
            Ok(used) => {
                self.note_pipelining(connection, &input[used..]);
                Some(used)
            }
            Err(error) => {
                self.reject(connection, error, driver);
                None
            }
        }
    }

    /// Processes one complete request.
    fn process_request(
        &mut self,
        connection: ConnectionId,
        request: Request,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), HttpError> {
        let Some(client) = self.by_connection.get_mut(&connection) else { return Ok(()) };
        (client.keep_alive, client.silent_since) = (request.keep_alive, None);
        client.progress = RequestProgress::New;
        client.request_count += 1;
        match (request.path(), request.method) {
            (READINESS_PATH, "GET") => {
                let status = if self.is_unready { 503 } else { 200 };
                self.answer(connection, status, None, b"", driver);
            }
            (CALLBACK_PATH, "POST") => {
                let callback =
                    serde_json::from_slice(&request.body).map_err(|_| HttpError(400, "bad_call_back"))?;
                client.is_runner = true;
                let source = Some(CallbackSource { connection, request_count: client.request_count });
                let hash = hash(&request.body);
                self.events.push(ClientEvent::RunnerCallback(ReceivedCallback { callback, hash, source }));
                // The runner needs the connection for further call-backs, even while this process shuts down.
                self.reply(connection, 200, "", b"", true, driver);
                self.note_early_request(connection, driver);
            }
            (READINESS_PATH | CALLBACK_PATH, _) => return Err(HttpError(405, "wrong_method")),
            (path, method) => {
                // One slash and the operation: runners may interpret other forms of path differently.
                let name = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
                let operation = self.operations.number(name, driver.now());
                let operation = operation.ok_or(HttpError(404, "unknown_operation"))?;
                if method != "POST" {
                    return Err(HttpError(405, "wrong_method"));
                }
                let invocation = read_invocation(connection, operation, client.request_began_at, request)?;
                client.phase = Phase::AwaitingAnswer(invocation.id.clone());
                client.has_invoked = true;
                self.events.push(ClientEvent::Invocation(invocation));
            }
        }
        Ok(())
    }
}

/// Decodes an invocation from its request; the error is the status and reason of the refusal.
fn read_invocation(
    connection: ConnectionId,
    operation: usize,
    request_began_at: Micros,
    request: Request,
) -> Result<Invocation, HttpError> {
    let id = request.single_header("x-request-id")?.ok_or(HttpError(400, "missing_id"))?;
    // The id becomes part of the path of a cancel, and must not need escaping there.
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:~".contains(&byte);
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_plain) {
        return Err(HttpError(400, "bad_id"));
    }
    let timeout = request.single_header("x-deadline-ms")?.ok_or(HttpError(400, "missing_timeout"))?;
    let is_number = timeout.bytes().all(|byte| byte.is_ascii_digit());
    let timeout = timeout.parse().ok().filter(|_| is_number).and_then(|ms: Micros| ms.checked_mul(1000));
    let timeout =
        timeout.filter(|timeout| *timeout <= MAX_CLIENT_TIMEOUT).ok_or(HttpError(400, "bad_timeout"))?;
    // Not used here, but rejected if it is repeated.
    request.single_header("idempotency-key")?;
    if request.target.bytes().any(|byte| byte == b'#' || !byte.is_ascii_graphic()) {
        return Err(HttpError(400, "bad_target"));
    }
    let extras = request.single_header("x-extras")?.unwrap_or_default();
    let slots = values_of(extras, ',', &["slots", "width"]).find_map(|value| value.parse::<f64>().ok());
    let work_hint = request.single_header("x-cost-hint")?.and_then(|hint| hint.trim().parse::<f64>().ok());
    let cookies = request.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("cookie"));
    let mut cookies = cookies.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    let key = cookies.find_map(|value| values_of(value, ';', &["sid"]).next());
    Ok(Invocation {
        connection,
        id: id.into(),
        operation,
        expires_at: request_began_at + timeout - RETURN_TIME,
        slots: slots.filter(|slots| slots.is_finite() && *slots > 0.0).unwrap_or(1.0),
        work_hint: work_hint
            .map(|ms| (ms * 1000.0) as Micros)
            .filter(|hint| (1..=MAX_CLIENT_TIMEOUT).contains(hint)),
        key: key.map(Into::into),
        head: forwarded_head(&request),
        body: request.body,
    })
}

/// The values with one of these names in a list of `name=value` pairs.
fn values_of<'a>(list: &'a str, separator: char, names: &[&str]) -> impl Iterator<Item = &'a str> {
    let pairs = list.split(separator).filter_map(|pair| pair.trim().split_once('='));
    pairs.filter(|(name, _)| names.contains(name)).map(|(_, value)| value)
}

/// The request line and headers for the runner. Headers that concern one connection only (hop-by-hop) are
/// left out, and so are those that each forward sets anew: the length and the time left.
fn forwarded_head(request: &Request) -> Vec<u8> {
    const OMITTED_HEADERS: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
    ];
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
    for (name, value) in &request.headers {
        if !OMITTED_HEADERS.iter().any(|omitted| name.eq_ignore_ascii_case(omitted)) {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
    }
    head
}

impl ConnectionHandler for Clients {
    fn connected(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}

    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        let mut processed = 0;
        for _ in 0..MAX_REQUESTS_PER_TURN {
            match self.process_next(connection, &input[processed..], driver) {
                Some(used) => processed += used,
                None => return drop(input.drain(..processed)),
            }
        }
        drop(input.drain(..processed));
        driver.process_again(connection);
    }

    fn closed(
        &mut self,
        connection: ConnectionId,
        _: CloseReason,
        _: bool,
        _: &[u8],
        _: &mut dyn ConnectionDriver,
    ) {
        if let Some(ClientConnection { phase: Phase::AwaitingAnswer(id), .. }) =
            self.by_connection.remove(&connection)
        {
            self.events.push(ClientEvent::Disconnected(connection, id));
        }
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let Some(client) = self.by_connection.get(&connection) else { return };
        let now = driver.now();
        let complete_by = client.silent_since.unwrap_or(client.since) + REQUEST_TIMEOUT;
        let is_overdue = now >= complete_by;
        let end = match client.phase {
            Phase::Reading if is_overdue => CloseReason::SlowRequest,
            Phase::Idle if is_overdue && driver.has_unsent(connection) => CloseReason::SlowReader,
            Phase::Idle if is_overdue && client.silent_since.is_some() => CloseReason::Silent,
            Phase::Idle if now >= client.since + IDLE_TIMEOUT => CloseReason::Idle,
            // There is only one timer: a request that began after it was set is checked by the next one.
            Phase::Reading => return driver.set_timer(Timer::Connection(connection), complete_by),
            _ => return driver.set_timer(Timer::Connection(connection), now + REQUEST_TIMEOUT),
        };
        if !matches!(end, CloseReason::Idle | CloseReason::Silent) {
            self.by_connection.remove(&connection);
            driver.abort(connection, end);
        } else if !self.end_idle(connection, end, driver) {
            driver.set_timer(Timer::Connection(connection), now + REQUEST_TIMEOUT);
        }
    }

    fn has_surplus_input(&self, connection: ConnectionId) -> bool {
        let client = self.by_connection.get(&connection);
        client.is_some_and(|client| matches!(client.phase, Phase::AwaitingAnswer(_)))
    }

    fn release_buffers(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let Some(client) = self.by_connection.get(&connection) else { return };
        match client.phase {
            // The requests behind the one that is being served: its answer announces the close.
            Phase::AwaitingAnswer(_) => driver.discard_input(connection),
            Phase::Idle if driver.has_unsent(connection) => {
                self.by_connection.remove(&connection);
                driver.abort(connection, CloseReason::MemoryShort);
            }
            Phase::Idle | Phase::Reading => {
                self.reject(connection, HttpError(503, "memory_short"), driver);
            }
        }
    }
}
