//! The effect of each transition on a state.

use super::RolloutModel;
use super::bounds::{now, rules};
use super::hashed::Hashed;
use super::packet::Packet;
use super::state::{Agent, ModelState};
use crate::fleet::Record;
use crate::protocol::{Outcome, Report, ToAgent, ToInstance, Who};
use crate::{
    Action, By, Event, Fleet, InjectedBug, Memory, Micros, Output, Problem, Time, is_injected,
};
use std::collections::BTreeMap;
use std::sync::Arc;

impl RolloutModel {
    /// Stores the records of an agent, and sends its messages.
    pub(super) fn commit(&self, state: &mut ModelState, agent: usize, fleet: Fleet, out: Output) {
        let mut disk = Arc::clone(&state.agents[agent].disk);
        if !out.saves.is_empty() {
            let disk = Arc::make_mut(&mut disk);
            for (key, record) in out.saves {
                match record {
                    Some(record) => disk.insert(key, record),
                    None => disk.remove(&key),
                };
            }
        }
        state.agents[agent] = Agent::new(fleet, disk, Some(&state.agents[agent]), self.names());
        self.send_down(state, out.sends);
    }

    fn send_down(&self, state: &mut ModelState, sends: Vec<(String, ToInstance)>) {
        for (name, message) in sends {
            let Some(name) = name
                .strip_prefix('i')
                .and_then(|number| number.parse().ok())
            else {
                continue;
            };
            if let ToInstance::Renewed { .. } = message {
                // It is lost only with the connection, so it is delivered at once.
                self.deliver_to_instance(state, name, &message);
            } else {
                state.insert(Packet::Down { name, message });
            }
        }
    }

    /// Delivers a message to all processes of a name; those that it is not for ignore it.
    fn deliver_to_instance(&self, state: &mut ModelState, name: usize, message: &ToInstance) {
        for at in 0..state.processes.len() {
            if state.processes[at].value.name == name {
                self.instance(state, at, Event::Message(message));
            }
        }
    }

    pub(super) fn instance(&self, state: &mut ModelState, at: usize, event: Event<'_>) {
        let mut process = (*state.processes[at].value).clone();
        let mut actions = Vec::new();
        process.machine.handle(0, event, 0, &mut actions);
        let name = process.name;
        for action in actions {
            match action {
                Action::Keep(memory) => process.memory = memory,
                Action::Take(order) => process.in_progress = Some(order),
                Action::Send(message) => state.insert(Packet::Up { name, message }),
                // This model has no fleet-wide limits and no lists: see `lease_model`.
                Action::Lent(_) | Action::Lists(_) => {}
            }
        }
        state.processes[at] = Hashed::new(process);
    }

    /// Plays the embedder: checks the whole order and applies it in full, or refuses it.
    pub(super) fn apply_order(&self, state: &mut ModelState, at: usize) {
        let mut process = (*state.processes[at].value).clone();
        let Some(order) = process.in_progress.take() else {
            return;
        };
        let fingerprint = order.overlay.fingerprint();
        let this = Some((order.change.clone(), order.revision, fingerprint));
        let start = process.machine.who().start;
        if process.last == this {
            state.violation = Some(format!(
                "once: start {start} carries {} out twice",
                order.change
            ));
        }
        if order.stamp < process.obeyed {
            state.violation = Some(format!(
                "fenced: start {start} obeys {:?} after {:?}",
                order.stamp, process.obeyed
            ));
        }
        if order.stamp.term < process.obeyed_term {
            let (term, after) = (order.stamp.term, process.obeyed_term);
            state.violation = Some(format!(
                "fenced: start {start} obeys term {term} after term {after}"
            ));
        }
        (process.last, process.obeyed) = (this, order.stamp);
        process.obeyed_term = process.obeyed_term.max(order.stamp.term);
        let refused = self.refuses.contains(&process.name) && !order.overlay.0.is_empty();
        let outcome = if refused {
            if is_injected(InjectedBug::ApplyPartially)
                && let Some((key, value)) = order.overlay.0.first_key_value()
            {
                process.effective.insert(key.clone(), value.clone());
            }
            let problem = "is not known to this instance".into();
            Outcome::Refused(Problem {
                field: "set.weight/w".into(),
                problem,
            })
        } else {
            process.effective = order.overlay.0.clone();
            Outcome::Applied
        };
        state.processes[at] = Hashed::new(process);
        self.instance(state, at, Event::Taken(outcome));
    }

    pub(super) fn deliver(&self, state: &mut ModelState, packet: &Packet, agent: usize) {
        match packet {
            Packet::Up { message, .. } => {
                let mut fleet = (*state.agents[agent].fleet).clone();
                let out = fleet.receive(now(), message, 0);
                if let ToAgent::Report(Report { who, .. }) = message
                    && out
                        .sends
                        .iter()
                        .any(|(_, message)| matches!(message, ToInstance::Renewed { .. }))
                    && fleet
                        .membership()
                        .get(&who.name)
                        .is_none_or(|member| member.start != who.start)
                {
                    let Who { name, start, .. } = who;
                    state.violation = Some(format!(
                        "one name: start {start} is heard as {name}, which another one holds"
                    ));
                }
                self.commit(state, agent, fleet, out);
            }
            Packet::Down { name, message } => self.deliver_to_instance(state, *name, message),
        }
    }

    pub(super) fn agent_tick(&self, state: &mut ModelState, agent: usize, by: Micros) {
        let mut fleet = (*state.agents[agent].fleet).clone();
        let out = fleet.tick(Time { now: by, wall: 0 });
        fleet.rebase(by);
        self.commit(state, agent, fleet, out);
    }

    pub(super) fn instance_tick(&self, state: &mut ModelState, at: usize) {
        let mut process = (*state.processes[at].value).clone();
        process.machine.rebase(process.machine.next());
        state.processes[at] = Hashed::new(process);
        self.instance(state, at, Event::Timer);
    }

    pub(super) fn kill_agent(&self, state: &mut ModelState) {
        let Some(last) = state.agents.last().cloned() else {
            return;
        };
        let mut records: BTreeMap<String, Record> = (*last.disk).clone();
        if is_injected(InjectedBug::ForgetRollout) {
            records.remove("rollout");
        }
        match Fleet::restore(rules(), now(), 0, records) {
            Err(problem) => state.violation = Some(format!("lasting: {problem}")),
            Ok((fleet, out)) => {
                if self.stale_agent && state.agents.len() == 1 {
                    state.agents.push(last);
                }
                let agent = state.agents.len() - 1;
                self.commit(state, agent, fleet, out);
            }
        }
    }

    pub(super) fn kill(&self, state: &mut ModelState, at: usize, keeps: bool, backwards: bool) {
        let former = Arc::clone(&state.processes[at].value);
        let start = former.machine.who().start;
        state.starts[former.name] += 1;
        let incarnation = if backwards {
            1
        } else {
            former.machine.who().incarnation + 1
        };
        let memory = if keeps {
            former.memory.clone()
        } else {
            Memory::default()
        };
        let mut process = self.process(former.name, state.starts[former.name], incarnation, memory);
        process.obeyed_term = if keeps { former.obeyed_term } else { 0 };
        // Messages to the former start were sent over a connection that is gone.
        let other = |packet: &Packet| match packet {
            Packet::Down { message, .. } => message.start() != start,
            Packet::Up { .. } => true,
        };
        state.net.remove(&(at, false));
        state
            .late
            .retain(|packet, _| other(packet) || packet.name() != former.name);
        state.processes[at] = Hashed::new(process);
    }

    pub(super) fn push(&self, state: &mut ModelState, change: usize, base: u64, save: bool) {
        let agent = state.agents.len() - 1;
        let document = state.pushed[change]
            .clone()
            .unwrap_or_else(|| self.change(change, base));
        let mut fleet = (*state.agents[agent].fleet).clone();
        let (done, out) = fleet.push(now(), document.clone(), By::default());
        if !save {
            return self.send_down(state, out.sends);
        }
        self.commit(state, agent, fleet, out);
        if let Ok(accepted) = done {
            let former = state.accepted.iter().find(|former| former.0 == change);
            if former.is_some_and(|former| former.1 != accepted.revision) {
                state.violation = Some(format!(
                    "lasting: change {change} was accepted twice, as different revisions"
                ));
            }
            if former.is_none() {
                state.accepted.push((change, accepted.revision));
            }
            state.pushed[change] = Some(document);
        }
    }
}
