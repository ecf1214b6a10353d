//! The effect of each transition on a state.

use super::LeaseModel;
use super::bounds::{LIMIT, SECOND};
use super::state::{LeaseModelState, Message};
use madderloom_quota_leases::{Micros, ONE_REQUEST};

/// The greatest demand of an instance; the least is zero.
pub(super) const HIGH_DEMAND: u64 = 100;

impl LeaseModel {
    /// A second passes: buckets drain, and the oldest requests end.
    pub(super) fn tick(&self, state: &mut LeaseModelState) {
        state.ticks += 1;
        let drained = self.limit.rate * SECOND;
        state.bucket_level = state.bucket_level.saturating_sub(drained);
        for instance in &mut state.instances {
            instance.request_ages.iter_mut().for_each(|age| *age += 1);
            let has_ended = |age: &mut u64| *age >= self.max_request_duration;
            for _ in instance.request_ages.extract_if(.., has_ended) {
                instance.holder.release(LIMIT);
            }
        }
    }

    /// An instance sends a report, if it has not sent all of them.
    pub(super) fn send_report(&self, state: &mut LeaseModelState, at: usize, now: Micros) {
        let instance = &mut state.instances[at];
        if instance.reports >= self.reports {
            return;
        }
        instance.reports += 1;
        let mut requests = instance.holder.make_report(now);
        // The demand is that of the model, not the measured one.
        for request in &mut requests.requests {
            request.demand_rate = instance.demand * ONE_REQUEST;
            request.demand_in_flight = instance.demand;
            request.admitted_rate = 0;
        }
        self.send(state, Message::Report { from: at, requests });
    }

    /// Puts a message in transit, or delivers it at once where it is never late.
    fn send(&self, state: &mut LeaseModelState, message: Message) {
        let is_late = match message {
            Message::Report { .. } => self.late_reports,
            Message::Grant { .. } => self.late_grants,
        };
        if is_late {
            state.messages.push(message);
        } else {
            self.deliver(state, message);
        }
    }

    /// Takes a message out of transit and delivers it.
    pub(super) fn deliver_from_transit(&self, state: &mut LeaseModelState, message: usize) {
        let message = state.messages.remove(message);
        if !self.reordering {
            // The messages that it overtakes are lost.
            state.messages.retain(|other| !message.is_newer(other));
        }
        self.deliver(state, message);
    }

    fn deliver(&self, state: &mut LeaseModelState, message: Message) {
        match message {
            Message::Report { from, requests } => {
                let name = state.instances[from].name.to_string();
                let now = self.agent_time(state.ticks);
                let grant = state
                    .server
                    .handle_report(now, &name, "", from as u64, &requests);
                if let Some(grant) = grant {
                    self.send(state, Message::Grant { to: from, grant });
                }
            }
            Message::Grant { to, grant } => {
                let now = self.instance_time(state.ticks, to);
                let instance = &mut state.instances[to];
                if instance.holder.apply_grant(now, &grant) && !instance.is_replaced {
                    self.send_report(state, to, now);
                }
            }
        }
    }

    /// Whether an instance can admit a request now.
    pub(super) fn can_admit(&self, state: &LeaseModelState, at: usize) -> bool {
        let mut holder = state.instances[at].holder.clone();
        holder
            .admit(self.instance_time(state.ticks, at), LIMIT)
            .is_ok()
    }

    /// An instance admits all requests that it can.
    pub(super) fn admit_all(&self, state: &mut LeaseModelState, at: usize) {
        let now = self.instance_time(state.ticks, at);
        let instance = &mut state.instances[at];
        while instance.holder.admit(now, LIMIT).is_ok() {
            instance.request_ages.push(0);
            state.bucket_level += SECOND;
        }
    }

    /// Another agent starts. It knows the lease duration of the first one.
    pub(super) fn kill_agent(&self, state: &mut LeaseModelState) {
        state.term += 1;
        state.server = self.second_server(state.ticks, state.lowered_at.is_some());
    }

    /// Another process takes the name of the first instance.
    pub(super) fn replace_instance(&self, state: &mut LeaseModelState) {
        let former = &mut state.instances[0];
        former.is_replaced = true;
        let (name, demand) = (former.name, former.demand);
        let index = state.instances.len();
        let successor = self.new_instance(state.ticks, index, name, demand);
        state.instances.push(successor);
    }

    /// Instances with little demand now have much, and the other way round.
    pub(super) fn change_demand(&self, state: &mut LeaseModelState) {
        state.demand_changes += 1;
        for instance in &mut state.instances {
            instance.demand = HIGH_DEMAND - instance.demand;
        }
    }

    /// The limit is lowered to half.
    pub(super) fn lower_limit(&self, state: &mut LeaseModelState) {
        state.lowered_at = Some(state.ticks);
        let now = self.agent_time(state.ticks);
        state.server.set_limits(now, self.limits(true));
    }
}
