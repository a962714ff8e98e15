//! Scenarios: the description of a run, read from TOML.
//!
//! This module defines the format of that file and all bounds on its values. Nothing is guessed: an unknown
//! field, a missing one, a value out of range or a time span without a unit is an error that names file, line
//! and field.

use std::fmt;
use std::fs;
use std::path::Path;

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use topazsail::Micros;

use crate::disks::{DiskFault, DiskState};

/// A time span, written with its unit (`250ms`, `2s`); whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

/// The longest time span, a day in microseconds: no run and no part of one takes longer.
const MAX_SPAN: Micros = 86_400_000_000;

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let span = std::time::Duration::from_micros(self.0.max(0) as u64);
        to.collect_str(&humantime::format_duration(span))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        struct SpanVisitor;
        impl Visitor<'_> for SpanVisitor {
            type Value = Span;

            fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
                to.write_str("a span with its unit, such as \"250ms\" or \"2s\"")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Span, E> {
                let span = humantime::parse_duration(text)
                    .map_err(|error| E::custom(format!("bad span '{text}': {error}")))?;
                match Micros::try_from(span.as_micros()) {
                    Ok(span) if span <= MAX_SPAN => Ok(Span(span)),
                    _ => Err(E::custom(format!("the span '{text}' is longer than a day"))),
                }
            }
        }
        from.deserialize_str(SpanVisitor)
    }
}

/// Reads a number within bounds; the error names the value and both bounds.
fn bounded<'de, D: Deserializer<'de>>(from: D, least: f64, most: f64) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(de::Error::custom(format!("{value} is not within {least} to {most}")))
    }
}

/// Reads a share from 0 to 1.
fn share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    bounded(from, 0.0, 1.0)
}

/// Reads a factor from 0.001 to a million.
fn factor<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    bounded(from, 1e-3, 1e6)
}

/// Reads an amount from 0 to a million.
fn amount<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    bounded(from, 0.0, 1e6)
}

/// Reads a count from 1 to 100000.
fn count<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    let value = u32::deserialize(from)?;
    if (1..=100_000).contains(&value) {
        Ok(value)
    } else {
        Err(de::Error::custom(format!("{value} is not within 1 to 100000")))
    }
}

/// A run: its deployment, its clients and its faults.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// How long clients send new requests; a run goes on until all are answered.
    pub length: Span,
    #[serde(default = "one")]
    pub seed: u64,
    #[serde(deserialize_with = "count")]
    pub dispatchers: u32,
    #[serde(default)]
    pub zones: Zones,
    /// The pools of runners, by machine type.
    pub pool: Vec<Pool>,
    pub operation: Vec<Operation>,
    pub clients: Clients,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub reports: Reports,
    #[serde(default)]
    pub limits: Limits,
    /// What dispatchers store over a restart, and who calls their admin interface; without it nothing is
    /// stored and nobody calls. In virtual time only the stages of a start are played, with a disk that is
    /// read at once; admin calls, disk faults and the real peer protocol are played on sockets only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<Store>,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// Each dispatcher has a store directory, and operators take runners out and back in by admin overrides.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Store {
    /// Whether a dispatcher refuses to start without a usable store.
    #[serde(default)]
    pub require: bool,
    /// Whether dispatchers exchange messages as peers.
    #[serde(default)]
    pub peers: bool,
    /// Interval between admin calls on a runner, at any dispatcher (0 s: none).
    #[serde(default)]
    pub hands_every: Span,
    /// Whether a dispatcher is excused for forgetting what neither its disk nor a peer could tell it.
    #[serde(default = "Store::excused")]
    pub excused: bool,
    /// Whether runners are taken back in again.
    #[serde(default = "Store::back")]
    pub back: bool,
    /// How many runners may be taken out by overrides at once.
    #[serde(default = "Store::most")]
    pub out_most: u32,
}

impl Store {
    fn most() -> u32 {
        1
    }

    fn excused() -> bool {
        true
    }

    fn back() -> bool {
        true
    }
}

fn one() -> u64 {
    1
}

/// A scenario with a base: each field that it names replaces that whole field of the base. The description
/// and the faults are not taken from the base.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Overlay {
    /// File name of the base, in the same directory.
    base: String,
    name: String,
    about: Option<String>,
    length: Option<Span>,
    seed: Option<u64>,
    #[serde(default, deserialize_with = "some_count")]
    dispatchers: Option<u32>,
    zones: Option<Zones>,
    pool: Option<Vec<Pool>>,
    operation: Option<Vec<Operation>>,
    clients: Option<Clients>,
    discovery: Option<Discovery>,
    reports: Option<Reports>,
    limits: Option<Limits>,
    store: Option<Store>,
    #[serde(default)]
    fault: Vec<Fault>,
}

fn some_count<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
    count(from).map(Some)
}

impl Overlay {
    fn apply_to(self, base: Scenario) -> Scenario {
        Scenario {
            name: self.name,
            about: self.about.unwrap_or_default(),
            length: self.length.unwrap_or(base.length),
            seed: self.seed.unwrap_or(base.seed),
            dispatchers: self.dispatchers.unwrap_or(base.dispatchers),
            zones: self.zones.unwrap_or(base.zones),
            pool: self.pool.unwrap_or(base.pool),
            operation: self.operation.unwrap_or(base.operation),
            clients: self.clients.unwrap_or(base.clients),
            discovery: self.discovery.unwrap_or(base.discovery),
            reports: self.reports.unwrap_or(base.reports),
            limits: self.limits.unwrap_or(base.limits),
            store: self.store.or(base.store),
            fault: self.fault,
        }
    }
}

/// The zones and the links between them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Zones {
    pub names: Vec<String>,
    /// One-way delay within a zone.
    pub within: Span,
    /// One-way delay between two zones.
    pub between: Span,
    /// One-way delay between clients and their dispatchers.
    pub client: Span,
    /// By how much a delay may exceed its value, as a share of it.
    #[serde(deserialize_with = "share")]
    pub jitter: f64,
}

impl Default for Zones {
    fn default() -> Zones {
        let (within, between, client) = (Span(200), Span(6_000), Span(500));
        Zones { names: vec!["east".into(), "west".into()], within, between, client, jitter: 0.2 }
    }
}

/// Runners of one machine type, assigned to the zones in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    pub kind: String,
    #[serde(deserialize_with = "count")]
    pub count: u32,
    #[serde(deserialize_with = "count")]
    pub slots: u32,
    /// Queue places; a forward that exceeds them is rejected and certainly does not run.
    pub queue: u32,
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub speed: f64,
    /// Spread of the runners' speeds, as a coefficient of variation.
    #[serde(default, deserialize_with = "share")]
    pub speed_spread: f64,
    /// Cost of a new connection: work on one slot of the runner, and extra time for the first request on it.
    #[serde(default)]
    pub handshake: Span,
    /// Limit of open connections per runner.
    #[serde(default = "Pool::connections", deserialize_with = "count")]
    pub connections: u32,
}

impl Pool {
    fn speed() -> f64 {
        1.0
    }

    fn connections() -> u32 {
        400
    }
}

/// Whether an operation may run more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    #[default]
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// The runners that recognise a repeat of a deduplicated invocation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    #[default]
    All,
    Zone,
    Cell,
}

/// Distribution of the work of an operation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    Fixed,
    #[default]
    Exponential,
    /// With the coefficient of variation `cv`.
    Lognormal,
}

/// An operation that clients request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operation {
    pub name: String,
    /// Weight of the operation among all invocations.
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub share: f64,
    /// Mean work: the time that an invocation takes on one slot of a warm runner of speed 1.
    pub work: Span,
    #[serde(default)]
    pub shape: Shape,
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub cv: f64,
    #[serde(default)]
    pub effect: Effect,
    /// Which runners recognise a repeat, for deduplicated operations.
    #[serde(default)]
    pub group: DeduplicationScope,
    /// How long runners recognise a repeat, for deduplicated operations.
    #[serde(default)]
    pub memory_span: Span,
    pub latency_objective: Span,
    pub client_timeout: Span,
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub billed_value: f64,
    /// The value of an answer after the latency objective, as a share of the billed value.
    #[serde(default, deserialize_with = "share")]
    pub late_share: f64,
    /// Number of distinct keys, drawn from a Zipf distribution; 0 for no keys.
    #[serde(default)]
    pub keys: u32,
    /// The only machine type that runs the operation; any type if it is missing.
    #[serde(default)]
    pub kind: Option<String>,
}

/// How the arrival rate changes over time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// A constant mean rate.
    #[default]
    Poisson,
    /// Half of the time at `1 + swing` of the mean rate, half at `1 - swing`, alternating about every
    /// `period`.
    Bursts,
    /// A sine of `period` and `swing`: a shortened day.
    Daily,
}

/// The clients: how much they send and when they retry.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Clients {
    /// Offered work, as a share of the capacity of all runners when warm and without faults.
    #[serde(deserialize_with = "factor")]
    pub load: f64,
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Relative change of the rate in `bursts` and `daily`.
    #[serde(default, deserialize_with = "share")]
    pub swing: f64,
    /// Period of `bursts` and `daily`.
    #[serde(default = "Clients::period")]
    pub period: Span,
    /// Exponent of the Zipf distribution of keys.
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub zipf: f64,
    /// Retries after the first attempt, made only where a repeat is harmless.
    #[serde(default)]
    pub retries: u32,
    /// Mean wait before the first retry; it doubles with each further one.
    #[serde(default = "Clients::wait")]
    pub retry_wait: Span,
    /// Share of clients that obey a Retry-After.
    #[serde(default, deserialize_with = "share")]
    pub honour: f64,
    /// Share of requests whose client closes its connection before the answer; on sockets only.
    #[serde(default, deserialize_with = "share", skip_serializing_if = "is_zero")]
    pub leaves: f64,
    /// How long the front end goes on sending to a dispatcher that has died.
    #[serde(default = "Clients::notice")]
    pub front_notice: Span,
}

fn is_zero(share: &f64) -> bool {
    *share == 0.0
}

impl Clients {
    fn period() -> Span {
        Span(10_000_000)
    }

    fn wait() -> Span {
        Span(100_000)
    }

    fn notice() -> Span {
        Span(2_000_000)
    }
}

/// The discovery service and its delays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Discovery {
    /// Delay from a change, such as the end of a process, until it is written to subscribers.
    pub notice: Span,
    /// The same for a machine that becomes silent.
    pub silent_notice: Span,
    /// Processing time of one call; the service handles calls one after the other.
    pub call: Span,
    /// The longest time that a call may wait.
    pub call_most: Span,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery {
            notice: Span(1_000_000),
            silent_notice: Span(6_000_000),
            call: Span(1_000),
            call_most: Span(3_000_000),
        }
    }
}

/// Load and progress reports of runners.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Reports {
    /// Age of a load report when it is read.
    pub delay: Span,
    /// Interval of progress reports; runners then also report starts (0 s: neither).
    pub progress: Span,
}

impl Default for Reports {
    fn default() -> Reports {
        Reports { delay: Span(0), progress: Span(1_000_000) }
    }
}

/// What the installation allows, and the parameters of the deployment rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Most forwards of one invocation.
    #[serde(deserialize_with = "count")]
    pub most_forwards: u32,
    /// Whether runners can cancel.
    pub cancel: bool,
    /// Whether runners answer probes.
    pub probes: bool,
    /// Largest Retry-After (0 s: none is given).
    pub come_back_most: Span,
    pub dial_timeout: Span,
    pub probe_timeout: Span,
    /// How long after its notification a dispatcher may still forward to a draining runner.
    pub drain_grace: Span,
    /// After this time a roster change counts as known to every dispatcher.
    pub ask_within: Span,
    /// Share of its full capacity that a runner has when it starts.
    #[serde(deserialize_with = "share")]
    pub cold_from: f64,
    /// Time from its start until a runner has its full capacity.
    pub warm_within: Span,
    /// A cold runner's budget is this factor times the work that it can do in `tip_after`.
    #[serde(deserialize_with = "factor")]
    pub overload_factor: f64,
    /// The span over which a cold runner's budget applies.
    pub tip_after: Span,
    /// Whether a forward to another zone has a price.
    pub crossing_priced: bool,
    /// Whether a new connection has a price.
    pub connection_priced: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            most_forwards: 3,
            cancel: true,
            probes: true,
            come_back_most: Span(2_000_000),
            dial_timeout: Span(250_000),
            probe_timeout: Span(250_000),
            drain_grace: Span(500_000),
            ask_within: Span(10_000_000),
            cold_from: 0.2,
            warm_within: Span(12_000_000),
            overload_factor: 3.0,
            tip_after: Span(2_000_000),
            crossing_priced: true,
            connection_priced: true,
        }
    }
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies and is back, cold, after `lasts`.
    Crash,
    /// The runner takes work and sends nothing for `lasts`.
    Hang,
    /// The process pauses for `size` milliseconds, repeatedly, about once a second.
    Pauses,
    /// The runner is slower by the factor `size`.
    Slow,
    /// A share `size` of what the runner is sent fails at once.
    FastErrors,
    /// A share `size` of what the runner is sent is accepted and never finishes.
    Loses,
    /// Load reports of all runners are older by `size` milliseconds.
    LateReports,
    /// The links between `zone` and the others carry nothing for `lasts`; messages are held until then.
    ZoneCut,
    /// What is sent from `zone` to others is held for `lasts`; what is sent to it arrives.
    ZoneMute,
    /// All runners in `zone` become silent at once and are back, cold, after `lasts`.
    ZoneLoss,
    /// Calls and subscriptions at discovery fail for `lasts`.
    DiscoveryDown,
    /// Every affected runner drains and restarts as a new process, a few at a time, over `lasts`.
    Deploy,
    /// Dispatchers are ended with SIGTERM (`roll-term`) or SIGKILL (`roll-kill`), one after the other over
    /// `lasts`.
    RollTerm,
    RollKill,
    /// Every dispatcher reads its configuration again.
    Reload,
    /// Clients send malformed requests, `size` of them a second.
    BadClients,
    /// Dispatchers are killed at once. They are back after `lasts`, in random order within `spread`; a share
    /// `away` of them never is.
    Kill,
    /// Dispatchers are suspended (SIGSTOP) and resume after `lasts` with all their state.
    Freeze,
    /// Every machine of `zone`, or of the whole site, is without power for `lasts`: runners are back cold,
    /// dispatchers as after `kill`, and discovery with the first zone.
    PowerLoss,
    /// Datagrams from and to a share `part` of the dispatchers are disturbed as `link` says.
    Link,
    /// The disks of some dispatchers have the fault that `wrong` names (`size` milliseconds a sync for
    /// `slow`).
    Disk,
}

impl FaultKind {
    /// Whether it affects dispatchers: `part` is then a share of them.
    pub fn of_dispatchers(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Freeze | FaultKind::Disk | FaultKind::Link)
    }
}

/// A fault: its kind, when it begins, how long it lasts and what it affects.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    pub kind: FaultKind,
    pub at: Span,
    #[serde(default)]
    pub lasts: Span,
    /// The share of runners, or of dispatchers, that is affected.
    #[serde(default = "Fault::part", deserialize_with = "share")]
    pub part: f64,
    /// The size of the fault; its unit depends on the kind.
    #[serde(default, deserialize_with = "amount")]
    pub size: f64,
    /// Affects only this operation, for kinds that affect operations.
    #[serde(default)]
    pub operation: Option<String>,
    /// Only this zone; required for `zone-cut`, `zone-mute` and `zone-loss`.
    #[serde(default)]
    pub zone: Option<String>,
    /// Killed dispatchers are back within this span after the first.
    #[serde(default)]
    pub spread: Span,
    /// The share of killed dispatchers that is not back in this run.
    #[serde(default, deserialize_with = "share")]
    pub away: f64,
    /// The state in which killed dispatchers find their disks; `old` is the state `size` ms before they were
    /// killed.
    #[serde(default)]
    pub disk: DiskState,
    /// The disk fault, for the kind `disk`.
    #[serde(default)]
    pub wrong: Option<DiskFault>,
    /// The link fault, for the kind `link`.
    #[serde(default)]
    pub link: Option<LinkFaultKind>,
}

/// How datagrams between dispatchers are disturbed; `size` is a share, or milliseconds where it is a time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// No datagram passes in either direction.
    Cut,
    /// No datagram that the affected dispatchers send passes.
    OneWay,
    /// A share is lost, duplicated or reordered.
    Loss,
    Repeat,
    Reorder,
    /// Each datagram is later by `size` ms.
    Delay,
    /// Cut for `size` ms, connected for as long, and so on.
    Flap,
}

impl Fault {
    fn part() -> f64 {
        0.2
    }
}

/// The line, from 1, that contains the byte `at` of `text`.
fn line_of(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|byte| *byte == b'\n').count()
}

/// The line of the `nth` table `[[name]]`: the position of an error that concerns a whole table.
fn table_line(text: &str, name: &str, nth: usize) -> usize {
    let head = format!("[[{name}]]");
    let lines = text.lines().enumerate().filter(|(_, line)| line.trim() == head);
    lines.map(|(at, _)| at + 1).nth(nth).unwrap_or(1)
}

fn has_base(text: &str) -> bool {
    text.parse::<toml::Table>().is_ok_and(|table| table.contains_key("base"))
}

fn parse_toml<T: serde::de::DeserializeOwned>(name: &str, text: &str) -> Result<T, String> {
    toml::from_str(text).map_err(|error| {
        let line = line_of(text, error.span().map_or(0, |span| span.start));
        let message = error.message().lines().next().unwrap_or("not a scenario").to_owned();
        // Adds the field where the message does not name it.
        let field = text.lines().nth(line - 1).and_then(|line| line.split_once('='));
        let field = field.map(|(field, _)| field.trim()).filter(|field| !message.contains(field));
        format!("{name}:{line}: {}{message}", field.map_or(String::new(), |field| format!("{field}: ")))
    })
}

impl Scenario {
    /// The mean work of an invocation, in microseconds.
    pub fn mean_work(&self) -> f64 {
        let total: f64 = self.operation.iter().map(|op| op.share).sum();
        self.operation.iter().map(|op| op.share / total * op.work.0 as f64).sum()
    }

    /// Reads and validates a file; an error is one line: `FILE:LINE: what and which field`.
    pub fn load(path: &Path) -> Result<Scenario, String> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
        if !has_base(&text) {
            return Scenario::parse(&name, &text);
        }
        let overlay: Overlay = parse_toml(&name, &text)?;
        let base = path.with_file_name(&overlay.base);
        let base_name = base.display().to_string();
        let base_text =
            fs::read_to_string(&base).map_err(|error| format!("{name}: base {base_name}: {error}"))?;
        if has_base(&base_text) {
            return Err(format!("{name}: base {base_name} has a base itself, which is not supported"));
        }
        let scenario = overlay.apply_to(Scenario::parse(&base_name, &base_text)?);
        scenario.validated(&name, &text)
    }

    /// Parses a scenario without a base; `name` is used in error messages.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, String> {
        parse_toml::<Scenario>(name, text)?.validated(name, text)
    }

    fn validated(self, name: &str, text: &str) -> Result<Scenario, String> {
        self.check().map_err(|(table, nth, fault)| {
            let line = if table.is_empty() { 1 } else { table_line(text, table, nth) };
            format!("{name}:{line}: {fault}")
        })?;
        Ok(self)
    }

    /// Checks the constraints that concern several fields. An error has the table's name, its number and the
    /// text; an empty name stands for the whole file.
    fn check(&self) -> Result<(), (&'static str, usize, String)> {
        let file_error = |fault: &str| Err(("", 0, fault.to_owned()));
        if self.length.0 < 1_000_000 {
            return file_error("length is under 1s");
        }
        if self.zones.names.is_empty() || self.zones.names.len() > 64 {
            return file_error("zones.names must name 1 to 64 zones");
        }
        if self.pool.is_empty() || self.operation.is_empty() {
            return file_error("at least one [[pool]] and one [[operation]] are needed");
        }
        let runners: u64 = self.pool.iter().map(|pool| u64::from(pool.count)).sum();
        if runners > 100_000 {
            return file_error("pools hold more than 100000 runners");
        }
        for (nth, op) in self.operation.iter().enumerate() {
            let table_error =
                |fault: String| Err(("operation", nth, format!("operation {}: {fault}", op.name)));
            if op.name.is_empty() || !op.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
                return table_error("name must hold letters, digits and '-'".to_owned());
            }
            if op.work.0 < 1 || op.latency_objective.0 < 1 {
                return table_error("work and latency-objective must be above 0s".to_owned());
            }
            if op.client_timeout < op.latency_objective {
                return table_error("client-timeout lies under latency-objective".to_owned());
            }
            if op.effect == Effect::Deduplicated && op.memory_span.0 < 1 {
                return table_error("deduplicated without memory-span".to_owned());
            }
            if let Some(kind) = op.kind.as_ref().filter(|kind| !self.pool.iter().any(|p| p.kind == **kind)) {
                return table_error(format!("no pool has the kind '{kind}'"));
            }
        }
        for (nth, fault) in self.fault.iter().enumerate() {
            let table_error = |text: String| Err(("fault", nth, format!("fault {:?}: {text}", fault.kind)));
            if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.zones.names.contains(zone)) {
                return table_error(format!("there is no zone '{zone}'"));
            }
            if matches!(fault.kind, FaultKind::ZoneCut | FaultKind::ZoneMute | FaultKind::ZoneLoss)
                && fault.zone.is_none()
            {
                return table_error("zone is missing".to_owned());
            }
            if let Some(name) = fault.operation.as_ref()
                && !self.operation.iter().any(|op| op.name == *name)
            {
                return table_error(format!("there is no operation '{name}'"));
            }
            let needs_duration = !matches!(fault.kind, FaultKind::Reload);
            if needs_duration && fault.lasts.0 < 1 {
                return table_error("lasts is missing".to_owned());
            }
            let needs_size = matches!(
                fault.kind,
                FaultKind::Pauses
                    | FaultKind::Slow
                    | FaultKind::FastErrors
                    | FaultKind::Loses
                    | FaultKind::LateReports
                    | FaultKind::BadClients
            );
            if needs_size && fault.size <= 0.0 {
                return table_error("size is missing".to_owned());
            }
            if matches!(fault.kind, FaultKind::FastErrors | FaultKind::Loses) && fault.size > 1.0 {
                return table_error("size is a share, 1 at most".to_owned());
            }
            let kills = matches!(fault.kind, FaultKind::Kill | FaultKind::PowerLoss);
            if !kills && (fault.spread.0 > 0 || fault.away > 0.0) {
                return table_error("spread and away are for what kills dispatchers".to_owned());
            }
            if !kills && fault.disk != DiskState::Kept {
                return table_error("disk is for what kills dispatchers".to_owned());
            }
            if (fault.kind == FaultKind::Disk || fault.disk != DiskState::Kept) && self.store.is_none() {
                return table_error("there is no [store]".to_owned());
            }
            if (fault.kind == FaultKind::Disk) != fault.wrong.is_some() {
                return table_error("wrong is for the kind disk, and missing there".to_owned());
            }
            if (fault.kind == FaultKind::Link) != fault.link.is_some() {
                return table_error("link is for the kind link, and missing there".to_owned());
            }
            if fault.kind == FaultKind::Link && !self.store.as_ref().is_some_and(|store| store.peers) {
                return table_error("there are no peers in [store]".to_owned());
            }
            let is_share = matches!(
                fault.link,
                Some(LinkFaultKind::Loss | LinkFaultKind::Repeat | LinkFaultKind::Reorder)
            );
            let needs_size =
                is_share || matches!(fault.link, Some(LinkFaultKind::Delay | LinkFaultKind::Flap));
            if needs_size && (fault.size <= 0.0 || is_share && fault.size > 1.0) {
                return table_error("size is missing, or no share".to_owned());
            }
            if (fault.disk == DiskState::Old || fault.wrong == Some(DiskFault::Slow)) && fault.size <= 0.0 {
                return table_error("size is missing".to_owned());
            }
            if fault.at.0 > self.length.0 {
                return table_error("at lies after the end".to_owned());
            }
        }
        Ok(())
    }

    /// Number of runners in all pools.
    pub fn runners(&self) -> usize {
        self.pool.iter().map(|pool| pool.count as usize).sum()
    }

    /// The configuration file of a dispatcher in this scenario, in the platform's format, for both clocks.
    /// The addresses are those of the emulated services; in virtual time they are never used.
    pub fn configuration(&self, parameters: &DispatcherParameters) -> String {
        let us = |span: Span| span.0;
        let operations: Vec<_> = self
            .operation
            .iter()
            .map(|op| {
                let effect = match op.effect {
                    Effect::Idempotent => "idempotent",
                    Effect::Deduplicated => "deduplicated",
                    Effect::NonIdempotent => "at_most_once",
                };
                let group = match op.group {
                    DeduplicationScope::All => "all",
                    DeduplicationScope::Zone => "zone",
                    DeduplicationScope::Cell => "cell",
                };
                serde_json::json!({
                    "name": op.name, "effect": effect, "group": group, "memorySpan": us(op.memory_span),
                    "latencyObjective": us(op.latency_objective), "clientTimeout": us(op.client_timeout),
                    "billedValue": op.billed_value, "lateBilledValue": op.late_share, "stream": false,
                })
            })
            .collect();
        let kinds: Vec<&str> = self.pool.iter().map(|pool| pool.kind.as_str()).collect();
        let kind = |op: &Operation| {
            let nth = op.kind.as_ref().and_then(|kind| kinds.iter().position(|known| known == kind));
            nth.map_or(-1, |nth| nth as i64)
        };
        let limits = &self.limits;
        let priced = |priced: bool| if priced { 0.05 } else { 0.0 };
        let settings = serde_json::json!({
            "balancers": self.dispatchers, "selfIndex": parameters.number, "myZone": parameters.zone,
            "registryMode": "subscribe", "kinds": kinds, "localities": self.zones.names,
            "operations": operations, "weights": "off", "tick": 5000,
            "familyInfo": {
                "classKind": self.operation.iter().map(kind).collect::<Vec<_>>(),
                "progress": us(self.reports.progress), "reportX0": "free slots", "tellsStart": false,
            },
            "report": {"fields": ["x0", "backlog", "outstanding"], "how": "inline"},
            "limits": {
                "cancel": limits.cancel, "probes": limits.probes, "mostForwards": limits.most_forwards,
                "dialTimeout": us(limits.dial_timeout), "idleClose": 60_000_000, "openCap": 20_000,
                "retryAfter": limits.come_back_most.0 > 0, "maxRetryAfter": us(limits.come_back_most),
            },
            "invariants": {
                "askWithin": us(limits.ask_within), "coldFrom": limits.cold_from,
                "warmWithin": us(limits.warm_within), "overloadFactor": limits.overload_factor,
                "tipAfter": us(limits.tip_after), "drainGrace": us(limits.drain_grace),
            },
            "prices": {
                "crossZone": priced(limits.crossing_priced), "handshake": priced(limits.connection_priced),
                "connection": priced(limits.connection_priced),
            },
        });
        let configuration = serde_json::json!({
            "name": format!("d{}", parameters.number),
            "listen": parameters.listen, "discovery": parameters.discovery,
            "seed": format!("{:x}", parameters.seed), "limits": {"memory_mb": 192, "sockets": 1024},
            "known": parameters.known, "settings": settings,
        });
        let mut configuration = configuration;
        if let (Some(store), Some(dispatcher_store)) = (&self.store, &parameters.store) {
            configuration["admin_addr"] = dispatcher_store.admin.as_str().into();
            configuration["store"] =
                serde_json::json!({"folder": dispatcher_store.folder, "require": store.require});
            if let Some((listen, members)) = &dispatcher_store.peers {
                let member = |(name, at): &(String, String)| serde_json::json!({"name": name, "address": at});
                let members: Vec<_> = members.iter().map(member).collect();
                configuration["peers"] = serde_json::json!({"listen": listen, "members": members});
            }
        }
        configuration.to_string()
    }
}

/// What differs between the configurations of two dispatchers.
pub struct DispatcherParameters {
    pub number: u32,
    pub zone: String,
    pub seed: u64,
    pub listen: String,
    pub discovery: String,
    /// The roster that this dispatcher last had, in discovery's format.
    pub known: serde_json::Value,
    /// Its store and admin address, where the scenario has a store.
    pub store: Option<StoreParameters>,
}

/// Store directory, admin address and peers of one dispatcher.
pub struct StoreParameters {
    pub folder: String,
    pub admin: String,
    /// Its own peer address, and the names and addresses of the others.
    pub peers: Option<(String, Vec<(String, String)>)>,
}
