//! Instances without a data path.

use madderloom_agent::{ApplyFuture, LinkHandler};
use madderloom_control_plane::gate::Counts;
use madderloom_control_plane::protocol::{Outcome, ToAgent};
use madderloom_control_plane::settings::{Key, Overlay, Value};
use madderloom_control_plane::{Memory, Problem};
use std::cell::RefCell;
use std::rc::Rc;

/// An instance, whose clones are the same instance.
#[derive(Clone, Default)]
pub struct TestInstance(pub Rc<RefCell<InstanceState>>);

/// What an instance has in effect, and how it behaves.
#[derive(Default)]
pub struct InstanceState {
    /// The settings in effect.
    pub overlay: Overlay,
    /// The number of orders that it was given.
    pub orders: usize,
    /// It rejects settings that contain this key.
    pub rejects: Option<Key>,
    /// The requests that it reports.
    pub counts: Counts,
    /// Half of its requests end badly while this key is set.
    pub hurt_by: Option<Key>,
    /// What it has persisted.
    pub memory: Memory,
    /// The number of registrations that it has sent.
    pub registrations: usize,
}

impl TestInstance {
    /// The weight that is set for a server.
    pub fn weight(&self, server: &str) -> Option<Value> {
        let state = self.0.borrow();
        state.overlay.0.get(&Key::Weight(server.into())).cloned()
    }

    fn carry_out(&self, overlay: &Overlay) -> Outcome {
        let mut state = self.0.borrow_mut();
        state.orders += 1;
        let rejected = state.rejects.clone();
        if let Some(key) = rejected.filter(|key| overlay.0.contains_key(key)) {
            return Outcome::Refused(Problem {
                field: format!("set.{key}"),
                problem: "is not known to this instance".to_string(),
            });
        }
        state.overlay = overlay.clone();
        Outcome::Applied
    }
}

impl LinkHandler for TestInstance {
    fn apply(&mut self, overlay: &Overlay) -> ApplyFuture {
        let outcome = self.carry_out(overlay);
        Box::pin(std::future::ready(outcome))
    }

    fn request_counts(&mut self) -> Counts {
        let state = self.0.borrow();
        let is_set = |key| state.overlay.0.contains_key(key);
        let is_hurt = state.hurt_by.as_ref().is_some_and(is_set);
        let bad = if is_hurt {
            state.counts.ended / 2
        } else {
            state.counts.bad
        };
        Counts {
            bad,
            ..state.counts
        }
    }

    fn persist(&mut self, memory: &Memory) {
        self.0.borrow_mut().memory = memory.clone();
    }

    fn message_sent(&mut self, message: &ToAgent) {
        let is_registration = matches!(message, ToAgent::Register(_));
        self.0.borrow_mut().registrations += usize::from(is_registration);
    }
}
