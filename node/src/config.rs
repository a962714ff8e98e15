//! What a dispatcher is told at its start and again on SIGHUP: the file that `RELAY_CONFIG` names, decoded
//! once each time.
//!
//! It owns the form of that file. It must never guess at what is missing: a fault names its field.

use std::env;
use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use topazsail_peers::Member;
use topazsail_settings::DecodedSettings;

use crate::net::errno;
use crate::upstream::roster::RosterSnapshot;

/// Other dispatchers that there may be.
const PEERS_MOST: usize = 4_096;

#[derive(Debug)]
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_bytes: usize,
    pub max_sockets: usize,
    /// Where to keep what outlives the process, if anything is to.
    pub store: Option<StoreConfiguration>,
    /// The other dispatchers, where they may talk.
    pub peers: Option<PeersConfiguration>,
    /// The whole file, by which a key that is gone is known.
    pub file: Value,
    pub decoded: DecodedSettings,
    /// The list of runners as this dispatcher last had it.
    pub initial_roster: RosterSnapshot,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreConfiguration {
    pub folder: PathBuf,
    /// Without it there is no service.
    pub require: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfiguration {
    pub listen: SocketAddr,
    pub members: Vec<Member>,
}

/// The file named on the command line, or else in the environment.
pub fn path(named: Option<String>) -> Result<String, String> {
    named
        .or_else(|| env::var("RELAY_CONFIG").ok())
        .ok_or_else(|| "no configuration: RELAY_CONFIG is not set and no file is named".to_owned())
}

/// Names where operators call, before the file does: of two processes by one file each has its own.
const ADMIN: &str = "RELAY_ADMIN_ADDR";

/// Where clients connect, as far as that is known without the file.
pub fn listen() -> Option<SocketAddr> {
    env::var("RELAY_LISTEN").ok()?.parse().ok()
}

/// What a dispatcher cannot do without.
const SOCKETS_LEAST: usize = 16;
/// Descriptors that are no connections: standard ones, the poller's, signals, listeners, a store.
const OTHERS: usize = 24;

/// Connections that this process may have, by the limit that it was started with.
fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX).saturating_sub(OTHERS))
}

/// Why a configuration cannot be used; the file, and the field where one is at fault.
#[derive(Debug)]
pub enum LoadError {
    /// The file cannot be read.
    Unreadable { path: String, error: io::Error },
    /// What it holds, or what the environment adds, is no configuration.
    Bad(String),
}

impl LoadError {
    /// Whether the host failed to read the file for a reason that may pass by itself.
    pub fn is_transient(&self) -> bool {
        match self {
            LoadError::Unreadable { error, .. } => errno::file(error).passes(),
            LoadError::Bad(_) => false,
        }
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LoadError::Unreadable { path, error } => write!(to, "configuration {path}: {error}"),
            LoadError::Bad(fault) => to.write_str(fault),
        }
    }
}

impl std::error::Error for LoadError {}

impl From<LoadError> for String {
    fn from(error: LoadError) -> String {
        error.to_string()
    }
}

pub fn load(path: &str) -> Result<Configuration, LoadError> {
    with_admin(read(path, decode)?).map_err(LoadError::Bad)
}

/// The configuration that another process of this dispatcher goes by.
pub fn in_force(text: &str) -> Result<Configuration, String> {
    with_admin(decode(text)?)
}

fn with_admin(mut told: Configuration) -> Result<Configuration, String> {
    if let Some(text) = env::var(ADMIN).ok().filter(|text| !text.is_empty()) {
        told.admin = Some(text.parse().map_err(|_| format!("{ADMIN} has the bad address '{text}'"))?);
    }
    Ok(told)
}

/// What is made of a file's text; a fault names the file.
pub fn read<T>(path: &str, make: impl FnOnce(&str) -> Result<T, String>) -> Result<T, LoadError> {
    let unreadable = |error| LoadError::Unreadable { path: path.to_owned(), error };
    let text = fs::read_to_string(path).map_err(unreadable)?;
    make(&text).map_err(|fault| LoadError::Bad(format!("configuration {path}: {fault}")))
}

pub fn decode(text: &str) -> Result<Configuration, String> {
    let json: Value = serde_json::from_str(text).map_err(|error| format!("no JSON: {error}"))?;
    let field = |name: &str| json.get(name).ok_or_else(|| format!("{name} is missing"));
    let string = |name: &str| {
        field(name)?.as_str().map(str::to_owned).ok_or_else(|| format!("{name} is not a string"))
    };
    let address = |name: &str| {
        let text = string(name)?;
        text.parse().map_err(|_| format!("{name} has the bad address '{text}'"))
    };
    let limit = |name: &str, absent: u64| match json.pointer(&format!("/limits/{name}")) {
        None => Ok(absent),
        Some(value) => match value.as_f64() {
            Some(value) if value >= 1.0 => Ok(value as u64),
            _ => Err(format!("limits.{name} has the bad value {value}")),
        },
    };
    let seed = string("seed")?;
    numbers(field("settings")?)?;
    let mut pairs = Vec::new();
    flatten("", field("settings")?, &mut pairs);
    let decoded =
        topazsail_settings::decode(pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())))
            .map_err(|fault| format!("settings: {fault}"))?;
    Ok(Configuration {
        name: string("name")?,
        listen: address("listen")?,
        admin: match json.get("admin_addr") {
            None | Some(Value::Null) => None,
            Some(_) => Some(address("admin_addr")?),
        },
        discovery: address("discovery")?,
        peers: peers_at(&json, &string("name")?)?,
        store: store_at(json.get("store"))?,
        seed: u64::from_str_radix(&seed, 16).map_err(|_| format!("seed has the bad value '{seed}'"))?,
        memory_bytes: (limit("memory_mb", 192)? as usize).saturating_mul(1 << 20),
        max_sockets: (limit("sockets", 1024)? as usize).max(64).min(descriptors().max(SOCKETS_LEAST)),
        decoded,
        initial_roster: match json.get("known") {
            None | Some(Value::Null) => RosterSnapshot::default(),
            Some(known) => {
                RosterSnapshot::from_value(known.clone()).map_err(|fault| format!("known: {fault}"))?
            }
        },
        file: json,
    })
}

fn store_at(told: Option<&Value>) -> Result<Option<StoreConfiguration>, String> {
    let Some(told) = told.filter(|told| !told.is_null()) else { return Ok(None) };
    let fields = told.as_object().ok_or_else(|| format!("store has the bad value {told}"))?;
    if let Some(unknown) = fields.keys().find(|key| !["folder", "require"].contains(&key.as_str())) {
        return Err(format!("store.{unknown} is unknown"));
    }
    let folder = match fields.get("folder") {
        None => return Err("store.folder is missing".to_owned()),
        Some(Value::String(folder)) if !folder.is_empty() => PathBuf::from(folder),
        Some(other) => return Err(format!("store.folder has the bad value {other}")),
    };
    let require = match fields.get("require") {
        None => false,
        Some(Value::Bool(require)) => *require,
        Some(other) => return Err(format!("store.require has the bad value {other}")),
    };
    Ok(Some(StoreConfiguration { folder, require }))
}

fn peers_at(json: &Value, own: &str) -> Result<Option<PeersConfiguration>, String> {
    let Some(told) = json.get("peers").filter(|told| !told.is_null()) else { return Ok(None) };
    let fields = told.as_object().ok_or_else(|| format!("peers has the bad value {told}"))?;
    if let Some(unknown) = fields.keys().find(|key| !["listen", "members"].contains(&key.as_str())) {
        return Err(format!("peers.{unknown} is unknown"));
    }
    if json.get("store").is_none_or(Value::is_null) {
        return Err("peers is set and store is missing: lives are numbered there".to_owned());
    }
    let address = |field: &str, value: Option<&Value>| {
        let value = value.ok_or_else(|| format!("peers.{field} is missing"))?;
        let read = value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
        read.ok_or_else(|| format!("peers.{field} has the bad address {value}"))
    };
    let listen = address("listen", fields.get("listen"))?;
    let told = fields.get("members").ok_or("peers.members is missing")?;
    let told = told.as_array().filter(|told| !told.is_empty() && told.len() <= PEERS_MOST);
    let told = told.ok_or_else(|| format!("peers.members must name 1 to {PEERS_MOST} others"))?;
    let mut members: Vec<Member> = Vec::new();
    for (nth, member) in told.iter().enumerate() {
        let name = member.get("name").and_then(Value::as_str).filter(|name| !name.is_empty());
        let name = name.ok_or_else(|| format!("peers.members.{nth}.name is missing"))?;
        let at = address(&format!("members.{nth}.address"), member.get("address"))?;
        if name == own || at == listen {
            return Err(format!("peers.members.{nth} is this dispatcher itself"));
        }
        if members.iter().any(|known| known.name == name || known.address == at) {
            return Err(format!("peers.members.{nth} is named twice"));
        }
        members.push(Member { name: name.to_owned(), address: at });
    }
    Ok(Some(PeersConfiguration { listen, members }))
}

/// Client timeouts and the number of forwards are numbers above 0 and nothing that only reads like one: what
/// is wrong there is wrong for every invocation.
fn numbers(settings: &Value) -> Result<(), String> {
    let check = |path: String, value: Option<&Value>| match value {
        Some(value) if value.as_f64().is_some_and(|number| number > 0.0) => Ok(()),
        Some(value) => Err(format!("settings: {path} has the bad value {value}")),
        None => Err(format!("settings: {path} is missing")),
    };
    check("limits.mostForwards".to_owned(), settings.pointer("/limits/mostForwards"))?;
    let operations = settings.get("operations").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let timeouts = operations.iter().map(|operation| operation.get("clientTimeout"));
    let path = |nth| format!("operations.{nth}.clientTimeout");
    timeouts.enumerate().try_for_each(|(nth, value)| check(path(nth), value))
}

/// The first key that a file has and one that is to take its place lacks: half a file may still be readable,
/// and what it does not say would silently become something else. Of a list, items must have what all had.
pub fn missing_key(before: &Value, now: &Value) -> Option<String> {
    let within =
        |key: &str, rest: String| if rest.is_empty() { key.to_owned() } else { format!("{key}.{rest}") };
    match (before, now) {
        (Value::Null, _) => None,
        (_, Value::Null) => Some(String::new()),
        (Value::Object(before), _) => before.iter().find_map(|(key, value)| {
            // Who is listed differs from time to time.
            let value = if key == "known" { &Value::Bool(true) } else { value };
            missing_key(value, now.get(key).unwrap_or(&Value::Null)).map(|rest| within(key, rest))
        }),
        (Value::Array(before), Value::Array(now)) => {
            let first = before.first().and_then(Value::as_object)?;
            let common = |key: &&String| before.iter().all(|item| item.get(key.as_str()).is_some());
            let keys: Vec<&String> = first.keys().filter(common).collect();
            now.iter().enumerate().find_map(|(nth, item)| {
                let gone = keys.iter().find(|key| item.get(key.as_str()).is_none())?;
                Some(format!("{nth}.{gone}"))
            })
        }
        _ => None,
    }
}

/// Nested JSON as the pairs that the decoder of settings takes.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&below(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((below("count"), items.len().to_string()));
            for (nth, item) in items.iter().enumerate() {
                flatten(&below(&nth.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push((path.to_owned(), items.join(",")));
        }
        value => pairs.push((path.to_owned(), plain(value))),
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
