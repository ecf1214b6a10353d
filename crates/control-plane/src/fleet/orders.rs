//! The orders to each instance, and its answers.

use super::event::FleetEvent;
use super::{Fleet, FleetOutput};
use crate::change::Operation;
use crate::health_gate::RequestCounts;
use crate::layers::Layers;
use crate::membership::MemberState;
use crate::protocol::{
    Answer, AppliedConfiguration, FencingToken, MAX_REASON_BYTES, Order, Outcome, ToInstance,
};
use crate::rollout::{AwaitedOrder, DesiredVersion};
use crate::selector::Attributes;
use crate::settings::{Fingerprint, Overlay};
use crate::{InjectedBug, is_injected};

/// The state of an instance beside its membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InstanceState {
    /// The last order of this term; none before there was one.
    pub(super) issued: Option<IssuedOrder>,
    /// The outcome of the last order; none until the instance has answered.
    pub outcome: Option<Outcome>,
    /// The settings in effect, by the last report.
    pub applied: AppliedConfiguration,
    /// The requests of the last window.
    pub counts: RequestCounts,
    /// The number of the last order of this term.
    pub last_order_number: u64,
}

/// An order as it was issued, without its settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IssuedOrder {
    change: String,
    revision: u64,
    fingerprint: Fingerprint,
    /// The order of a rollout that it is; none where it restores the settings outside of a rollout.
    rollout_order: Option<AwaitedOrder>,
}

/// The settings that an instance should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct DesiredConfiguration {
    pub(super) overlay: Overlay,
    /// The id of the newest change in it; empty for none.
    change: String,
    /// The revision of that change; 0 for none.
    revision: u64,
}

impl DesiredConfiguration {
    /// The configuration that layers give to an instance.
    fn of_layers(layers: &Layers, name: &str, attributes: &Attributes) -> Self {
        let (overlay, newest) = layers.overlay(name, attributes);
        let (change, revision) = newest.map_or((String::new(), 0), |layer| {
            (layer.id.clone(), layer.revision)
        });
        DesiredConfiguration {
            overlay,
            change,
            revision,
        }
    }
}

/// Whether a desired configuration has to be ordered.
enum OrderDecision {
    /// The last order is repeated, under its token.
    Repeat,
    /// A new order is issued.
    Issue,
    /// Nothing is sent.
    None,
}

impl InstanceState {
    /// Decides whether to order a configuration. `rollout_order` is the order of a rollout that it would be.
    fn decide(
        &self,
        desired: &DesiredConfiguration,
        fingerprint: Fingerprint,
        rollout_order: Option<AwaitedOrder>,
    ) -> OrderDecision {
        let is_current = self.issued.as_ref().is_some_and(|issued| {
            issued.fingerprint == fingerprint
                && issued.revision == desired.revision
                && (rollout_order.is_none() || issued.rollout_order == rollout_order)
        });
        let is_applied = self.applied.fingerprint == fingerprint;
        match &self.outcome {
            None if is_current => OrderDecision::Repeat,
            Some(Outcome::Refused(_)) if is_current => OrderDecision::None,
            Some(Outcome::Applied) if is_current && is_applied => OrderDecision::None,
            _ if !is_current && is_applied && rollout_order.is_none() => OrderDecision::None,
            _ => OrderDecision::Issue,
        }
    }
}

impl Fleet {
    /// Records the answer in a report, if it is the answer to the last order.
    pub(super) fn record_answer(&mut self, name: &str, answer: &Answer, out: &mut FleetOutput) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let Some(issued) = &instance.issued else {
            return;
        };
        let token = FencingToken {
            term: self.term,
            number: instance.last_order_number,
        };
        let is_answer = answer.fencing_token == token || is_injected(InjectedBug::AcceptOldAnswers);
        if !is_answer || answer.fingerprint != issued.fingerprint || instance.outcome.is_some() {
            return;
        }
        let outcome = with_bounded_reason(&answer.outcome);
        instance.outcome = Some(outcome.clone());
        out.events.push(FleetEvent::OrderAnswered {
            name: name.to_string(),
            change: issued.change.clone(),
            outcome: outcome.clone(),
        });
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        match (issued.rollout_order, &outcome) {
            (Some(order), outcome) => rollout.record_answer(name, order, outcome),
            (None, Outcome::Refused(problem)) if issued.revision == rollout.revision => {
                rollout.record_late_refusal(name, problem);
            }
            (None, _) => {}
        }
    }

    /// The desired configuration of an instance.
    pub(super) fn desired_configuration(&self, name: &str) -> DesiredConfiguration {
        let Some(member) = self.membership.get(name) else {
            return DesiredConfiguration::default();
        };
        let of_layers =
            |layers: &Layers| DesiredConfiguration::of_layers(layers, name, &member.attributes);
        let rollout = self
            .rollout
            .as_ref()
            .filter(|rollout| rollout.desired_version(name) == DesiredVersion::Changed);
        let Some(rollout) = rollout else {
            return of_layers(&self.layers);
        };
        let overlay = match &rollout.change.operation {
            Operation::Set(edits) => {
                let mut overlay = of_layers(&self.layers).overlay;
                overlay.apply(edits);
                overlay
            }
            Operation::Undo(id) => of_layers(&self.layers.without(id)).overlay,
        };
        DesiredConfiguration {
            overlay,
            change: rollout.change.id.clone(),
            revision: rollout.revision,
        }
    }

    /// Orders the desired configuration of an instance, unless it has it, has refused it or is not alive.
    pub(super) fn send_order(&mut self, name: &str, out: &mut FleetOutput) {
        let alive = self
            .membership
            .get(name)
            .filter(|member| member.state == MemberState::Alive);
        let (Some(member), None) = (alive, self.superseded_by) else {
            return;
        };
        let start = member.start;
        let desired = self.desired_configuration(name);
        let fingerprint = desired.overlay.fingerprint();
        let rollout_order = self
            .rollout
            .as_ref()
            .and_then(|rollout| rollout.awaited_order(name));
        let instance = self.instances.entry(name.to_string()).or_default();
        match instance.decide(&desired, fingerprint, rollout_order) {
            OrderDecision::None => return,
            OrderDecision::Repeat => {}
            OrderDecision::Issue => {
                instance.last_order_number = instance.last_order_number.saturating_add(1);
                instance.outcome = None;
                instance.issued = Some(IssuedOrder {
                    change: desired.change.clone(),
                    revision: desired.revision,
                    fingerprint,
                    rollout_order,
                });
            }
        }
        let order = Order {
            start,
            fencing_token: FencingToken {
                term: self.term,
                number: instance.last_order_number,
            },
            change: desired.change,
            revision: desired.revision,
            overlay: desired.overlay,
        };
        out.send(name, ToInstance::Order(order));
    }
}

/// An outcome with a reason of [`MAX_REASON_BYTES`] at most.
fn with_bounded_reason(outcome: &Outcome) -> Outcome {
    let mut outcome = outcome.clone();
    if let Outcome::Refused(problem) = &mut outcome {
        truncate(&mut problem.field);
        truncate(&mut problem.problem);
    }
    outcome
}

/// Shortens a text to [`MAX_REASON_BYTES`], at the end of a character.
fn truncate(text: &mut String) {
    if text.len() > MAX_REASON_BYTES {
        let end = (0..=MAX_REASON_BYTES)
            .rev()
            .find(|end| text.is_char_boundary(*end))
            .unwrap_or(0);
        text.truncate(end);
    }
}
