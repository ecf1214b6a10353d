//! A state of the model: agents with their disks, processes, and messages in transit.

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
    /// Hashes of the disk: of the records that concern no instance, and of those of each name.
    pub(super) lasting: Arc<(u64, BTreeMap<String, u64>)>,
    /// Hashes of agent and disk: of the state that concerns no instance, and of that of each name.
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
        let lasting = former.map_or_else(
            || Arc::new(lasting(&disk)),
            |former| Arc::clone(&former.lasting),
        );
        let (common, by_name) = fleet.parts();
        let of_name = |name: usize| {
            let name = format!("i{name}");
            hash_of((by_name.get(&name), lasting.1.get(&name)))
        };
        let by_name = (0..names).map(of_name).collect();
        Agent {
            common: hash_of((common, lasting.0)),
            by_name,
            fleet: Arc::new(fleet),
            disk,
            lasting,
        }
    }
}

/// Hashes of the disk: of the records that concern no instance, and of those of each name.
fn lasting(disk: &BTreeMap<String, Record>) -> (u64, BTreeMap<String, u64>) {
    let (mut common, mut by_name) = (Vec::new(), BTreeMap::<String, u64>::new());
    for (key, record) in disk {
        let place = key.rsplit_once('/').filter(|_| !key.starts_with("entry/"));
        match (record, place) {
            (_, Some((place, name))) => {
                let former = by_name.entry(name.to_string()).or_default();
                *former = hash_of((*former, place, record));
            }
            // The parts that contain names of instances are in the agent's memory too, and are hashed there.
            (Record::Settled(newest, layers), None) => {
                common.push(hash_of((key, newest, layers.0.len())))
            }
            (Record::Rollout(rollout), None) => {
                common.push(hash_of((
                    key,
                    rollout.revision,
                    rollout.phase,
                    rollout.back_revision,
                )));
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
    /// The settings in effect, apart from what the state machine reports.
    pub(super) effective: BTreeMap<Key, Value>,
    pub(super) in_progress: Option<Order>,
    pub(super) memory: Memory,
    /// The last order that was carried out.
    pub(super) last: Option<(String, u64, Fingerprint)>,
    pub(super) obeyed: Stamp,
    pub(super) obeyed_term: u64,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct ModelState {
    /// The newest agent is the last.
    pub(super) agents: Vec<Agent>,
    pub(super) processes: Vec<Hashed<Process>>,
    /// The newest message in transit by process and direction, and the messages that will arrive late.
    pub(super) net: BTreeMap<(usize, bool), (Packet, u64)>,
    pub(super) late: BTreeMap<Packet, u64>,
    pub(super) remaining: Remaining,
    pub(super) pushed: Vec<Option<Change>>,
    pub(super) accepted: Vec<(usize, u64)>,
    /// The number of starts of each name.
    pub(super) starts: Vec<u64>,
    pub(super) violation: Option<String>,
}

impl ModelState {
    /// Puts a message in transit. A message to a start that has ended is lost.
    pub(super) fn insert(&mut self, packet: Packet) {
        let start = match &packet {
            Packet::Up {
                message: ToAgent::Register(registration),
                ..
            } => registration.who.start,
            Packet::Up {
                message: ToAgent::Report(report),
                ..
            } => report.who.start,
            Packet::Down { message, .. } => message.start(),
        };
        let to = |process: &Hashed<Process>| {
            process.value.name == packet.name() && process.value.machine.who().start == start
        };
        if let Some(at) = self.processes.iter().position(to) {
            let hash = packet.hash_without_name();
            self.net
                .insert((at, matches!(packet, Packet::Up { .. })), (packet, hash));
        }
    }
}

#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Remaining {
    pub(super) agent_kills: u8,
    pub(super) kills: u8,
    pub(super) late: u8,
    pub(super) repeats: u8,
    pub(super) commands: u8,
    pub(super) disconnects: u8,
    pub(super) agent_ticks: u8,
}
