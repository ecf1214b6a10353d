//! The real machines in a small world: an agent with its disk (perhaps a second one that does not know that it was
//! replaced), instances, and a network that loses, keeps back, late and reorders.
//!
//! # What can happen
//! - Between the agent and each process one message is on its way in each direction; a newer one takes the place of
//!   one that has not come, which is lost. Any message may come late as well: once more, or after newer ones, at any
//!   time. How many do is bounded.
//! - The agent's clock goes on to its next deadline; so does that of an instance. Clocks have nothing to do with each
//!   other, except in the fair step, where all go on together.
//! - An instance takes an order into effect, or refuses it. That and its saying so are two steps.
//! - The agent is killed, and started again from what lasts. An instance is killed and started again, with what it
//!   kept or with nothing; its incarnation may go backwards.
//! - An operator pushes a change (again), stops it, takes it back.
//!
//! # The invariants
//! 1. *Whole*: what an instance has in effect is exactly one of the settings that the fleet may settle on, and is
//!    what it says it has.
//! 2. *Fenced*: no start obeys an order with a stamp below one that it obeyed, and no instance that keeps its memory
//!    an order of a term below one that it obeyed.
//! 3. *Once*: no start carries one order out twice in a row.
//! 4. *True*: what the newest agent has recorded of an order (applied, refused) is what that start of the instance
//!    made of it.
//! 5. *One name, one instance*: of all processes with one name no two are in a session under one incarnation, and
//!    the one that the newest agent holds to be the name's is the only one whose word counts for it.
//! 6. *Waves*: no more than `at_once` instances are under way, and none of a wave before the one before is through.
//! 7. *Lasting*: an instance has no revision that the agent's disk does not know; a change that was accepted is
//!    known for good.
//! 8. *Rest*: a fair continuation ends every rollout; then every instance that is there has what the fleet settled on,
//!    or is on record as having refused it, with the reason.

mod bounds;
mod hashed;
mod invariants;
mod packet;
mod shipped;
mod state;
mod step;
mod transitions;

pub use bounds::Bounds;
pub use shipped::{large, shipped};
pub use state::World;
pub use step::Step;

use super::Model;
use crate::{By, Event, Fleet, Memory, Planted, planted};
use bounds::{UNIT, now, rules};
use foldhash::quality::FixedState;
use hashed::{Hashed, hash_of};
use packet::{Packet, PacketShown};
use state::{Agent, Left, Process};
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::sync::Arc;

impl Model for Bounds {
    type State = World;
    type Step = Step;

    fn initial(&self) -> World {
        let (fleet, out) = match Fleet::restore(rules(), now(), 0, []) {
            Ok(restored) => restored,
            Err(problem) => panic!("an empty disk makes sense: {problem}"),
        };
        let agent = Agent::new(fleet.clone(), Arc::default(), None, self.names());
        // Instances are alike only where none has a turn of its own.
        assert!(!self.alike || self.waves.is_empty() && self.at_once as usize >= self.names());
        let mut starts = vec![0; self.names()];
        let processes: Vec<Hashed<Process>> = self
            .processes
            .iter()
            .map(|name| {
                starts[*name] += 1;
                Hashed::<Process>::new(self.process(*name, starts[*name], 1, Memory::default()))
            })
            .collect();
        let mut world = World {
            agents: vec![agent],
            processes,
            net: BTreeMap::new(),
            late: BTreeMap::new(),
            left: Left {
                agent_kills: self.agent_kills,
                kills: self.kills,
                late: self.late,
                repeats: self.repeats,
                commands: self.commands,
                cuts: self.cuts,
                agent_ticks: self.agent_ticks,
            },
            pushed: vec![None; self.changes],
            accepted: Vec::new(),
            starts,
            broken: None,
        };
        self.perform(&mut world, 0, fleet, out);
        if self.settled {
            while let Some(step) = self.fair(&world) {
                world = self.apply(&world, &step);
            }
        }
        world
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        let newest = world.agents.len() - 1;
        let coming = world.net.iter().map(|(from, (packet, _))| (packet, Some(*from)));
        for (packet, from) in coming.chain(world.late.keys().map(|packet| (packet, None))) {
            let shown = || Box::new(PacketShown(packet.clone()));
            let agents = match packet {
                Packet::Up { .. } => 0..world.agents.len(),
                Packet::Down { .. } => 0..1,
            };
            steps.extend(agents.map(|agent| Step::Deliver { packet: shown(), agent, from }));
            if world.left.late > 0 && from.is_some() && !world.late.contains_key(packet) {
                steps.push(Step::Keep(shown()));
            }
        }
        for (at, process) in world.processes.iter().enumerate() {
            let process = &process.value;
            if process.taking.is_some() {
                steps.push(Step::Take(at));
            }
            if world.left.cuts > 0 || !process.machine.goes_away() {
                steps.push(Step::InstanceTick(at));
            }
            if world.left.kills > 0 {
                steps.push(Step::Kill { process: at, keeps: true, backwards: false });
                steps.push(Step::Kill { process: at, keeps: false, backwards: true });
            }
        }
        if world.left.agent_ticks > 0 {
            let ticks = |agent: &usize| world.agents[*agent].fleet.next(0).is_some_and(|at| at < 100 * UNIT);
            steps.extend((0..=newest).filter(ticks).map(Step::AgentTick));
        }
        if world.left.agent_kills > 0 {
            steps.push(Step::KillAgent);
        }
        for change in 0..self.changes {
            let accepted = world.accepted.iter().any(|accepted| accepted.0 == change);
            if !accepted {
                let current = self.fleet(world).newest();
                let stale = (current > 0 && world.left.repeats > 0).then_some(0);
                for base in [Some(current), stale].into_iter().flatten() {
                    steps.push(Step::Push { change, base });
                }
                if planted(Planted::SendBeforeSave) && world.left.agent_kills > 0 {
                    steps.push(Step::KillUnsaved(change));
                }
            } else {
                if world.left.repeats > 0 {
                    steps.push(Step::Push { change, base: 0 });
                }
                if world.left.commands > 0 {
                    steps.extend([Step::Stop(change), Step::Undo(change)]);
                }
            }
        }
        steps
    }

    fn apply(&self, world: &World, step: &Step) -> World {
        let mut world = world.clone();
        match step {
            Step::Deliver { packet, agent, from } => {
                match from {
                    Some(from) => drop(world.net.remove(from)),
                    None => drop(world.late.remove(&packet.0)),
                }
                self.deliver(&mut world, &packet.0, *agent);
            }
            Step::Keep(packet) => {
                world.left.late -= 1;
                world.late.insert(packet.0.clone(), packet.0.hash_without_name());
            }
            Step::AgentTick(agent) => {
                world.left.agent_ticks -= 1;
                if let Some(by) = world.agents[*agent].fleet.next(0) {
                    self.agent_tick(&mut world, *agent, by);
                }
            }
            Step::InstanceTick(at) => {
                world.left.cuts -= u8::from(world.processes[*at].value.machine.goes_away());
                self.instance_tick(&mut world, *at);
            }
            Step::Take(at) => self.take(&mut world, *at),
            Step::KillAgent => {
                world.left.agent_kills -= 1;
                self.kill_agent(&mut world);
            }
            Step::KillUnsaved(change) => {
                world.left.agent_kills -= 1;
                let base = self.fleet(&world).newest();
                self.push(&mut world, *change, base, false);
                self.kill_agent(&mut world);
            }
            Step::Kill { process, keeps, backwards } => {
                world.left.kills -= 1;
                self.kill(&mut world, *process, *keeps, *backwards);
            }
            Step::Push { change, base } => {
                if world.accepted.iter().any(|accepted| accepted.0 == *change)
                    || *base < self.fleet(&world).newest()
                {
                    world.left.repeats -= 1;
                }
                self.push(&mut world, *change, *base, true);
            }
            Step::Stop(change) | Step::Undo(change) => {
                world.left.commands -= 1;
                let agent = world.agents.len() - 1;
                let mut fleet = (*world.agents[agent].fleet).clone();
                let id = format!("c{change}");
                let (_, out) = match step {
                    Step::Stop(_) => fleet.stop(now(), &id, &By::default()),
                    _ => fleet.undo(now(), &id, By::default()),
                };
                self.perform(&mut world, agent, fleet, out);
            }
            Step::Pass => {
                let fleet = &self.fleet(&world);
                let agent = world.agents.len() - 1;
                let timers = world.processes.iter().map(|process| process.value.machine.next());
                let Some(by) = timers.chain(fleet.next(0)).min() else { return world };
                for at in 0..world.processes.len() {
                    let mut process = (*world.processes[at].value).clone();
                    let due = process.machine.next() <= by;
                    process.machine.rebase(by);
                    world.processes[at] = Hashed::new(process);
                    if due {
                        self.instance(&mut world, at, Event::Timer);
                    }
                }
                self.agent_tick(&mut world, agent, by);
            }
        }
        world
    }

    fn hash(&self, world: &World) -> u128 {
        // One part for each name, with all that is found at it; alike ones are put in order.
        let mut names: Vec<u64> = (0..self.names())
            .map(|name| {
                let agents: Vec<u64> = world.agents.iter().map(|agent| agent.by_name[name]).collect();
                let own = |at: &usize| world.processes[*at].value.name == name;
                let processes: Vec<usize> = (0..world.processes.len()).filter(own).collect();
                let each = |at: &usize| {
                    let coming = |up: bool| world.net.get(&(*at, up)).map(|packet| packet.1);
                    (world.processes[*at].hash, coming(false), coming(true))
                };
                let processes: Vec<_> = processes.iter().map(each).collect();
                let late = world.late.iter().filter(|(packet, _)| packet.name() == name);
                let late: Vec<u64> = late.map(|(_, hash)| *hash).collect();
                hash_of((agents, processes, late, world.starts[name], self.refuses.contains(&name)))
            })
            .collect();
        if self.alike {
            names.sort_unstable();
        }
        let common: Vec<u64> = world.agents.iter().map(|agent| agent.common).collect();
        let whole = (common, names, world.left, &world.pushed, &world.accepted, &world.broken);
        let half = |seed: u64| FixedState::with_seed(seed).hash_one(&whole);
        u128::from(half(3)) << 64 | u128::from(half(4))
    }

    fn check(&self, world: &World) -> Result<(), String> {
        self.check_world(world)?;
        self.rest(world).unwrap_or(Ok(()))
    }

    fn fair(&self, world: &World) -> Option<Step> {
        if self.rest(world).is_some() {
            return None;
        }
        if let Some(at) = world.processes.iter().position(|process| process.value.taking.is_some()) {
            return Some(Step::Take(at));
        }
        let agent = world.agents.len() - 1;
        let coming = world.net.iter().map(|(from, (packet, _))| (packet, Some(*from)));
        match coming.chain(world.late.keys().map(|packet| (packet, None))).next() {
            Some((packet, from)) => {
                Some(Step::Deliver { packet: Box::new(PacketShown(packet.clone())), agent, from })
            }
            None => Some(Step::Pass),
        }
    }
}
