//! `topazsail store`: reports what a store folder holds, as text or JSON, also if it is damaged.
//!
//! The report only reads and takes no lock, so a dispatcher may be using the folder meanwhile.

use std::fmt::Write;
use std::path::Path;

use serde_json::{Value, json};
use topazsail_store::stored_types::{
    self, StoredOverride, StoredRoster, StoredSettings, StoredSlowStartUsage,
};
use topazsail_store::{DirectoryDisk, IntegrityWarning, Record, WriteError, inspect};

/// The report on a store folder.
pub struct StoreReport {
    /// What to print.
    pub text: String,
    /// No integrity warning was found.
    pub is_intact: bool,
}

/// The value of a record as JSON; only its length if it decodes as no known type.
fn record_as_json(record: &Record) -> Value {
    if let Some(roster) = stored_types::decode::<StoredRoster>(record) {
        let list: Value = serde_json::from_str(&roster.json).unwrap_or_default();
        let runners = list.get("instances").and_then(Value::as_array).map_or(0, Vec::len);
        return json!({
            "discovery": roster.discovery, "generation": roster.generation, "runners": runners, "list": list,
        });
    }
    if let Some(admin_override) = stored_types::decode::<StoredOverride>(record) {
        return json!({
            "out_since": admin_override.out_since, "was_out": admin_override.was_out,
            "count": admin_override.count, "author": admin_override.author, "calls": admin_override.calls,
        });
    }
    if let Some(usage) = stored_types::decode::<StoredSlowStartUsage>(record) {
        return json!({"runners": usage.runners});
    }
    if let Some(settings) = stored_types::decode::<StoredSettings>(record) {
        let version = format!("{:016x}", settings.version);
        return json!({"version": version, "configuration": serde_json::from_str::<Value>(&settings.json).ok()});
    }
    json!({"bytes": record.value.as_ref().map_or(0, Vec::len)})
}

/// The value of a record, shortened for a line of the table.
fn summarize_record(record: &Record) -> String {
    match record_as_json(record) {
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
            Some(since) => format!("out since {}", format_seconds(since)),
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

/// A time in microseconds as seconds with three decimals.
fn format_seconds(at: i64) -> String {
    format!("{:.3}", at as f64 / 1e6)
}

/// Reports what `folder` holds; with `all`, also each record.
///
/// # Errors
///
/// The folder does not exist or cannot be read.
pub fn report_store(folder: &Path, all: bool, as_json: bool) -> Result<StoreReport, String> {
    let describe = |reason: String| format!("--folder {}: {reason}", folder.display());
    if !folder.is_dir() {
        return Err(describe("no such folder".to_owned()));
    }
    let inspection = inspect(&mut DirectoryDisk::new(folder)).map_err(|error| describe(error.to_string()))?;
    let found = &inspection.summary;
    let warnings: Vec<String> = found.warnings.iter().map(IntegrityWarning::to_string).collect();
    let is_intact = warnings.is_empty();
    if as_json {
        let records = inspection.records.values().filter(|_| all).map(|record| {
            json!({
                "table": stored_types::table_name(record.table), "key": record.key, "form": record.form, "boot": record.boot,
                "written": record.written, "value": record_as_json(record),
            })
        });
        let whole = json!({
            "owner": inspection.owner, "store": format!("{:016x}", inspection.store), "boot": found.boot, "clean": found.ended_cleanly,
            "torn": found.torn_bytes, "written": found.last_written, "doubts": warnings, "empty": found.is_new,
            "unwritten": found.write_error.as_ref().map(WriteError::to_string),
            "files": inspection.files.iter().map(|(name, bytes)| json!({"name": name, "bytes": bytes})).collect::<Vec<_>>(),
            "records": records.collect::<Vec<_>>(),
        });
        return Ok(StoreReport { text: format!("{whole:#}\n"), is_intact });
    }
    let mut text = String::new();
    let mut line = |name: &str, value: &dyn std::fmt::Display| _ = writeln!(text, "{name:<9} {value}");
    if found.is_new {
        line("state", &"empty: no dispatcher has kept anything here");
        return Ok(StoreReport { text, is_intact });
    }
    line("owner", &inspection.owner.as_deref().unwrap_or("not known"));
    line("boot", &found.boot);
    let ended =
        if found.ended_cleanly { "the last life ended as it should" } else { "cut short, or still going on" };
    line("state", &ended);
    line("written", &format_seconds(found.last_written));
    inspection.files.iter().for_each(|(name, bytes)| line("file", &format!("{name}, {bytes} bytes")));
    if found.torn_bytes > 0 {
        line("torn", &format!("{} bytes at the end are no record", found.torn_bytes));
    }
    warnings.iter().for_each(|warning| line("doubt", warning));
    line("records", &inspection.records.len());
    if all {
        let columns = ("table", "key", "boot", "written", "value");
        let _ = writeln!(
            text,
            "{:<9} {:<20} {:>5} {:>17} {}",
            columns.0, columns.1, columns.2, columns.3, columns.4
        );
        for record in inspection.records.values() {
            let (table, written) = (stored_types::table_name(record.table), format_seconds(record.written));
            let key = record.key.escape_debug().to_string();
            let summary = summarize_record(record);
            let _ = writeln!(text, "{table:<9} {key:<20} {:>5} {written:>17} {summary}", record.boot);
        }
    }
    Ok(StoreReport { text, is_intact })
}

#[cfg(test)]
mod tests;
