// Discovery goes down, comes back and is crowded: how long does a dispatcher act on its old list? Of two dispatchers
// one is served soon after the return, the other has its calls refused for a while.

include!("common.rs");

/// A change counts as told at the latest so long after discovery had it and could be reached; then come the
/// grace of a drain and 50 ms.
const TOLD_MS: u64 = 6000;
const GRACE_MS: u64 = 550;
/// How long discovery is down.
const DOWN_MS: u64 = 4000;
/// How long a call waits in the queue before it fails.
const CALL_TIMEOUT_MS: u64 = 3000;
/// How long there are too many callers.
const CROWD_MS: u64 = 10_000;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (record, temporary) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    watchdog(110);
    let record = Record::new(&record);
    let habits = Habits { slots: 8, job_ms: (40, 120), one_way: ms(0), second_answers: (0, ms(0)) };
    let runners: Vec<Arc<Runner>> =
        ["r-1", "r-2", "r-3"].iter().map(|id| Runner::start(id, habits.clone(), &record)).collect();
    let entries = runners.iter().map(|runner| runner.entry("brisbane")).collect();
    // The call of d1 is served in its turn, just in time; those of d0 have waited too long, until the crowd is over.
    let returned: Arc<Mutex<Option<Instant>>> = Arc::default();
    let since = returned.clone();
    let rule = move |name: &str, _| match *since.lock().unwrap() {
        Some(at) if at.elapsed() < ms(CROWD_MS) && name == "d0" => Treatment::Refuse(ms(CALL_TIMEOUT_MS)),
        Some(at) if at.elapsed() < ms(CROWD_MS) => Treatment::Wait(ms(CALL_TIMEOUT_MS * 5 / 6)),
        _ => Treatment::Serve,
    };
    let discovery = Discovery::start(&["d0", "d1"], entries, &record, Box::new(rule));
    let mut listens = Vec::new();
    for (index, name) in ["d0", "d1"].into_iter().enumerate() {
        let (listen, admin) = (free_address(), free_address());
        runners.iter().for_each(|runner| runner.call_back_to(name, listen));
        let folder = folder(&temporary, name);
        let address = discovery.address(index);
        Config { name, index, balancers: 2, listen, discovery: address, probes: false }.write(&folder);
        start_dispatcher(name, &folder, listen, admin).wait_ready();
        listens.push((name, listen));
    }
    record.line("both dispatchers serve");
    let tally = Arc::new(Tally::default());
    let end = Instant::now() + Duration::from_secs(24);
    let clients: Vec<_> = (0..12)
        .map(|nth| {
            let (record, tally, (name, listen)) = (record.clone(), tally.clone(), listens[nth % 2]);
            thread::spawn(move || {
                let mut client = Client::new(listen, &record, &tally);
                let mut rng = Rng(0x1234_5678_9abc_def1 + nth as u64);
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    client.request("plan", &format!("{name}-c{nth}-{number}"), 8_000);
                    thread::sleep(ms(60 + rng.below(60)));
                }
            })
        })
        .collect();
    thread::sleep(ms(3000));
    if trouble() {
        discovery.go_down();
        thread::sleep(ms(DOWN_MS));
        *returned.lock().unwrap() = Some(Instant::now());
        Discovery::come_back(&discovery);
    } else {
        thread::sleep(ms(DOWN_MS));
    }
    thread::sleep(ms(500));
    discovery.change("r-1", "draining");
    let drained = record.now();
    clients.into_iter().for_each(|client| drop(client.join()));
    let bound = drained + (TOLD_MS + GRACE_MS) * 1000;
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
    let last = |name: &str| {
        let sent = arrivals.iter().filter(|taken| taken.id.starts_with(name) && taken.at > drained);
        sent.map(|taken| (taken.at - drained) / 1000).max().unwrap_or(0)
    };
    let summary = format!(
        "new work at r-1 after the bound={} (the last ms after the drain: d0 {}, d1 {}) clients: {}",
        late.len(),
        last("d0"),
        last("d1"),
        tally.text()
    );
    record.line(&summary);
    println!("{summary}");
    finish(i32::from(!late.is_empty()))
}
