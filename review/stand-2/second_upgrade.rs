// The new process of an upgrade is killed before it has been asked for its yes; the old one serves on, and the
// upgrade is made again. Does the maintenance of a runner, to which the dispatcher has said yes, survive that?

include!("common.rs");

/// The grace of a drain and 50 ms.
const GRACE_MS: u64 = 550;

/// Starts the program once more beside the running process and waits for its yes.
fn start_new(name: &str, folder: &PathBuf, listen: SocketAddr, record: &Arc<Record>) -> Dispatcher {
    record.line(&format!("{name} is started"));
    let new = start_dispatcher(name, folder, listen, free_address());
    let started = Instant::now();
    while !operator(new.admin, "status").is_some_and(|text| text.starts_with("YES")) {
        if started.elapsed() > ms(6000) {
            unable("a new process has not said yes within 6 s");
        }
        thread::sleep(ms(5));
    }
    record.line(&format!("{name} says yes"));
    new
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (record, temporary) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    watchdog(110);
    let record = Record::new(&record);
    let habits = Habits { slots: 8, job_ms: (40, 120), one_way: ms(0), second_answers: (0, ms(0)) };
    let runners: Vec<Arc<Runner>> =
        ["r-1", "r-2", "r-3"].iter().map(|id| Runner::start(id, habits.clone(), &record)).collect();
    let entries = runners.iter().map(|runner| runner.entry("brisbane")).collect();
    let discovery = Discovery::start(&["d0"], entries, &record, Box::new(|_, _| Treatment::Serve));
    let (listen, admin) = (free_address(), free_address());
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
    thread::sleep(ms(2000));
    let answer = operator(admin, "maint-on r-1").unwrap_or_default();
    let maintenance = record.now();
    record.line(&format!("maint-on r-1: {}", answer.trim()));
    if !answer.starts_with("YES") {
        unable("maint-on was not answered with yes");
    }
    thread::sleep(ms(2000));
    if trouble() {
        // Dispatchers may be killed outright at any time. This one has not been asked for its yes by then, so that
        // SIGTERM has not been sent to the old process.
        record.line("d0-first is started");
        let mut first = start_dispatcher("d0-first", &folder, listen, free_address());
        thread::sleep(ms(1000));
        signal(first.child.id(), SIGKILL);
        let _ = first.child.wait();
        record.line("d0-first was killed; the old process serves on");
    }
    thread::sleep(ms(4000));
    if !operator(admin, "status").is_some_and(|text| text.starts_with("YES")) {
        unable("the old process does not serve");
    }
    let _second = start_new("d0-second", &folder, listen, &record);
    record.line("SIGTERM to the old process");
    signal(old.child.id(), SIGTERM);
    // SIGKILL after the longest deadline (3 s at most) and 0.7 s.
    let until = Instant::now() + ms(3700);
    while !matches!(old.child.try_wait(), Ok(Some(_))) {
        if Instant::now() >= until {
            signal(old.child.id(), SIGKILL);
            let _ = old.child.wait();
            break;
        }
        thread::sleep(ms(5));
    }
    record.line("the old process has ended");
    clients.into_iter().for_each(|client| drop(client.join()));
    let bound = maintenance + GRACE_MS * 1000;
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
    let summary = format!("new work at r-1 during its maintenance={} clients: {}", late.len(), tally.text());
    record.line(&summary);
    println!("{summary}");
    finish(i32::from(!late.is_empty()))
}
