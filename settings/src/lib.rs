//! Decodes the settings of a deployment: what the routing policy uses, as [`Settings`], and the few values
//! that an adapter needs besides. It is the only decoder, for every protocol.
//!
//! Settings are given as pairs of path and value. A list of plain values is one value with commas; a list of
//! objects has a `count`. Paths that are not used are ignored. Nothing is guessed: a value that is missing or
//! out of range is an error that names its path.

use std::collections::BTreeMap;
use std::str::FromStr;

use topazsail::{
    DeduplicationScope, Effect, Micros, Operation, ReportField, RetryBudget, Settings, SizeSource,
};

/// The settings as given: values by path. All errors name the path.
struct RawSettings<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> RawSettings<'a> {
    /// The value of a path, which must be there.
    fn text(&self, path: &str) -> Result<&'a str, String> {
        self.0.get(path).copied().ok_or_else(|| format!("{path} is missing"))
    }

    /// The parsed value of a path, which must be there.
    fn value<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let text = self.text(path)?;
        text.parse().map_err(|_| format!("{path} has the bad value '{text}'"))
    }

    /// The parsed value of a path; `default` if it is missing, empty or `-`.
    fn value_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, String> {
        match self.0.get(path) {
            None | Some(&"" | &"-") => Ok(default),
            Some(_) => self.value(path),
        }
    }

    /// The parsed value of a path, which must be from `min` to `max`.
    fn value_within<T: FromStr + PartialOrd>(&self, path: &str, min: T, max: T) -> Result<T, String> {
        let value = self.value(path)?;
        if min <= value && value <= max { Ok(value) } else { Err(format!("{path} is out of range")) }
    }

    /// The items of a list of plain values; none if the path is missing.
    fn list(&self, path: &str) -> impl Iterator<Item = &'a str> {
        self.0.get(path).copied().unwrap_or_default().split(',').filter(|text| !text.is_empty())
    }

    /// Decodes an operation.
    fn operation(&self, index: usize) -> Result<Operation, String> {
        let path = |name: &str| format!("operations.{index}.{name}");
        let effect = match self.text(&path("effect"))? {
            "idempotent" => Effect::Idempotent,
            "at_most_once" => Effect::NonIdempotent,
            "deduplicated" => Effect::Deduplicated(match self.text(&path("group"))? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return Err(format!("{} has the bad value '{other}'", path("group"))),
            }),
            other => return Err(format!("{} has the bad value '{other}'", path("effect"))),
        };
        let deduplication_window = match effect {
            Effect::Deduplicated(_) => self.value_within(&path("memorySpan"), 0, MAX_SPAN)?,
            _ => 0,
        };
        let machine_type = match self.list("familyInfo.classKind").nth(index) {
            None | Some("-1" | "-") => None,
            Some(text) => {
                let named = text.parse().ok().and_then(|nth| self.list("kinds").nth(nth));
                Some(named.ok_or_else(|| format!("familyInfo.classKind has the bad value '{text}'"))?)
            }
        };
        Ok(Operation {
            in_use: true,
            latency_objective: self.value_within(&path("latencyObjective"), 0, MAX_SPAN)?,
            effect,
            deduplication_window,
            billed_value: self.value_within(&path("billedValue"), 0.0, f64::MAX)?,
            late_value_share: self.value_or(&path("lateBilledValue"), 0.0)?,
            objective_stretch: match self.list("familyInfo.classStretch").nth(index) {
                None | Some("-") => 0.0,
                Some(text) => text
                    .parse()
                    .ok()
                    .filter(|stretch| (0.0..=1e6).contains(stretch))
                    .ok_or_else(|| format!("familyInfo.classStretch has the bad value '{text}'"))?,
            },
            machine_type: machine_type.map(Into::into),
        })
    }

    /// Decodes the retry budget: all three of its values have to be set, or none.
    fn retry_budget(&self) -> Result<Option<RetryBudget>, String> {
        let paths = ["invariants.extraFloor", "invariants.repeatRatio", "invariants.extraWindow"];
        let is_absent = |path: &&str| matches!(self.0.get(path), None | Some(&"" | &"-"));
        if paths.iter().all(is_absent) {
            return Ok(None);
        }
        let [floor, share, window] = paths;
        Ok(Some(RetryBudget {
            floor: self.value_within(floor, 0.0, f64::MAX)?,
            share: self.value_within(share, 0.0, f64::MAX)?,
            window: self.value_within(window, 1, MAX_SPAN)?,
        }))
    }

    /// The field of a load report that has this name.
    fn report_field(&self, name: &str) -> ReportField {
        match name {
            "outstanding" => ReportField::InFlight,
            "backlog" => ReportField::Waiting,
            // Spelt with a space or with an underscore: one of the protocols cannot carry a space.
            "x0" if matches!(self.0.get("familyInfo.reportX0"), Some(&"free_slots" | &"free slots")) => {
                ReportField::FreeSlots
            }
            _ => ReportField::Other,
        }
    }
}

/// The longest span allowed in the settings, in microseconds: about two years.
const MAX_SPAN: i64 = 1 << 46;

/// All decoded settings of a deployment.
#[derive(Debug)]
pub struct DecodedSettings {
    /// What the routing policy uses.
    pub settings: Settings,
    /// Names of the operations, in the order of `settings.operations`.
    pub operation_names: Vec<String>,
    /// Names of the values of a load report, in the order of `settings.report_fields`.
    pub report_fields: Vec<String>,
    /// A connection that is not open after this time counts as failed.
    pub dial_timeout: Micros,
    /// Runners close a connection that has been idle for this long.
    pub idle_timeout: Micros,
    /// Maximum number of invocations that a dispatcher may hold.
    pub max_open: usize,
    /// The longest timeout of any client.
    pub longest_client_timeout: Micros,
}

/// Decodes pairs of path and value. Errors name the path and say what is wrong with its value.
pub fn decode<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Result<DecodedSettings, String> {
    let raw = RawSettings(pairs.into_iter().collect());
    let (mut operations, mut operation_names, mut longest_client_timeout) = (Vec::new(), Vec::new(), 0);
    for index in 0..raw.value("operations.count")? {
        let timeout = raw.value_within(&format!("operations.{index}.clientTimeout"), 1, MAX_SPAN)?;
        longest_client_timeout = timeout.max(longest_client_timeout);
        operation_names.push(raw.text(&format!("operations.{index}.name"))?.to_owned());
        operations.push(raw.operation(index)?);
    }
    let must_subscribe = match raw.text("registryMode")? {
        "automatic" => false,
        "subscribe" => true,
        other => return Err(format!("registryMode has the bad value '{other}'")),
    };
    let idle_timeout = raw.value_or("limits.idleClose", 60_000_000)?.clamp(1, MAX_SPAN);
    let flag = |path: &str| raw.value_or(path, false);
    let settings = Settings {
        operations,
        dispatchers: raw.value_within("balancers", 1, u32::MAX)?,
        dispatcher_index: raw.value_or("selfIndex", 0)?,
        own_zone: raw.0.get("myZone").copied().unwrap_or_default().into(),
        cross_zone_is_priced: raw.value_or("prices.crossZone", 0.0)? > 0.0,
        connections_are_priced: raw.value_or("prices.handshake", 0.0)? > 0.0
            || raw.value_or("prices.connection", 0.0)? > 0.0,
        idle_timeout,
        must_subscribe,
        // Where rosters are pushed, dispatchers count as notified of a change even if they do not receive it.
        // A dispatcher that gets them over a socket must therefore not be without a subscription for longer
        // than the grace period of a drain.
        notification_deadline: match must_subscribe {
            true => raw.value_within("invariants.askWithin", 1, MAX_SPAN)?,
            false => raw.value_or("invariants.drainGrace", MAX_SPAN)?.clamp(1, MAX_SPAN),
        },
        cold_capacity_share: raw.value_within("invariants.coldFrom", 0.0, 1.0)?,
        warm_up_span: raw.value_within("invariants.warmWithin", 0, MAX_SPAN)?,
        overload_factor: raw.value_within("invariants.overloadFactor", 0.0, f64::MAX)?,
        overload_window: raw.value_within("invariants.tipAfter", 0, MAX_SPAN)?,
        slow_start_is_shared: false,
        max_forwards: raw.value_within("limits.mostForwards", 1, u32::MAX)?,
        retry_budget: raw.retry_budget()?,
        may_cancel: flag("limits.cancel")?,
        may_probe: flag("limits.probes")?,
        max_retry_after: match flag("limits.retryAfter")? {
            true => Some(raw.value_within("limits.maxRetryAfter", 0, MAX_SPAN)?),
            false => None,
        },
        report_fields: raw.list("report.fields").map(|name| raw.report_field(name)).collect(),
        size_source: match raw.0.get("weights").copied() {
            None | Some("" | "-" | "off") => SizeSource::Unknown,
            Some("nominal" | "rough") => SizeSource::Registered,
            Some("live") => SizeSource::Live,
            Some(other) => return Err(format!("weights has the bad value '{other}'")),
        },
        reports_start: flag("familyInfo.tellsStart")?,
        progress_interval: raw.value_or("familyInfo.progress", 0)?,
    };
    Ok(DecodedSettings {
        settings,
        operation_names,
        report_fields: raw.list("report.fields").map(str::to_owned).collect(),
        dial_timeout: raw.value_or("limits.dialTimeout", 250_000)?.clamp(1, MAX_SPAN),
        idle_timeout,
        max_open: raw.value_or("limits.openCap", usize::MAX)?,
        longest_client_timeout,
    })
}
