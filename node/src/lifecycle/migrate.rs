//! `topazsail migrate`: rewrites a dispatcher's configuration from the old shape of deployment to the new
//! one, in which the runners' sizes in the roster change with load, load reports come only with the answers
//! to probes, an invocation may have a second copy at another runner, and there are two zones.
//!
//! This module holds the settings in which the shapes differ. It does not guess what only the operator knows:
//! such settings stay as they are and are listed. It is an error if the result is not a valid configuration.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;

use serde_json::{Value, json};

use crate::config;

/// What the operator specifies about the new deployment. What is empty or `None` keeps its setting.
pub struct MigrationTarget {
    /// The names of all zones.
    pub zones: Vec<String>,
    /// The zone of this dispatcher.
    pub my_zone: Option<String>,
    /// The number of dispatchers.
    pub dispatchers: Option<u32>,
    /// The index of this dispatcher, from 0.
    pub dispatcher_index: Option<u32>,
}

/// A migrated configuration.
#[derive(Debug)]
pub struct Migration {
    /// The new configuration file.
    pub text: String,
    /// One line per changed setting, with its old and new value.
    pub changed: Vec<String>,
    /// One line per setting that needs the operator's attention or could not be carried over.
    pub not_carried_over: Vec<String>,
}

/// The settings that are the same for every dispatcher of the new shape.
fn shape_settings() -> [(&'static str, Value); 4] {
    [
        ("registryMode", json!("automatic")),
        ("weights", json!("live")),
        ("report.how", json!("on_probe")),
        ("limits.secondCopies", json!(true)),
    ]
}

/// Rewrites the configuration `text` for the new shape.
///
/// # Errors
///
/// The configuration or the result is not valid, or the target contradicts it; the message names the setting.
pub fn migrate(text: &str, target: &MigrationTarget) -> Result<Migration, String> {
    let configuration = config::decode(text)?;
    let mut json: Value = serde_json::from_str(text).map_err(|error| format!("no JSON: {error}"))?;
    let (mut changed, mut not_carried_over) = (Vec::new(), Vec::new());
    let settings = json.get_mut("settings").ok_or("settings is missing")?;
    let mut set = |path: &str, value: Value| set_by_path(settings, path, value, &mut changed);
    for (path, value) in shape_settings() {
        set(path, value)?;
    }
    if let Some(dispatchers) = target.dispatchers {
        set("balancers", json!(dispatchers))?;
    }
    if let Some(dispatcher_index) = target.dispatcher_index {
        set("selfIndex", json!(dispatcher_index))?;
    }
    if !target.zones.is_empty() {
        set("localities", json!(target.zones))?;
    }
    if let Some(zone) = &target.my_zone {
        set("myZone", json!(zone))?;
    }
    let setting = |path: &str| settings.pointer(&format!("/{}", path.replace('.', "/")));
    let mut note = |line: String| not_carried_over.push(line);
    let integer = |path: &str| setting(path).and_then(Value::as_u64);
    let (dispatchers, index) =
        (integer("balancers").unwrap_or_default(), integer("selfIndex").unwrap_or_default());
    if index >= dispatchers {
        return Err(format!(
            "settings.selfIndex {index} is not below settings.balancers {dispatchers}: set it with --number"
        ));
    }
    if target.dispatchers.is_none() {
        note(format!("settings.balancers stays {dispatchers}: --dispatchers sets the new number"));
    }
    let zones: Vec<&str> = setting("localities")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let my_zone = setting("myZone").and_then(Value::as_str).unwrap_or_default();
    if !zones.is_empty() && !zones.contains(&my_zone) {
        return Err(format!(
            "settings.myZone '{my_zone}' is not in settings.localities: set it with --my-zone"
        ));
    }
    if zones.len() != 2 {
        note(format!("settings.localities stays at {} zones, not two: --zones sets them", zones.len()));
    }
    if setting("familyInfo.tellsStart") != Some(&json!(true)) {
        note("settings.familyInfo.tellsStart is not true: without it no work moves before it starts".into());
    }
    if setting("familyInfo.classStretch").is_none() {
        note("settings.familyInfo.classStretch is missing: objectives do not grow with the work".into());
    }
    for field in ["x0", "outstanding"] {
        if !configuration.decoded.report_fields.iter().any(|known| known == field) {
            note(format!("settings.report.fields lacks {field}: a runner's slots cannot be learnt"));
        }
    }
    if setting("invariants.askWithin").is_some() {
        note("settings.invariants.askWithin is kept and no longer read: the list is sent unasked".into());
    }
    let known = json.pointer("/known/instances").and_then(Value::as_array).map_or(0, Vec::len);
    if known > 0 {
        // In the new shape, the largest size ever listed for a machine type counts as that of an idle runner,
        // so a size of the old shape could stay in force for its type permanently.
        json["known"] = json!({"generation": 0, "reset": true, "instances": []});
        changed.push(format!("known: {known} runners -> none"));
        note(format!("known: {known} runners were of the old shape; the list is sent at the start"));
    }
    let text = serde_json::to_string_pretty(&json).map_err(|error| error.to_string())? + "\n";
    config::decode(&text).map_err(|error| format!("the result could not be served: {error}"))?;
    Ok(Migration { text, changed, not_carried_over })
}

/// Sets one setting by its path and creates missing objects on the way.
fn set_by_path(
    settings: &mut Value,
    path: &str,
    value: Value,
    changed: &mut Vec<String>,
) -> Result<(), String> {
    let mut current = settings;
    for name in path.split('.') {
        if current.is_null() {
            *current = json!({});
        }
        let fields = current.as_object_mut().ok_or_else(|| format!("settings.{path}: not an object"))?;
        current = fields.entry(name).or_insert(Value::Null);
    }
    if *current != value {
        changed.push(format!("settings.{path}: {current} -> {value}"));
        *current = value;
    }
    Ok(())
}

/// Writes the file completely or not at all. An existing file is not overwritten, since it may be needed to
/// go back.
///
/// # Errors
///
/// The file exists or cannot be written; nothing was written then.
pub fn write(text: &str, to: &str) -> Result<(), String> {
    let describe = |error: std::io::Error| format!("{to}: {error}; nothing was written");
    let part_path = format!("{to}.part-{}", std::process::id());
    let write_part = |path: &str| {
        let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::hard_link(path, to)
    };
    let written = write_part(&part_path).map_err(describe);
    if Path::new(&part_path).exists() {
        fs::remove_file(&part_path).map_err(|error| format!("{part_path}: {error}"))?;
    }
    written
}
