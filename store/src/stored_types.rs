//! The types of a dispatcher's records, and how long each is considered fresh.
//!
//! Each type has its own format version. A value of an unknown format is left alone and never decoded as
//! something else: [`decode`] returns none for it, and `topazsail store` reports only its length.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::log::{Record, Table};
use crate::{Micros, Store};

/// A type that is stored as a record.
pub trait Storable: Serialize + DeserializeOwned {
    /// Number of its table.
    const TABLE: Table;
    /// Name of its table in reports.
    const NAME: &'static str;
    /// Format version of its encoding.
    const FORMAT: u16;
    /// An older record is used only if nothing newer is available; none if age does not matter.
    const FRESHNESS_WINDOW: Option<Micros>;

    /// Decodes a value of this format; none if the bytes are invalid.
    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The last known roster, in discovery's JSON format. One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRoster {
    /// Address of the discovery service.
    pub discovery: String,
    /// Discovery's generation number of the roster.
    pub generation: u64,
    /// The roster.
    pub json: String,
}

impl Storable for StoredRoster {
    const TABLE: Table = Table(1);
    const NAME: &'static str = "list";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = Some(10_000_000);
}

/// An operator's override of one runner; the key is the runner's id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOverride {
    /// Since when the runner is out of use, in Unix time; none if it is not.
    pub out_since: Option<Micros>,
    /// From when and until when it was last out of use.
    pub was_out: Option<(Micros, Micros)>,
    /// For versions of the program that know one call for each runner: its number, 0 without peers.
    pub count: u64,
    /// For the same versions: its author, 0 without peers.
    pub author: u32,
    /// The latest call of each process run on this runner, as peers exchange them; empty without peers.
    pub calls: Vec<StoredCall>,
}

/// The latest call of one process run on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCall {
    /// Identifies the process run.
    pub author: u64,
    /// Orders the calls of the process run.
    pub number: u64,
    /// Whether it takes the runner out and has not been undone.
    pub stands: bool,
}

/// The fields of [`StoredOverride`] that versions of the program wrote which knew one call for each runner.
/// They read records of this version, as they ignore what follows these fields.
#[derive(Deserialize)]
struct SingleCallOverride {
    out_since: Option<Micros>,
    was_out: Option<(Micros, Micros)>,
    count: u64,
    author: u32,
}

impl SingleCallOverride {
    /// The same with the call in the form in which peers exchange it now.
    fn with_calls(self) -> StoredOverride {
        let SingleCallOverride { out_since, was_out, count, author } = self;
        let call = StoredCall { author: u64::from(author), number: count, stands: out_since.is_some() };
        let calls = if count > 0 { vec![call] } else { Vec::new() };
        StoredOverride { out_since, was_out, count, author, calls }
    }
}

impl Storable for StoredOverride {
    const TABLE: Table = Table(2);
    const NAME: &'static str = "hand";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = None;

    fn from_bytes(bytes: &[u8]) -> Option<StoredOverride> {
        let current = postcard::from_bytes(bytes).ok();
        current.or_else(|| postcard::from_bytes(bytes).ok().map(SingleCallOverride::with_calls))
    }
}

/// Work recently sent to cold runners. One record for all runners.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredSlowStartUsage {
    /// For each runner id, the age at the time of writing and the work of each forward, as time on a standard
    /// core.
    pub runners: Vec<(String, Vec<(Micros, f64)>)>,
}

impl Storable for StoredSlowStartUsage {
    const TABLE: Table = Table(3);
    const NAME: &'static str = "spent";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = Some(10_000_000);
}

/// The configuration in force. One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSettings {
    /// Hash of the settings in the configuration file.
    pub version: u64,
    /// The whole configuration file.
    pub json: String,
}

impl Storable for StoredSettings {
    const TABLE: Table = Table(4);
    const NAME: &'static str = "settings";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = None;
}

/// Name of a table for reports.
pub fn table_name(table: Table) -> String {
    let known = [
        (StoredRoster::TABLE, StoredRoster::NAME),
        (StoredOverride::TABLE, StoredOverride::NAME),
        (StoredSlowStartUsage::TABLE, StoredSlowStartUsage::NAME),
        (StoredSettings::TABLE, StoredSettings::NAME),
    ];
    let name = known.iter().find(|(known, _)| *known == table).map(|(_, name)| (*name).to_owned());
    name.unwrap_or_else(|| format!("table-{}", table.0))
}

/// Decodes a record's value; none if the table or format version differs, or the bytes are invalid.
pub fn decode<T: Storable>(record: &Record) -> Option<T> {
    let bytes = record.value.as_deref().filter(|_| record.table == T::TABLE && record.form == T::FORMAT)?;
    T::from_bytes(bytes)
}

/// Encodes a value for a record.
pub fn encode<T: Storable>(value: &T) -> Vec<u8> {
    // Plain types only: encoding cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// All records of one type, with their keys and decoded values.
pub fn all<T: Storable>(records: &BTreeMap<(Table, String), Record>) -> Vec<(&str, T, &Record)> {
    let in_table =
        records.range((T::TABLE, String::new())..).take_while(|((table, _), _)| *table == T::TABLE);
    in_table.filter_map(|((_, key), record)| Some((key.as_str(), decode(record)?, record))).collect()
}

impl Store {
    /// Like [`Store::put`], for a typed value; none deletes the record.
    pub fn put_typed<T: Storable>(&mut self, key: &str, value: Option<&T>, now: Micros) {
        self.put(T::TABLE, key, T::FORMAT, value.map(encode), now);
    }
}
