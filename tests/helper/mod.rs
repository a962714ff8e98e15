use topazsail::*;

/// One dispatcher, told what happens in a few words; what it does comes back as lines.
pub struct Desk {
    brain: Brain,
    now: Micros,
    trace: String,
}

pub fn operation(effect: Effect) -> Operation {
    Operation {
        latency_objective: 500_000,
        client_timeout: 5_000_000,
        effect,
        memory_span: 3_000_000,
        billed_value: 1.0,
        late_share: 0.0,
        kind: None,
    }
}

pub fn orders(operations: Vec<Operation>) -> StandingOrders {
    StandingOrders {
        operations,
        dispatchers: 2,
        number: 0,
        my_zone: "east".into(),
        crossing_costs: false,
        connecting_costs: false,
        must_subscribe: true,
        ask_within: 10_000_000,
        cold_from: 0.1,
        warm_within: 10_000_000,
        overload_factor: 3.0,
        tip_after: 2_000_000,
        most_forwards: 3,
        may_cancel: true,
        may_probe: true,
        come_back_max: Some(2_000_000),
        report_fields: vec![ReportField::FreeSlots, ReportField::Waiting, ReportField::InFlight],
        sizes_registered: false,
        tells_start: false,
        progress: 1_000_000,
    }
}

impl Desk {
    /// Runners `a`, `b`, ... in zone east, then west, turn by turn.
    pub fn new(orders: StandingOrders, runners: &str) -> Desk {
        let mut desk = Desk { brain: Brain::new(orders, 7), now: 1_000_000, trace: String::new() };
        desk.roster(Listing::Remembered, runners, Readiness::On, None);
        desk
    }

    pub fn after(&mut self, ms: Micros) -> &mut Desk {
        self.now += ms * 1000;
        self
    }

    fn tell(&mut self, event: Event) -> &mut Desk {
        for action in self.brain.decide(self.now, vec![event]) {
            let line = match action {
                Action::Tick { .. } | Action::Log(_) => continue,
                Action::Forward { inv, tgt } => format!("{inv} -> {tgt}"),
                Action::Cancel { inv, forward } => format!("cancel {inv} #{forward}"),
                Action::Throttle { inv, come_back } => format!("throttle {inv}, back in {come_back:?}"),
                Action::Error { inv } => format!("error {inv}"),
                Action::Probe { tgt } => format!("probe {tgt}"),
                Action::Disconnect { tgt } => format!("disconnect {tgt}"),
                Action::Follow => "follow".to_owned(),
            };
            self.trace += &format!("{} {line}\n", self.now / 1000);
        }
        self
    }

    pub fn roster(
        &mut self,
        listing: Listing,
        runners: &str,
        readiness: Readiness,
        launched: Option<Micros>,
    ) {
        let entries = runners.bytes().map(|name| RosterEntry {
            tgt: (name as char).to_string().into(),
            cell: 0,
            size: 1.0,
            kind: "box".into(),
            zone: if name % 2 == 1 { "east" } else { "west" }.into(),
            readiness,
            launched,
        });
        let entries = entries.collect();
        self.tell(Event::Roster(Roster { listing, entries }));
    }

    pub fn arrives(&mut self, inv: &str, operation: usize) -> &mut Desk {
        self.arrives_with(inv, operation, None)
    }

    pub fn arrives_with(&mut self, inv: &str, operation: usize, key: Option<&str>) -> &mut Desk {
        let (inv, key) = (inv.into(), key.map(Id::from));
        let arrival = Arrival { inv, operation, expires_in: 5_000_000, slots: 1.0, key };
        self.tell(Event::Arrival(arrival))
    }

    pub fn ends(&mut self, inv: &str, forward: u32, tgt: &str, ending: Ending, report: &[f64]) -> &mut Desk {
        self.tell(Event::Outcome(Outcome {
            inv: inv.into(),
            forward,
            tgt: tgt.into(),
            ending,
            finished: ending == Ending::Succeeded,
            elapsed: 300_000,
            report: report.to_vec(),
        }))
    }

    pub fn reports(&mut self, tgt: &str, report: &[f64]) -> &mut Desk {
        self.tell(Event::Probed { tgt: tgt.into(), alive: true, report: report.to_vec() })
    }

    pub fn gone(&mut self, inv: &str) -> &mut Desk {
        self.tell(Event::Gone { inv: inv.into() })
    }

    /// Lets time pass with the periodic timer only.
    pub fn ticks(&mut self, ms: Micros) -> &mut Desk {
        for _ in 0..ms / 20 {
            self.after(20).tell(Event::Tick);
        }
        self
    }

    pub fn shows(&mut self, expected: expect_test::Expect) {
        expected.assert_eq(&std::mem::take(&mut self.trace));
    }
}
