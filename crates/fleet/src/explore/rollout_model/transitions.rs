//! What each step does to a state.

use super::Bounds;
use super::bounds::{now, rules};
use super::hashed::Hashed;
use super::packet::Packet;
use super::state::{Agent, World};
use crate::fleet::Record;
use crate::protocol::{Outcome, Report, ToAgent, ToInstance, Who};
use crate::{Action, By, Event, Fleet, Memory, Micros, Output, Planted, Problem, Time, planted};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Bounds {
    /// The last agent's messages go out; its saves are made.
    pub(super) fn perform(&self, world: &mut World, agent: usize, fleet: Fleet, out: Output) {
        let mut disk = Arc::clone(&world.agents[agent].disk);
        if !out.saves.is_empty() {
            let disk = Arc::make_mut(&mut disk);
            for (key, record) in out.saves {
                match record {
                    Some(record) => disk.insert(key, record),
                    None => disk.remove(&key),
                };
            }
        }
        world.agents[agent] = Agent::new(fleet, disk, Some(&world.agents[agent]), self.names());
        self.send_down(world, out.sends);
    }

    fn send_down(&self, world: &mut World, sends: Vec<(String, ToInstance)>) {
        for (name, message) in sends {
            let Some(name) = name.strip_prefix('i').and_then(|number| number.parse().ok()) else { continue };
            if let ToInstance::Renewed { .. } = message {
                // Its loss is that of the connection: heard at once.
                self.hear(world, name, &message);
            } else {
                world.insert(Packet::Down { name, message });
            }
        }
    }

    /// All processes of a name hear it, and those that it is not for take no notice.
    fn hear(&self, world: &mut World, name: usize, message: &ToInstance) {
        for at in 0..world.processes.len() {
            if world.processes[at].value.name == name {
                self.instance(world, at, Event::Message(message));
            }
        }
    }

    pub(super) fn instance(&self, world: &mut World, at: usize, event: Event<'_>) {
        let mut process = (*world.processes[at].value).clone();
        let mut actions = Vec::new();
        process.machine.handle(0, event, 0, &mut actions);
        let name = process.name;
        for action in actions {
            match action {
                Action::Keep(memory) => process.memory = memory,
                Action::Take(order) => process.taking = Some(order),
                Action::Send(message) => world.insert(Packet::Up { name, message }),
                // These worlds lend nothing: see `lending`.
                Action::Lent(_) | Action::Lists(_) => {}
            }
        }
        world.processes[at] = Hashed::new(process);
    }

    /// The embedder's part: checks the order whole and has it in effect whole, or refuses it.
    pub(super) fn take(&self, world: &mut World, at: usize) {
        let mut process = (*world.processes[at].value).clone();
        let Some(order) = process.taking.take() else { return };
        let fingerprint = order.overlay.fingerprint();
        let this = Some((order.change.clone(), order.revision, fingerprint));
        let start = process.machine.who().start;
        if process.last == this {
            world.broken = Some(format!("once: start {start} carries {} out twice", order.change));
        }
        if order.stamp < process.obeyed {
            world.broken =
                Some(format!("fenced: start {start} obeys {:?} after {:?}", order.stamp, process.obeyed));
        }
        if order.stamp.term < process.obeyed_term {
            let (term, after) = (order.stamp.term, process.obeyed_term);
            world.broken = Some(format!("fenced: start {start} obeys term {term} after term {after}"));
        }
        (process.last, process.obeyed) = (this, order.stamp);
        process.obeyed_term = process.obeyed_term.max(order.stamp.term);
        let refused = self.refuses.contains(&process.name) && !order.overlay.0.is_empty();
        let outcome = if refused {
            if planted(Planted::HalfTaken)
                && let Some((key, value)) = order.overlay.0.first_key_value()
            {
                process.real.insert(key.clone(), value.clone());
            }
            let problem = "is not known to this instance".into();
            Outcome::Refused(Problem { field: "set.weight/w".into(), problem })
        } else {
            process.real = order.overlay.0.clone();
            Outcome::Applied
        };
        world.processes[at] = Hashed::new(process);
        self.instance(world, at, Event::Taken(outcome));
    }

    pub(super) fn deliver(&self, world: &mut World, packet: &Packet, agent: usize) {
        match packet {
            Packet::Up { message, .. } => {
                let mut fleet = (*world.agents[agent].fleet).clone();
                let out = fleet.receive(now(), message, 0);
                if let ToAgent::Report(Report { who, .. }) = message
                    && out.sends.iter().any(|(_, message)| matches!(message, ToInstance::Renewed { .. }))
                    && fleet.membership().get(&who.name).is_none_or(|member| member.start != who.start)
                {
                    let Who { name, start, .. } = who;
                    world.broken =
                        Some(format!("one name: start {start} is heard as {name}, which another one holds"));
                }
                self.perform(world, agent, fleet, out);
            }
            Packet::Down { name, message } => self.hear(world, *name, message),
        }
    }

    pub(super) fn agent_tick(&self, world: &mut World, agent: usize, by: Micros) {
        let mut fleet = (*world.agents[agent].fleet).clone();
        let out = fleet.tick(Time { now: by, wall: 0 });
        fleet.rebase(by);
        self.perform(world, agent, fleet, out);
    }

    pub(super) fn instance_tick(&self, world: &mut World, at: usize) {
        let mut process = (*world.processes[at].value).clone();
        process.machine.rebase(process.machine.next());
        world.processes[at] = Hashed::new(process);
        self.instance(world, at, Event::Timer);
    }

    pub(super) fn kill_agent(&self, world: &mut World) {
        let Some(last) = world.agents.last().cloned() else { return };
        let mut records: BTreeMap<String, Record> = (*last.disk).clone();
        if planted(Planted::ForgetRollout) {
            records.remove("rollout");
        }
        match Fleet::restore(rules(), now(), 0, records) {
            Err(problem) => world.broken = Some(format!("lasting: {problem}")),
            Ok((fleet, out)) => {
                if self.ghost && world.agents.len() == 1 {
                    world.agents.push(last);
                }
                let agent = world.agents.len() - 1;
                self.perform(world, agent, fleet, out);
            }
        }
    }

    pub(super) fn kill(&self, world: &mut World, at: usize, keeps: bool, backwards: bool) {
        let former = Arc::clone(&world.processes[at].value);
        let start = former.machine.who().start;
        world.starts[former.name] += 1;
        let incarnation = if backwards { 1 } else { former.machine.who().incarnation + 1 };
        let memory = if keeps { former.memory.clone() } else { Memory::default() };
        let mut process = self.process(former.name, world.starts[former.name], incarnation, memory);
        process.obeyed_term = if keeps { former.obeyed_term } else { 0 };
        // What was sent to it comes over a connection that it no longer has.
        let other = |packet: &Packet| match packet {
            Packet::Down { message, .. } => message.start() != start,
            Packet::Up { .. } => true,
        };
        world.net.remove(&(at, false));
        world.late.retain(|packet, _| other(packet) || packet.name() != former.name);
        world.processes[at] = Hashed::new(process);
    }

    pub(super) fn push(&self, world: &mut World, change: usize, base: u64, save: bool) {
        let agent = world.agents.len() - 1;
        let document = world.pushed[change].clone().unwrap_or_else(|| self.change(change, base));
        let mut fleet = (*world.agents[agent].fleet).clone();
        let (done, out) = fleet.push(now(), document.clone(), By::default());
        if !save {
            return self.send_down(world, out.sends);
        }
        self.perform(world, agent, fleet, out);
        if let Ok(accepted) = done {
            let former = world.accepted.iter().find(|former| former.0 == change);
            if former.is_some_and(|former| former.1 != accepted.revision) {
                world.broken =
                    Some(format!("lasting: change {change} was accepted twice, as different revisions"));
            }
            if former.is_none() {
                world.accepted.push((change, accepted.revision));
            }
            world.pushed[change] = Some(document);
        }
    }
}
