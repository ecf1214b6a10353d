//! The bounds of a model: the number of instances, the limit, and the faults.

use super::state::Instance;
use madderloom_quota_leases::{
    Capacity, LeaseHolder, LeaseServer, Limit, Micros, ONE_REQUEST, SafeCapacity, ServerId,
};
use std::collections::BTreeMap;

/// The name of the limit.
pub(super) const LIMIT: &str = "l";
/// A step of time.
pub(super) const SECOND: Micros = 1_000_000;
/// The reading of each clock at the beginning. It lies so far behind zero that the state may be moved back.
const CLOCK_START: Micros = 100 * SECOND;
/// How long the first server has run at the beginning: long enough to grant the limit in full.
const FORMER_RUN: Micros = 90 * SECOND;

/// The capacity of a limit in whole requests.
#[derive(Clone, Copy, Debug)]
pub struct WholeRequests {
    /// Requests a second.
    pub rate: u64,
    /// Requests at once.
    pub burst: u64,
    /// Requests in flight.
    pub in_flight: u64,
}

/// The bounds of a model.
#[derive(Clone, Debug)]
pub struct LeaseModel {
    /// Its name.
    pub name: &'static str,
    /// The number of instances at the beginning.
    pub instances: usize,
    /// The capacity of the limit.
    pub limit: WholeRequests,
    /// The number of time steps.
    pub ticks: u8,
    /// The number of reports of each instance.
    pub reports: u8,
    /// The lease duration of the first agent, in steps.
    pub first_duration: u64,
    /// The lease duration of the second agent, in steps.
    pub second_duration: u64,
    /// Whether the agent may be killed and another one started on its state.
    pub agent_kill: bool,
    /// Whether another process takes the name of the first instance while that one continues.
    pub replacement: bool,
    /// How often the demands of the instances may change.
    pub demand_changes: u8,
    /// Whether the limit may be lowered to half.
    pub lowered_limit: bool,
    /// How long a request may be in flight, in steps.
    pub max_request_duration: u64,
    /// The drift of the agent's clock, in percent.
    pub agent_drift: i64,
    /// The drift of the first instance's clock, in percent; the clocks of the others are exact.
    pub instance_drift: i64,
    /// Whether reports may be late or lost; otherwise they arrive at once.
    pub late_reports: bool,
    /// Whether grants may be late or lost; otherwise they arrive at once.
    pub late_grants: bool,
    /// Whether older messages may arrive after newer ones.
    pub reordering: bool,
    /// Whether instances admit requests; otherwise only the leases are checked.
    pub admission: bool,
}

impl LeaseModel {
    /// The limits of the agent's file: the limit, or the lowered one.
    pub(super) fn limits(&self, is_lowered: bool) -> BTreeMap<String, Limit> {
        let part = |figure: u64| if is_lowered { figure / 2 } else { figure };
        let limit = Limit {
            total: Capacity {
                rate: part(self.limit.rate) * ONE_REQUEST,
                burst: part(self.limit.burst) * ONE_REQUEST,
                in_flight: part(self.limit.in_flight),
            },
            max_request_duration: self.max_request_duration * SECOND,
            ..Limit::default()
        };
        BTreeMap::from([(LIMIT.to_string(), limit)])
    }

    /// The reading of the agent's clock after some steps.
    pub(super) fn agent_time(&self, ticks: u64) -> Micros {
        clock_reading(ticks, self.agent_drift)
    }

    /// The reading of an instance's clock after some steps.
    pub(super) fn instance_time(&self, ticks: u64, instance: usize) -> Micros {
        let drift = if instance == 0 {
            self.instance_drift
        } else {
            0
        };
        clock_reading(ticks, drift)
    }

    /// The server of the first agent, which has run for long enough to grant the limit in full.
    pub(super) fn first_server(&self) -> LeaseServer {
        let mut server = self.new_server(0, 1, self.first_duration, 0, false);
        server.rebase(FORMER_RUN);
        server
    }

    /// The server of the agent that takes over from the first one.
    pub(super) fn second_server(&self, ticks: u64, is_lowered: bool) -> LeaseServer {
        let (duration, former_duration) = (self.second_duration, self.first_duration);
        self.new_server(ticks, 2, duration, former_duration, is_lowered)
    }

    /// A server that starts now. Durations are in steps.
    fn new_server(
        &self,
        ticks: u64,
        term: u64,
        duration: u64,
        former_duration: u64,
        is_lowered: bool,
    ) -> LeaseServer {
        let now = self.agent_time(ticks);
        let id = ServerId { term, id: term };
        let (duration, former_duration) = (duration * SECOND, former_duration * SECOND);
        let mut server = LeaseServer::new(now, id, duration, former_duration, SECOND);
        server.set_limits(now, self.limits(is_lowered));
        server
    }

    /// An instance that starts now, as the one of this index.
    pub(super) fn new_instance(
        &self,
        ticks: u64,
        index: usize,
        name: usize,
        demand: u64,
    ) -> Instance {
        let mut holder = LeaseHolder::default();
        let limits = [(LIMIT.to_string(), SafeCapacity::Zero)];
        holder.set_limits(self.instance_time(ticks, index), limits);
        Instance {
            name,
            holder,
            reports: 0,
            is_replaced: false,
            request_ages: Vec::new(),
            demand,
        }
    }
}

/// The reading of a clock with a drift in percent.
fn clock_reading(ticks: u64, drift_percent: i64) -> Micros {
    let step = (SECOND as i64 + drift_percent * SECOND as i64 / 100) as u64;
    CLOCK_START + ticks * step
}
