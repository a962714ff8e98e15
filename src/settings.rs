//! Settings as the routing policy uses them; `topazsail-settings` decodes them.

use crate::{Id, Micros};

/// Settings of a dispatcher, as far as the routing policy uses them.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The operations, by index.
    pub operations: Vec<Operation>,
    /// Number of dispatchers.
    pub dispatchers: u32,
    /// Index of this dispatcher among them.
    pub dispatcher_index: u32,
    /// Zone of this dispatcher.
    pub own_zone: Id,
    /// Whether crossing zones has a price.
    pub cross_zone_is_priced: bool,
    /// Whether opening a connection, or keeping one open, has a price.
    pub connections_are_priced: bool,
    /// Runners close a connection that has been idle for this long.
    pub idle_timeout: Micros,
    /// Whether the roster has to be subscribed to; otherwise it is pushed.
    pub must_subscribe: bool,
    /// Span after which dispatchers count as notified of a roster change.
    pub notification_deadline: Micros,
    /// Share of its capacity that a runner has when it starts.
    pub cold_capacity_share: f64,
    /// Time from its start until a runner has its full capacity.
    pub warm_up_span: Micros,
    /// Overload rule: all dispatchers together must not send a cold runner more than this many times its
    /// capacity within `overload_window`.
    pub overload_factor: f64,
    /// The window of the overload rule.
    pub overload_window: Micros,
    /// Whether dispatchers agree on shares of cold runners' budgets instead of even shares.
    pub slow_start_is_shared: bool,
    /// Maximum number of forwards per invocation, for the operations of the highest value.
    pub max_forwards: u32,
    /// Limit on retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Whether forwards may be cancelled.
    pub may_cancel: bool,
    /// Whether runners may be probed.
    pub may_probe: bool,
    /// The longest retry-after time that clients honour; `None` if none is sent.
    pub max_retry_after: Option<Micros>,
    /// What the values of a load report are, in order.
    pub report_fields: Vec<ReportField>,
    /// What the sizes in the roster are.
    pub size_source: SizeSource,
    /// Whether runners report when a job starts.
    pub reports_start: bool,
    /// Interval of progress reports; 0 if there are none.
    pub progress_interval: Micros,
}

impl Settings {
    /// Whether probes are allowed and report a runner's load. A probe that only shows that a runner is alive
    /// says nothing that a forward would not, and costs as much.
    pub fn can_probe_load(&self) -> bool {
        self.may_probe && self.report_fields.contains(&ReportField::InFlight)
    }

    /// Whether runners' load is not reported by any means.
    pub fn load_is_unknown(&self) -> bool {
        !self.roster_reports_load() && !self.report_fields.contains(&ReportField::InFlight)
    }

    /// Whether runners' load is reported through the sizes in the roster.
    pub fn roster_reports_load(&self) -> bool {
        self.size_source == SizeSource::Live
    }

    /// The value of a field in a report; `None` if the report does not have it.
    pub fn field(&self, report: &[f64], field: ReportField) -> Option<f64> {
        let nth = self.report_fields.iter().position(|f| *f == field)?;
        report.get(nth).copied()
    }

    /// Free slots for a new job; 0 if any job waits. A job that waits although slots are free lacks memory or
    /// needs more slots than are free, and a new job has to wait behind it.
    pub fn free_slots(&self, report: &[f64]) -> Option<f64> {
        let free = self.field(report, ReportField::FreeSlots)?;
        let blocked = self.field(report, ReportField::Waiting).is_some_and(|waiting| waiting > 0.5);
        Some(if blocked { 0.0 } else { free })
    }
}

/// What the policy knows about an operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// Whether new invocations may use it.
    pub in_use: bool,
    /// Target latency of its invocations.
    pub latency_objective: Micros,
    /// Whether its invocations may run more than once.
    pub effect: Effect,
    /// How long runners remember an invocation for deduplication.
    pub deduplication_window: Micros,
    /// Value of an invocation that meets its objective.
    pub billed_value: f64,
    /// Share of its value that a late invocation keeps.
    pub late_value_share: f64,
    /// The objective grows by this many times the job's own work.
    pub objective_stretch: f64,
    /// The only machine type that runs it, if there is one.
    pub machine_type: Option<Id>,
}

/// Limit on the forwards beyond each invocation's first within any window: `floor` plus `share` times the
/// invocations that arrived in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window.
    pub floor: f64,
    /// Additional retries per invocation that arrived in the window.
    pub share: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Whether an invocation may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Idempotent,
    /// Runners within the scope run it only once within the deduplication window.
    Deduplicated(DeduplicationScope),
    /// It must run once at most.
    NonIdempotent,
}

/// Which runners share the memory of a deduplicated invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All runners.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// What the sizes in the roster are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SizeSource {
    /// The roster has no sizes.
    #[default]
    Unknown,
    /// Registered sizes, which do not depend on load.
    Registered,
    /// Registered size divided by 1 + jobs per core, with some delay.
    Live,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Jobs that the runner holds, running or waiting.
    InFlight,
    /// Jobs that wait in the runner.
    Waiting,
    /// Slots that no job uses.
    FreeSlots,
    /// A value that the policy does not use.
    Other,
}
