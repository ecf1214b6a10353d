//! The effect of each transition on a state.

use super::RelayModel;
use super::rules::fleet_rules;
use super::state::{AgentNode, RelayModelState, RelayNode, Step};
use crate::explore::rollout_model::now;
use crate::protocol::{Outcome, ToAgent, ToInstance};
use crate::relay::{Addressed, BatchAnswer, RelayOutput};
use crate::{Action, By, Event, Fleet, Micros, Session, Time};
use std::collections::BTreeMap;

/// The most lines of a watch that wait; more are dropped.
const MAX_LINES: usize = 4;
/// A request of a late message: nobody waits for its answer.
const NO_REQUEST: u64 = u64::MAX;

impl RelayModelState {
    pub(super) fn take_step(&mut self, model: &RelayModel, step: &Step) {
        match *step {
            Step::Request(at) => {
                if let Some(message) = self.instances[at].request.take() {
                    let relay = self.instances[at].relay;
                    self.instances[at].is_asking = true;
                    self.relay_receives(relay, at as u64, message);
                }
            }
            Step::Answer(at) => {
                self.instances[at].is_asking = false;
                for message in self.instances[at].answer.take().unwrap_or_default() {
                    self.instance_hears(at, &message);
                }
            }
            Step::PushToInstance(at) => {
                let message = self.instances[at].pushes.remove(0);
                self.instance_hears(at, &message);
            }
            Step::Take(at) => self.carry_out(at),
            Step::Batch(at) => self.agent_receives(at),
            Step::BatchAnswer(at) => {
                if let Some(answer) = self.relays[at].answer.take() {
                    let output = self.relays[at].relay.batch_answered(0, answer);
                    self.deliver(at, output);
                    self.drop_lost_connection(at);
                }
            }
            Step::Line(at) => {
                let line = self.relays[at].lines.remove(0);
                let output = self.relays[at].relay.parent_message(line);
                self.deliver(at, output);
            }
            Step::DeliverLate(at) => {
                let (relay, message) = self.late.remove(at);
                self.relay_receives(relay, NO_REQUEST, message);
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
            } => {
                self.remaining.moves -= 1;
                if leaves_request {
                    self.remaining.late -= 1;
                    let node = &mut self.instances[instance];
                    self.late
                        .extend(node.request.take().map(|message| (node.relay, message)));
                }
                let next = (self.instances[instance].relay + 1) % self.relays.len();
                let name = self.instances[instance].name().to_string();
                self.late
                    .retain(|(relay, message)| *relay != next || message.who().name != name);
                self.instances[instance].relay = next;
                self.lose_connection(instance);
            }
            Step::Push => self.push(model),
            Step::Pass => {
                self.remaining.passes = self.remaining.passes.saturating_sub(1);
                self.pass();
            }
        }
    }

    fn relay_receives(&mut self, relay: usize, request: u64, message: ToAgent) {
        let output = self.relays[relay].relay.receive(0, request, message, 0);
        self.deliver(relay, output);
    }

    /// What a relay has for its instances is in transit from now on.
    fn deliver(&mut self, relay: usize, output: RelayOutput) {
        for (request, messages) in output.answers {
            let instance = usize::try_from(request)
                .ok()
                .and_then(|at| self.instances.get_mut(at));
            // The answer to a request over a connection that has ended is lost.
            if let Some(instance) = instance.filter(|instance| instance.relay == relay) {
                instance.answer.get_or_insert_default().extend(messages);
            }
        }
        for Addressed { name, message } in output.pushes {
            let to = self
                .instances
                .iter_mut()
                .find(|instance| instance.name() == name);
            if let Some(instance) = to.filter(|to| to.relay == relay && to.pushes.len() < MAX_LINES)
            {
                instance.pushes.push(message);
            }
        }
    }

    fn instance_hears(&mut self, at: usize, message: &ToInstance) {
        let was_in = self.instances[at].machine.session() == Session::In;
        self.instance(at, Event::Message(message));
        if was_in && self.instances[at].machine.session() != Session::In {
            self.violation = Some(format!(
                "quiet: i{at} leaves its session because of {message:?}"
            ));
        }
    }

    fn instance(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        let instance = &mut self.instances[at];
        instance.machine.handle(0, event, 0, &mut actions);
        for action in actions {
            match action {
                Action::Take(order) => instance.in_progress = Some(order),
                Action::Send(message) => instance.request = Some(message),
                Action::Keep(_) | Action::Lent(_) | Action::Lists(_) => {}
            }
        }
    }

    fn carry_out(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let Some(order) = instance.in_progress.take() else {
            return;
        };
        if order.stamp < instance.obeyed {
            let (stamp, obeyed) = (order.stamp, instance.obeyed);
            self.violation = Some(format!("fenced: i{at} obeys {stamp:?} after {obeyed:?}"));
        }
        instance.obeyed = order.stamp;
        instance.effective = order.overlay.0;
        self.instance(at, Event::Taken(Outcome::Applied));
    }

    fn agent_receives(&mut self, relay: usize) {
        let node = &mut self.relays[relay];
        let Some(at) = node.agent else { return };
        let Some(batch) = node.relay.take_batch() else {
            return;
        };
        let agent = &mut self.agents[at];
        let out = agent.fleet.receive_batch(now(), &batch.messages, 0);
        agent.save(out.saves);
        let (answer, others) = BatchAnswer::new(agent.fleet.term(), &batch, out.sends);
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
            if relay.agent == Some(agent) && relay.lines.len() < MAX_LINES {
                relay.lines.push(Addressed { name, message });
            }
        }
    }

    fn connect(&mut self, relay: usize, agent: usize) {
        let newest = self.agents.len() - 1;
        if agent < newest {
            self.remaining.stale_connections -= 1;
        }
        let term = self.agents[agent].fleet.term();
        let node = &mut self.relays[relay];
        node.agent = Some(agent);
        node.relay.parent_connected(0, term);
        self.drop_lost_connection(relay);
    }

    /// A relay that has found its agent to be of a former term gives the connection up.
    fn drop_lost_connection(&mut self, relay: usize) {
        if self.relays[relay].agent.is_some() && !self.relays[relay].relay.is_connected() {
            self.cut(relay);
        }
    }

    fn cut(&mut self, relay: usize) {
        let node = &mut self.relays[relay];
        (node.agent, node.answer) = (None, None);
        node.lines.clear();
        let output = node.relay.parent_lost(0);
        self.deliver(relay, output);
    }

    fn kill_agent(&mut self, model: &RelayModel, loses_state: bool) {
        self.remaining.agent_kills -= 1;
        let newest = self.agents.len() - 1;
        let former = self.agents[newest].clone();
        let (records, above) = if loses_state {
            (BTreeMap::new(), former.fleet.term())
        } else {
            (former.disk.clone(), 0)
        };
        let (fleet, out) = match Fleet::restore(fleet_rules(), now(), above, records.clone()) {
            Ok(restored) => restored,
            Err(problem) => return self.violation = Some(format!("lasting: {problem}")),
        };
        let mut agent = AgentNode {
            fleet,
            disk: records,
            routes: BTreeMap::new(),
        };
        agent.save(out.saves);
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
        self.instance(at, Event::Lost);
    }

    fn push(&mut self, model: &RelayModel) {
        self.is_pushed = true;
        let newest = self.agents.len() - 1;
        let agent = &mut self.agents[newest];
        let change = model.change(agent.fleet.newest());
        let (_, out) = agent.fleet.push(now(), change, By::default());
        agent.save(out.saves);
        self.send(newest, out.sends);
    }

    /// Time passes until the next deadline, for all alike.
    fn pass(&mut self) {
        let newest = self.agents.len() - 1;
        let instances = self
            .instances
            .iter()
            .map(|instance| instance.machine.next());
        let relays = self.relays.iter().filter_map(|node| node.relay.next());
        let next = instances
            .chain(relays)
            .chain(self.agents[newest].fleet.next(0))
            .min();
        let Some(by) = next else { return };
        for at in 0..self.instances.len() {
            let is_due = self.instances[at].machine.next() <= by;
            self.instances[at].machine.rebase(by);
            if is_due {
                self.instance(at, Event::Timer);
            }
        }
        for at in 0..self.relays.len() {
            let output = self.relays[at].relay.tick(by);
            self.relays[at].relay.rebase(by);
            self.deliver(at, output);
        }
        self.agent_passes(newest, by);
    }

    fn agent_passes(&mut self, at: usize, by: Micros) {
        let agent = &mut self.agents[at];
        let out = agent.fleet.tick(Time { now: by, wall: 0 });
        agent.fleet.rebase(by);
        agent.save(out.saves);
        self.send(at, out.sends);
    }
}
