//! A model of fleet-wide limits that runs the real lease server and holders: a server that may be killed, instances
//! whose names may be taken by others, messages that arrive in any order, late or never, and clocks that drift.
//! Instances admit as many requests as they can at any time.
//!
//! Time advances in steps of a second by an ideal clock. The invariants of every state:
//!
//! - *rates*, *bursts*: the leases of all instances add up to no more than the limit;
//! - *in flight*: no more requests are in flight than the limit allows; after a lease has expired, than the lowered
//!   limit allows;
//! - *windows*: in every window so far no more requests were admitted than `rate * length + burst`. This is tracked
//!   as the level of a leaky bucket, which is equivalent.

mod bounds;
mod invariants;
mod models;
mod state;
mod step;
mod transitions;

pub use bounds::{LeaseModel, WholeRequests};
pub use models::{larger_lease_models, lease_models};
pub use state::LeaseModelState;
pub use step::Step;

use super::state_hash::{hash_of, wide_hash_of};
use super::{InvariantViolation, Model};
use state::Message;
use transitions::HIGH_DEMAND;

impl Model for LeaseModel {
    type State = LeaseModelState;
    type Step = Step;

    fn initial(&self) -> LeaseModelState {
        let instance = |index: usize| {
            let demand = if index == 0 { HIGH_DEMAND } else { 0 };
            self.new_instance(0, index, index, demand)
        };
        LeaseModelState {
            ticks: 0,
            server: self.first_server(),
            term: 1,
            instances: (0..self.instances).map(instance).collect(),
            messages: Vec::new(),
            demand_changes: 0,
            lowered_at: None,
            bucket_level: 0,
        }
    }

    fn steps(&self, state: &LeaseModelState) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, message) in state.messages.iter().enumerate() {
            steps.push(Step::Deliver {
                message: index,
                shown: message.to_string(),
            });
        }
        for (at, instance) in state.instances.iter().enumerate() {
            let in_transit = state
                .messages
                .iter()
                .any(|message| matches!(message, Message::Report { from, .. } if *from == at));
            let may_report = instance.reports < self.reports && !instance.is_replaced;
            if may_report && (self.reordering || !in_transit) {
                steps.push(Step::Report(at));
            }
            if self.admission && self.can_admit(state, at) {
                steps.push(Step::Admit(at));
            }
        }
        if state.ticks < u64::from(self.ticks) {
            steps.push(Step::Tick);
        }
        if state.demand_changes < self.demand_changes {
            steps.push(Step::ChangeDemand);
        }
        if self.agent_kill && state.term == 1 {
            steps.push(Step::KillAgent);
        }
        if self.replacement && state.instances.len() == self.instances {
            steps.push(Step::ReplaceInstance);
        }
        if self.lowered_limit && state.lowered_at.is_none() {
            steps.push(Step::LowerLimit);
        }
        steps
    }

    fn apply(&self, state: &LeaseModelState, step: &Step) -> LeaseModelState {
        let mut next = state.clone();
        match step {
            Step::Tick => self.tick(&mut next),
            Step::Report(at) => {
                let now = self.instance_time(next.ticks, *at);
                self.send_report(&mut next, *at, now);
            }
            Step::Deliver { message, .. } => self.deliver_from_transit(&mut next, *message),
            Step::Admit(at) => self.admit_all(&mut next, *at),
            Step::KillAgent => self.kill_agent(&mut next),
            Step::ReplaceInstance => self.replace_instance(&mut next),
            Step::ChangeDemand => self.change_demand(&mut next),
            Step::LowerLimit => self.lower_limit(&mut next),
        }
        // The order of messages in transit does not matter, nor do duplicates.
        next.messages.sort();
        next.messages.dedup();
        next
    }

    fn hash(&self, state: &LeaseModelState) -> u128 {
        let instances: Vec<u64> = state
            .instances
            .iter()
            .enumerate()
            .map(|(at, instance)| {
                let now = self.instance_time(state.ticks, at);
                hash_of((
                    instance.holder.explored_state(now),
                    instance.reports,
                    instance.is_replaced,
                    &instance.request_ages,
                    instance.demand,
                ))
            })
            .collect();
        let server = hash_of(state.server.explored_state(self.agent_time(state.ticks)));
        wide_hash_of(&(
            instances,
            state.ticks,
            server,
            state.term,
            &state.messages,
            state.demand_changes,
            state.lowered_at,
            state.bucket_level,
        ))
    }

    fn check(&self, state: &LeaseModelState) -> Result<(), InvariantViolation> {
        self.check_state(state)
    }

    fn fair_step(&self, _: &LeaseModelState) -> Option<Step> {
        None
    }
}
