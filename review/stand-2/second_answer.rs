// A runner's second 202 arrives some milliseconds after the first: does a job that must not run twice run twice?

include!("common.rs");

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (record, temporary) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    watchdog(110);
    let record = Record::new(&record);
    let habits = Habits {
        slots: 5,
        job_ms: (10, 40),
        // The ways between depots: 5.6 to 10 ms.
        one_way: ms(8),
        second_answers: if trouble() { (20, ms(3)) } else { (0, ms(0)) },
    };
    let runners: Vec<Arc<Runner>> =
        ["r-1", "r-2", "r-3"].iter().map(|id| Runner::start(id, habits.clone(), &record)).collect();
    let entries = runners.iter().map(|runner| runner.entry("townsville")).collect();
    let discovery = Discovery::start(&["d0"], entries, &record, Box::new(|_, _| Treatment::Serve));
    let (listen, admin) = (free_address(), free_address());
    runners.iter().for_each(|runner| runner.call_back_to("", listen));
    let folder = folder(&temporary, "d0");
    Config { name: "d0", index: 0, balancers: 1, listen, discovery: discovery.address(0), probes: false }
        .write(&folder);
    let dispatcher = start_dispatcher("d0", &folder, listen, admin);
    dispatcher.wait_ready();
    record.line("the dispatcher serves");
    let tally = Arc::new(Tally::default());
    let end = Instant::now() + Duration::from_secs(45);
    let clients: Vec<_> = (0..40)
        .map(|nth| {
            let (record, tally) = (record.clone(), tally.clone());
            thread::spawn(move || {
                let mut client = Client::new(listen, &record, &tally);
                let mut rng = Rng(0x1234_5678_9abc_def1 + nth);
                let (mut number, begin) = (0, Instant::now());
                let period = 200;
                for tick in 1.. {
                    let at = begin + ms(tick * period + rng.below(30));
                    if at > end {
                        return;
                    }
                    if at < Instant::now() {
                        continue;
                    }
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    number += 1;
                    client.request("book", &format!("c{nth}-{number}"), 2_000);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let mut by_id: HashMap<String, Vec<Taken>> = HashMap::new();
    for runner in &runners {
        for taken in runner.ran.lock().unwrap().iter() {
            by_id.entry(taken.id.clone()).or_default().push(taken.clone());
        }
    }
    let jobs = by_id.len();
    let turned_away: u64 = runners.iter().map(|runner| runner.turned_away.load(Ordering::SeqCst)).sum();
    let twice: Vec<&Vec<Taken>> = by_id.values().filter(|runs| runs.len() > 1).collect();
    for runs in &twice {
        let text: Vec<String> =
            runs.iter().map(|run| format!("{} at {} ms", run.runner, run.at / 1000)).collect();
        record.line(&format!("RAN TWICE: {} ({})", runs[0].id, text.join(", ")));
    }
    let summary = format!(
        "jobs run={jobs} turned away={turned_away} run twice={} clients: {}",
        twice.len(),
        tally.text()
    );
    record.line(&summary);
    println!("{summary}");
    finish(i32::from(!twice.is_empty()))
}
