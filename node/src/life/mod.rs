//! What one process of a dispatcher leaves to the next.

pub mod handover;
pub mod keeper;
pub mod migrate;
pub mod shown;
