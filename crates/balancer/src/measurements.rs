//! Measurements of an instance, to be stored across a restart and restored in the next process. The embedder decides how
//! much stored measurements still count: whatever it restores is treated as measured now.

use crate::interface::{Micros, ServerId};
use crate::state::{Balancer, Server};

/// The measurements of an instance. Times and work are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measurements {
    /// Classes, by their index in the settings.
    pub classes: Vec<ClassMeasurements>,
    /// Mean work of a request, and mean time of a successful attempt.
    pub mean_work_and_time: (f64, f64),
    /// Servers, ordered by id.
    pub servers: Vec<ServerMeasurements>,
}

/// Measurements of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassMeasurements {
    /// Service time: a low quantile of the response times. Above 0.
    pub service_time: f64,
    /// Tail latency: a high quantile of the response times. Above 0.
    pub tail_latency: f64,
}

/// Measurements of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerMeasurements {
    /// The server.
    pub server: ServerId,
    /// Start of its incarnation according to the server list. The measurements do not apply to another incarnation.
    pub started_at: Option<Micros>,
    /// Decaying sum of the work of successful attempts. At least 0.
    pub work: f64,
    /// Decaying sum of the time that all attempts took, including failed ones. At least 0.
    pub attempt_time: f64,
    /// Score of the failures in a row.
    pub failure_score: u32,
    /// Remaining time of its ejection; 0 if it is not ejected.
    pub ejection_remaining: Micros,
    /// Total duration of that ejection; the next one lasts twice as long.
    pub ejection_duration: Micros,
}

/// Limit for restored ejections, so that stored data cannot exclude a server forever.
const MAX_RESTORED_EJECTION: Micros = 60_000_000;

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

impl Balancer {
    /// The current measurements. They include every server with at least one response or failure.
    pub fn measurements(&self, now: Micros) -> Measurements {
        let is_measured = |server: &&Server| server.time_sum > 0.0 || server.failure_score > 0;
        let measurements = |server: &Server| ServerMeasurements {
            server: server.entry.server,
            started_at: server.entry.started_at,
            work: server.work_sum,
            attempt_time: server.time_sum,
            failure_score: server.failure_score,
            ejection_remaining: server
                .ejected_until
                .map_or(0, |until| until.saturating_sub(now)),
            ejection_duration: server.ejection_duration,
        };
        Measurements {
            classes: self
                .classes
                .iter()
                .map(|class| ClassMeasurements {
                    service_time: class.service_time.value,
                    tail_latency: class.tail_latency.value,
                })
                .collect(),
            mean_work_and_time: (self.mean_work.value, self.mean_response_time.value),
            servers: self
                .servers
                .values()
                .filter(is_measured)
                .map(measurements)
                .collect(),
        }
    }

    /// Restores the measurements of classes. Call it before the first request. Invalid values are ignored.
    pub fn restore_class_measurements(&mut self, measurements: &Measurements) {
        for (class, stored) in self.classes.iter_mut().zip(&measurements.classes) {
            for (quantile, value) in [
                (&mut class.service_time, stored.service_time),
                (&mut class.tail_latency, stored.tail_latency),
            ] {
                quantile.value = if is_positive(value) {
                    value
                } else {
                    quantile.value
                };
            }
        }
        for (mean, value) in [
            (&mut self.mean_work, measurements.mean_work_and_time.0),
            (
                &mut self.mean_response_time,
                measurements.mean_work_and_time.1,
            ),
        ] {
            mean.value = if is_positive(value) {
                value
            } else {
                mean.value
            };
        }
    }

    /// Restores the measurements of a server. Returns false if the server is not in the list yet; the caller may try again
    /// later. Otherwise returns true, but ignores the measurements if they are invalid, if they are of another incarnation, or
    /// if this instance has already measured the server or sent requests to it.
    pub fn restore_server_measurements(
        &mut self,
        now: Micros,
        measurements: &ServerMeasurements,
    ) -> bool {
        let Some(server) = self.servers.get_mut(&measurements.server) else {
            return false;
        };
        let is_unmeasured =
            server.time_sum == 0.0 && server.failure_score == 0 && server.in_flight.is_empty();
        let is_valid_sum = |value: f64| value.is_finite() && value >= 0.0;
        let is_valid = is_valid_sum(measurements.work) && is_valid_sum(measurements.attempt_time);
        if is_unmeasured && is_valid && server.entry.started_at == measurements.started_at {
            (server.work_sum, server.time_sum) = (measurements.work, measurements.attempt_time);
            server.failure_score = measurements.failure_score;
            server.ejection_duration = measurements.ejection_duration.min(MAX_RESTORED_EJECTION);
            server.ejected_until = (measurements.ejection_remaining > 0).then(|| {
                now.saturating_add(measurements.ejection_remaining.min(MAX_RESTORED_EJECTION))
            });
        }
        true
    }
}
