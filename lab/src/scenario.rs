//! Scenarios: what a run plays, read from TOML.
//!
//! It owns the form of that file and every bound on its values. It must never guess: a field that is unknown,
//! missing or out of range is a fault that names file, line and field, and a span without a unit is refused.

use std::fmt;
use std::fs;
use std::path::Path;

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use topazsail::Micros;

use crate::disks::{DiskFault, DiskState};

/// A span of time, written with its unit (`250ms`, `2s`); whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

/// About a day: no run and nothing in one takes longer.
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

/// A number within bounds; the fault names both.
fn bounded<'de, D: Deserializer<'de>>(from: D, least: f64, most: f64) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(de::Error::custom(format!("{value} is not within {least} to {most}")))
    }
}

fn share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    bounded(from, 0.0, 1.0)
}

fn factor<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    bounded(from, 1e-3, 1e6)
}

fn amount<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    bounded(from, 0.0, 1e6)
}

fn count<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    let value = u32::deserialize(from)?;
    if (1..=100_000).contains(&value) {
        Ok(value)
    } else {
        Err(de::Error::custom(format!("{value} is not within 1 to 100000")))
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// How long clients bring new work; a run goes on until all is answered.
    pub length: Span,
    #[serde(default = "one")]
    pub seed: u64,
    #[serde(deserialize_with = "count")]
    pub dispatchers: u32,
    #[serde(default)]
    pub zones: Zones,
    /// Kinds of runners.
    pub pool: Vec<Pool>,
    pub operation: Vec<Operation>,
    pub clients: Clients,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub reports: Reports,
    #[serde(default)]
    pub limits: Limits,
    /// What dispatchers keep over a restart, and who calls them; nothing and nobody where it is missing. In virtual
    /// time only the stages of a start are played, with a disk that is read at once; calls, faults of disks and words
    /// between dispatchers on sockets only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<Store>,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// Each dispatcher keeps a folder, and operators take runners out and back by hand.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Store {
    #[serde(default)]
    pub require: bool,
    /// Dispatchers talk to one another.
    #[serde(default)]
    pub peers: bool,
    /// From one call on a runner to the next, at any dispatcher (0 s: none).
    #[serde(default)]
    pub hands_every: Span,
    /// What nobody could have told a dispatcher is not held against it.
    #[serde(default = "Store::excused")]
    pub excused: bool,
    /// Whether runners are taken back in again.
    #[serde(default = "Store::back")]
    pub back: bool,
    /// How many runners may be out by hand at once.
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

/// A scenario that stands on another one: whatever it names replaces that whole field of its base.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Overlay {
    /// Beside this file.
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

/// Places and the links between them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Zones {
    pub names: Vec<String>,
    /// One way within a zone, between two, and between clients and their dispatchers.
    pub within: Span,
    pub between: Span,
    pub client: Span,
    /// By how much a delay may lie above its figure, as a share of it.
    #[serde(deserialize_with = "share")]
    pub jitter: f64,
}

impl Default for Zones {
    fn default() -> Zones {
        let (within, between, client) = (Span(200), Span(6_000), Span(500));
        Zones { names: vec!["east".into(), "west".into()], within, between, client, jitter: 0.2 }
    }
}

/// Runners of one machine type, dealt over the zones in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    pub kind: String,
    #[serde(deserialize_with = "count")]
    pub count: u32,
    #[serde(deserialize_with = "count")]
    pub slots: u32,
    /// Waiting places; what comes beyond them is turned away unseen.
    pub queue: u32,
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub speed: f64,
    /// How far speeds of single runners lie apart, as a coefficient of variation.
    #[serde(default, deserialize_with = "share")]
    pub speed_spread: f64,
    /// What a new connection costs the runner, as work on one slot, and the first request on it, in time.
    #[serde(default)]
    pub handshake: Span,
    /// Connections that it accepts.
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

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    #[default]
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// Which runners recognise a deduplicated invocation's repeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    Fixed,
    #[default]
    Exponential,
    /// With `cv`.
    Lognormal,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operation {
    pub name: String,
    /// Its share of all invocations, against the other operations'.
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub share: f64,
    /// Mean work: the time it takes on one slot of a warm runner of speed 1.
    pub work: Span,
    #[serde(default)]
    pub shape: Shape,
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub cv: f64,
    #[serde(default)]
    pub effect: Effect,
    #[serde(default)]
    pub group: DeduplicationScope,
    #[serde(default)]
    pub memory_span: Span,
    pub latency_objective: Span,
    pub client_timeout: Span,
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub billed_value: f64,
    /// What an answer after the objective is still worth, as a share.
    #[serde(default, deserialize_with = "share")]
    pub late_share: f64,
    /// Distinct keys, drawn by Zipf; 0 for none.
    #[serde(default)]
    pub keys: u32,
    /// The kind of machine that runs it, where only one does.
    #[serde(default)]
    pub kind: Option<String>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// At an even mean rate.
    #[default]
    Poisson,
    /// Half of the time at `1 + swing`, half at `1 - swing` of the mean, in stretches of about `period`.
    Bursts,
    /// A sine of `period` and `swing`: a day, shortened.
    Daily,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Clients {
    /// Work brought, as a share of what all runners can do when warm and well.
    #[serde(deserialize_with = "factor")]
    pub load: f64,
    #[serde(default)]
    pub arrivals: Arrivals,
    #[serde(default, deserialize_with = "share")]
    pub swing: f64,
    #[serde(default = "Clients::period")]
    pub period: Span,
    #[serde(default = "Pool::speed", deserialize_with = "factor")]
    pub zipf: f64,
    /// Tries after the first, where trying again is harmless.
    #[serde(default)]
    pub retries: u32,
    #[serde(default = "Clients::wait")]
    pub retry_wait: Span,
    /// Share of clients that come back when they were told to.
    #[serde(default, deserialize_with = "share")]
    pub honour: f64,
    /// Share of requests whose client closes its connection before the answer; on sockets only.
    #[serde(default, deserialize_with = "share", skip_serializing_if = "is_zero")]
    pub leaves: f64,
    /// How long the front goes on sending to a dispatcher that has died.
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

/// The list of runners and how late it comes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Discovery {
    /// From a change until it is written to those who watch; a process that dies, and one that falls silent.
    pub notice: Span,
    pub silent_notice: Span,
    /// What one call costs the service, which works through calls in turn, and how long one may wait.
    pub call: Span,
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

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Reports {
    /// How old a load report is when it is read.
    pub delay: Span,
    /// Runners tell of starts, and of progress at this gap (0 s: neither).
    pub progress: Span,
}

impl Default for Reports {
    fn default() -> Reports {
        Reports { delay: Span(0), progress: Span(1_000_000) }
    }
}

/// What the installation allows, and the figures behind the four rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    #[serde(deserialize_with = "count")]
    pub most_forwards: u32,
    pub cancel: bool,
    pub probes: bool,
    pub come_back_most: Span,
    pub dial_timeout: Span,
    pub probe_timeout: Span,
    pub drain_grace: Span,
    pub ask_within: Span,
    #[serde(deserialize_with = "share")]
    pub cold_from: f64,
    pub warm_within: Span,
    #[serde(deserialize_with = "factor")]
    pub overload_factor: f64,
    pub tip_after: Span,
    /// Whether a crossing of zones, or a connection, is priced.
    pub crossing_priced: bool,
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

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies and is back, cold, after `lasts`.
    Crash,
    /// Takes work and says nothing for `lasts`.
    Hang,
    /// Stands still for `size` milliseconds, again and again, about once a second.
    Pauses,
    /// Slower by the factor `size`.
    Slow,
    /// A share `size` of what it is sent fails at once.
    FastErrors,
    /// A share `size` of what it is sent is taken and never ends.
    Loses,
    /// Load reports are older by `size` milliseconds, everywhere.
    LateReports,
    /// The links between `zone` and the others carry nothing until `lasts` is over.
    ZoneCut,
    /// Nothing that leaves `zone` arrives elsewhere until `lasts` is over; what is sent to it does.
    ZoneMute,
    /// All runners in `zone` fall silent at once and are back, cold, after `lasts`.
    ZoneLoss,
    /// Calls and watches at discovery fail for `lasts`.
    DiscoveryDown,
    /// Every runner of the part drains and comes back as a new process, a few at a time, over `lasts`.
    Deploy,
    /// Dispatchers are ended with SIGTERM, and with SIGKILL, one after the other over `lasts`.
    RollTerm,
    RollKill,
    /// Every dispatcher is told to read its configuration again.
    Reload,
    /// Clients that send what is no request, `size` of them a second.
    BadClients,
    /// Dispatchers are killed outright at once. They are back after `lasts`, in any order within `spread`; a share
    /// `away` of them never is.
    Kill,
    /// Dispatchers stand still (SIGSTOP) and go on after `lasts` as if nothing had been.
    Freeze,
    /// Every machine of `zone`, or of the whole site, is without power for `lasts`: runners are back cold,
    /// dispatchers as after `kill`, discovery with the first zone.
    PowerLoss,
    /// Datagrams between dispatchers, those of `part` of them: `link` says what becomes of them.
    Link,
    /// Something is wrong with the disks of some dispatchers; what, `wrong` says (`size` ms a sync where it is slow).
    Disk,
}

impl FaultKind {
    /// Whether it strikes dispatchers: `part` is then a share of them.
    pub fn of_dispatchers(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Freeze | FaultKind::Disk | FaultKind::Link)
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    pub kind: FaultKind,
    pub at: Span,
    #[serde(default)]
    pub lasts: Span,
    /// The share of runners that it strikes.
    #[serde(default = "Fault::part", deserialize_with = "share")]
    pub part: f64,
    #[serde(default, deserialize_with = "amount")]
    pub size: f64,
    /// Only this operation, where the kind strikes operations.
    #[serde(default)]
    pub operation: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
    /// Dispatchers that were killed come back within so long after the first.
    #[serde(default)]
    pub spread: Span,
    /// The share of killed dispatchers that is not back in this run.
    #[serde(default, deserialize_with = "share")]
    pub away: f64,
    /// In which state killed dispatchers find their disks; `old` is `size` ms from before they were killed.
    #[serde(default)]
    pub disk: DiskState,
    #[serde(default)]
    pub wrong: Option<DiskFault>,
    #[serde(default)]
    pub link: Option<LinkFaultKind>,
}

/// What becomes of datagrams between dispatchers; `size` is a share, or milliseconds where it is a time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// Nothing passes, either way.
    Cut,
    /// Nothing that they send passes.
    OneWay,
    /// A share is lost, comes twice, or is overtaken.
    Loss,
    Repeat,
    Reorder,
    /// Later by `size` ms.
    Delay,
    /// Cut for `size` ms, whole for as long, and so on.
    Flap,
}

impl Fault {
    fn part() -> f64 {
        0.2
    }
}

/// Which line of `text` the byte `at` stands on, from 1.
fn line_of(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|byte| *byte == b'\n').count()
}

/// The line of the `nth` table `[[name]]`: where a fault is found that concerns a whole table.
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
        // The field is named too where the message alone does not.
        let field = text.lines().nth(line - 1).and_then(|line| line.split_once('='));
        let field = field.map(|(field, _)| field.trim()).filter(|field| !message.contains(field));
        format!("{name}:{line}: {}{message}", field.map_or(String::new(), |field| format!("{field}: ")))
    })
}

impl Scenario {
    /// The mean work of an invocation.
    pub fn mean_work(&self) -> f64 {
        let total: f64 = self.operation.iter().map(|op| op.share).sum();
        self.operation.iter().map(|op| op.share / total * op.work.0 as f64).sum()
    }

    /// Reads and checks a file; a fault is one line: `FILE:LINE: what and which field`.
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
            return Err(format!("{name}: base {base_name} stands on another one itself"));
        }
        let scenario = overlay.apply_to(Scenario::parse(&base_name, &base_text)?);
        scenario.validated(&name, &text)
    }

    /// A scenario that stands on no other; `name` is for messages.
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

    /// What no single field shows.
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
            let share = matches!(
                fault.link,
                Some(LinkFaultKind::Loss | LinkFaultKind::Repeat | LinkFaultKind::Reorder)
            );
            let needs_size = share || matches!(fault.link, Some(LinkFaultKind::Delay | LinkFaultKind::Flap));
            if needs_size && (fault.size <= 0.0 || share && fault.size > 1.0) {
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

    /// Runners in all pools.
    pub fn runners(&self) -> usize {
        self.pool.iter().map(|pool| pool.count as usize).sum()
    }

    /// The file that a dispatcher of this scenario is started with: the platform's form, in both clocks.
    /// Addresses are those of the stand-ins; in virtual time they are never used.
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
            "name": format!("d{}", parameters.number), "listen": parameters.listen, "discovery": parameters.discovery,
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

/// What differs from one dispatcher's configuration to the next.
pub struct DispatcherParameters {
    pub number: u32,
    pub zone: String,
    pub seed: u64,
    pub listen: String,
    pub discovery: String,
    /// The list as this dispatcher last had it, in discovery's form.
    pub known: serde_json::Value,
    /// Where it keeps what outlives it, and where operators call.
    pub store: Option<StoreParameters>,
}

pub struct StoreParameters {
    pub folder: String,
    pub admin: String,
    /// Where it hears other dispatchers, and their names and addresses.
    pub peers: Option<(String, Vec<(String, String)>)>,
}
