use std::collections::{BTreeMap, BTreeSet};
use topazsail::*;

/// One dispatcher, told what happens in a few words; what it does comes back as lines.
pub struct PolicyHarness {
    policy: RoutingPolicy,
    now: Micros,
    armed: BTreeSet<Micros>,
    /// Other dispatchers' jobs as runners tell them; those not here do not answer probes.
    loads: BTreeMap<String, Vec<f64>>,
    /// Where each forward still out is.
    out: BTreeMap<String, String>,
    trace: String,
}

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
    /// Runners `a`, `b`, ... in zone east, then west, turn by turn.
    pub fn new(settings: Settings, runners: &str) -> PolicyHarness {
        let policy = RoutingPolicy::new(settings, 7);
        let (armed, loads, out) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        let mut harness = PolicyHarness { policy, now: 1_000_000, armed, loads, out, trace: String::new() };
        harness.roster(Listing::Remembered, runners, Readiness::Up, None);
        harness
    }

    pub fn after(&mut self, ms: Micros) -> &mut PolicyHarness {
        self.now += ms * 1000;
        self
    }

    fn tell(&mut self, event: Event) -> &mut PolicyHarness {
        let mut answers = Vec::new();
        for action in self.policy.decide(self.now, vec![event]) {
            let line = match action {
                Action::Log(_) => continue,
                Action::SetTimer { after } => {
                    self.armed.insert(self.now + after);
                    continue;
                }
                Action::Forward { invocation: inv, runner: tgt, .. } => {
                    self.out.insert(inv.to_string(), tgt.to_string());
                    format!("{inv} -> {tgt}")
                }
                Action::Cancel { invocation: inv, forward } => format!("cancel {inv} #{forward}"),
                Action::Throttle { invocation: inv, retry_after: come_back } => {
                    format!("throttle {inv}, back in {come_back:?}")
                }
                Action::Error { invocation: inv } => format!("error {inv}"),
                Action::Probe { runner: tgt } => {
                    let line = format!("probe {tgt}");
                    if let Some(report) = self.load(&tgt) {
                        answers.push(Event::ProbeEnded { runner: tgt, alive: true, report });
                    }
                    line
                }
                Action::Subscribe => "follow".to_owned(),
            };
            self.trace += &format!("{} {line}\n", self.now / 1000);
        }
        for answer in answers {
            self.tell(answer);
        }
        self
    }

    fn load(&self, tgt: &str) -> Option<Vec<f64>> {
        let own = self.out.values().filter(|out| *out == tgt).count() as f64;
        let [free, waiting, inflight] = self.loads.get(tgt)?[..] else { return None };
        Some(vec![(free - own).max(0.0), waiting + (own - free).max(0.0), inflight + own])
    }

    /// A renewed list in which these runners have this size.
    pub fn sizes(&mut self, runners: &str, size: f64) -> &mut PolicyHarness {
        self.list(Listing::Changes, runners, size, Readiness::Up, None)
    }

    pub fn roster(
        &mut self,
        listing: Listing,
        runners: &str,
        readiness: Readiness,
        launched: Option<Micros>,
    ) {
        self.list(listing, runners, 1.0, readiness, launched);
    }

    fn list(
        &mut self,
        listing: Listing,
        runners: &str,
        size: f64,
        readiness: Readiness,
        launched: Option<Micros>,
    ) -> &mut PolicyHarness {
        let entries = runners.bytes().map(|name| RosterEntry {
            runner: (name as char).to_string().into(),
            cell: 0,
            size,
            machine_type: "box".into(),
            zone: if name % 2 == 1 { "east" } else { "west" }.into(),
            readiness,
            launched,
        });
        let entries = entries.collect();
        self.tell(Event::Roster(Roster { listing, entries }))
    }

    pub fn arrives(&mut self, inv: &str, operation: usize) -> &mut PolicyHarness {
        self.arrives_with(inv, operation, None)
    }

    pub fn arrives_with(&mut self, inv: &str, operation: usize, key: Option<&str>) -> &mut PolicyHarness {
        self.comes(inv, operation, 5_000_000, key, None)
    }

    /// A client's repeat, whose first try came one and a half seconds before.
    pub fn repeats(&mut self, inv: &str, operation: usize) -> &mut PolicyHarness {
        self.comes(inv, operation, 3_500_000, None, None)
    }

    /// An invocation whose client tells its work.
    pub fn hinted(&mut self, inv: &str, operation: usize, hint: Micros) -> &mut PolicyHarness {
        self.comes(inv, operation, 5_000_000, None, Some(hint))
    }

    fn comes(
        &mut self,
        inv: &str,
        operation: usize,
        expires_in: Micros,
        key: Option<&str>,
        hint: Option<Micros>,
    ) -> &mut PolicyHarness {
        let (inv, key) = (inv.into(), key.map(Id::from));
        self.tell(Event::Arrival(Arrival {
            invocation: inv,
            operation,
            time_left: expires_in,
            slots: 1.0,
            work_hint: hint,
            key,
        }))
    }

    pub fn ends(
        &mut self,
        inv: &str,
        forward: u32,
        ending: ForwardResult,
        report: &[f64],
    ) -> &mut PolicyHarness {
        let tgt = self.out.remove(inv).unwrap_or_default().into();
        self.tell(Event::Outcome(Outcome {
            invocation: inv.into(),
            forward,
            runner: tgt,
            result: ending,
            answered: ending == ForwardResult::Succeeded,
            elapsed: 300_000,
            report: report.to_vec(),
        }))
    }

    /// Others' jobs in the runner from now on, told at once and with every answer to a probe.
    pub fn reports(&mut self, tgt: &str, report: &[f64]) -> &mut PolicyHarness {
        self.loads.insert(tgt.to_owned(), report.to_vec());
        self.tell(Event::ProbeEnded { runner: tgt.into(), alive: true, report: report.to_vec() })
    }

    /// The number of the latest forward of an invocation that is out.
    pub fn forwards(&self, inv: &str) -> Option<u32> {
        let sent = format!(" {inv} -> ");
        let sent = self.trace.lines().filter(|line| line.contains(&sent)).count() as u32;
        self.out.contains_key(inv).then(|| sent - 1)
    }

    /// When forwards beyond an invocation's first were made, in milliseconds.
    pub fn further(&self) -> Vec<Micros> {
        let mut seen = BTreeSet::new();
        let sent = self.trace.lines().filter_map(|line| {
            let (at, rest) = line.split_once(' ')?;
            let (inv, _) = rest.split_once(" -> ")?;
            (!seen.insert(inv)).then(|| at.parse().unwrap())
        });
        sent.collect()
    }

    /// This share of a cold runner's budget is this dispatcher's for so many milliseconds.
    pub fn portion(&mut self, tgt: &str, share: f64, ms: Micros) -> &mut PolicyHarness {
        let until = self.now + ms * 1000;
        self.tell(Event::SlowStartShares(vec![(tgt.into(), share, until)]))
    }

    pub fn retuned(&mut self, settings: Settings) -> &mut PolicyHarness {
        self.tell(Event::SettingsChanged(Box::new(settings)))
    }

    pub fn gone(&mut self, inv: &str) -> &mut PolicyHarness {
        self.tell(Event::ClientLeft { invocation: inv.into() })
    }

    pub fn starts(&mut self, inv: &str, forward: u32) -> &mut PolicyHarness {
        self.tell(Event::Started { invocation: inv.into(), forward })
    }

    /// Lets time pass; the timer goes off when it was armed for.
    pub fn passes(&mut self, ms: Micros) -> &mut PolicyHarness {
        let end = self.now + ms * 1000;
        while let Some(at) = self.armed.first().copied().filter(|at| *at <= end) {
            self.armed.remove(&at);
            self.now = at;
            self.tell(Event::TimerFired);
        }
        self.now = end;
        self
    }

    /// What was done since, runner names in order: `a2 b1`.
    pub fn counts(&mut self) -> String {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for tgt in std::mem::take(&mut self.trace).lines().filter_map(|line| line.split(" -> ").nth(1)) {
            *counts.entry(tgt.to_owned()).or_default() += 1;
        }
        counts.iter().map(|(tgt, count)| format!("{tgt}{count} ")).collect()
    }

    /// Forwards by runner and the number of probes, where the order of chance says nothing.
    pub fn shows_counts(&mut self, expected: expect_test::Expect) {
        let probes = self.trace.lines().filter(|line| line.contains(" probe ")).count();
        let counts = self.counts();
        expected.assert_eq(&format!("{counts}probes {probes}"));
    }

    pub fn trace(&self) -> &str {
        &self.trace
    }

    pub fn shows(&mut self, expected: expect_test::Expect) {
        expected.assert_eq(&std::mem::take(&mut self.trace));
    }
}
