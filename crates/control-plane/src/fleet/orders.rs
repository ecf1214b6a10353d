//! The orders to each instance, and its answers.

use super::note::Note;
use super::{Fleet, Output};
use crate::change::{Layers, What};
use crate::gate::Counts;
use crate::membership::Presence;
use crate::protocol::{Answer, Holding, LONGEST_REASON, Order, Outcome, Stamp, ToInstance};
use crate::rollout::{Cause, Side};
use crate::settings::{Fingerprint, Overlay};
use crate::{InjectedBug, is_injected};

/// The state of an instance beside its membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InstanceState {
    pub(super) issued: Option<IssuedOrder>,
    /// The outcome of the last order; none until the instance has answered.
    pub answer: Option<Outcome>,
    /// The settings in effect, by its last report.
    pub holding: Holding,
    /// Its requests of the last window.
    pub counts: Counts,
    /// The number of the last order of this term.
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IssuedOrder {
    change: String,
    revision: u64,
    overlay: Fingerprint,
    cause: Option<Cause>,
}

impl Fleet {
    pub(super) fn record_answer(&mut self, name: &str, answer: &Answer, out: &mut Output) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let Some(issued) = &instance.issued else {
            return;
        };
        let stamp = Stamp {
            term: self.term,
            number: instance.number,
        };
        let answers = answer.stamp == stamp || is_injected(InjectedBug::AcceptOldAnswers);
        if !answers || answer.overlay != issued.overlay || instance.answer.is_some() {
            return;
        }
        let mut outcome = answer.outcome.clone();
        if let Outcome::Refused(problem) = &mut outcome {
            shorten(&mut problem.field);
            shorten(&mut problem.problem);
        }
        instance.answer = Some(outcome.clone());
        out.notes.push(Note::Answered(
            name.to_string(),
            issued.change.clone(),
            outcome.clone(),
        ));
        let (cause, revision) = (issued.cause, issued.revision);
        if let Some(rollout) = &mut self.rollout {
            match (cause, &outcome) {
                (Some(cause), outcome) => rollout.answered(name, cause, outcome),
                (None, Outcome::Refused(problem)) if revision == rollout.revision => {
                    rollout.refused_later(name, problem);
                }
                _ => {}
            }
        }
    }

    /// The desired settings of an instance, with the id and the revision of the newest change in them.
    pub(super) fn desired_settings(&self, name: &str) -> (Overlay, String, u64) {
        let Some(member) = self.membership.get(name) else {
            return Default::default();
        };
        let settled = |layers: &Layers| {
            let (overlay, newest) = layers.overlay(name, &member.traits);
            let (id, revision) = newest.map_or((String::new(), 0), |layer| {
                (layer.id.clone(), layer.revision)
            });
            (overlay, id, revision)
        };
        match &self.rollout {
            Some(rollout) if rollout.side(name) == Side::New => {
                let overlay = match &rollout.change.what {
                    What::Set(edits) => {
                        let mut overlay = settled(&self.layers).0;
                        overlay.apply(edits);
                        overlay
                    }
                    What::Undo(id) => settled(&self.layers.without(id)).0,
                };
                (overlay, rollout.change.id.clone(), rollout.revision)
            }
            _ => settled(&self.layers),
        }
    }

    /// Orders the desired settings of an instance, unless it has them, has refused them or is not alive.
    pub(super) fn send_order(&mut self, name: &str, out: &mut Output) {
        let alive = self
            .membership
            .get(name)
            .filter(|member| member.presence == Presence::Alive);
        let (Some(member), None) = (alive, self.stood_down) else {
            return;
        };
        let start = member.start;
        let (overlay, change, revision) = self.desired_settings(name);
        let fingerprint = overlay.fingerprint();
        let cause = self
            .rollout
            .as_ref()
            .and_then(|rollout| rollout.cause(name));
        let instance = self.instances.entry(name.to_string()).or_default();
        let current = instance.issued.as_ref().is_some_and(|issued| {
            issued.overlay == fingerprint
                && issued.revision == revision
                && (cause.is_none() || issued.cause == cause)
        });
        let holds = instance.holding.overlay == fingerprint;
        let again = match (&instance.answer, current) {
            (None, true) => true,
            (Some(Outcome::Refused(_)), true) => return,
            (Some(Outcome::Applied), true) if holds => return,
            (_, false) if holds && cause.is_none() => return,
            _ => false,
        };
        if !again {
            instance.number = instance.number.saturating_add(1);
            instance.answer = None;
            instance.issued = Some(IssuedOrder {
                change: change.clone(),
                revision,
                overlay: fingerprint,
                cause,
            });
        }
        let stamp = Stamp {
            term: self.term,
            number: instance.number,
        };
        let order = Order {
            start,
            stamp,
            change,
            revision,
            overlay,
        };
        out.sends.push((name.to_string(), ToInstance::Order(order)));
    }
}

fn shorten(text: &mut String) {
    if text.len() > LONGEST_REASON {
        let end = (0..=LONGEST_REASON)
            .rev()
            .find(|end| text.is_char_boundary(*end))
            .unwrap_or(0);
        text.truncate(end);
    }
}
