//! Storage that outlives a process: named records with age, format version and checksum, on a disk that may
//! fail at any time.
//!
//! `disk` is the lowest layer, a real directory or memory; `faulty` adds failures for tests. `log` defines
//! the file format and reads whatever is left of a file. `store` holds the records of one directory, in
//! memory and on the disk. `stored_types` defines the types of a dispatcher's records. Nothing here starts
//! threads or reads a clock: the node runs the store on a thread of its own
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

/// Whole microseconds of Unix time, or a duration.
pub type Micros = i64;
