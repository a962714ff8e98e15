//! The life of a process: its start, what it keeps, and what it leaves to the next.

pub mod handover;
pub mod keeper;
pub mod migrate;
pub mod patience;
pub mod shown;
pub mod signals;
pub mod start;
