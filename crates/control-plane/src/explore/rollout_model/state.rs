//! A state of the model: agents with their disks, processes, and messages in transit.

use super::agent::Agent;
use super::hashed::Hashed;
use super::packet::{Channel, Packet};
use super::process::Process;
use crate::change::Change;
use crate::explore::InvariantViolation;
use std::collections::BTreeMap;

/// A change that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AcceptedChange {
    /// The number of the change.
    pub(super) change: usize,
    pub(super) revision: u64,
}

/// How often each fault and each command may still happen.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Remaining {
    pub(super) agent_kills: u8,
    pub(super) instance_kills: u8,
    pub(super) late_messages: u8,
    pub(super) repeated_pushes: u8,
    pub(super) commands: u8,
    pub(super) disconnects: u8,
    pub(super) agent_ticks: u8,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct ModelState {
    /// The newest agent is the last.
    pub(super) agents: Vec<Agent>,
    pub(super) processes: Vec<Hashed<Process>>,
    /// The newest message in transit on each channel.
    pub(super) in_transit: BTreeMap<Channel, Hashed<Packet>>,
    /// The messages that will arrive late, with their hashes.
    pub(super) late: BTreeMap<Packet, u64>,
    pub(super) remaining: Remaining,
    /// The changes that were pushed, by their numbers.
    pub(super) pushed: Vec<Option<Change>>,
    pub(super) accepted: Vec<AcceptedChange>,
    /// The number of starts of each name.
    pub(super) starts: Vec<u64>,
    /// The first violation that a transition has shown.
    pub(super) violation: Option<InvariantViolation>,
}

impl ModelState {
    /// The index of the newest agent.
    pub(super) fn newest_agent(&self) -> usize {
        self.agents.len() - 1
    }

    /// Puts a message in transit. A message to a start that has ended is lost.
    pub(super) fn send(&mut self, packet: Packet) {
        let start = packet.start();
        let is_endpoint = |process: &Hashed<Process>| {
            process.value.name == packet.name() && process.value.machine.id().start == start
        };
        if let Some(process) = self.processes.iter().position(is_endpoint) {
            let channel = Channel {
                process,
                is_to_agent: matches!(packet, Packet::ToAgent { .. }),
            };
            let hash = packet.hash_without_name();
            self.in_transit.insert(channel, Hashed::new(packet, hash));
        }
    }

    /// All messages in transit, and then those that will arrive late, with the channels of the former.
    pub(super) fn packets(&self) -> impl Iterator<Item = (&Packet, Option<Channel>)> {
        let in_transit = self
            .in_transit
            .iter()
            .map(|(channel, packet)| (&*packet.value, Some(*channel)));
        in_transit.chain(self.late.keys().map(|packet| (packet, None)))
    }

    /// The record of an accepted change.
    pub(super) fn acceptance(&self, change: usize) -> Option<AcceptedChange> {
        self.accepted
            .iter()
            .copied()
            .find(|accepted| accepted.change == change)
    }
}
