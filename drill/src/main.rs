//! Hosts topazsail instances on the drill wire. It translates and decides nothing.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufWriter, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use topazsail::{Event, Micros, RoutingPolicy};
use wire::{Message, Reader};

struct Instance {
    policy: RoutingPolicy,
    operations: Vec<String>,
    happened: Vec<Event>,
}

#[derive(Default)]
struct House {
    instances: BTreeMap<u64, Instance>,
    /// Those that something has happened to in this batch.
    stirred: BTreeSet<u64>,
}

impl House {
    fn take(&mut self, message: Message) {
        match message {
            Message::Create { inst, seed, settings, operations } => {
                let policy = RoutingPolicy::new(settings, seed);
                self.instances.insert(inst, Instance { policy, operations, happened: Vec::new() });
            }
            Message::Kill { inst } => {
                self.instances.remove(&inst);
            }
            Message::Event { inst, event } => {
                if let Some(instance) = self.instances.get_mut(&inst) {
                    instance.happened.push(event);
                    self.stirred.insert(inst);
                }
            }
            Message::PassedOver => {}
        }
    }

    fn operations(&self, inst: u64) -> Option<&[String]> {
        self.instances.get(&inst).map(|i| i.operations.as_slice())
    }

    fn reply(&mut self, now: Micros, out: &mut String) {
        for inst in std::mem::take(&mut self.stirred) {
            let Some(instance) = self.instances.get_mut(&inst).filter(|i| !i.happened.is_empty()) else {
                continue;
            };
            let happened = std::mem::take(&mut instance.happened);
            match panic::catch_unwind(AssertUnwindSafe(|| instance.policy.decide(now, happened))) {
                Ok(actions) => actions.iter().for_each(|action| wire::write(out, inst, action)),
                Err(fault) => wire::write_fault(out, inst, fault.as_ref()),
            }
        }
        out.push_str("NEXT\n");
    }
}

fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let mut reader = Reader::new(io::stdin().lock());
    let mut writer = BufWriter::new(io::stdout().lock());
    let mut house = House::default();
    let mut out = String::new();
    while let Some(now) = reader.round()? {
        while let Some(message) = reader.message(|inst| house.operations(inst))? {
            house.take(message);
        }
        out.clear();
        house.reply(now, &mut out);
        writer.write_all(out.as_bytes())?;
        writer.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("topazsail-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
