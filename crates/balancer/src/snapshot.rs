//! A view of an instance's state for display. Taking a snapshot does not affect later decisions.

use crate::interface::{LoadReport, Micros, ServerEntry, ServerId};
use crate::state::Balancer;

/// State of an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Classes, by their index in the settings.
    pub classes: Vec<ClassView>,
    /// Servers, ordered by id.
    pub servers: Vec<ServerView>,
    /// Requests in flight, and concluded ones with an attempt still in flight.
    pub tracked_requests: usize,
    /// Number of retries that may be sent now.
    pub retry_budget: f64,
}

/// State of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassView {
    /// Requests in flight.
    pub in_flight: u32,
    /// Service time in microseconds: a low quantile of the response times.
    pub service_time: f64,
    /// Tail latency in microseconds: a high quantile of the response times.
    pub tail_latency: f64,
    /// Mean time until its requests end, as a fraction of the latency objective.
    pub latency_ratio: f64,
    /// Recent rate of served requests. None until some time has passed since the first one.
    pub served_per_second: Option<f64>,
    /// When a request was last rejected for overload.
    pub last_rejected: Option<Micros>,
    /// Number of requests shed by a degradation level.
    pub shed_requests: u64,
}

/// State of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// Its entry in the server list.
    pub entry: ServerEntry,
    /// Its share of the requests of its lane, from 0 to 1, by its service rate; 0 if it is in no lane.
    pub traffic_share: f64,
    /// Service rate: work done per unit of time; 0 before the first tuning.
    pub service_rate: f64,
    /// The decaying sums behind the service rate, in microseconds: the work of successful attempts, and the time that all
    /// attempts took.
    pub work_and_time: (f64, f64),
    /// Number of recent attempts that ended and may have been executed: the observations of its loss share.
    pub recent_attempts: f64,
    /// Number of this instance's attempts in flight.
    pub in_flight: usize,
    /// Score of the failures in a row.
    pub failure_score: u32,
    /// End of its ejection. It stays set until a trial request succeeds.
    pub ejected_until: Option<Micros>,
    /// Slow start: the fraction of its capacity that the server is assumed to have. 1 once it is warm.
    pub slow_start_factor: f64,
    /// When it last responded, or was first listed.
    pub last_response: Micros,
    /// When its last probe ended, and the load report if it answered.
    pub last_probe: Option<(Micros, Option<LoadReport>)>,
}

impl Balancer {
    /// Number of requests, of all classes, shed by degradation levels.
    pub fn shed_requests(&self) -> u64 {
        self.classes.iter().map(|class| class.shed_requests).sum()
    }

    /// Fraction of the ready servers that are ejected or stalled. None if no server is ready.
    pub fn failing_server_share(&self, now: Micros) -> Option<f64> {
        let ready = self.ready.iter().filter_map(|id| self.servers.get(id));
        let failing = ready
            .filter(|server| server.ejected_until.is_some() || server.is_stalled(now))
            .count();
        (!self.ready.is_empty()).then(|| failing as f64 / self.ready.len() as f64)
    }

    /// The state at this time.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        let class_view = |class: &crate::state::ClassState| ClassView {
            in_flight: class.in_flight,
            service_time: class.service_time.value,
            tail_latency: class.tail_latency.value,
            latency_ratio: class.latency_ratio,
            served_per_second: Some(class.served.rate_at(now) * 1e6)
                .filter(|rate| rate.is_finite()),
            last_rejected: class.last_rejected,
            shed_requests: class.shed_requests,
        };
        let lane_rate = |in_long_lane: Option<bool>| {
            let lane = self.servers.values().filter(move |server| {
                in_long_lane.is_some() && server.in_long_lane == in_long_lane
            });
            lane.map(|server| server.service_rate).sum::<f64>()
        };
        let (short_rate, long_rate) = (lane_rate(Some(false)), lane_rate(Some(true)));
        let server_view = |(_, server): (&ServerId, &crate::state::Server)| {
            let total_rate = if server.in_long_lane == Some(true) {
                long_rate
            } else {
                short_rate
            };
            ServerView {
                entry: server.entry,
                traffic_share: if server.in_long_lane.is_some() && total_rate > 0.0 {
                    server.service_rate / total_rate
                } else {
                    0.0
                },
                service_rate: server.service_rate,
                work_and_time: (server.work_sum, server.time_sum),
                recent_attempts: server.ended_attempts.value_at(now),
                in_flight: server.in_flight.len(),
                failure_score: server.failure_score,
                ejected_until: server.ejected_until,
                slow_start_factor: server.slow_start_factor(now, &self.settings.rules),
                last_response: server.last_response,
                last_probe: server.last_probe,
            }
        };
        Snapshot {
            classes: self.classes.iter().map(class_view).collect(),
            servers: self.servers.iter().map(server_view).collect(),
            tracked_requests: self.requests.len(),
            retry_budget: self.retry_budget,
        }
    }
}
