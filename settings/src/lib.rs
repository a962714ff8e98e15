//! A deployment's settings, decoded once: what the brain reads into standing orders, and the few figures that
//! whoever carries out its actions needs beside them. The one decoder for every protocol.
//!
//! Settings come as pairs of path and value; a list of plain values is one value with commas, a list of
//! objects has a `count`. What is not read here is passed over. It must never guess: a value that is missing
//! or out of range is a fault that names its path.

use std::collections::BTreeMap;
use std::str::FromStr;

use topazsail::{
    DeduplicationScope, Effect, Micros, Operation, ReportField, RetryBudget, Settings, SizeSource,
};

struct Info<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Info<'a> {
    fn text(&self, path: &str) -> Result<&'a str, String> {
        self.0.get(path).copied().ok_or_else(|| format!("{path} is missing"))
    }

    fn value<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let text = self.text(path)?;
        text.parse().map_err(|_| format!("{path} has the bad value '{text}'"))
    }

    fn value_or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        match self.0.get(path) {
            None | Some(&"" | &"-") => Ok(absent),
            Some(_) => self.value(path),
        }
    }

    fn within<T: FromStr + PartialOrd>(&self, path: &str, least: T, most: T) -> Result<T, String> {
        let value = self.value(path)?;
        if least <= value && value <= most { Ok(value) } else { Err(format!("{path} is out of range")) }
    }

    fn list(&self, path: &str) -> impl Iterator<Item = &'a str> {
        self.0.get(path).copied().unwrap_or_default().split(',').filter(|text| !text.is_empty())
    }

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
        let memory_span = match effect {
            Effect::Deduplicated(_) => self.within(&path("memorySpan"), 0, SPAN)?,
            _ => 0,
        };
        let kind = match self.list("familyInfo.classKind").nth(index) {
            None | Some("-1" | "-") => None,
            Some(text) => {
                let named = text.parse().ok().and_then(|nth| self.list("kinds").nth(nth));
                Some(named.ok_or_else(|| format!("familyInfo.classKind has the bad value '{text}'"))?)
            }
        };
        Ok(Operation {
            in_use: true,
            latency_objective: self.within(&path("latencyObjective"), 0, SPAN)?,
            effect,
            deduplication_window: memory_span,
            billed_value: self.within(&path("billedValue"), 0.0, f64::MAX)?,
            late_value_share: self.value_or(&path("lateBilledValue"), 0.0)?,
            objective_stretch: match self.list("familyInfo.classStretch").nth(index) {
                None | Some("-") => 0.0,
                Some(text) => text
                    .parse()
                    .ok()
                    .filter(|stretch| (0.0..=1e6).contains(stretch))
                    .ok_or_else(|| format!("familyInfo.classStretch has the bad value '{text}'"))?,
            },
            machine_type: kind.map(Into::into),
        })
    }

    /// All of its three figures, or none.
    fn budget(&self) -> Result<Option<RetryBudget>, String> {
        let paths = ["invariants.extraFloor", "invariants.repeatRatio", "invariants.extraWindow"];
        let absent = |path: &&str| matches!(self.0.get(path), None | Some(&"" | &"-"));
        if paths.iter().all(absent) {
            return Ok(None);
        }
        let [floor, share, window] = paths;
        Ok(Some(RetryBudget {
            floor: self.within(floor, 0.0, f64::MAX)?,
            share: self.within(share, 0.0, f64::MAX)?,
            window: self.within(window, 1, SPAN)?,
        }))
    }

    fn report_field(&self, name: &str) -> ReportField {
        match name {
            "outstanding" => ReportField::InFlight,
            "backlog" => ReportField::Waiting,
            // One wire cannot carry a space, the other one can.
            "x0" if matches!(self.0.get("familyInfo.reportX0"), Some(&"free_slots" | &"free slots")) => {
                ReportField::FreeSlots
            }
            _ => ReportField::Other,
        }
    }
}

/// No span of the settings is longer: about two years.
const SPAN: i64 = 1 << 46;

#[derive(Debug)]
pub struct DecodedSettings {
    pub settings: Settings,
    /// Names of the operations, in the order of the standing orders.
    pub operations: Vec<String>,
    /// Names of the values of a load report, in the order of the standing orders.
    pub report_fields: Vec<String>,
    /// A connection that is not up by then counts as never up.
    pub dial_timeout: Micros,
    /// Runners close a connection that has been idle for this long.
    pub idle_timeout: Micros,
    /// How many invocations a dispatcher may hold.
    pub open_cap: usize,
    /// The longest that any client waits.
    pub longest_timeout: Micros,
}

pub fn decode<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Result<DecodedSettings, String> {
    let info = Info(pairs.into_iter().collect());
    let (mut operations, mut names, mut longest_timeout) = (Vec::new(), Vec::new(), 0);
    for index in 0..info.value("operations.count")? {
        let timeout = info.within(&format!("operations.{index}.clientTimeout"), 1, SPAN)?;
        longest_timeout = timeout.max(longest_timeout);
        names.push(info.text(&format!("operations.{index}.name"))?.to_owned());
        operations.push(info.operation(index)?);
    }
    let must_subscribe = match info.text("registryMode")? {
        "automatic" => false,
        "subscribe" => true,
        other => return Err(format!("registryMode has the bad value '{other}'")),
    };
    let idle_timeout = info.value_or("limits.idleClose", 60_000_000)?.clamp(1, SPAN);
    let flag = |path: &str| info.value_or(path, false);
    let settings = Settings {
        operations,
        dispatchers: info.within("balancers", 1, u32::MAX)?,
        dispatcher_index: info.value_or("selfIndex", 0)?,
        own_zone: info.0.get("myZone").copied().unwrap_or_default().into(),
        cross_zone_is_priced: info.value_or("prices.crossZone", 0.0)? > 0.0,
        connections_are_priced: info.value_or("prices.handshake", 0.0)? > 0.0
            || info.value_or("prices.connection", 0.0)? > 0.0,
        idle_timeout,
        must_subscribe,
        // Where lists are pushed, a change counts as told though nobody listens: whoever has to listen on sockets is
        // to be without a watch for no longer than a drain leaves.
        notification_deadline: match must_subscribe {
            true => info.within("invariants.askWithin", 1, SPAN)?,
            false => info.value_or("invariants.drainGrace", SPAN)?.clamp(1, SPAN),
        },
        cold_capacity_share: info.within("invariants.coldFrom", 0.0, 1.0)?,
        warm_up_span: info.within("invariants.warmWithin", 0, SPAN)?,
        overload_factor: info.within("invariants.overloadFactor", 0.0, f64::MAX)?,
        overload_window: info.within("invariants.tipAfter", 0, SPAN)?,
        slow_start_is_shared: false,
        max_forwards: info.within("limits.mostForwards", 1, u32::MAX)?,
        retry_budget: info.budget()?,
        may_cancel: flag("limits.cancel")?,
        may_probe: flag("limits.probes")?,
        max_retry_after: match flag("limits.retryAfter")? {
            true => Some(info.within("limits.maxRetryAfter", 0, SPAN)?),
            false => None,
        },
        report_fields: info.list("report.fields").map(|name| info.report_field(name)).collect(),
        size_source: match info.0.get("weights").copied() {
            None | Some("" | "-" | "off") => SizeSource::Unknown,
            Some("nominal" | "rough") => SizeSource::Registered,
            Some("live") => SizeSource::Live,
            Some(other) => return Err(format!("weights has the bad value '{other}'")),
        },
        reports_start: flag("familyInfo.tellsStart")?,
        progress_interval: info.value_or("familyInfo.progress", 0)?,
    };
    Ok(DecodedSettings {
        settings,
        operations: names,
        report_fields: info.list("report.fields").map(str::to_owned).collect(),
        dial_timeout: info.value_or("limits.dialTimeout", 250_000)?.clamp(1, SPAN),
        idle_timeout,
        open_cap: info.value_or("limits.openCap", usize::MAX)?,
        longest_timeout,
    })
}
