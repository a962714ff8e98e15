//! The thread that writes the store: the event loop queues records for it and is notified when they are on
//! the disk.
//!
//! The thread owns the store while the process holds its folder. The queue to it is bounded, and the event
//! loop never waits: a request that does not fit is reported as not stored.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use topazsail::Micros;
use topazsail_store::stored_types::{
    Storable, StoredOverride, StoredRoster, StoredSettings, StoredSlowStartUsage, all, encode,
};
use topazsail_store::{Disk, LoadSummary, Store, Table};

/// The most requests in the queue to the thread; beyond that, requests are refused.
const MAX_QUEUED_REQUESTS: usize = 1024;
/// How often the thread notes that the process is running, which bounds how precisely the next run knows when
/// this one ended.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// Records for which no sync is requested are synced after about this time.
const SYNC_DELAY: Duration = Duration::from_millis(500);
/// The first pause before the disk is retried after a failure; it doubles with each retry.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The longest pause before the disk is retried.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(30);
/// How long to wait for the lock on the folder: in an upgrade the old process releases it within this time.
const LOCK_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause between two attempts to lock the folder.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Opens the disk of the store's folder, not yet locked.
pub type DiskFactory = Box<dyn FnMut() -> io::Result<Box<dyn Disk>> + Send>;

/// A request to the thread; requests are processed in order.
enum StoreRequest {
    /// Open the store, unless it is open.
    Open,
    /// Write a record, or delete it if `value` is `None`.
    Put { table: Table, key: String, format: u16, value: Option<Vec<u8>> },
    /// Report under this ticket when all earlier requests are on the disk.
    Sync(u64),
    /// Raise the boot number of this run above the given one.
    RaiseBootAbove(u64),
    /// Sync the store, record a clean shutdown in it, and release the folder.
    Close,
}

/// What the previous process run has stored.
#[derive(Debug, Default)]
pub struct LoadedStore {
    /// How the store was found.
    pub summary: LoadSummary,
    /// The boot number of this run; `None` until the disk can be written.
    pub boot: Option<u64>,
    /// The last list of runners.
    pub roster: Option<StoredRoster>,
    /// Admin overrides by runner.
    pub admin_overrides: Vec<(String, StoredOverride)>,
    /// The work recently sent to cold runners.
    pub slow_start_usage: Option<StoredSlowStartUsage>,
    /// The last configuration.
    pub settings: Option<StoredSettings>,
}

/// A report of the thread.
#[derive(Debug)]
pub enum StoreEvent {
    /// The store is open.
    Opened(Box<LoadedStore>),
    /// The store could not be opened, and why.
    OpenFailed(String),
    /// All requests before this ticket are on the disk, or why they are not.
    Synced(u64, Result<(), String>),
    /// The disk works again, with the boot number of this run, or has failed, and why.
    Health(Result<Option<u64>, String>),
    /// The store is closed and its folder released.
    Closed,
}

/// The event loop's handle on the thread.
pub struct StoreThread {
    requests: SyncSender<StoreRequest>,
    events: Receiver<StoreEvent>,
    last_ticket: u64,
    /// Tickets whose requests did not fit into the queue; reported by the next [`StoreThread::incoming`].
    refused_tickets: Vec<u64>,
    /// The number of requests that did not fit into the queue.
    pub dropped: u64,
}

impl StoreThread {
    /// Starts the thread. `disk` is a disk that is already locked; without it, disks from `disk_factory` are
    /// tried until one can be locked. `owner` and `id` identify a store that is created. `wake` is called
    /// whenever events are available.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        disk: Option<Box<dyn Disk>>,
        disk_factory: DiskFactory,
        owner: String,
        id: u64,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<StoreThread> {
        let (requests, queue) = sync_channel(MAX_QUEUED_REQUESTS);
        let (sender, events) = channel();
        let queue_passes = (ALIVE_INTERVAL, Instant::now());
        let waiting_tickets = Vec::new();
        let mut worker = Worker {
            disk_factory,
            owner,
            id,
            events: sender,
            store: None,
            waiting_tickets,
            is_healthy: true,
            released: false,
            has_new_events: false,
            queue_passes,
        };
        let run = move || worker.run(disk, &queue, &wake);
        thread::Builder::new().name("keeper".to_owned()).spawn(run)?;
        Ok(StoreThread { requests, events, last_ticket: 0, refused_tickets: Vec::new(), dropped: 0 })
    }

    /// Queues a request; false if the queue is full.
    fn request(&mut self, request: StoreRequest) -> bool {
        let queued = self.requests.try_send(request).is_ok();
        self.dropped += u64::from(!queued);
        queued
    }

    /// Queues a record to be written, or deleted if `record` is `None`. It is synced within about half a
    /// second.
    pub fn put<T: Storable>(&mut self, key: &str, record: Option<&T>) {
        let (key, value) = (key.to_owned(), record.map(encode));
        self.request(StoreRequest::Put { table: T::TABLE, key, format: T::FORMAT, value });
    }

    /// Queues a record like [`StoreThread::put`] and has it synced at once. Returns the ticket under which
    /// [`StoreEvent::Synced`] reports the result.
    pub fn put_and_sync<T: Storable>(&mut self, key: &str, record: Option<&T>) -> u64 {
        let (key, value) = (key.to_owned(), record.map(encode));
        self.last_ticket += 1;
        let queued = self.request(StoreRequest::Put { table: T::TABLE, key, format: T::FORMAT, value });
        if !queued || !self.request(StoreRequest::Sync(self.last_ticket)) {
            self.refused_tickets.push(self.last_ticket);
        }
        self.last_ticket
    }

    /// Has the boot number of this run raised above one that another dispatcher has reported;
    /// [`StoreEvent::Health`] follows.
    pub fn raise_boot_above(&mut self, boot: u64) {
        self.request(StoreRequest::RaiseBootAbove(boot));
    }

    /// Has the store closed and its folder released, so that another process can lock it.
    pub fn close(&mut self) {
        self.request(StoreRequest::Close);
    }

    /// Has the store opened, unless it is open.
    pub fn open(&mut self) {
        self.request(StoreRequest::Open);
    }

    /// Takes the events that have arrived.
    pub fn incoming(&mut self) -> Vec<StoreEvent> {
        let refused = self
            .refused_tickets
            .drain(..)
            .map(|ticket| StoreEvent::Synced(ticket, Err("too much waits".into())));
        refused.chain(self.events.try_iter()).collect()
    }

    /// Closes the store before the process ends, waiting for at most `within`. True if the store was closed
    /// in time.
    pub fn finish(mut self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        if !self.request(StoreRequest::Close) {
            return false;
        }
        while let Ok(event) = self.events.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            if matches!(event, StoreEvent::Closed) {
                return true;
            }
        }
        false
    }
}

/// Unix time in microseconds.
fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// The state of the thread.
struct Worker {
    disk_factory: DiskFactory,
    owner: String,
    id: u64,
    events: Sender<StoreEvent>,
    store: Option<Store>,
    /// Tickets that wait for a sync.
    waiting_tickets: Vec<u64>,
    /// The last use of the disk succeeded.
    is_healthy: bool,
    /// The folder was released on request, for another process.
    released: bool,
    /// Events have been sent since the event loop was last woken.
    has_new_events: bool,
    /// The longest time between two passes over the queue, and when the last pass ended.
    queue_passes: (Duration, Instant),
}

impl Worker {
    /// Processes requests until the handle is dropped.
    fn run(&mut self, disk: Option<Box<dyn Disk>>, queue: &Receiver<StoreRequest>, wake: &dyn Fn()) {
        self.open(disk);
        wake();
        // When to sync next, or to retry after a failure, and the pause after the next failure.
        let mut sync_at: Option<Instant> = self.retry_time();
        let mut retry_after = RETRY_INTERVAL;
        loop {
            let first = queue.recv_timeout(ALIVE_INTERVAL);
            if matches!(first, Err(RecvTimeoutError::Disconnected)) {
                return;
            }
            for request in first.into_iter().chain(queue.try_iter().take(MAX_QUEUED_REQUESTS)) {
                match request {
                    StoreRequest::Put { table, key, format, value } => {
                        if let Some(store) = &mut self.store {
                            store.put(table, &key, format, value, now());
                            sync_at = sync_at.or(Some(Instant::now() + SYNC_DELAY));
                        }
                    }
                    StoreRequest::Sync(ticket) => self.waiting_tickets.push(ticket),
                    StoreRequest::RaiseBootAbove(boot) => {
                        if let Some(store) = &mut self.store {
                            let raised = store.raise_boot_above(boot).map_err(|error| error.to_string());
                            self.is_healthy = raised.is_ok();
                            let boot = store.boot();
                            self.send_event(StoreEvent::Health(raised.map(|()| boot)));
                            sync_at = sync_at.or_else(|| self.retry_time());
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
                        self.send_event(StoreEvent::Closed);
                    }
                }
            }
            let (longest_gap, last_pass) = self.queue_passes;
            self.queue_passes = (longest_gap.max(last_pass.elapsed()), Instant::now());
            if let Some(store) = &mut self.store {
                store.note_alive(2 * self.queue_passes.0.as_micros() as Micros);
            }
            let is_due = sync_at.is_some_and(|at| Instant::now() >= at);
            // After a failure, requests do not make the disk be tried before its time: each attempt may take
            // long.
            if is_due && self.store.is_none() && !self.released {
                self.open(None);
            }
            if is_due || !self.waiting_tickets.is_empty() && self.is_healthy {
                if self.sync() {
                    (sync_at, retry_after) = (None, RETRY_INTERVAL);
                } else {
                    sync_at = Some(Instant::now() + retry_after);
                    retry_after = (retry_after * 2).min(MAX_RETRY_INTERVAL);
                }
            }
            if !self.is_healthy {
                self.report_synced(&Err("the disk has failed".to_owned()));
            }
            if std::mem::take(&mut self.has_new_events) {
                wake();
            }
        }
    }

    /// Queues an event for the event loop, which is woken after the requests at hand.
    fn send_event(&mut self, event: StoreEvent) {
        self.has_new_events = true;
        let _ = self.events.send(event);
    }

    /// When to retry, if the disk has failed.
    fn retry_time(&self) -> Option<Instant> {
        (!self.is_healthy).then(|| Instant::now() + RETRY_INTERVAL)
    }

    /// Reports a result to all waiting tickets.
    fn report_synced(&mut self, result: &Result<(), String>) {
        for ticket in std::mem::take(&mut self.waiting_tickets) {
            self.send_event(StoreEvent::Synced(ticket, result.clone()));
        }
    }

    /// Syncs the store, and reports the result and a change of the disk's health. True if the sync succeeded.
    fn sync(&mut self) -> bool {
        let synced = match &mut self.store {
            Some(store) => store.sync().map_err(|error| error.to_string()),
            None => Err("there is no store".to_owned()),
        };
        let boot = self.store.as_ref().and_then(Store::boot);
        let is_healthy = synced.is_ok();
        if is_healthy != std::mem::replace(&mut self.is_healthy, is_healthy) {
            let health = synced.clone().map(|()| boot);
            self.send_event(StoreEvent::Health(health));
        }
        self.report_synced(&synced);
        is_healthy
    }

    /// Opens the store and reports the result. While another process holds the lock, this waits for up to
    /// [`LOCK_TIMEOUT`].
    fn open(&mut self, mut disk: Option<Box<dyn Disk>>) {
        let deadline = Instant::now() + LOCK_TIMEOUT;
        let event = loop {
            let candidate = disk.take().map_or_else(|| (self.disk_factory)(), Ok);
            let opened =
                candidate.map_err(|error| error.to_string()).and_then(|mut disk| match disk.lock() {
                    Err(error) if Instant::now() < deadline => Ok(Err(error)),
                    _ => Store::open(disk, &self.owner, self.id, now())
                        .map(Ok)
                        .map_err(|error| error.to_string()),
                });
            match opened {
                Ok(Ok((store, summary))) => {
                    self.is_healthy = summary.write_error.is_none();
                    let records = store.records();
                    let loaded = LoadedStore {
                        boot: store.boot(),
                        roster: all::<StoredRoster>(records).pop().map(|(_, roster, _)| roster),
                        admin_overrides: all::<StoredOverride>(records)
                            .into_iter()
                            .map(|(key, value, _)| (key.to_owned(), value))
                            .collect(),
                        slow_start_usage: all::<StoredSlowStartUsage>(records)
                            .pop()
                            .map(|(_, usage, _)| usage),
                        settings: all::<StoredSettings>(records).pop().map(|(_, settings, _)| settings),
                        summary,
                    };
                    self.store = Some(store);
                    break StoreEvent::Opened(Box::new(loaded));
                }
                Ok(Err(_)) => thread::sleep(LOCK_RETRY_INTERVAL),
                Err(reason) => {
                    self.is_healthy = false;
                    break StoreEvent::OpenFailed(reason);
                }
            }
        };
        self.send_event(event);
    }
}

#[cfg(test)]
mod tests;
