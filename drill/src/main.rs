//! Runs topazsail instances for the operators' simulator: reads its messages from standard input and writes
//! the instances' actions to standard output. It only translates; every decision is the routing policy's.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufWriter, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use topazsail::{Event, Micros, RoutingPolicy};
use wire::{Message, Reader};

/// One simulated dispatcher.
struct Instance {
    policy: RoutingPolicy,
    /// Operation names, by index.
    operations: Vec<String>,
    /// Events of the current batch, not yet given to the policy.
    events: Vec<Event>,
}

/// All instances of this process, by the simulator's id.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    /// Instances that received events in the current batch.
    with_events: BTreeSet<u64>,
}

impl Host {
    /// Creates or removes an instance, or queues an event for one. Messages for unknown instances are
    /// ignored.
    fn apply(&mut self, message: Message) {
        match message {
            Message::Create { instance_id, seed, settings, operations } => {
                let policy = RoutingPolicy::new(settings, seed);
                self.instances.insert(instance_id, Instance { policy, operations, events: Vec::new() });
            }
            Message::Kill { instance_id } => {
                self.instances.remove(&instance_id);
            }
            Message::Event { instance_id, event } => {
                if let Some(instance) = self.instances.get_mut(&instance_id) {
                    instance.events.push(event);
                    self.with_events.insert(instance_id);
                }
            }
            Message::Ignored => {}
        }
    }

    /// Returns the operation names of an instance, or `None` if it does not exist.
    fn operations(&self, instance_id: u64) -> Option<&[String]> {
        self.instances.get(&instance_id).map(|instance| instance.operations.as_slice())
    }

    /// Runs the policies of all instances with events and writes their actions, then the end of the batch. A
    /// policy that panics is reported for its instance only.
    fn reply(&mut self, now: Micros, out: &mut String) {
        for instance_id in std::mem::take(&mut self.with_events) {
            let Some(instance) =
                self.instances.get_mut(&instance_id).filter(|instance| !instance.events.is_empty())
            else {
                continue;
            };
            let events = std::mem::take(&mut instance.events);
            match panic::catch_unwind(AssertUnwindSafe(|| instance.policy.decide(now, events))) {
                Ok(actions) => actions.iter().for_each(|action| wire::write_action(out, instance_id, action)),
                Err(panic) => wire::write_panic(out, instance_id, panic.as_ref()),
            }
        }
        out.push_str("NEXT\n");
    }
}

/// Answers batches until the input ends.
fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let mut reader = Reader::new(io::stdin().lock());
    let mut writer = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut out = String::new();
    while let Some(now) = reader.begin_batch()? {
        while let Some(message) = reader.next_message(|instance_id| host.operations(instance_id))? {
            host.apply(message);
        }
        out.clear();
        host.reply(now, &mut out);
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
