//! What outlives a process: named records with age, form and checksum, on a disk that may fail at any moment.
//!
//! `disk` is the layer at the bottom, real or failing on purpose; `log` holds the files' form and reads whatever is
//! left of them; `store` is one folder's records, in memory and on the disk; `stored_types` gives the records of a
//! dispatcher their types. Nothing here has a thread or reads a clock: the node runs it on a thread of its own
//! (`node/src/lifecycle/store_thread.rs`). See `docs/recovery.md`.

pub mod disk;
pub mod faulty;
mod log;
mod store;
pub mod stored_types;

pub use disk::{DirectoryDisk, Disk, Machine, MemoryDisk};
pub use faulty::{DiskFaults, FaultyDisk};
pub use log::{FORMAT, Record, Table};
pub use store::{IntegrityWarning, LoadSummary, Store, StoreError, WriteError, inspect};

/// Whole microseconds of Unix time, or a span.
pub type Micros = i64;
