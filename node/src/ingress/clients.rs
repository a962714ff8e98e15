//! Connections that others open to us: clients' invocations, runners' call-backs, and readiness.
//!
//! It owns what each such connection is about to say or is owed. It decodes an invocation or a call-back once
//! and hands it on; it must never judge one, and never answer an invocation but as it is told.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use topazsail::{Id, Micros, hash};

use crate::ingress::operations::Operations;
use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, Timer};
use crate::net::http::{self, HttpError, MESSAGE_MOST, Request, encode_answer};
use crate::net::log::log;

const READY: &str = "/healthz";
const CALL_BACKS: &str = "/v1/job-events";
/// A request that has begun must be whole by then, the first one so long after its connection was accepted.
const REQUEST_WITHIN: Micros = 2_500_000;
/// A newcomer that has asked nothing yet keeps its place for so long, however many others want it.
const NEWCOMER_KEPT: Micros = 250_000;
const IDLE_MOST: Micros = 120_000_000;
/// No client waits longer than an hour; it keeps due times far from the end of their type.
const TIMEOUT_MOST: Micros = 3_600_000_000;
/// An answer on its way when the client's time ends is as good as none.
const WAY_BACK: Micros = 20_000;
const ID_MOST: usize = 128;

#[derive(Debug)]
pub struct Invocation {
    pub connection: ConnectionId,
    pub id: Id,
    pub operation: usize,
    /// When the client gives up, less the way back.
    pub expires_at: Micros,
    pub slots: f64,
    /// Its work on a standard core, where the client tells.
    pub work_hint: Option<Micros>,
    pub key: Option<Id>,
    /// Request line and headers as they go to runners, but for the time left and the length.
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

/// What a runner tells of a job.
#[derive(Debug, Deserialize, Serialize)]
pub struct RunnerCallback {
    pub id: String,
    pub from: String,
    pub state: JobState,
    pub result: Option<String>,
    pub load: Option<serde_json::Value>,
}

#[derive(Debug)]
pub enum ClientEvent {
    Invocation(Invocation),
    /// With a hash of its bytes, by which a repeat may be known.
    RunnerCallback(RunnerCallback, u64),
    Disconnected(ConnectionId, Id),
}

enum Phase {
    Idle,
    /// A request has begun to come.
    Reading,
    Owed(Id),
}

struct Client {
    phase: Phase,
    since: Micros,
    /// From when the request that is being read counts: no later than it came.
    began: Micros,
    /// When it was accepted, until a first whole request has come.
    newcomer: Option<Micros>,
    keep: bool,
    /// Whether an invocation has come on it.
    invokes: bool,
    /// A runner's, for call-backs.
    caller: bool,
}

pub struct Clients {
    conns: BTreeMap<ConnectionId, Client>,
    pub operations: Operations,
    /// Nobody new is told that this dispatcher is ready, and then no connection is kept.
    draining: bool,
    letting_go: bool,
    /// Connections of all sides beyond these cost an idle client its place; beyond the second figure nobody
    /// is let in. The rest is kept back for runners and the watch.
    most: (usize, usize),
    pub events: Vec<ClientEvent>,
}

impl Clients {
    pub fn new() -> Clients {
        Clients {
            conns: BTreeMap::new(),
            operations: Operations::default(),
            draining: false,
            letting_go: false,
            most: (0, 0),
            events: Vec::new(),
        }
    }

    pub fn set_limits(&mut self, sockets: usize) {
        self.most = (sockets * 5 / 8, sockets * 3 / 4);
    }

    /// Whether one more can be let in. Room is made by ending one that only lingers, one that has not come to
    /// ask anything yet, or the one that has been idle longest; those that have brought invocations go last,
    /// as they will bring more.
    pub fn ensure_room(&mut self, driver: &mut dyn ConnectionDriver) -> bool {
        driver.connections() < self.most.0 || self.make_room(driver) || driver.connections() < self.most.1
    }

    /// Ends one connection that nothing is owed on, if there is any.
    pub fn make_room(&mut self, driver: &mut dyn ConnectionDriver) -> bool {
        if driver.end_lingering() {
            return true;
        }
        let now = driver.now();
        let rank = |(connection, client): (&ConnectionId, &Client)| match (&client.phase, client.newcomer) {
            (Phase::Idle | Phase::Reading, Some(at)) => {
                (now >= at + NEWCOMER_KEPT).then_some((0, at, *connection))
            }
            (Phase::Idle, None) => Some((1 + u8::from(client.invokes), client.since, *connection)),
            _ => None,
        };
        let mut idle: Vec<(u8, Micros, ConnectionId)> = self.conns.iter().filter_map(rank).collect();
        idle.sort_unstable();
        idle.iter().any(|(_, _, connection)| self.end_idle(*connection, CloseReason::MadeRoom, driver))
    }

    pub fn accepted(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let since = driver.now();
        let (phase, newcomer) = (Phase::Idle, Some(since));
        let client =
            Client { phase, since, began: since, newcomer, keep: true, invokes: false, caller: false };
        self.conns.insert(connection, client);
        driver.set_timer(Timer::Connection(connection), since + REQUEST_WITHIN);
    }

    /// The one final answer of an invocation.
    pub fn answer(
        &mut self,
        connection: ConnectionId,
        status: u16,
        come_back: Option<Micros>,
        body: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let more = come_back.map(|after| format!("Retry-After: {:.3}\r\n", after as f64 / 1e6));
        self.reply(connection, status, more.as_deref().unwrap_or_default(), body, !self.letting_go, driver);
    }

    fn reply(
        &mut self,
        connection: ConnectionId,
        status: u16,
        more: &str,
        body: &[u8],
        may_keep: bool,
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(client) = self.conns.get_mut(&connection) else { return };
        let keep = client.keep && may_keep && !driver.has_overflowed(connection);
        driver.send(connection, &encode_answer(status, more, body, keep));
        client.phase = Phase::Idle;
        client.since = driver.now();
        if keep {
            driver.process_again(connection);
        } else {
            self.conns.remove(&connection);
            driver.finish(
                connection,
                if may_keep { CloseReason::AnsweredLast } else { CloseReason::Terminated },
            );
        }
    }

    /// Whether whoever asks is told that this dispatcher is ready, from now on.
    pub fn set_ready(&mut self, ready: bool) {
        self.draining = !ready;
    }

    /// Whether each connection ends with its next answer, as another process goes on from here.
    pub fn set_handed_over(&mut self, gone: bool) {
        self.letting_go = gone;
    }

    /// From now on clients' connections are not kept, and idle ones end; runners may still have something to
    /// tell on theirs.
    pub fn drain(&mut self, driver: &mut dyn ConnectionDriver) {
        self.letting_go = true;
        let idle = |client: &Client| matches!(client.phase, Phase::Idle) && !client.caller;
        let links: Vec<ConnectionId> =
            self.conns.iter().filter(|(_, c)| idle(c)).map(|(connection, _)| *connection).collect();
        for connection in links {
            self.end_idle(connection, CloseReason::Terminated, driver);
        }
    }

    /// Ends a connection between requests. Where one has just come it is read first: to end the connection
    /// would be to lose what was taken.
    fn end_idle(
        &mut self,
        connection: ConnectionId,
        end: CloseReason,
        driver: &mut dyn ConnectionDriver,
    ) -> bool {
        if driver.unsent(connection) || !driver.is_reusable(connection) {
            return false;
        }
        self.conns.remove(&connection);
        driver.abort(connection, end);
        true
    }

    /// Whether some client still has a connection: what comes on it would have been taken.
    pub fn has_clients(&self) -> bool {
        self.conns.values().any(|client| !client.caller || !matches!(client.phase, Phase::Idle))
    }

    pub fn reject(
        &mut self,
        connection: ConnectionId,
        HttpError(status, why): HttpError,
        driver: &mut dyn ConnectionDriver,
    ) {
        log!("bad-request", "link={connection} status={status} reason={why}");
        driver.send(connection, &encode_answer(status, "", why.as_bytes(), false));
        self.conns.remove(&connection);
        driver.finish(connection, CloseReason::BadInput);
    }

    fn take(
        &mut self,
        connection: ConnectionId,
        request: Request,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), HttpError> {
        let Some(client) = self.conns.get_mut(&connection) else { return Ok(()) };
        (client.keep, client.newcomer) = (request.keep, None);
        match (request.path(), request.method) {
            (READY, "GET") => {
                let status = if self.draining { 503 } else { 200 };
                self.answer(connection, status, None, b"", driver);
            }
            (CALL_BACKS, "POST") => {
                let told =
                    serde_json::from_slice(&request.body).map_err(|_| HttpError(400, "bad_call_back"))?;
                client.caller = true;
                self.events.push(ClientEvent::RunnerCallback(told, hash(&request.body)));
                // Its runner needs the connection for the calls to come, also while we go down.
                self.reply(connection, 200, "", b"", true, driver);
            }
            (READY | CALL_BACKS, _) => return Err(HttpError(405, "wrong_method")),
            (path, method) => {
                // One slash and the operation: a runner may read other forms otherwise than we do.
                let name = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
                let operation = self.operations.number(name, driver.now());
                let operation = operation.ok_or(HttpError(404, "unknown_operation"))?;
                if method != "POST" {
                    return Err(HttpError(405, "wrong_method"));
                }
                let invocation = invocation(connection, operation, client.began, request)?;
                client.phase = Phase::Owed(invocation.id.clone());
                client.invokes = true;
                self.events.push(ClientEvent::Invocation(invocation));
            }
        }
        Ok(())
    }
}

fn invocation(
    connection: ConnectionId,
    operation: usize,
    began: Micros,
    request: Request,
) -> Result<Invocation, HttpError> {
    let id = request.only("x-request-id")?.ok_or(HttpError(400, "missing_id"))?;
    // It stands in the path of a cancel, so that nothing may need escaping there.
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:~".contains(&byte);
    if id.is_empty() || id.len() > ID_MOST || !id.bytes().all(plain) {
        return Err(HttpError(400, "bad_id"));
    }
    let timeout = request.only("x-deadline-ms")?.ok_or(HttpError(400, "missing_timeout"))?;
    let digits = timeout.bytes().all(|byte| byte.is_ascii_digit());
    let timeout = timeout.parse().ok().filter(|_| digits).and_then(|ms: Micros| ms.checked_mul(1000));
    let timeout = timeout.filter(|timeout| *timeout <= TIMEOUT_MOST).ok_or(HttpError(400, "bad_timeout"))?;
    request.only("idempotency-key")?;
    if request.target.bytes().any(|byte| byte == b'#' || !byte.is_ascii_graphic()) {
        return Err(HttpError(400, "bad_target"));
    }
    let extras = request.only("x-extras")?.unwrap_or_default();
    let slots = named(extras, ',', &["slots", "width"]).find_map(|value| value.parse::<f64>().ok());
    let hint = request.only("x-cost-hint")?.and_then(|hint| hint.trim().parse::<f64>().ok());
    let cookies = request.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("cookie"));
    let mut cookies = cookies.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    let key = cookies.find_map(|value| named(value, ';', &["sid"]).next());
    Ok(Invocation {
        connection,
        id: id.into(),
        operation,
        expires_at: began + timeout - WAY_BACK,
        slots: slots.filter(|slots| slots.is_finite() && *slots > 0.0).unwrap_or(1.0),
        work_hint: hint.map(|ms| (ms * 1000.0) as Micros).filter(|hint| (1..=TIMEOUT_MOST).contains(hint)),
        key: key.map(Into::into),
        head: forwarded_head(&request),
        body: request.body,
    })
}

/// The values that go by one of these names in a list of `name=value`.
fn named<'a>(list: &'a str, between: char, names: &[&str]) -> impl Iterator<Item = &'a str> {
    let pairs = list.split(between).filter_map(|pair| pair.trim().split_once('='));
    pairs.filter(|(name, _)| names.contains(name)).map(|(_, value)| value)
}

/// Everything that is meant for the runner, unchanged; what concerns one connection only stays here.
fn forwarded_head(request: &Request) -> Vec<u8> {
    const OURS: [&str; 10] = [
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
        if !OURS.iter().any(|ours| name.eq_ignore_ascii_case(ours)) {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
    }
    head
}

impl ConnectionHandler for Clients {
    fn up(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}

    fn bytes(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        while let Some(client) = self.conns.get_mut(&connection) {
            // Whoever does not read what it is owed is read no further: answers would pile up.
            if input.is_empty() || matches!(client.phase, Phase::Owed(_)) || driver.unsent(connection) {
                return;
            }
            if driver.has_overflowed(connection) {
                return self.reject(connection, HttpError(413, "message_too_long"), driver);
            }
            if matches!(client.phase, Phase::Idle) {
                client.phase = Phase::Reading;
                client.since = driver.now();
                // Its time runs from when it came, however long it has waited to be read or looked at.
                client.began = driver.arrived(connection);
            }
            let used = match http::request(input) {
                Ok(None) if input.len() >= MESSAGE_MOST => Err(HttpError(413, "message_too_long")),
                Ok(None) => return,
                Ok(Some((request, used))) => self.take(connection, request, driver).map(|()| used),
                Err(fault) => Err(fault),
            };
            match used {
                Ok(used) => drop(input.drain(..used)),
                Err(fault) => return self.reject(connection, fault, driver),
            }
        }
    }

    fn ended(
        &mut self,
        connection: ConnectionId,
        _: CloseReason,
        _: bool,
        _: &[u8],
        _: &mut dyn ConnectionDriver,
    ) {
        if let Some(Client { phase: Phase::Owed(id), .. }) = self.conns.remove(&connection) {
            self.events.push(ClientEvent::Disconnected(connection, id));
        }
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let Some(client) = self.conns.get(&connection) else { return };
        let now = driver.now();
        let whole_by = client.newcomer.unwrap_or(client.since) + REQUEST_WITHIN;
        let overdue = now >= whole_by;
        let end = match client.phase {
            Phase::Reading if overdue => CloseReason::SlowRequest,
            Phase::Idle if overdue && driver.unsent(connection) => CloseReason::SlowReader,
            Phase::Idle if overdue && client.newcomer.is_some() => CloseReason::Silent,
            Phase::Idle if now >= client.since + IDLE_MOST => CloseReason::Idle,
            // One look at a time is asked for: a request that has begun since the last one is in time for it.
            Phase::Reading => return driver.set_timer(Timer::Connection(connection), whole_by),
            _ => return driver.set_timer(Timer::Connection(connection), now + REQUEST_WITHIN),
        };
        if !matches!(end, CloseReason::Idle | CloseReason::Silent) {
            self.conns.remove(&connection);
            driver.abort(connection, end);
        } else if !self.end_idle(connection, end, driver) {
            driver.set_timer(Timer::Connection(connection), now + REQUEST_WITHIN);
        }
    }
}
