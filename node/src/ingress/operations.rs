//! Operations by name and number, over all settings that have held.
//!
//! It owns which number an operation has: one for each definition, never given to another. It does no I/O; it
//! must never let an invocation that is under way change its operation.

use std::collections::BTreeMap;

use topazsail::{Micros, Operation};

/// Invocations of an operation that is no longer set may still be on their way.
const LEAVES_WITHIN: Micros = 1_000_000;

#[derive(Default)]
pub struct Operations {
    /// In the order of their numbers.
    all: Vec<(String, Operation)>,
    set: BTreeMap<String, usize>,
    /// Those that were set before, and until when they are still taken.
    leaving: BTreeMap<String, (usize, Micros)>,
}

impl Operations {
    /// From now on these are set. Gives all that have ever been, in the order of their numbers, those that
    /// are set marked as in use.
    pub fn set(&mut self, told: Vec<(String, Operation)>, now: Micros) -> Vec<Operation> {
        for (name, number) in std::mem::take(&mut self.set) {
            self.all[number].1.in_use = false;
            self.leaving.insert(name, (number, now + LEAVES_WITHIN));
        }
        for (name, operation) in told {
            let retired = Operation { in_use: false, ..operation.clone() };
            let known = self.all.iter().position(|known| known.0 == name && known.1 == retired);
            let number = known.unwrap_or(self.all.len());
            if known.is_none() {
                self.all.push((name.clone(), operation));
            }
            self.all[number].1.in_use = true;
            self.leaving.remove(&name);
            self.set.insert(name, number);
        }
        self.all.iter().map(|(_, operation)| operation.clone()).collect()
    }

    /// The number under which an invocation is taken now.
    pub fn number(&self, name: &str, now: Micros) -> Option<usize> {
        let leaving = || self.leaving.get(name).filter(|(_, until)| now < *until).map(|(number, _)| *number);
        self.set.get(name).copied().or_else(leaving)
    }

    pub fn name(&self, number: usize) -> &str {
        &self.all[number].0
    }

    /// Names of those that are set.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.set.keys().map(String::as_str)
    }
}
