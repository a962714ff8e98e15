//! What the other process of an upgrade has heard from discovery.
//!
//! Each of the two processes has a watch of its own, and passes on what it hears on it. A list that this process
//! has in full up to where it leads from is applied like one from discovery. Of any other, which may lack changes
//! in between or come from another discovery, only what takes runners out of use is applied.

use serde::{Deserialize, Serialize};
use topazsail::{Listing, Micros, Readiness};

use super::{Generations, Roster, RosterEvent, RosterSnapshot};

/// A list, or a change to it, that a process has received from discovery.
#[derive(Debug, Serialize, Deserialize)]
pub struct PassedRoster {
    /// The address of discovery.
    pub discovery: String,
    /// The generation that the sender had reached before, if any.
    pub since: Option<u64>,
    /// The list in discovery's own format.
    pub list: RosterSnapshot,
}

/// How far a process knows that it has heard all that discovery announced.
#[derive(Debug, Serialize, Deserialize)]
pub struct PassedContact {
    /// The address of discovery.
    pub discovery: String,
    /// Until when no change can be missing in the lists that were passed on before.
    pub certain_until: Micros,
}

impl Roster {
    /// The list of an event in the form that is passed on; none if this process has not received it from
    /// discovery.
    pub fn to_passed(&self, event: &RosterEvent) -> Option<PassedRoster> {
        let Generations { since, reached } = event.generations?;
        let list = RosterSnapshot::new(reached, event.listing == Listing::All, event.entries.clone());
        Some(PassedRoster { discovery: self.discovery.to_string(), since, list })
    }

    /// How far this process has heard all that discovery announced, in the form that is passed on. That
    /// discovery could not be reached is left to each process to find.
    pub fn contact(&self) -> PassedContact {
        PassedContact { discovery: self.discovery.to_string(), certain_until: self.heard_until }
    }

    /// Takes over a list that the other process has received.
    pub fn receive_passed(&mut self, passed: PassedRoster) {
        let (generation, reset) = (passed.list.generation, passed.list.reset);
        let is_same_discovery = passed.discovery == self.discovery.to_string();
        let known = self.generation.filter(|_| is_same_discovery);
        // For its sender a list leads back only if discovery counts from the start again.
        let went_back = passed.since.is_some_and(|since| generation < since);
        if known.is_some_and(|known| generation <= known) && !went_back {
            return;
        }
        let leads_on = || known.zip(passed.since).is_some_and(|(known, since)| since <= known && !went_back);
        let is_complete = is_same_discovery && (reset || leads_on());
        let mut entries = passed.list.entries();
        if is_complete {
            // While the whole list is asked for, its answer sets the generation.
            self.generation = known.map(|_| generation);
        } else {
            self.has_gap = true;
            entries.retain(|(entry, _)| entry.readiness != Readiness::Up);
        }
        // Not as an answer of discovery to this process: that it has a watch of its own is still to come.
        let listing = if is_complete && reset { Listing::Remembered } else { Listing::Local };
        self.events.push(RosterEvent::local(listing, entries));
    }

    /// Takes over how far the other process has heard all that discovery announced.
    pub fn receive_contact(&mut self, contact: PassedContact, now: Micros) {
        if contact.discovery == self.discovery.to_string() && !self.has_gap {
            self.certain_until = self.certain_until.max(contact.certain_until.min(now));
        }
    }
}
