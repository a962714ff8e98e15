//! The configuration of a dispatcher for the old shape of deployment, rewritten for the new one: the list's
//! sizes move with load, reports come on probes only, second copies are allowed, there are two zones.
//!
//! It owns what differs between the shapes. It must never guess what only the operator knows: that stays as it
//! is and is listed, and a result that could not be served is none.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;

use serde_json::{Value, json};

use crate::config;

/// What the operator says of the new deployment.
pub struct MigrationTarget {
    pub zones: Vec<String>,
    pub my_zone: Option<String>,
    pub dispatchers: Option<u32>,
    pub number: Option<u32>,
}

#[derive(Debug)]
pub struct Migration {
    pub text: String,
    /// What is otherwise than it was, and what could not be carried over.
    pub changed: Vec<String>,
    pub not_carried_over: Vec<String>,
}

/// Settings that every dispatcher of the new shape has.
fn shape() -> [(&'static str, Value); 4] {
    [
        ("registryMode", json!("automatic")),
        ("weights", json!("live")),
        ("report.how", json!("on_probe")),
        ("limits.secondCopies", json!(true)),
    ]
}

pub fn migrate(text: &str, target: &MigrationTarget) -> Result<Migration, String> {
    let told = config::decode(text)?;
    let mut json: Value = serde_json::from_str(text).map_err(|error| format!("no JSON: {error}"))?;
    let (mut changed, mut left) = (Vec::new(), Vec::new());
    let settings = json.get_mut("settings").ok_or("settings is missing")?;
    let mut set = |path: &str, value: Value| put(settings, path, value, &mut changed);
    for (path, value) in shape() {
        set(path, value)?;
    }
    if let Some(dispatchers) = target.dispatchers {
        set("balancers", json!(dispatchers))?;
    }
    if let Some(number) = target.number {
        set("selfIndex", json!(number))?;
    }
    if !target.zones.is_empty() {
        set("localities", json!(target.zones))?;
    }
    if let Some(zone) = &target.my_zone {
        set("myZone", json!(zone))?;
    }
    let at = |path: &str| settings.pointer(&format!("/{}", path.replace('.', "/")));
    let mut leave = |what: String| left.push(what);
    let number = |path: &str| at(path).and_then(Value::as_u64);
    let (dispatchers, nth) =
        (number("balancers").unwrap_or_default(), number("selfIndex").unwrap_or_default());
    if nth >= dispatchers {
        return Err(format!(
            "settings.selfIndex {nth} is not below settings.balancers {dispatchers}: --number"
        ));
    }
    if target.dispatchers.is_none() {
        leave(format!("settings.balancers stays {dispatchers}: --dispatchers tells the new number"));
    }
    let zones: Vec<&str> =
        at("localities").and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_str).collect();
    let my_zone = at("myZone").and_then(Value::as_str).unwrap_or_default();
    if !zones.is_empty() && !zones.contains(&my_zone) {
        return Err(format!("settings.myZone '{my_zone}' is not in settings.localities: --my-zone"));
    }
    if zones.len() != 2 {
        leave(format!("settings.localities stays at {} zones, not two: --zones tells them", zones.len()));
    }
    if at("familyInfo.tellsStart") != Some(&json!(true)) {
        leave("settings.familyInfo.tellsStart is not true: without it no work moves before it starts".into());
    }
    if at("familyInfo.classStretch").is_none() {
        leave("settings.familyInfo.classStretch is missing: objectives do not grow with the work".into());
    }
    for field in ["x0", "outstanding"] {
        if !told.decoded.report_fields.iter().any(|known| known == field) {
            leave(format!("settings.report.fields lacks {field}: a runner's slots cannot be learnt"));
        }
    }
    if at("invariants.askWithin").is_some() {
        leave("settings.invariants.askWithin is kept and no longer read: the list is sent unasked".into());
    }
    let known = json.pointer("/known/instances").and_then(Value::as_array).map_or(0, Vec::len);
    if known > 0 {
        // A size of the old shape would be taken for the greatest of its kind at rest, for good.
        json["known"] = json!({"generation": 0, "reset": true, "instances": []});
        changed.push(format!("known: {known} runners -> none"));
        leave(format!("known: {known} runners were of the old shape; the list is sent at the start"));
    }
    let text = serde_json::to_string_pretty(&json).map_err(|error| error.to_string())? + "\n";
    config::decode(&text).map_err(|fault| format!("the result could not be served: {fault}"))?;
    Ok(Migration { text, changed, not_carried_over: left })
}

/// Sets one setting by its path, with what lies between made where it is missing.
fn put(settings: &mut Value, path: &str, value: Value, changed: &mut Vec<String>) -> Result<(), String> {
    let mut place = settings;
    for name in path.split('.') {
        if place.is_null() {
            *place = json!({});
        }
        let fields = place.as_object_mut().ok_or_else(|| format!("settings.{path}: not an object"))?;
        place = fields.entry(name).or_insert(Value::Null);
    }
    if *place != value {
        changed.push(format!("settings.{path}: {place} -> {value}"));
        *place = value;
    }
    Ok(())
}

/// Writes all of it or nothing, and over no file that is there: that may be the way back.
pub fn write(text: &str, to: &str) -> Result<(), String> {
    let fault = |error: std::io::Error| format!("{to}: {error}; nothing was written");
    let part = format!("{to}.part-{}", std::process::id());
    let all = |part: &str| {
        let mut file = OpenOptions::new().write(true).create_new(true).open(part)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::hard_link(part, to)
    };
    let done = all(&part).map_err(fault);
    if Path::new(&part).exists() {
        fs::remove_file(&part).map_err(|error| format!("{part}: {error}"))?;
    }
    done
}
