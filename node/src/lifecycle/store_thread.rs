//! The thread that keeps what outlives the process: the loop tells it what to keep and hears when that is on the disk.
//!
//! It owns the store while the process has it, and the bounded queue in between. It decides nothing, and the loop never
//! waits for it: what does not fit into the queue is told as not kept.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use topazsail::Micros;
use topazsail_store::stored_types::{
    Storable, StoredOverride, StoredRoster, StoredSettings, StoredSlowStartUsage, all, bytes,
};
use topazsail_store::{Disk, LoadSummary, Store, Table};

/// Items that may wait for the disk; beyond them nothing more is taken.
const QUEUE: usize = 1024;
/// The next life is to know within this when this one ended.
const ALIVE_EVERY: Duration = Duration::from_millis(250);
/// What nobody waits for is on the disk after about so long.
const SYNC_AFTER: Duration = Duration::from_millis(500);
/// After a fault the disk is tried again, doubled each time.
const AGAIN: Duration = Duration::from_secs(1);
const AGAIN_MOST: Duration = Duration::from_secs(30);
/// In an upgrade the other process lets go of the folder within this.
const LOCK_WITHIN: Duration = Duration::from_secs(10);
const LOCK_AGAIN: Duration = Duration::from_millis(50);

/// Opens the folder's disk anew.
pub type DiskFactory = Box<dyn FnMut() -> io::Result<Box<dyn Disk>> + Send>;

enum StoreRequest {
    Open,
    Put {
        table: Table,
        key: String,
        form: u16,
        value: Option<Vec<u8>>,
    },
    /// Tell when all before this is on the disk.
    Sync(u64),
    /// This life's number is to be above that one.
    Above(u64),
    /// Ends the life's records as they should be, and lets go of the folder.
    Close,
}

/// What the last life has left.
#[derive(Debug, Default)]
pub struct LoadedStore {
    pub found: LoadSummary,
    pub boot: Option<u64>,
    pub roster: Option<StoredRoster>,
    pub admin_overrides: Vec<(String, StoredOverride)>,
    pub slow_start_usage: Option<StoredSlowStartUsage>,
    pub settings: Option<StoredSettings>,
}

#[derive(Debug)]
pub enum StoreEvent {
    Opened(Box<LoadedStore>),
    /// There is no store to be had, and why.
    OpenFailed(String),
    /// All that was asked before this number is on the disk, or why it is not.
    Synced(u64, Result<(), String>),
    /// The disk works again, or has failed; with this life's number.
    Health(Result<Option<u64>, String>),
    Closed,
}

pub struct StoreThread {
    to: SyncSender<StoreRequest>,
    from: Receiver<StoreEvent>,
    tickets: u64,
    /// Tickets that the queue had no room for.
    refused: Vec<u64>,
    /// Items that were not taken.
    pub dropped: u64,
}

impl StoreThread {
    /// Starts the thread; `disk` is one that is locked already, else `disks` is asked for one until it can be locked.
    /// `wake` is called whenever there is something to hear.
    pub fn start(
        disk: Option<Box<dyn Disk>>,
        disks: DiskFactory,
        owner: String,
        id: u64,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<StoreThread> {
        let (to, asks) = sync_channel(QUEUE);
        let (tells, from) = channel();
        let away = (ALIVE_EVERY, Instant::now());
        let waiting = Vec::new();
        let mut shell = Shell {
            disks,
            owner,
            id,
            tells,
            store: None,
            waiting,
            well: true,
            released: false,
            spoke: false,
            away,
        };
        let run = move || shell.run(disk, &asks, &wake);
        thread::Builder::new().name("keeper".to_owned()).spawn(run)?;
        Ok(StoreThread { to, from, tickets: 0, refused: Vec::new(), dropped: 0 })
    }

    fn ask(&mut self, ask: StoreRequest) -> bool {
        let taken = self.to.try_send(ask).is_ok();
        self.dropped += u64::from(!taken);
        taken
    }

    pub fn keep<T: Storable>(&mut self, key: &str, kept: Option<&T>) {
        let (key, value) = (key.to_owned(), kept.map(bytes));
        self.ask(StoreRequest::Put { table: T::TABLE, key, form: T::FORMAT, value });
    }

    /// The same, and a number under which it is told when this is on the disk.
    pub fn keep_and_sync<T: Storable>(&mut self, key: &str, kept: Option<&T>) -> u64 {
        let (key, value) = (key.to_owned(), kept.map(bytes));
        self.tickets += 1;
        let put = self.ask(StoreRequest::Put { table: T::TABLE, key, form: T::FORMAT, value });
        if !put || !self.ask(StoreRequest::Sync(self.tickets)) {
            self.refused.push(self.tickets);
        }
        self.tickets
    }

    pub fn raise_boot_above(&mut self, heard: u64) {
        self.ask(StoreRequest::Above(heard));
    }

    /// Lets go of the folder; another process may have it then.
    pub fn close(&mut self) {
        self.ask(StoreRequest::Close);
    }

    pub fn open(&mut self) {
        self.ask(StoreRequest::Open);
    }

    pub fn incoming(&mut self) -> Vec<StoreEvent> {
        let refused =
            self.refused.drain(..).map(|ticket| StoreEvent::Synced(ticket, Err("too much waits".into())));
        refused.chain(self.from.try_iter()).collect()
    }

    /// The process is about to end: waits for the last of it, no longer than this.
    pub fn finish(mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        if !self.ask(StoreRequest::Close) {
            return false;
        }
        while let Ok(told) = self.from.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if matches!(told, StoreEvent::Closed) {
                return true;
            }
        }
        false
    }
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

struct Shell {
    disks: DiskFactory,
    owner: String,
    id: u64,
    tells: Sender<StoreEvent>,
    store: Option<Store>,
    /// Who waits for a sync.
    waiting: Vec<u64>,
    well: bool,
    /// Another process has the folder.
    released: bool,
    /// Something has been told since the loop was last woken.
    spoke: bool,
    /// The longest that this thread was away from its queue, and when it was last there.
    away: (Duration, Instant),
}

impl Shell {
    fn run(&mut self, disk: Option<Box<dyn Disk>>, asks: &Receiver<StoreRequest>, wake: &dyn Fn()) {
        self.open(disk);
        wake();
        // When what is not waited for is to be synced, and how long after a fault.
        let mut due: Option<Instant> = self.later();
        let mut again = AGAIN;
        loop {
            let first = asks.recv_timeout(ALIVE_EVERY);
            if matches!(first, Err(RecvTimeoutError::Disconnected)) {
                return;
            }
            for ask in first.into_iter().chain(asks.try_iter().take(QUEUE)) {
                match ask {
                    StoreRequest::Put { table, key, form, value } => {
                        if let Some(store) = &mut self.store {
                            store.put(table, &key, form, value, now());
                            due = due.or(Some(Instant::now() + SYNC_AFTER));
                        }
                    }
                    StoreRequest::Sync(ticket) => self.waiting.push(ticket),
                    StoreRequest::Above(heard) => {
                        if let Some(store) = &mut self.store {
                            let kept = store.raise_boot_above(heard).map_err(|stale| stale.to_string());
                            self.well = kept.is_ok();
                            let boot = store.boot();
                            self.tell(StoreEvent::Health(kept.map(|()| boot)));
                            due = due.or_else(|| self.later());
                        }
                    }
                    StoreRequest::Open => {
                        self.released = false;
                        if self.store.is_none() {
                            self.open(None);
                        }
                    }
                    StoreRequest::Close => {
                        self.sync();
                        if let Some(mut store) = self.store.take() {
                            let _ = store.close(now());
                        }
                        self.released = true;
                        self.tell(StoreEvent::Closed);
                    }
                }
            }
            let (longest, last) = self.away;
            self.away = (longest.max(last.elapsed()), Instant::now());
            if let Some(store) = &mut self.store {
                store.alive(2 * self.away.0.as_micros() as Micros);
            }
            let overdue = due.is_some_and(|due| Instant::now() >= due);
            // After a fault nobody who asks has the disk tried at once: each try may take long.
            if overdue && self.store.is_none() && !self.released {
                self.open(None);
            }
            if overdue || !self.waiting.is_empty() && self.well {
                if self.sync() {
                    (due, again) = (None, AGAIN);
                } else {
                    due = Some(Instant::now() + again);
                    again = (again * 2).min(AGAIN_MOST);
                }
            }
            if !self.well {
                self.answer(&Err("the disk has failed".to_owned()));
            }
            if std::mem::take(&mut self.spoke) {
                wake();
            }
        }
    }

    fn tell(&mut self, told: StoreEvent) {
        self.spoke = true;
        let _ = self.tells.send(told);
    }

    fn later(&self) -> Option<Instant> {
        (!self.well).then(|| Instant::now() + AGAIN)
    }

    fn answer(&mut self, how: &Result<(), String>) {
        for ticket in std::mem::take(&mut self.waiting) {
            self.tell(StoreEvent::Synced(ticket, how.clone()));
        }
    }

    fn sync(&mut self) -> bool {
        let synced = match &mut self.store {
            Some(store) => store.sync().map_err(|stale| stale.to_string()),
            None => Err("there is no store".to_owned()),
        };
        let boot = self.store.as_ref().and_then(Store::boot);
        let well = synced.is_ok();
        if well != std::mem::replace(&mut self.well, well) {
            let health = synced.clone().map(|()| boot);
            self.tell(StoreEvent::Health(health));
        }
        self.answer(&synced);
        well
    }

    fn open(&mut self, mut disk: Option<Box<dyn Disk>>) {
        let until = Instant::now() + LOCK_WITHIN;
        let told = loop {
            let had = disk.take().map_or_else(|| (self.disks)(), Ok);
            let opened = had.map_err(|error| error.to_string()).and_then(|mut disk| match disk.lock() {
                Err(error) if Instant::now() < until => Ok(Err(error)),
                _ => {
                    Store::open(disk, &self.owner, self.id, now()).map(Ok).map_err(|fault| fault.to_string())
                }
            });
            match opened {
                Ok(Ok((store, found))) => {
                    self.well = found.unwritten.is_none();
                    let records = store.records();
                    let left = LoadedStore {
                        boot: store.boot(),
                        roster: all::<StoredRoster>(records).pop().map(|(_, list, _)| list),
                        admin_overrides: all::<StoredOverride>(records)
                            .into_iter()
                            .map(|(key, hand, _)| (key.to_owned(), hand))
                            .collect(),
                        slow_start_usage: all::<StoredSlowStartUsage>(records)
                            .pop()
                            .map(|(_, spent, _)| spent),
                        settings: all::<StoredSettings>(records).pop().map(|(_, settings, _)| settings),
                        found,
                    };
                    self.store = Some(store);
                    break StoreEvent::Opened(Box::new(left));
                }
                Ok(Err(_)) => thread::sleep(LOCK_AGAIN),
                Err(why) => {
                    self.well = false;
                    break StoreEvent::OpenFailed(why);
                }
            }
        };
        self.tell(told);
    }
}

#[cfg(test)]
mod tests;
