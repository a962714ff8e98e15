//! Operations by name and number, across all settings since the start.
//!
//! Assigns a number to each definition of an operation and never reuses it, so that an open invocation keeps
//! its operation when the settings change. It does no I/O.

use std::collections::BTreeMap;

use topazsail::{Effect, Micros, Operation};

/// How long an operation that is no longer set is still accepted, in microseconds, as invocations of it may
/// be in transit.
const RETIREMENT_GRACE: Micros = 1_000_000;

/// All operations that are or were set.
#[derive(Default)]
pub struct Operations {
    /// All definitions, in the order of their numbers.
    definitions: Vec<(String, Operation)>,
    /// The numbers of the operations that are set, by name.
    current: BTreeMap<String, usize>,
    /// Operations that were set before, and until when they are still accepted.
    retiring: BTreeMap<String, (usize, Micros)>,
}

impl Operations {
    /// Replaces the operations that are set. Returns all definitions since the start, in the order of their
    /// numbers; those that are set are marked as in use.
    pub fn set(&mut self, operations: Vec<(String, Operation)>, now: Micros) -> Vec<Operation> {
        for (name, number) in std::mem::take(&mut self.current) {
            self.definitions[number].1.in_use = false;
            self.retiring.insert(name, (number, now + RETIREMENT_GRACE));
        }
        for (name, operation) in operations {
            // Compared as not in use, as the loop above has left the definitions of this name.
            let unused = Operation { in_use: false, ..operation.clone() };
            let known = self.definitions.iter().position(|known| known.0 == name && known.1 == unused);
            let number = known.unwrap_or(self.definitions.len());
            if known.is_none() {
                self.definitions.push((name.clone(), operation));
            }
            self.definitions[number].1.in_use = true;
            self.retiring.remove(&name);
            self.current.insert(name, number);
        }
        self.definitions.iter().map(|(_, operation)| operation.clone()).collect()
    }

    /// The number of the operation under which an invocation is accepted now.
    pub fn number(&self, name: &str, now: Micros) -> Option<usize> {
        let retiring =
            || self.retiring.get(name).filter(|(_, until)| now < *until).map(|(number, _)| *number);
        self.current.get(name).copied().or_else(retiring)
    }

    /// The name of an operation, by its number.
    pub fn name(&self, number: usize) -> &str {
        &self.definitions[number].0
    }

    /// Whether an operation may run twice, by its number.
    pub fn effect(&self, number: usize) -> Effect {
        self.definitions[number].1.effect
    }

    /// The names of the operations that are set.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.current.keys().map(String::as_str)
    }
}
