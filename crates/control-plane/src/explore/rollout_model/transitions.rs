//! The effect of each transition on a state: messages, orders and clocks. Those of operators and of faults are in
//! modules of their own.

use super::RolloutModel;
use super::agent::Agent;
use super::packet::{Channel, Packet};
use super::process::Process;
use super::state::ModelState;
use crate::explore::Invariant;
use crate::explore::fixture::now;
use crate::protocol::{InstanceId, Order, Outcome, Report, ToAgent, ToInstance};
use crate::{Action, Event, Fleet, FleetOutput, InjectedBug, Micros, Problem, Time, is_injected};
use std::sync::Arc;

impl RolloutModel {
    /// Stores the records of an agent, and sends its messages.
    pub(super) fn commit(
        &self,
        state: &mut ModelState,
        agent: usize,
        fleet: Fleet,
        out: FleetOutput,
    ) {
        let mut disk = Arc::clone(&state.agents[agent].disk);
        if !out.records.is_empty() {
            let disk = Arc::make_mut(&mut disk);
            for (key, record) in out.records {
                match record {
                    Some(record) => disk.insert(key, record),
                    None => disk.remove(&key),
                };
            }
        }
        let former = Some(&state.agents[agent]);
        state.agents[agent] = Agent::new(fleet, disk, former, self.names());
        self.send_to_instances(state, out.messages);
    }

    /// Sends messages of an agent.
    pub(super) fn send_to_instances(
        &self,
        state: &mut ModelState,
        sends: Vec<(String, ToInstance)>,
    ) {
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
                state.send(Packet::ToInstance { name, message });
            }
        }
    }

    /// Delivers a message that is in transit on a channel or late.
    pub(super) fn deliver(
        &self,
        state: &mut ModelState,
        packet: &Packet,
        agent: usize,
        channel: Option<Channel>,
    ) {
        match channel {
            Some(channel) => drop(state.in_transit.remove(&channel)),
            None => drop(state.late.remove(packet)),
        }
        match packet {
            Packet::ToAgent { message, .. } => self.deliver_to_agent(state, message, agent),
            Packet::ToInstance { name, message } => {
                self.deliver_to_instance(state, *name, message);
            }
        }
    }

    fn deliver_to_agent(&self, state: &mut ModelState, message: &ToAgent, agent: usize) {
        let mut fleet = (*state.agents[agent].fleet).clone();
        let out = fleet.receive(now(), message, 0);
        let renews = out
            .messages
            .iter()
            .any(|(_, message)| matches!(message, ToInstance::Renewed { .. }));
        if let ToAgent::Report(Report { id: who, .. }) = message
            && renews
            && fleet
                .membership()
                .get(&who.name)
                .is_none_or(|member| member.start != who.start)
        {
            let InstanceId { name, start, .. } = who;
            let details = format!("start {start} is accepted as {name}, which another one holds");
            state.violation = Some(Invariant::UniqueName.violated(details));
        }
        self.commit(state, agent, fleet, out);
    }

    /// Delivers a message to all processes of a name; those that it is not for ignore it.
    fn deliver_to_instance(&self, state: &mut ModelState, name: usize, message: &ToInstance) {
        for at in 0..state.processes.len() {
            if state.processes[at].value.name == name {
                self.handle(state, at, Event::Message(message));
            }
        }
    }

    /// A process handles an event.
    pub(super) fn handle(&self, state: &mut ModelState, at: usize, event: Event<'_>) {
        let mut process = (*state.processes[at].value).clone();
        let mut actions = Vec::new();
        process.machine.handle(0, event, 0, &mut actions);
        let name = process.name;
        for action in actions {
            match action {
                Action::Persist(memory) => process.memory = memory,
                Action::Apply(order) => process.in_progress = Some(order),
                Action::Send(message) => state.send(Packet::ToAgent { name, message }),
                // This model has no fleet-wide limits and no shared lists.
                Action::UseLeases(_) | Action::UseLists(_) => {}
            }
        }
        state.processes[at] = process.hashed();
    }

    /// A process carries its order out as an instance's program does: it checks the whole order and applies it in full,
    /// or refuses it.
    pub(super) fn execute_order(&self, state: &mut ModelState, at: usize) {
        let mut process = (*state.processes[at].value).clone();
        let Some(order) = process.in_progress.take() else {
            return;
        };
        check_execution(state, &process, &order);
        let fingerprint = order.overlay.fingerprint();
        process.last_executed = Some((order.change.clone(), order.revision, fingerprint));
        process.obeyed = order.fencing_token;
        process.obeyed_term = process.obeyed_term.max(order.fencing_token.term);
        let outcome = self.apply_settings(&mut process, &order);
        state.processes[at] = process.hashed();
        self.handle(state, at, Event::OrderCompleted(outcome));
    }

    /// Applies the settings of an order to a process, or refuses them.
    fn apply_settings(&self, process: &mut Process, order: &Order) -> Outcome {
        let refuses = self.refusing_names.contains(&process.name) && !order.overlay.0.is_empty();
        if !refuses {
            process.effective = order.overlay.0.clone();
            return Outcome::Applied;
        }
        if is_injected(InjectedBug::ApplyPartially)
            && let Some((key, value)) = order.overlay.0.first_key_value()
        {
            process.effective.insert(key.clone(), value.clone());
        }
        Outcome::Refused(Problem {
            field: "set.weight/w".into(),
            problem: "is not known to this instance".into(),
        })
    }

    /// The clock of an agent advances by a time.
    pub(super) fn advance_agent(&self, state: &mut ModelState, agent: usize, by: Micros) {
        let mut fleet = (*state.agents[agent].fleet).clone();
        let out = fleet.tick(Time { now: by, wall: 0 });
        fleet.rebase(by);
        self.commit(state, agent, fleet, out);
    }

    /// The clock of a process advances to its next deadline.
    pub(super) fn advance_instance(&self, state: &mut ModelState, at: usize) {
        let mut process = (*state.processes[at].value).clone();
        process.machine.rebase(process.machine.next_timer());
        state.processes[at] = process.hashed();
        self.handle(state, at, Event::Timer);
    }

    /// All clocks advance to the next deadline of any of the processes or of the newest agent.
    pub(super) fn advance_all(&self, state: &mut ModelState) {
        let agent = state.newest_agent();
        let deadlines = state
            .processes
            .iter()
            .map(|process| process.value.machine.next_timer());
        let Some(by) = deadlines
            .chain(self.newest_fleet(state).next_deadline(0))
            .min()
        else {
            return;
        };
        for at in 0..state.processes.len() {
            let mut process = (*state.processes[at].value).clone();
            let is_due = process.machine.next_timer() <= by;
            process.machine.rebase(by);
            state.processes[at] = process.hashed();
            if is_due {
                self.handle(state, at, Event::Timer);
            }
        }
        self.advance_agent(state, agent, by);
    }
}

/// Checks that a process may carry an order out: it is no repeat, and not older than one that it has obeyed.
fn check_execution(state: &mut ModelState, process: &Process, order: &Order) {
    let start = process.machine.id().start;
    let execution = (
        order.change.clone(),
        order.revision,
        order.overlay.fingerprint(),
    );
    if process.last_executed == Some(execution) {
        let details = format!("start {start} carries {} out twice", order.change);
        state.violation = Some(Invariant::Once.violated(details));
    }
    if order.fencing_token < process.obeyed {
        let (stamp, obeyed) = (order.fencing_token, process.obeyed);
        let details = format!("start {start} obeys {stamp:?} after {obeyed:?}");
        state.violation = Some(Invariant::Fenced.violated(details));
    }
    if order.fencing_token.term < process.obeyed_term {
        let (term, obeyed) = (order.fencing_token.term, process.obeyed_term);
        let details = format!("start {start} obeys term {term} after term {obeyed}");
        state.violation = Some(Invariant::Fenced.violated(details));
    }
}
