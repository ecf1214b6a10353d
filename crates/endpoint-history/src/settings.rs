//! Settings of the history of one pool.

use crate::{HOUR, Micros};

/// How sensitive anomaly detection is, and how much is remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Accepted rate of anomalies raised by chance, per day and over all endpoints together. Above 0.
    pub false_alarms_per_day: f64,
    /// How long an endpoint is remembered after it left the list, in microseconds.
    pub retention_after_leaving: Micros,
    /// Upper bound on remembered endpoints, including those that left.
    pub max_endpoints: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            false_alarms_per_day: 0.1,
            retention_after_leaving: HOUR,
            max_endpoints: 1_024,
        }
    }
}
