//! The effect of each transition on a state.

use super::RelayModel;
use super::state::{AgentNode, RelayModelState, RelayNode};
use super::step::Step;
use crate::explore::Invariant;
use crate::explore::fixture::{fleet_rules, now};
use crate::protocol::{Outcome, ToAgent, ToInstance};
use crate::relay::{AddressedMessage, BatchAnswer, RelayAnswer, RelayOutput};
use crate::{Action, Author, Event, Fleet, Micros, Session, Time};
use std::collections::BTreeMap;

/// The most messages in transit on a watch; more are dropped.
const MAX_WATCH_MESSAGES: usize = 4;
/// The number of a late request, whose answer nobody awaits.
const NO_REQUEST: u64 = u64::MAX;

impl RelayModelState {
    /// Takes a step.
    pub(super) fn take_step(&mut self, model: &RelayModel, step: &Step) {
        match *step {
            Step::Request(at) => self.deliver_request(at),
            Step::Answer(at) => self.deliver_answer(at),
            Step::PushToInstance(at) => {
                let message = self.instances[at].watch_messages.remove(0);
                self.deliver_to_instance(at, &message);
            }
            Step::ExecuteOrder(at) => self.execute_order(at),
            Step::Batch(at) => self.deliver_batch(at),
            Step::BatchAnswer(at) => self.deliver_batch_answer(at),
            Step::WatchMessage(at) => {
                let message = self.relays[at].watch_messages.remove(0);
                let output = self.relays[at].relay.parent_message(message);
                self.deliver(at, output);
            }
            Step::DeliverLate(at) => {
                let (relay, message) = self.late.remove(at);
                self.deliver_to_relay(relay, NO_REQUEST, message);
            }
            Step::Connect { relay, agent } => self.connect(relay, agent),
            Step::Cut(at) => {
                self.remaining.cuts = self.remaining.cuts.saturating_sub(1);
                self.cut(at);
            }
            Step::KillAgent { loses_state } => self.kill_agent(model, loses_state),
            Step::KillRelay(at) => self.kill_relay(at),
            Step::Move {
                instance,
                leaves_request,
            } => self.move_instance(instance, leaves_request),
            Step::Push => self.push(model),
            Step::AdvanceTime => {
                self.remaining.time_advances = self.remaining.time_advances.saturating_sub(1);
                self.advance_all();
            }
        }
    }

    /// A request of an instance arrives at its relay.
    fn deliver_request(&mut self, at: usize) {
        if let Some(message) = self.instances[at].request.take() {
            let relay = self.instances[at].relay;
            self.instances[at].awaits_answer = true;
            self.deliver_to_relay(relay, at as u64, message);
        }
    }

    /// The answer to a request arrives at the instance.
    fn deliver_answer(&mut self, at: usize) {
        self.instances[at].awaits_answer = false;
        for message in self.instances[at].answer.take().unwrap_or_default() {
            self.deliver_to_instance(at, &message);
        }
    }

    /// The answer to a batch arrives at the relay.
    fn deliver_batch_answer(&mut self, at: usize) {
        if let Some(answer) = self.relays[at].answer.take() {
            let output = self.relays[at].relay.batch_answered(0, answer);
            self.deliver(at, output);
            self.drop_lost_connection(at);
        }
    }

    /// An instance moves to the next relay. Its last request is lost, or arrives at the former relay all the same.
    fn move_instance(&mut self, at: usize, leaves_request: bool) {
        self.remaining.moves -= 1;
        if leaves_request {
            self.remaining.late_messages -= 1;
            let node = &mut self.instances[at];
            let request = node.request.take();
            self.late
                .extend(request.map(|message| (node.relay, message)));
        }
        let next = (self.instances[at].relay + 1) % self.relays.len();
        let name = self.instances[at].name().to_string();
        self.late
            .retain(|(relay, message)| *relay != next || message.sender().name != name);
        self.instances[at].relay = next;
        self.lose_connection(at);
    }

    fn deliver_to_relay(&mut self, relay: usize, request: u64, message: ToAgent) {
        let output = self.relays[relay].relay.receive(0, request, message, 0);
        self.deliver(relay, output);
    }

    /// Puts the messages of a relay to its instances in transit.
    fn deliver(&mut self, relay: usize, output: RelayOutput) {
        for RelayAnswer { request, messages } in output.answers {
            let instance = usize::try_from(request)
                .ok()
                .and_then(|at| self.instances.get_mut(at));
            // The answer to a request over a connection that has ended is lost.
            if let Some(instance) = instance.filter(|instance| instance.relay == relay) {
                instance.answer.get_or_insert_default().extend(messages);
            }
        }
        for AddressedMessage { name, message } in output.pushes {
            let addressee = self
                .instances
                .iter_mut()
                .find(|instance| instance.name() == name);
            if let Some(instance) = addressee
                && instance.relay == relay
                && instance.watch_messages.len() < MAX_WATCH_MESSAGES
            {
                instance.watch_messages.push(message);
            }
        }
    }

    fn deliver_to_instance(&mut self, at: usize, message: &ToInstance) {
        let was_in = self.instances[at].machine.session() == Session::Registered;
        self.handle(at, Event::Message(message));
        if was_in && self.instances[at].machine.session() != Session::Registered {
            let details = format!("i{at} leaves its session because of {message:?}");
            self.violation = Some(Invariant::SessionsLast.violated(details));
        }
    }

    fn handle(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        let instance = &mut self.instances[at];
        instance.machine.handle(0, event, 0, &mut actions);
        for action in actions {
            match action {
                Action::Apply(order) => instance.in_progress = Some(order),
                Action::Send(message) => instance.request = Some(message),
                Action::Persist(_) | Action::UseLeases(_) | Action::UseLists(_) => {}
            }
        }
    }

    fn execute_order(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let Some(order) = instance.in_progress.take() else {
            return;
        };
        if order.fencing_token < instance.obeyed {
            let (stamp, obeyed) = (order.fencing_token, instance.obeyed);
            let details = format!("i{at} obeys {stamp:?} after {obeyed:?}");
            self.violation = Some(Invariant::Fenced.violated(details));
        }
        instance.obeyed = order.fencing_token;
        instance.effective = order.overlay.0;
        self.handle(at, Event::OrderCompleted(Outcome::Applied));
    }

    fn deliver_batch(&mut self, relay: usize) {
        let node = &mut self.relays[relay];
        let Some(at) = node.agent else { return };
        let Some(batch) = node.relay.take_batch() else {
            return;
        };
        let agent = &mut self.agents[at];
        let out = agent.fleet.receive_batch(now(), &batch.messages, 0);
        agent.save(out.records);
        let (answer, others) = BatchAnswer::new(agent.fleet.term(), &batch, out.messages);
        for (name, _) in answer.accepted() {
            agent.routes.insert(name.to_string(), relay);
        }
        self.relays[relay].answer = Some(answer);
        self.send(at, others);
    }

    /// Sends messages of an agent over the watches of relays.
    fn send(&mut self, agent: usize, sends: Vec<(String, ToInstance)>) {
        for (name, message) in sends {
            let Some(relay) = self.agents[agent].routes.get(&name) else {
                continue;
            };
            let relay = &mut self.relays[*relay];
            if relay.agent == Some(agent) && relay.watch_messages.len() < MAX_WATCH_MESSAGES {
                relay
                    .watch_messages
                    .push(AddressedMessage { name, message });
            }
        }
    }

    fn connect(&mut self, relay: usize, agent: usize) {
        let newest = self.newest_agent();
        if agent < newest {
            self.remaining.stale_connections -= 1;
        }
        let term = self.agents[agent].fleet.term();
        let node = &mut self.relays[relay];
        node.agent = Some(agent);
        node.relay.parent_connected(0, term);
        self.drop_lost_connection(relay);
    }

    /// Ends the connection of a relay that has found its agent to be of a former term.
    fn drop_lost_connection(&mut self, relay: usize) {
        if self.relays[relay].agent.is_some() && !self.relays[relay].relay.is_connected() {
            self.cut(relay);
        }
    }

    fn cut(&mut self, relay: usize) {
        let node = &mut self.relays[relay];
        node.agent = None;
        node.answer = None;
        node.watch_messages.clear();
        let output = node.relay.parent_lost(0);
        self.deliver(relay, output);
    }

    fn kill_agent(&mut self, model: &RelayModel, loses_state: bool) {
        self.remaining.agent_kills -= 1;
        let newest = self.newest_agent();
        let former = self.agents[newest].clone();
        let (records, above) = if loses_state {
            (BTreeMap::new(), former.fleet.term())
        } else {
            (former.disk.clone(), 0)
        };
        let (fleet, out) = match Fleet::restore(fleet_rules(), now(), above, records.clone()) {
            Ok(restored) => restored,
            Err(problem) => {
                self.violation = Some(Invariant::Durable.violated(problem.to_string()));
                return;
            }
        };
        let mut agent = AgentNode {
            fleet,
            disk: records,
            routes: BTreeMap::new(),
        };
        agent.save(out.records);
        if model.stale_agent {
            self.agents.push(agent);
            return;
        }
        self.agents[newest] = agent;
        for relay in 0..self.relays.len() {
            if self.relays[relay].agent.is_some() {
                self.cut(relay);
            }
        }
    }

    fn kill_relay(&mut self, relay: usize) {
        self.remaining.relay_kills -= 1;
        self.relays[relay] = RelayNode::new();
        for at in 0..self.instances.len() {
            if self.instances[at].relay == relay {
                self.lose_connection(at);
            }
        }
    }

    fn lose_connection(&mut self, at: usize) {
        self.instances[at].drop_messages();
        self.handle(at, Event::ConnectionLost);
    }

    fn push(&mut self, model: &RelayModel) {
        self.is_pushed = true;
        let newest = self.newest_agent();
        let agent = &mut self.agents[newest];
        let change = model.change(agent.fleet.newest_revision());
        let (_, out) = agent.fleet.push(now(), change, Author::default());
        agent.save(out.records);
        self.send(newest, out.messages);
    }

    /// All clocks advance to the next deadline of any instance, relay, or the newest agent.
    fn advance_all(&mut self) {
        let newest = self.newest_agent();
        let instances = self
            .instances
            .iter()
            .map(|instance| instance.machine.next_timer());
        let relays = self
            .relays
            .iter()
            .filter_map(|node| node.relay.next_deadline());
        let next = instances
            .chain(relays)
            .chain(self.agents[newest].fleet.next_deadline(0))
            .min();
        let Some(by) = next else { return };
        for at in 0..self.instances.len() {
            let is_due = self.instances[at].machine.next_timer() <= by;
            self.instances[at].machine.rebase(by);
            if is_due {
                self.handle(at, Event::Timer);
            }
        }
        for at in 0..self.relays.len() {
            let output = self.relays[at].relay.tick(by);
            self.relays[at].relay.rebase(by);
            self.deliver(at, output);
        }
        self.advance_agent(newest, by);
    }

    fn advance_agent(&mut self, at: usize, by: Micros) {
        let agent = &mut self.agents[at];
        let out = agent.fleet.tick(Time { now: by, wall: 0 });
        agent.fleet.rebase(by);
        agent.save(out.records);
        self.send(at, out.messages);
    }
}
