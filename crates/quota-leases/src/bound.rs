//! The bound of one limit, shown as arithmetic that an operator can follow.

use crate::{CLOCK_DRIFT_DIVISOR, Capacity, Micros, ONE_REQUEST, RATE_RESERVE_DIVISOR, UNBOUNDED};
use std::fmt;

/// The figures that the bound of a limit follows from. Displays as one line for each part of the bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The limit's name.
    pub limit: String,
    /// The capacity of the limit.
    pub total: Capacity,
    /// The duration of a lease, in microseconds.
    pub lease_duration: Micros,
    /// The time between two reports of an instance, in microseconds.
    pub report_interval: Micros,
    /// The longest time that a request stays in flight, in microseconds.
    pub max_request_duration: Micros,
}

/// Converts thousandths to units.
fn units(thousandths: u64) -> f64 {
    thousandths as f64 / ONE_REQUEST as f64
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

impl Bound {
    /// The longest time that a lease may be in use by a clock that runs slow.
    fn lease_with_drift(&self) -> Micros {
        self.lease_duration + self.lease_duration / CLOCK_DRIFT_DIVISOR
    }

    fn write_rate(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rate, burst) = (units(self.total.rate), units(self.total.burst));
        let grantable = 1.0 - 1.0 / RATE_RESERVE_DIVISOR as f64;
        write!(
            f,
            "\n  let in over any W seconds by all instances with a lease: {rate} x W + {burst}; in 10 s: {rate} x 10 + \
             {burst} = {}",
            rate * 10.0 + burst
        )?;
        write!(
            f,
            "\n  lent at most: {rate} x {grantable} = {}",
            rate * grantable
        )?;
        write!(
            f,
            "\n  instances that can let one in at once: {burst}; more than that wait for a report of their own"
        )
    }

    fn write_staleness(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let drift = 1.0 + 1.0 / CLOCK_DRIFT_DIVISOR as f64;
        let lease = self.lease_with_drift();
        write!(
            f,
            "\n  a lowered limit holds everywhere after: {} x {drift} = {} s",
            seconds(self.lease_duration),
            seconds(lease)
        )?;
        if self.total.in_flight != UNBOUNDED {
            write!(
                f,
                "; of what is open after {} + {} = {} s",
                seconds(lease),
                seconds(self.max_request_duration),
                seconds(lease + self.max_request_duration)
            )?;
        }
        write!(
            f,
            "\n  an agent that starts lends no more than instances say they hold for the former lease x {drift}"
        )?;
        write!(
            f,
            "\n  unused parts reach who asks after: 3 reports x {} = {} s",
            seconds(self.report_interval),
            seconds(3 * self.report_interval)
        )
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "fleet limit {}:", self.limit)?;
        if self.total.rate != UNBOUNDED {
            self.write_rate(f)?;
        }
        if self.total.in_flight != UNBOUNDED {
            let in_flight = self.total.in_flight;
            write!(
                f,
                "\n  open at once at all instances with a lease: {in_flight}"
            )?;
        }
        write!(
            f,
            "\n  each instance without a lease: its own safe part more, n instances n times as much"
        )?;
        self.write_staleness(f)
    }
}
