// A configuration whose `known` is null, as in deploy/kept.json, is replaced by one that moves discovery. Does the
// dispatcher go on acting on the list of the old address?

include!("common.rs");

/// What discovery has to tell counts as told so long after SIGHUP; then come the grace of a drain and 50 ms.
const TOLD_MS: u64 = 4000;
const GRACE_MS: u64 = 550;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (record, temporary) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    watchdog(110);
    let record = Record::new(&record);
    let habits = Habits { slots: 8, job_ms: (40, 120), one_way: ms(0), second_answers: (0, ms(0)) };
    let runners: Vec<Arc<Runner>> =
        ["r-1", "r-2", "r-3"].iter().map(|id| Runner::start(id, habits.clone(), &record)).collect();
    let entries: Vec<Entry> = runners.iter().map(|runner| runner.entry("brisbane")).collect();
    let discovery =
        |name| Discovery::start(&[name], entries.clone(), &record, Box::new(|_, _| Treatment::Serve));
    let (old, new) = (discovery("the old address"), discovery("the new address"));
    let (listen, admin) = (free_address(), free_address());
    runners.iter().for_each(|runner| runner.call_back_to("", listen));
    let folder = folder(&temporary, "d0");
    let write = |discovery: SocketAddr| {
        Config { name: "d0", index: 0, balancers: 1, listen, discovery, probes: false }.write(&folder);
        // As deploy/kept.json has it, for a dispatcher that has had no list yet.
        let path = folder.join("config.json");
        let text = fs::read_to_string(&path).unwrap_or_else(|e| unable(&e.to_string()));
        let list = "{\"generation\":0,\"reset\":true,\"instances\":[]}";
        if std::env::var("KNOWN").is_ok() {
            return;
        }
        fs::write(&path, text.replace(list, "null")).unwrap_or_else(|e| unable(&e.to_string()));
    };
    write(old.address(0));
    let dispatcher = start_dispatcher("d0", &folder, listen, admin);
    dispatcher.wait_ready();
    record.line("the dispatcher serves");
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
    thread::sleep(ms(3000));
    let moved = record.now();
    if trouble() {
        write(new.address(0));
        signal(dispatcher.child.id(), SIGHUP);
        record.line("SIGHUP: the file names the new address of discovery");
        old.refuse_new();
        thread::sleep(ms(1500));
        old.go_down();
    } else {
        thread::sleep(ms(1500));
    }
    thread::sleep(ms(1500));
    old.change("r-1", "draining");
    new.change("r-1", "draining");
    let drained = record.now();
    clients.into_iter().for_each(|client| drop(client.join()));
    let loads = operator(admin, "stats").unwrap_or_default();
    for line in loads.lines().filter(|line| line.contains("load")) {
        record.line(line);
    }
    let bound = drained.max(moved + TOLD_MS * 1000) + GRACE_MS * 1000;
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
    let last = late.iter().map(|taken| (taken.at - moved) / 1000).max().unwrap_or(0);
    let summary = format!(
        "new work at r-1 after the bound={} (the last {last} ms after SIGHUP) clients: {}",
        late.len(),
        tally.text()
    );
    record.line(&summary);
    println!("{summary}");
    finish(i32::from(!late.is_empty()))
}
