use crate::{Id, Micros};

/// What a dispatcher is told once, at its start. Only what the brain reads is kept.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub operations: Vec<Operation>,
    pub dispatchers: u32,
    /// This one's own number among them.
    pub dispatcher_index: u32,
    pub own_zone: Id,
    /// Whether a crossing of zones costs something.
    pub cross_zone_is_priced: bool,
    /// Whether a new connection costs something, or one that is kept.
    pub connections_are_priced: bool,
    /// Runners close a connection that has been idle for this long.
    pub idle_timeout: Micros,
    pub must_subscribe: bool,
    pub notification_deadline: Micros,
    pub cold_capacity_share: f64,
    pub warm_up_span: Micros,
    pub overload_factor: f64,
    pub overload_window: Micros,
    /// Whether dispatchers agree on portions of cold runners' budgets, in place of even shares.
    pub slow_start_is_shared: bool,
    pub max_forwards: u32,
    pub retry_budget: Option<RetryBudget>,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// The longest come-back advice that a client follows; `None` where advice is not handed on.
    pub max_retry_after: Option<Micros>,
    pub report_fields: Vec<ReportField>,
    pub size_source: SizeSource,
    /// Whether runners tell when a job starts.
    pub reports_start: bool,
    /// The gap between progress notes; 0 where there are none.
    pub progress_interval: Micros,
}

impl Settings {
    /// Whether a probe may be sent and tells what a runner holds. One that tells only that it lives says nothing
    /// that a forward would not, and costs as much.
    pub fn can_probe_load(&self) -> bool {
        self.may_probe && self.report_fields.contains(&ReportField::InFlight)
    }

    /// Whether nothing tells what runners hold.
    pub fn load_is_unknown(&self) -> bool {
        !self.roster_reports_load() && !self.report_fields.contains(&ReportField::InFlight)
    }

    /// Whether the list is where runners' load is told.
    pub fn roster_reports_load(&self) -> bool {
        self.size_source == SizeSource::Live
    }

    pub fn field(&self, report: &[f64], field: ReportField) -> Option<f64> {
        let nth = self.report_fields.iter().position(|f| *f == field)?;
        report.get(nth).copied()
    }

    /// Slots that a new job could have: none where one waits. What it lacks is then memory, or more slots
    /// than are free, and what comes after it waits as well.
    pub fn free_slots(&self, report: &[f64]) -> Option<f64> {
        let free = self.field(report, ReportField::FreeSlots)?;
        let blocked = self.field(report, ReportField::Waiting).is_some_and(|waiting| waiting > 0.5);
        Some(if blocked { 0.0 } else { free })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// Whether anything new can be of it.
    pub in_use: bool,
    pub latency_objective: Micros,
    pub effect: Effect,
    pub deduplication_window: Micros,
    pub billed_value: f64,
    pub late_value_share: f64,
    /// The objective grows by this many times the job's own work.
    pub objective_stretch: f64,
    /// The one kind of machine that runs it, where only one does.
    pub machine_type: Option<Id>,
}

/// What forwards beyond each invocation's first may number in any window: so many, and a share of the
/// invocations taken in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub floor: f64,
    pub share: f64,
    pub window: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated(DeduplicationScope),
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

/// What the roster's sizes are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SizeSource {
    #[default]
    Unknown,
    Registered,
    /// The registered size over 1 + jobs held a core, from a while back.
    Live,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    InFlight,
    Waiting,
    FreeSlots,
    Other,
}
