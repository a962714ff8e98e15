//! The order of the admin overrides that the two processes of an upgrade pass to each other.
//!
//! An operator may call either process, and the other one learns of the call a moment later. Each message says
//! how many overrides of the receiver its sender has received. So both processes see the same of two
//! overrides of a runner: that one was made in knowledge of the other, and replaces it, or that they were made
//! apart. Of two that were made apart, the one that takes the runner out of service wins at both.

use std::collections::BTreeMap;

/// The last override of a runner that was sent to the other process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentOverride {
    /// How many overrides had been sent with it, of all runners.
    number: u64,
    /// Whether it took the runner out of service.
    out: bool,
}

/// The admin overrides that were passed between the two processes since the hand-over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OverrideOrder {
    sent: u64,
    received: u64,
    last_sent: BTreeMap<String, SentOverride>,
}

impl OverrideOrder {
    /// Records an override that is sent to the other process. Returns how many of the other one's had been received
    /// by then, which the message has to say.
    pub fn send(&mut self, id: &str, out: bool) -> u64 {
        self.sent += 1;
        self.last_sent.insert(id.to_owned(), SentOverride { number: self.sent, out });
        self.received
    }

    /// Records an override from the other process, which had received `seen` of this process's by then.
    /// Returns whether it applies.
    pub fn receive(&mut self, id: &str, out: bool, seen: u64) -> bool {
        self.received += 1;
        let made_apart = self.last_sent.get(id).filter(|sent| sent.number > seen);
        out || made_apart.is_none_or(|sent| !sent.out)
    }
}
