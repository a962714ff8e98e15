//! The life of a process: its start, what it keeps, and what it leaves to the next.

pub mod handover;
pub mod migrate;
pub mod signals;
pub mod start;
pub mod store_report;
pub mod store_thread;
pub mod transient_retry;
