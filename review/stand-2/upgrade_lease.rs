// An upgrade while discovery is crowded: how long does the new process act on the list that it took over?

include!("common.rs");

/// What discovery tells binds so long after the new process's yes, plus the grace of a drain and 50 ms.
const BINDS_MS: u64 = 2000;
const GRACE_MS: u64 = 550;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (record, temporary) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    watchdog(110);
    let record = Record::new(&record);
    let habits = Habits { slots: 8, job_ms: (40, 120), one_way: ms(0), second_answers: (0, ms(0)) };
    let runners: Vec<Arc<Runner>> =
        ["r-1", "r-2", "r-3"].iter().map(|id| Runner::start(id, habits.clone(), &record)).collect();
    let entries = runners.iter().map(|runner| runner.entry("brisbane")).collect();
    // Calls that come after the start of the upgrade find a queue. The first waits for 3 s, which is too long;
    // the second is served after 2.5 s.
    let upgrade = Arc::new(AtomicBool::new(false));
    let crowded = Arc::new(AtomicUsize::new(0));
    let (is_upgrade, nth) = (upgrade.clone(), crowded.clone());
    let rule = move |_: &str, _| {
        if !trouble() || !is_upgrade.load(Ordering::SeqCst) {
            return Treatment::Serve;
        }
        match nth.fetch_add(1, Ordering::SeqCst) {
            0 => Treatment::Refuse(ms(3000)),
            1 => Treatment::Wait(ms(2500)),
            _ => Treatment::Serve,
        }
    };
    let discovery = Discovery::start(&["d0"], entries, &record, Box::new(rule));
    let (listen, admin, admin_new) = (free_address(), free_address(), free_address());
    runners.iter().for_each(|runner| runner.call_back_to("", listen));
    let folder = folder(&temporary, "d0");
    Config { name: "d0", index: 0, balancers: 1, listen, discovery: discovery.address(0), probes: false }
        .write(&folder);
    let mut old = start_dispatcher("d0", &folder, listen, admin);
    old.wait_ready();
    record.line("the old process serves");
    let tally = Arc::new(Tally::default());
    let end = Instant::now() + Duration::from_secs(20);
    let clients: Vec<_> = (0..8)
        .map(|nth| {
            let (record, tally) = (record.clone(), tally.clone());
            thread::spawn(move || {
                let mut client = Client::new(listen, &record, &tally);
                let mut rng = Rng(0x1234_5678_9abc_def1 + nth);
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    client.request("plan", &format!("c{nth}-{number}"), 8_000);
                    thread::sleep(ms(60 + rng.below(60)));
                }
            })
        })
        .collect();
    thread::sleep(ms(5000));
    upgrade.store(true, Ordering::SeqCst);
    record.line("the new process is started");
    let new = start_dispatcher("d0-new", &folder, listen, admin_new);
    let started = Instant::now();
    while !operator(new.admin, "status").is_some_and(|text| text.starts_with("YES")) {
        if started.elapsed() > ms(6000) {
            unable("the new process has not said yes within 6 s");
        }
        thread::sleep(ms(5));
    }
    let yes = record.now();
    record.line("the new process says yes; SIGTERM to the old one");
    signal(old.child.id(), SIGTERM);
    let old_id = old.child.id();
    let ended = record.clone();
    thread::spawn(move || {
        // SIGKILL after the longest deadline (3 s at most) and 0.7 s.
        let end = Instant::now() + ms(3700);
        loop {
            if matches!(old.child.try_wait(), Ok(Some(_))) {
                return ended.line("the old process has ended");
            }
            if Instant::now() >= end {
                signal(old_id, SIGKILL);
                ended.line("SIGKILL to the old process");
                let _ = old.child.wait();
                return;
            }
            thread::sleep(ms(5));
        }
    });
    thread::sleep(ms(300));
    discovery.change("r-1", "draining");
    let drained = record.now();
    clients.into_iter().for_each(|client| drop(client.join()));
    let bound = drained.max(yes + BINDS_MS * 1000) + GRACE_MS * 1000;
    let arrivals = runners[0].arrivals.lock().unwrap().clone();
    let late: Vec<&Taken> = arrivals.iter().filter(|taken| taken.at > bound).collect();
    for taken in &late {
        record.line(&format!(
            "NEW WORK at r-1: {} at {} ms, allowed until {} ms",
            taken.id,
            taken.at / 1000,
            bound / 1000
        ));
    }
    let last = late.iter().map(|taken| (taken.at - yes) / 1000).max().unwrap_or(0);
    let summary = format!(
        "r-1 drains {} ms after the yes; new work at r-1 after the bound={} (the last {last} ms after the yes) clients: {}",
        (drained - yes) / 1000,
        late.len(),
        tally.text()
    );
    record.line(&summary);
    println!("{summary}");
    finish(i32::from(!late.is_empty()))
}
