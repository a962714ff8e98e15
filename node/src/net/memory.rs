//! How the process's memory limit is shared out.
//!
//! Each part of the process that holds what others send it keeps to its share, whatever fills it. What is
//! not shared out is for the program itself, the runners, copies made while messages are read, and memory
//! that the allocator cannot reuse.

/// What parts of the process may hold, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryShares {
    /// The buffers of all connections together.
    pub buffers: usize,
    /// All open invocations together, with their state and their requests.
    pub invocations: usize,
    /// A roster, or a change to it, while discovery sends it.
    pub roster: usize,
}

impl MemoryShares {
    /// The shares of a process that may use this many bytes.
    pub fn of(limit: usize) -> MemoryShares {
        MemoryShares { buffers: limit / 8, invocations: limit / 8, roster: limit / 16 }
    }
}
