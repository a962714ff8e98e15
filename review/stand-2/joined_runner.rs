// The open watches fall silent shortly before an upgrade, and a runner joins the list just then. The new process hears
// of it, and an operator takes it out there. Does the old process, which hears of it later, send it work?

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
    let habits = Habits { slots: 2, job_ms: (900, 1400), one_way: ms(0), second_answers: (0, ms(0)) };
    let runners: Vec<Arc<Runner>> =
        ["r-1", "r-2", "r-3", "r-4"].iter().map(|id| Runner::start(id, habits.clone(), &record)).collect();
    let entries = runners[..3].iter().map(|runner| runner.entry("brisbane")).collect();
    let discovery = Discovery::start(&["d0"], entries, &record, Box::new(|_, _| Treatment::Serve));
    let (listen, admin) = (free_address(), free_address());
    runners.iter().for_each(|runner| runner.call_back_to("", listen));
    let folder = folder(&temporary, "d0");
    Config { name: "d0", index: 0, balancers: 1, listen, discovery: discovery.address(0), probes: true }
        .write(&folder);
    let path = folder.join("config.json");
    let text = fs::read_to_string(&path).unwrap_or_else(|e| unable(&e.to_string()));
    let text = text.replace(
        "\"latencyObjective\":600000,\"clientTimeout\":8000000,\"billedValue\":2.0,\"lateBilledValue\":0.2",
        "\"latencyObjective\":1200000,\"clientTimeout\":25000000,\"billedValue\":8.0,\"lateBilledValue\":0.5",
    );
    fs::write(&path, text).unwrap_or_else(|e| unable(&e.to_string()));
    let mut old = start_dispatcher("d0", &folder, listen, admin);
    old.wait_ready();
    let serving = Instant::now();
    record.line("the old process serves");
    let tally = Arc::new(Tally::default());
    let end = serving + Duration::from_secs(20);
    let clients: Vec<_> = (0..30)
        .map(|nth| {
            let (record, tally) = (record.clone(), tally.clone());
            thread::spawn(move || {
                let mut client = Client::new(listen, &record, &tally);
                let mut rng = Rng(0x1234_5678_9abc_def1 + nth);
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let status = client.request("plan", &format!("c{nth}-{number}"), 8_000);
                    thread::sleep(ms(if status == 200 { 20 } else { 100 + rng.below(200) }));
                }
            })
        })
        .collect();
    // Just after the third empty line on the old process's watch.
    thread::sleep((serving + ms(6200)).saturating_duration_since(Instant::now()));
    if trouble() {
        discovery.fall_silent();
    }
    thread::sleep(ms(1400));
    discovery.add(runners[3].entry("brisbane"));
    thread::sleep(ms(300));
    let new = start_new("d0-new", &folder, listen, &record);
    signal(old.child.id(), SIGTERM);
    record.line("SIGTERM to the old process");
    thread::sleep(ms(50));
    let answer = operator(new.admin, "maint-on r-4").unwrap_or_default();
    let maintenance = record.now();
    record.line(&format!("maint-on r-4 at the new process: {}", answer.trim()));
    if !answer.starts_with("YES") {
        unable("maint-on was not answered with yes");
    }
    let until = Instant::now() + ms(3650);
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
    let arrivals = runners[3].arrivals.lock().unwrap().clone();
    let late: Vec<&Taken> = arrivals.iter().filter(|taken| taken.at > bound).collect();
    for taken in &late {
        record.line(&format!(
            "NEW WORK at r-4: {} at {} ms, allowed until {} ms",
            taken.id,
            taken.at / 1000,
            bound / 1000
        ));
    }
    let summary = format!("new work at r-4 during its maintenance={} clients: {}", late.len(), tally.text());
    record.line(&summary);
    println!("{summary}");
    finish(i32::from(!late.is_empty()))
}
