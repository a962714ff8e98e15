//! The configuration file that `RELAY_CONFIG` names, read at the start and again on SIGHUP.
//!
//! Defines the format of that file. Missing values that are required are not guessed: an error names the
//! field.

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

/// The key of the known roster.
const KNOWN_ROSTER_KEY: &str = "known";

/// Maximum number of other dispatchers.
const MAX_PEERS: usize = 4_096;

/// A decoded configuration file.
#[derive(Debug)]
pub struct Configuration {
    /// The name of this dispatcher.
    pub name: String,
    /// The address for clients and for call-backs of runners.
    pub listen: SocketAddr,
    /// The address for operators' calls, if they are accepted.
    pub admin: Option<SocketAddr>,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The memory limit of this process.
    pub memory_bytes: usize,
    /// The limit on sockets of this process.
    pub max_sockets: usize,
    /// Where state is stored across restarts, if it is.
    pub store: Option<StoreConfiguration>,
    /// The other dispatchers, if this one exchanges state with them.
    pub peers: Option<PeersConfiguration>,
    /// The whole file, to detect keys that a later version of it lacks.
    pub file: Value,
    /// The settings in the file.
    pub decoded: DecodedSettings,
    /// The known roster in the file, for a start without a more recent one.
    pub initial_roster: RosterSnapshot,
}

/// Where state is stored across restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreConfiguration {
    /// The directory of the store.
    pub folder: PathBuf,
    /// Whether the dispatcher refuses to serve without the store.
    pub require: bool,
}

/// The exchange of state with other dispatchers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfiguration {
    /// The address on which packets of other dispatchers are received.
    pub listen: SocketAddr,
    /// The other dispatchers.
    pub members: Vec<Member>,
}

/// The path of the configuration file: from the command line, or else from the environment.
pub fn path(argument: Option<String>) -> Result<String, String> {
    argument
        .or_else(|| env::var("RELAY_CONFIG").ok())
        .ok_or_else(|| "no configuration: RELAY_CONFIG is not set and no file is named".to_owned())
}

/// The environment variable that overrides the file's address for operators' calls, so that two processes
/// with the same file can each have their own.
const ADMIN_ENV: &str = "RELAY_ADMIN_ADDR";

/// The address for clients, if it is known without the file.
pub fn listen_from_env() -> Option<SocketAddr> {
    env::var("RELAY_LISTEN").ok()?.parse().ok()
}

/// The number of sockets below which a dispatcher cannot work.
const MIN_SOCKETS: usize = 16;
/// Descriptors that are not connections: standard streams, poller, signals, listeners, a store.
const RESERVED_DESCRIPTORS: usize = 24;

/// The number of connections that this process's limit on descriptors allows.
fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX).saturating_sub(RESERVED_DESCRIPTORS)
    })
}

/// Why a configuration cannot be used: names the file, and the field if one is wrong.
#[derive(Debug)]
pub enum LoadError {
    /// The file cannot be read.
    Unreadable { path: String, error: io::Error },
    /// The content of the file or the environment is not a valid configuration.
    Bad(String),
}

impl LoadError {
    /// Whether the file could not be read for a reason that may go away by itself.
    pub fn is_transient(&self) -> bool {
        match self {
            LoadError::Unreadable { error, .. } => errno::classify_file_error(error).is_transient(),
            LoadError::Bad(_) => false,
        }
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LoadError::Unreadable { path, error } => write!(to, "configuration {path}: {error}"),
            LoadError::Bad(error) => to.write_str(error),
        }
    }
}

impl std::error::Error for LoadError {}

impl From<LoadError> for String {
    fn from(error: LoadError) -> String {
        error.to_string()
    }
}

/// Reads and decodes a configuration file, and applies the environment.
pub fn load(path: &str) -> Result<Configuration, LoadError> {
    with_admin_address(read(path, decode)?).map_err(LoadError::Bad)
}

/// Decodes the configuration text that another process of this dispatcher has in force, and applies the
/// environment.
pub fn decode_active(text: &str) -> Result<Configuration, String> {
    with_admin_address(decode(text)?)
}

/// Applies the environment's address for operators' calls, if it is set.
fn with_admin_address(mut configuration: Configuration) -> Result<Configuration, String> {
    if let Some(text) = env::var(ADMIN_ENV).ok().filter(|text| !text.is_empty()) {
        configuration.admin =
            Some(text.parse().map_err(|_| format!("{ADMIN_ENV} has the bad address '{text}'"))?);
    }
    Ok(configuration)
}

/// Reads a file and parses its text with `parse`; an error names the file.
pub fn read<T>(path: &str, parse: impl FnOnce(&str) -> Result<T, String>) -> Result<T, LoadError> {
    let unreadable = |error| LoadError::Unreadable { path: path.to_owned(), error };
    let text = fs::read_to_string(path).map_err(unreadable)?;
    parse(&text).map_err(|error| LoadError::Bad(format!("configuration {path}: {error}")))
}

/// Decodes a configuration; an error names the field and its value.
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
    let limit = |name: &str, default: u64| match json.pointer(&format!("/limits/{name}")) {
        None => Ok(default),
        Some(value) => match value.as_f64() {
            Some(value) if value >= 1.0 => Ok(value as u64),
            _ => Err(format!("limits.{name} has the bad value {value}")),
        },
    };
    let seed = string("seed")?;
    check_numbers(field("settings")?)?;
    let mut pairs = Vec::new();
    flatten("", field("settings")?, &mut pairs);
    let decoded =
        topazsail_settings::decode(pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())))
            .map_err(|error| format!("settings: {error}"))?;
    Ok(Configuration {
        name: string("name")?,
        listen: address("listen")?,
        admin: match json.get("admin_addr") {
            None | Some(Value::Null) => None,
            Some(_) => Some(address("admin_addr")?),
        },
        discovery: address("discovery")?,
        peers: decode_peers(&json, &string("name")?)?,
        store: decode_store(json.get("store"))?,
        seed: u64::from_str_radix(&seed, 16).map_err(|_| format!("seed has the bad value '{seed}'"))?,
        memory_bytes: (limit("memory_mb", 192)? as usize).saturating_mul(1 << 20),
        max_sockets: (limit("sockets", 1024)? as usize).max(64).min(descriptor_limit().max(MIN_SOCKETS)),
        decoded,
        initial_roster: match json.get(KNOWN_ROSTER_KEY) {
            None | Some(Value::Null) => RosterSnapshot::default(),
            Some(known) => {
                RosterSnapshot::from_value(known.clone()).map_err(|error| format!("known: {error}"))?
            }
        },
        file: json,
    })
}

/// Decodes the `store` of a configuration, if it is set.
fn decode_store(store: Option<&Value>) -> Result<Option<StoreConfiguration>, String> {
    let Some(store) = store.filter(|store| !store.is_null()) else { return Ok(None) };
    let fields = store.as_object().ok_or_else(|| format!("store has the bad value {store}"))?;
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

/// Decodes the `peers` of a configuration, if they are set; `own_name` is the name of this dispatcher.
fn decode_peers(json: &Value, own_name: &str) -> Result<Option<PeersConfiguration>, String> {
    let Some(peers) = json.get("peers").filter(|peers| !peers.is_null()) else { return Ok(None) };
    let fields = peers.as_object().ok_or_else(|| format!("peers has the bad value {peers}"))?;
    if let Some(unknown) = fields.keys().find(|key| !["listen", "members"].contains(&key.as_str())) {
        return Err(format!("peers.{unknown} is unknown"));
    }
    if json.get("store").is_none_or(Value::is_null) {
        return Err("peers is set and store is missing: boot numbers are stored there".to_owned());
    }
    let address = |field: &str, value: Option<&Value>| {
        let value = value.ok_or_else(|| format!("peers.{field} is missing"))?;
        let parsed = value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
        parsed.ok_or_else(|| format!("peers.{field} has the bad address {value}"))
    };
    let listen = address("listen", fields.get("listen"))?;
    let listed = fields.get("members").ok_or("peers.members is missing")?;
    let listed = listed.as_array().filter(|listed| !listed.is_empty() && listed.len() <= MAX_PEERS);
    let listed = listed.ok_or_else(|| format!("peers.members must name 1 to {MAX_PEERS} others"))?;
    let mut members: Vec<Member> = Vec::new();
    for (nth, member) in listed.iter().enumerate() {
        let name = member.get("name").and_then(Value::as_str).filter(|name| !name.is_empty());
        let name = name.ok_or_else(|| format!("peers.members.{nth}.name is missing"))?;
        let member_address = address(&format!("members.{nth}.address"), member.get("address"))?;
        if name == own_name || member_address == listen {
            return Err(format!("peers.members.{nth} is this dispatcher itself"));
        }
        if members.iter().any(|known| known.name == name || known.address == member_address) {
            return Err(format!("peers.members.{nth} is named twice"));
        }
        members.push(Member { name: name.to_owned(), address: member_address });
    }
    Ok(Some(PeersConfiguration { listen, members }))
}

/// Checks that client timeouts and the maximum number of forwards are JSON numbers above 0. Strings that
/// contain a number are refused, as an error there would affect every invocation.
fn check_numbers(settings: &Value) -> Result<(), String> {
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

/// The first key of a configuration that its replacement lacks. An incomplete file may still be valid JSON,
/// and what its missing keys set would silently change. The items of a list must have the keys that all its
/// items had.
pub fn missing_key(before: &Value, after: &Value) -> Option<String> {
    let join =
        |key: &str, rest: String| if rest.is_empty() { key.to_owned() } else { format!("{key}.{rest}") };
    match (before, after) {
        (Value::Null, _) => None,
        (_, Value::Null) => Some(String::new()),
        (Value::Object(before), _) => before.iter().find_map(|(key, value)| {
            // The known roster changes all the time, and null says that there is none: only the key's presence
            // is compared.
            if key == KNOWN_ROSTER_KEY {
                return after.get(key).is_none().then(|| key.clone());
            }
            missing_key(value, after.get(key).unwrap_or(&Value::Null)).map(|rest| join(key, rest))
        }),
        (Value::Array(before), Value::Array(after)) => {
            let first = before.first().and_then(Value::as_object)?;
            let common = |key: &&String| before.iter().all(|item| item.get(key.as_str()).is_some());
            let keys: Vec<&String> = first.keys().filter(common).collect();
            after.iter().enumerate().find_map(|(nth, item)| {
                let gone = keys.iter().find(|key| item.get(key.as_str()).is_none())?;
                Some(format!("{nth}.{gone}"))
            })
        }
        _ => None,
    }
}

/// Flattens nested JSON to the pairs of path and value that the decoder of settings reads.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let path_of = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&path_of(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((path_of("count"), items.len().to_string()));
            for (nth, item) in items.iter().enumerate() {
                flatten(&path_of(&nth.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(unquoted).collect();
            pairs.push((path.to_owned(), items.join(",")));
        }
        value => pairs.push((path.to_owned(), unquoted(value))),
    }
}

/// The text of a JSON value; a string's text is without its quotes.
fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
