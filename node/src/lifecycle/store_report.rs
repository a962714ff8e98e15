//! `topazsail store`: what a folder holds, for people and for scripts, also where it is spoilt.
//!
//! It only reads: it takes no lock, so that a dispatcher may be using the folder meanwhile, and changes nothing.

use std::fmt::Write;
use std::path::Path;

use serde_json::{Value, json};
use topazsail_store::stored_types::{
    self, StoredOverride, StoredRoster, StoredSettings, StoredSlowStartUsage,
};
use topazsail_store::{DirectoryDisk, IntegrityWarning, Record, WriteError, inspect};

/// What is said, and whether all is well.
pub struct StoreReport {
    pub text: String,
    pub is_intact: bool,
}

fn value(record: &Record) -> Value {
    if let Some(list) = stored_types::value::<StoredRoster>(record) {
        let list_json: Value = serde_json::from_str(&list.json).unwrap_or_default();
        let runners = list_json.get("instances").and_then(Value::as_array).map_or(0, Vec::len);
        return json!({
            "discovery": list.discovery, "generation": list.generation, "runners": runners, "list": list_json,
        });
    }
    if let Some(hand) = stored_types::value::<StoredOverride>(record) {
        return json!({
            "out_since": hand.out_since, "was_out": hand.was_out, "count": hand.count, "author": hand.author,
        });
    }
    if let Some(spent) = stored_types::value::<StoredSlowStartUsage>(record) {
        return json!({"runners": spent.runners});
    }
    if let Some(settings) = stored_types::value::<StoredSettings>(record) {
        let version = format!("{:016x}", settings.version);
        return json!({"version": version, "configuration": serde_json::from_str::<Value>(&settings.json).ok()});
    }
    json!({"bytes": record.value.as_ref().map_or(0, Vec::len)})
}

/// One line of a table: the value in short.
fn short(record: &Record) -> String {
    match value(record) {
        Value::Object(fields) if fields.contains_key("list") => format!(
            "{} runners, generation {}, from {}",
            fields["runners"],
            fields["generation"],
            fields["discovery"].as_str().unwrap_or_default()
        ),
        Value::Object(fields) if fields.contains_key("configuration") => {
            format!("version {}", fields["version"].as_str().unwrap_or_default())
        }
        Value::Object(fields) if fields.contains_key("out_since") => match fields["out_since"].as_i64() {
            Some(since) => format!("out since {}", seconds(since)),
            None => "back".to_owned(),
        },
        other => {
            let text = other.to_string();
            if text.chars().count() > 60 {
                text.chars().take(57).chain("...".chars()).collect()
            } else {
                text
            }
        }
    }
}

fn seconds(at: i64) -> String {
    format!("{:.3}", at as f64 / 1e6)
}

/// What `folder` holds; with `all`, each record as well.
pub fn report_store(folder: &Path, all: bool, as_json: bool) -> Result<StoreReport, String> {
    let fault = |why: String| format!("--folder {}: {why}", folder.display());
    if !folder.is_dir() {
        return Err(fault("no such folder".to_owned()));
    }
    let inspection = inspect(&mut DirectoryDisk::new(folder)).map_err(|error| fault(error.to_string()))?;
    let found = &inspection.found;
    let doubts: Vec<String> = found.doubts.iter().map(IntegrityWarning::to_string).collect();
    let well = doubts.is_empty();
    if as_json {
        let records = inspection.records.values().filter(|_| all).map(|record| {
            json!({
                "table": stored_types::name(record.table), "key": record.key, "form": record.form, "boot": record.boot,
                "written": record.written, "value": value(record),
            })
        });
        let whole = json!({
            "owner": inspection.owner, "store": format!("{:016x}", inspection.store), "boot": found.boot, "clean": found.clean,
            "torn": found.torn, "written": found.written, "doubts": doubts, "empty": found.fresh,
            "unwritten": found.unwritten.as_ref().map(WriteError::to_string),
            "files": inspection.files.iter().map(|(name, bytes)| json!({"name": name, "bytes": bytes})).collect::<Vec<_>>(),
            "records": records.collect::<Vec<_>>(),
        });
        return Ok(StoreReport { text: format!("{whole:#}\n"), is_intact: well });
    }
    let mut text = String::new();
    let mut line = |name: &str, value: &dyn std::fmt::Display| _ = writeln!(text, "{name:<9} {value}");
    if found.fresh {
        line("state", &"empty: no dispatcher has kept anything here");
        return Ok(StoreReport { text, is_intact: well });
    }
    line("owner", &inspection.owner.as_deref().unwrap_or("not known"));
    line("boot", &found.boot);
    let ended = if found.clean { "the last life ended as it should" } else { "cut short, or still going on" };
    line("state", &ended);
    line("written", &seconds(found.written));
    inspection.files.iter().for_each(|(name, bytes)| line("file", &format!("{name}, {bytes} bytes")));
    if found.torn > 0 {
        line("torn", &format!("{} bytes at the end are no record", found.torn));
    }
    doubts.iter().for_each(|doubt| line("doubt", doubt));
    line("records", &inspection.records.len());
    if all {
        let head = ("table", "key", "boot", "written", "value");
        let _ = writeln!(text, "{:<9} {:<20} {:>5} {:>17} {}", head.0, head.1, head.2, head.3, head.4);
        for record in inspection.records.values() {
            let (table, at) = (stored_types::name(record.table), seconds(record.written));
            let key = record.key.escape_debug().to_string();
            let short = short(record);
            let _ = writeln!(text, "{table:<9} {key:<20} {:>5} {at:>17} {short}", record.boot);
        }
    }
    Ok(StoreReport { text, is_intact: well })
}

#[cfg(test)]
mod tests;
