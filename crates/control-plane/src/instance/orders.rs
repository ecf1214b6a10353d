//! The orders that an instance carries out: one at a time, fenced by term and number, each at most once.

use super::{Action, Instance};
use crate::protocol::{Answer, AppliedConfiguration, Order, Outcome};
use crate::{InjectedBug, is_injected};

/// The order that the embedder is carrying out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum OrderState {
    /// There is none.
    Idle,
    /// The embedder has received [`Action::Apply`] and has not completed it.
    Applying {
        order: Order,
        /// The newest order that has arrived meanwhile.
        queued: Option<Order>,
    },
}

impl OrderState {
    /// Starts to carry an order out.
    fn begin(&mut self, order: Order) {
        *self = OrderState::Applying {
            order,
            queued: None,
        };
    }

    /// Keeps an order until the one under way is completed, if it is the newest. Returns false where none is under
    /// way.
    fn queue_if_newest(&mut self, new: &Order) -> bool {
        let OrderState::Applying { order, queued } = self else {
            return false;
        };
        let newest = queued.as_ref().unwrap_or(order);
        if new.fencing_token > newest.fencing_token {
            *queued = Some(new.clone());
        }
        true
    }

    /// Ends the order under way. Returns it, and the order that was queued behind it.
    fn complete(&mut self) -> Option<(Order, Option<Order>)> {
        match std::mem::replace(self, OrderState::Idle) {
            OrderState::Idle => None,
            OrderState::Applying { order, queued } => Some((order, queued)),
        }
    }
}

impl Instance {
    /// Handles an order of the agent: obeys it, queues it, repeats its answer, or ignores it.
    pub(super) fn on_order(&mut self, order: &Order, actions: &mut Vec<Action>) {
        let is_fenced = !is_injected(InjectedBug::NoFencing);
        if !self.is_registered()
            || is_fenced && !self.observe_term(order.fencing_token.term, actions)
        {
            return;
        }
        if is_fenced && order.fencing_token < self.fencing_token {
            return;
        }
        if self.order.queue_if_newest(order) {
            return;
        }
        if self.is_repeated(order) {
            return actions.push(Action::Send(self.report()));
        }
        if is_injected(InjectedBug::AckBeforeEffect) {
            self.record_outcome(order, Outcome::Applied);
            actions.push(Action::Send(self.report()));
        }
        self.order.begin(order.clone());
        actions.push(Action::Apply(order.clone()));
    }

    /// Whether the outcome of an order is known, so that the report answers it and nothing is applied.
    fn is_repeated(&mut self, order: &Order) -> bool {
        if is_injected(InjectedBug::ForgetRepeats) {
            return false;
        }
        if order.fencing_token == self.fencing_token {
            return true;
        }
        let fingerprint = order.overlay.fingerprint();
        let is_in_effect = fingerprint == self.applied.fingerprint;
        let Some(answer) = self.answer.as_mut().filter(|answer| {
            answer.change == order.change
                && answer.revision == order.revision
                && answer.fingerprint == fingerprint
                && (is_in_effect || answer.outcome != Outcome::Applied)
        }) else {
            return false;
        };
        // The same order under a later token: the answer is repeated under that token.
        answer.fencing_token = order.fencing_token;
        self.fencing_token = order.fencing_token;
        true
    }

    /// Records the outcome of the order under way, and begins the one that was queued.
    pub(super) fn on_order_completed(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some((order, queued)) = self.order.complete() else {
            return;
        };
        self.record_outcome(&order, outcome);
        actions.push(Action::Persist(self.persisted_state()));
        actions.push(Action::Send(self.report()));
        if let Some(order) = queued {
            self.on_order(&order, actions);
        }
    }

    fn record_outcome(&mut self, order: &Order, outcome: Outcome) {
        let fingerprint = order.overlay.fingerprint();
        if outcome == Outcome::Applied {
            self.overlay = order.overlay.clone();
            self.applied = AppliedConfiguration {
                revision: order.revision,
                fingerprint,
            };
        }
        self.fencing_token = order.fencing_token;
        self.answer = Some(Answer {
            fencing_token: order.fencing_token,
            change: order.change.clone(),
            revision: order.revision,
            fingerprint,
            outcome,
        });
    }
}
