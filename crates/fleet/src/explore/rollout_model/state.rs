//! A state of the model: agents with their disks, processes, and messages on their way.

use super::hashed::{Hashed, hash_of};
use super::packet::Packet;
use crate::change::Change;
use crate::fleet::Record;
use crate::instance::Memory;
use crate::protocol::{Order, Stamp, ToAgent};
use crate::settings::{Fingerprint, Key, Value};
use crate::{Fleet, Instance};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(super) struct Agent {
    pub(super) fleet: Arc<Fleet>,
    pub(super) disk: Arc<BTreeMap<String, Record>>,
    /// Of the disk, as the two below.
    pub(super) lasting: Arc<(u64, BTreeMap<String, u64>)>,
    /// Of what names no instance, and of what each instance's name is found at.
    pub(super) common: u64,
    pub(super) by_name: Vec<u64>,
}

impl Agent {
    pub(super) fn new(
        fleet: Fleet,
        disk: Arc<BTreeMap<String, Record>>,
        former: Option<&Agent>,
        names: usize,
    ) -> Self {
        let former = former.filter(|former| Arc::ptr_eq(&former.disk, &disk));
        let lasting = former.map_or_else(|| Arc::new(lasting(&disk)), |former| Arc::clone(&former.lasting));
        let (common, by_name) = fleet.parts();
        let of_name = |name: usize| {
            let name = format!("i{name}");
            hash_of((by_name.get(&name), lasting.1.get(&name)))
        };
        let by_name = (0..names).map(of_name).collect();
        Agent { common: hash_of((common, lasting.0)), by_name, fleet: Arc::new(fleet), disk, lasting }
    }
}

/// Hashes of what lasts: of what names no instance, and of what is found at each name.
fn lasting(disk: &BTreeMap<String, Record>) -> (u64, BTreeMap<String, u64>) {
    let (mut common, mut by_name) = (Vec::new(), BTreeMap::<String, u64>::new());
    for (key, record) in disk {
        let place = key.rsplit_once('/').filter(|_| !key.starts_with("entry/"));
        match (record, place) {
            (_, Some((place, name))) => {
                let former = by_name.entry(name.to_string()).or_default();
                *former = hash_of((*former, place, record));
            }
            // What names instances in them is in the memory of the agent as well.
            (Record::Settled(newest, layers), None) => common.push(hash_of((key, newest, layers.0.len()))),
            (Record::Rollout(rollout), None) => {
                common.push(hash_of((key, rollout.revision, rollout.phase, rollout.back_revision)));
            }
            (record, None) => common.push(hash_of((key, record))),
        }
    }
    (hash_of(common), by_name)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process {
    pub(super) name: usize,
    pub(super) machine: Instance,
    /// What is in effect, beside what the machine says.
    pub(super) real: BTreeMap<Key, Value>,
    pub(super) taking: Option<Order>,
    pub(super) memory: Memory,
    /// The last order that was carried out.
    pub(super) last: Option<(String, u64, Fingerprint)>,
    pub(super) obeyed: Stamp,
    pub(super) obeyed_term: u64,
}

/// A state of the world.
#[derive(Clone, Debug)]
pub struct World {
    /// The newest last.
    pub(super) agents: Vec<Agent>,
    pub(super) processes: Vec<Hashed<Process>>,
    /// The newest message on its way, by process and direction, and those that will come late.
    pub(super) net: BTreeMap<(usize, bool), (Packet, u64)>,
    pub(super) late: BTreeMap<Packet, u64>,
    pub(super) left: Left,
    pub(super) pushed: Vec<Option<Change>>,
    pub(super) accepted: Vec<(usize, u64)>,
    /// How often each name was started.
    pub(super) starts: Vec<u64>,
    pub(super) broken: Option<String>,
}

impl World {
    /// Puts a message on its way. One to a start that is no more is lost.
    pub(super) fn insert(&mut self, packet: Packet) {
        let start = match &packet {
            Packet::Up { message: ToAgent::Register(wish), .. } => wish.who.start,
            Packet::Up { message: ToAgent::Report(report), .. } => report.who.start,
            Packet::Down { message, .. } => message.start(),
        };
        let to = |process: &Hashed<Process>| {
            process.value.name == packet.name() && process.value.machine.who().start == start
        };
        if let Some(at) = self.processes.iter().position(to) {
            let hash = packet.hash_without_name();
            self.net.insert((at, matches!(packet, Packet::Up { .. })), (packet, hash));
        }
    }
}

#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Left {
    pub(super) agent_kills: u8,
    pub(super) kills: u8,
    pub(super) late: u8,
    pub(super) repeats: u8,
    pub(super) commands: u8,
    pub(super) cuts: u8,
    pub(super) agent_ticks: u8,
}
