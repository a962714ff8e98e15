//! The lifecycle of a process: start, signals, hand-over to a successor, the store thread, and the offline
//! commands for migrating configurations and reporting on stores.

pub mod handover;
pub mod migrate;
pub mod signals;
pub mod start;
pub mod store_report;
pub mod store_thread;
pub mod transient_retry;
