//! A disk that fails on purpose, over any other: what was not synced is kept here and is gone with this value, as
//! with the machine's power; some of it may have reached the disk all the same, by seed.
//!
//! It owns the difference between what has been written and what is on the disk. The same layer is used in tests in
//! process and, in the lab's dispatcher, over a real folder. It must never make anything safer than a real disk is.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::Micros;
use crate::disk::{Disk, Machine};

/// What is wrong with the disk now; shared, so that it can be changed under way.
#[derive(Clone, Debug, Default)]
pub struct DiskFaults {
    /// Nothing more can be written.
    pub full: bool,
    pub read_only: bool,
    /// A sync fails, and the next one says yes without having written what the first one lost.
    pub sync_fails: bool,
    /// A sync says yes and has done nothing: as a program would be that does not wait for it.
    pub lies: bool,
    /// Each sync takes so long.
    pub slow: Duration,
    /// Nothing is done from this operation on, counted from 0: a crash there.
    pub crash_at: Option<u64>,
    /// The machine's life as told, where it is not the disk's own.
    pub machine: Option<Machine>,
}

/// One file: what has been written, and what is on the disk of it.
#[derive(Default)]
struct Node {
    written: Vec<u8>,
    on_disk: usize,
    /// Bytes that a failed sync has lost: zeros on the disk.
    lost: Vec<(usize, usize)>,
}

enum Step {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

pub struct FaultyDisk<D> {
    under: D,
    faults: Arc<Mutex<DiskFaults>>,
    nodes: Vec<Node>,
    names: BTreeMap<String, usize>,
    /// Names as they are on the disk, and what has been done to them since.
    names_on_disk: BTreeMap<String, usize>,
    steps: Vec<Step>,
    seed: u64,
    operations: u64,
}

impl<D: Disk> FaultyDisk<D> {
    /// Takes over what the disk holds. By `seed`, some of what was not synced reaches it early.
    pub fn new(mut under: D, faults: Arc<Mutex<DiskFaults>>, seed: u64) -> io::Result<FaultyDisk<D>> {
        let (mut nodes, mut names) = (Vec::new(), BTreeMap::new());
        for name in under.list()? {
            let written = under.read(&name)?;
            names.insert(name, nodes.len());
            nodes.push(Node { on_disk: written.len(), written, lost: Vec::new() });
        }
        let names_on_disk = names.clone();
        let steps = Vec::new();
        Ok(FaultyDisk { under, faults, nodes, names, names_on_disk, steps, seed, operations: 0 })
    }

    /// Operations so far: the places where a crash can come.
    pub fn operations(&self) -> u64 {
        self.operations
    }

    /// SplitMix64.
    fn draw(&mut self, below: usize) -> usize {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) as usize % below.max(1)
    }

    fn now(&self) -> DiskFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn begin(&mut self) -> io::Result<DiskFaults> {
        let faults = self.now();
        if faults.crash_at.is_some_and(|at| self.operations >= at) {
            return Err(io::Error::other("crashed"));
        }
        self.operations += 1;
        Ok(faults)
    }

    fn changes(&mut self) -> io::Result<DiskFaults> {
        let faults = self.begin()?;
        if faults.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        Ok(faults)
    }

    fn node(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Puts bytes of a file on the disk, as far as `upto`.
    fn put(&mut self, node: usize, upto: usize) -> io::Result<()> {
        let known = &mut self.nodes[node];
        let from = std::mem::replace(&mut known.on_disk, upto);
        let mut bytes = known.written[from..upto].to_vec();
        for (begin, end) in &known.lost {
            let (begin, end) = ((*begin).max(from), (*end).min(upto));
            if begin < end {
                bytes[begin - from..end - from].fill(0);
            }
        }
        for (name, _) in self.names_on_disk.iter().filter(|(_, known)| **known == node) {
            self.under.append(name, &bytes)?;
        }
        Ok(())
    }

    /// Puts the next so many steps on names on the disk, in their order, as a journal of names does.
    fn put_names(&mut self, most: usize) -> io::Result<()> {
        let most = most.min(self.steps.len());
        for step in self.steps.drain(..most).collect::<Vec<_>>() {
            match step {
                Step::Create(name, node) => {
                    self.under.create(&name)?;
                    let known = &self.nodes[node];
                    let mut bytes = known.written[..known.on_disk].to_vec();
                    for (begin, end) in &known.lost {
                        let end = (*end).min(bytes.len());
                        if *begin < end {
                            bytes[*begin..end].fill(0);
                        }
                    }
                    self.under.append(&name, &bytes)?;
                    self.names_on_disk.insert(name, node);
                }
                Step::Rename(from, to) => {
                    self.under.rename(&from, &to)?;
                    if let Some(node) = self.names_on_disk.remove(&from) {
                        self.names_on_disk.insert(to, node);
                    }
                }
                Step::Remove(name) => {
                    self.under.remove(&name)?;
                    self.names_on_disk.remove(&name);
                }
            }
        }
        Ok(())
    }

    /// The system has written some of it by itself.
    fn early(&mut self) -> io::Result<()> {
        if self.draw(3) == 0 {
            let some = self.draw(self.steps.len() + 1);
            self.put_names(some)?;
        }
        Ok(())
    }
}

impl<D: Disk> Disk for FaultyDisk<D> {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.begin()?;
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.begin()?;
        Ok(self.nodes[self.node(name)?].written.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        if self.changes()?.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.nodes.push(Node::default());
        self.names.insert(name.to_owned(), self.nodes.len() - 1);
        self.steps.push(Step::Create(name.to_owned(), self.nodes.len() - 1));
        self.early()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let full = self.changes()?.full;
        let node = self.node(name)?;
        // Where there is room for some it is written in part.
        let fits = if full { self.draw(bytes.len()) } else { bytes.len() };
        self.nodes[node].written.extend_from_slice(&bytes[..fits]);
        if self.draw(3) == 0 {
            let (on_disk, all) = (self.nodes[node].on_disk, self.nodes[node].written.len());
            let upto = on_disk + self.draw(all - on_disk + 1);
            self.put(node, upto)?;
        }
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let faults = self.changes()?;
        std::thread::sleep(faults.slow);
        let node = self.node(name)?;
        let (on_disk, all) = (self.nodes[node].on_disk, self.nodes[node].written.len());
        if faults.lies {
            return Ok(());
        }
        if faults.sync_fails {
            self.nodes[node].lost.push((on_disk, all));
            return Err(io::Error::other("the disk has failed"));
        }
        self.put(node, all)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.changes()?;
        let node = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_owned(), node);
        self.steps.push(Step::Rename(from.to_owned(), to.to_owned()));
        self.early()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.changes()?;
        self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        self.steps.push(Step::Remove(name.to_owned()));
        self.early()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let faults = self.changes()?;
        std::thread::sleep(faults.slow);
        if faults.lies {
            return Ok(());
        }
        if faults.sync_fails {
            return Err(io::Error::other("the disk has failed"));
        }
        self.put_names(usize::MAX)
    }

    fn note(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.changes()?;
        self.under.note(name, bytes)
    }

    fn lock(&mut self) -> io::Result<()> {
        self.under.lock()
    }

    fn machine(&mut self) -> Machine {
        let told = self.now().machine;
        told.unwrap_or_else(|| self.under.machine())
    }
}

/// How long ago something was noted, where that can be told: by the machine's own clock in the same life of it, else
/// at least as long as it has been up.
pub fn at_least_ago(noted: &Machine, now: &Machine) -> Micros {
    if now.life.is_empty() || noted.life.is_empty() {
        return 0;
    }
    if noted.life == now.life { (now.up - noted.up).max(0) } else { now.up }
}
