//! What a dispatcher keeps: the types of its records, and how long each is believed.
//!
//! It owns the forms of values. A value of a form that is not known here is told as such and left alone; it must never
//! be read as something else.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::log::{Record, Table};
use crate::{Micros, Store};

/// One kind of record.
pub trait Storable: Serialize + DeserializeOwned {
    const TABLE: Table;
    const NAME: &'static str;
    const FORMAT: u16;
    /// Older than this it is believed only where nothing newer is to be had; none where age says nothing.
    const FRESHNESS_WINDOW: Option<Micros>;
}

/// The list of runners as last had, in discovery's own form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRoster {
    pub discovery: String,
    pub generation: u64,
    pub json: String,
}

impl Storable for StoredRoster {
    const TABLE: Table = Table(1);
    const NAME: &'static str = "list";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = Some(10_000_000);
}

/// What an operator's hand has done to one runner, by its id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOverride {
    pub out_since: Option<Micros>,
    pub was_out: Option<(Micros, Micros)>,
    /// How new this word is among dispatchers: calls on this runner so far, and the author of the last one; 0 and 0 where
    /// there are no others.
    pub count: u64,
    pub author: u32,
}

impl Storable for StoredOverride {
    const TABLE: Table = Table(2);
    const NAME: &'static str = "hand";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = None;
}

/// What was sent to cold runners of late: when, and work as time on a standard core. One record for all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredSlowStartUsage {
    pub runners: Vec<(String, Vec<(Micros, f64)>)>,
}

impl Storable for StoredSlowStartUsage {
    const TABLE: Table = Table(3);
    const NAME: &'static str = "spent";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = Some(10_000_000);
}

/// The configuration in force, and the hash of its settings as its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSettings {
    pub version: u64,
    pub json: String,
}

impl Storable for StoredSettings {
    const TABLE: Table = Table(4);
    const NAME: &'static str = "settings";
    const FORMAT: u16 = 1;
    const FRESHNESS_WINDOW: Option<Micros> = None;
}

/// A table's name, for people.
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

/// A record's value, where it is of a known form and can be read.
pub fn decode<T: Storable>(record: &Record) -> Option<T> {
    let bytes = record.value.as_deref().filter(|_| record.table == T::TABLE && record.form == T::FORMAT)?;
    postcard::from_bytes(bytes).ok()
}

/// The bytes of a value, as they stand in a record.
pub fn encode<T: Storable>(value: &T) -> Vec<u8> {
    // Plain types only: there is nothing that could fail to be written.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// All of one kind, by key.
pub fn all<T: Storable>(records: &BTreeMap<(Table, String), Record>) -> Vec<(&str, T, &Record)> {
    let in_table =
        records.range((T::TABLE, String::new())..).take_while(|((table, _), _)| *table == T::TABLE);
    in_table.filter_map(|((_, key), record)| Some((key.as_str(), decode(record)?, record))).collect()
}

impl Store {
    /// As [`Store::put`], with a value of a known kind.
    pub fn put_typed<T: Storable>(&mut self, key: &str, value: Option<&T>, now: Micros) {
        self.put(T::TABLE, key, T::FORMAT, value.map(encode), now);
    }
}
