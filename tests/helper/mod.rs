//! Test harness around one routing policy.

use std::collections::{BTreeMap, BTreeSet};
use topazsail::*;

/// A dispatcher for tests: takes events in short form and records its actions as lines of a trace.
pub struct PolicyHarness {
    policy: RoutingPolicy,
    now: Micros,
    /// Times of the timers that were set and have not fired.
    armed: BTreeSet<Micros>,
    /// Reports of other dispatchers' jobs by runner; runners missing here do not answer probes.
    reports: BTreeMap<String, Vec<f64>>,
    /// The runner of each forward in flight, by invocation.
    in_flight: BTreeMap<String, String>,
    /// One line per action since the trace was last taken.
    trace: String,
}

/// An operation with default values.
pub fn operation(effect: Effect) -> Operation {
    Operation {
        in_use: true,
        latency_objective: 500_000,
        effect,
        deduplication_window: 3_000_000,
        billed_value: 1.0,
        late_value_share: 0.0,
        objective_stretch: 0.0,
        machine_type: None,
    }
}

/// Settings with default values: all features are available, with two dispatchers.
pub fn settings(operations: Vec<Operation>) -> Settings {
    Settings {
        operations,
        dispatchers: 2,
        dispatcher_index: 0,
        own_zone: "east".into(),
        cross_zone_is_priced: false,
        connections_are_priced: false,
        idle_timeout: 60_000_000,
        must_subscribe: true,
        notification_deadline: 10_000_000,
        cold_capacity_share: 0.1,
        warm_up_span: 10_000_000,
        overload_factor: 3.0,
        overload_window: 2_000_000,
        slow_start_is_shared: false,
        max_forwards: 3,
        retry_budget: None,
        may_cancel: true,
        may_probe: true,
        max_retry_after: Some(2_000_000),
        report_fields: vec![ReportField::FreeSlots, ReportField::Waiting, ReportField::InFlight],
        size_source: SizeSource::Unknown,
        reports_start: false,
        progress_interval: 1_000_000,
    }
}

impl PolicyHarness {
    /// A dispatcher with runners `a`, `b`, ..., alternately in the zones east and west.
    pub fn new(settings: Settings, runners: &str) -> PolicyHarness {
        let policy = RoutingPolicy::new(settings, 7);
        let (armed, reports, in_flight) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        let mut harness =
            PolicyHarness { policy, now: 1_000_000, armed, reports, in_flight, trace: String::new() };
        harness.roster(Listing::Remembered, runners, Readiness::Up, None);
        harness
    }

    /// Moves the clock without firing timers.
    pub fn after(&mut self, ms: Micros) -> &mut PolicyHarness {
        self.now += ms * 1000;
        self
    }

    /// Passes an event to the policy, records the actions and answers the probes among them.
    fn apply(&mut self, event: Event) -> &mut PolicyHarness {
        let mut answers = Vec::new();
        for action in self.policy.decide(self.now, vec![event]) {
            let line = match action {
                Action::Log(_) => continue,
                Action::SetTimer { after } => {
                    self.armed.insert(self.now + after);
                    continue;
                }
                Action::Forward { invocation, runner, .. } => {
                    self.in_flight.insert(invocation.to_string(), runner.to_string());
                    format!("{invocation} -> {runner}")
                }
                Action::Cancel { invocation, forward } => format!("cancel {invocation} #{forward}"),
                Action::Throttle { invocation, retry_after } => {
                    format!("throttle {invocation}, back in {retry_after:?}")
                }
                Action::Error { invocation } => format!("error {invocation}"),
                Action::Probe { runner } => {
                    let line = format!("probe {runner}");
                    if let Some(report) = self.report(&runner) {
                        answers.push(Event::ProbeEnded { runner, alive: true, report });
                    }
                    line
                }
                Action::Subscribe => "follow".to_owned(),
            };
            self.trace += &format!("{} {line}\n", self.now / 1000);
        }
        for answer in answers {
            self.apply(answer);
        }
        self
    }

    /// A runner's current report, with own forwards included; `None` if it does not answer probes.
    fn report(&self, runner: &str) -> Option<Vec<f64>> {
        let own = self.in_flight.values().filter(|in_flight| *in_flight == runner).count() as f64;
        let [free, waiting, in_flight] = self.reports.get(runner)?[..] else { return None };
        Some(vec![(free - own).max(0.0), waiting + (own - free).max(0.0), in_flight + own])
    }

    /// A roster update in which these runners have this size.
    pub fn list_sizes(&mut self, runners: &str, size: f64) -> &mut PolicyHarness {
        self.update_roster(Listing::Changes, runners, size, Readiness::Up, None)
    }

    /// A roster update for these runners.
    pub fn roster(
        &mut self,
        listing: Listing,
        runners: &str,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        self.update_roster(listing, runners, 1.0, readiness, started_at);
    }

    /// A roster update for these runners with this size.
    fn update_roster(
        &mut self,
        listing: Listing,
        runners: &str,
        size: f64,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) -> &mut PolicyHarness {
        let entries = runners.bytes().map(|name| RosterEntry {
            runner: (name as char).to_string().into(),
            cell: 0,
            size,
            machine_type: "box".into(),
            zone: if name % 2 == 1 { "east" } else { "west" }.into(),
            readiness,
            started_at,
        });
        let entries = entries.collect();
        self.apply(Event::Roster(Roster { listing, entries }))
    }

    /// An invocation arrives.
    pub fn arrives(&mut self, invocation: &str, operation: usize) -> &mut PolicyHarness {
        self.arrives_with_key(invocation, operation, None)
    }

    /// An invocation with an affinity key arrives.
    pub fn arrives_with_key(
        &mut self,
        invocation: &str,
        operation: usize,
        key: Option<&str>,
    ) -> &mut PolicyHarness {
        self.arrive(invocation, operation, 5_000_000, key, None)
    }

    /// A client's retry arrives 1.5 seconds after its first try.
    pub fn client_retries(&mut self, invocation: &str, operation: usize) -> &mut PolicyHarness {
        self.arrive(invocation, operation, 3_500_000, None, None)
    }

    /// An invocation with a work hint arrives.
    pub fn arrives_with_hint(
        &mut self,
        invocation: &str,
        operation: usize,
        work_hint: Micros,
    ) -> &mut PolicyHarness {
        self.arrive(invocation, operation, 5_000_000, None, Some(work_hint))
    }

    /// An invocation arrives with this time left.
    fn arrive(
        &mut self,
        invocation: &str,
        operation: usize,
        time_left: Micros,
        key: Option<&str>,
        work_hint: Option<Micros>,
    ) -> &mut PolicyHarness {
        let (invocation, key) = (invocation.into(), key.map(Id::from));
        self.apply(Event::Arrival(Arrival { invocation, operation, time_left, slots: 1.0, work_hint, key }))
    }

    /// A forward ends; the policy is given 0.3 seconds as its time.
    pub fn ends(
        &mut self,
        invocation: &str,
        forward: u32,
        result: ForwardResult,
        report: &[f64],
    ) -> &mut PolicyHarness {
        let runner = self.in_flight.remove(invocation).unwrap_or_default().into();
        self.apply(Event::Outcome(Outcome {
            invocation: invocation.into(),
            forward,
            runner,
            result,
            answered: result == ForwardResult::Succeeded,
            elapsed: 300_000,
            report: report.to_vec(),
        }))
    }

    /// Sets a runner's report of other dispatchers' jobs, which it sends now and with every answer to a
    /// probe.
    pub fn reports(&mut self, runner: &str, report: &[f64]) -> &mut PolicyHarness {
        self.reports.insert(runner.to_owned(), report.to_vec());
        self.apply(Event::ProbeEnded { runner: runner.into(), alive: true, report: report.to_vec() })
    }

    /// The number of the forward of an invocation that is in flight.
    pub fn current_forward(&self, invocation: &str) -> Option<u32> {
        let sent = format!(" {invocation} -> ");
        let sent = self.trace.lines().filter(|line| line.contains(&sent)).count() as u32;
        self.in_flight.contains_key(invocation).then(|| sent - 1)
    }

    /// The times of all retries in the trace, in milliseconds.
    pub fn retry_times(&self) -> Vec<Micros> {
        let mut seen = BTreeSet::new();
        let sent = self.trace.lines().filter_map(|line| {
            let (at, rest) = line.split_once(' ')?;
            let (invocation, _) = rest.split_once(" -> ")?;
            (!seen.insert(invocation)).then(|| at.parse().unwrap())
        });
        sent.collect()
    }

    /// This dispatcher's share of a cold runner's budget is `share` for `ms` milliseconds.
    pub fn slow_start_share(&mut self, runner: &str, share: f64, ms: Micros) -> &mut PolicyHarness {
        let until = self.now + ms * 1000;
        self.apply(Event::SlowStartShares(vec![(runner.into(), share, until)]))
    }

    /// The settings change.
    pub fn change_settings(&mut self, settings: Settings) -> &mut PolicyHarness {
        self.apply(Event::SettingsChanged(Box::new(settings)))
    }

    /// The client of an invocation leaves.
    pub fn client_leaves(&mut self, invocation: &str) -> &mut PolicyHarness {
        self.apply(Event::ClientLeft { invocation: invocation.into() })
    }

    /// A runner reports that a forward has started.
    pub fn starts(&mut self, invocation: &str, forward: u32) -> &mut PolicyHarness {
        self.apply(Event::Started { invocation: invocation.into(), forward })
    }

    /// A runner reports an end that may be that of this forward or of an earlier one to it.
    pub fn end_is_unclear(&mut self, invocation: &str, forward: u32) -> &mut PolicyHarness {
        self.apply(Event::EndUnclear { invocation: invocation.into(), forward })
    }

    /// A runner reports an end of this forward that it may report again, as it has turned the job away.
    pub fn is_handed_back(&mut self, invocation: &str, forward: u32) -> &mut PolicyHarness {
        self.apply(Event::EndMayBeRepeated { invocation: invocation.into(), forward });
        self.ends(invocation, forward, ForwardResult::Overloaded, &[])
    }

    /// Moves the clock and fires each timer at its time.
    pub fn advance(&mut self, ms: Micros) -> &mut PolicyHarness {
        let end = self.now + ms * 1000;
        while let Some(at) = self.armed.first().copied().filter(|at| *at <= end) {
            self.armed.remove(&at);
            self.now = at;
            self.apply(Event::TimerFired);
        }
        self.now = end;
        self
    }

    /// Takes the trace and returns the forwards per runner, ordered by name: `a2 b1`.
    pub fn forward_counts(&mut self) -> String {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for runner in std::mem::take(&mut self.trace).lines().filter_map(|line| line.split(" -> ").nth(1)) {
            *counts.entry(runner.to_owned()).or_default() += 1;
        }
        counts.iter().map(|(runner, count)| format!("{runner}{count} ")).collect()
    }

    /// Compares the forwards per runner and the number of probes, where their random order does not matter.
    pub fn expect_counts(&mut self, expected: expect_test::Expect) {
        let probes = self.trace.lines().filter(|line| line.contains(" probe ")).count();
        let counts = self.forward_counts();
        expected.assert_eq(&format!("{counts}probes {probes}"));
    }

    /// The trace since it was last taken.
    pub fn trace(&self) -> &str {
        &self.trace
    }

    /// Takes the trace and compares it.
    pub fn expect_trace(&mut self, expected: expect_test::Expect) {
        expected.assert_eq(&std::mem::take(&mut self.trace));
    }
}
