//! The bound of one limit, shown as arithmetic that an operator can follow.

use crate::{Amount, DRIFT, FAST, Micros, ONE, UNBOUNDED};
use std::fmt;

/// The figures that the bound of a limit follows from. Displays as one line for each bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The limit's name.
    pub name: String,
    /// The whole limit.
    pub whole: Amount,
    /// The duration of a lease.
    pub lease: Micros,
    /// The time between two reports of an instance.
    pub every: Micros,
    /// The longest time that a request stays open.
    pub longest: Micros,
}

/// Converts thousandths to units.
fn units(thousandths: u64) -> f64 {
    thousandths as f64 / ONE as f64
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Bound {
            name,
            whole: Amount { rate, burst, open },
            lease,
            every,
            longest,
        } = self;
        write!(f, "fleet limit {name}:")?;
        if *rate != UNBOUNDED {
            let (rate, burst) = (units(*rate), units(*burst));
            write!(
                f,
                "\n  let in over any W seconds by all instances with a lease: {rate} x W + {burst}; in 10 s: {rate} x 10 + \
                 {burst} = {}",
                rate * 10.0 + burst
            )?;
            write!(
                f,
                "\n  lent at most: {rate} x {} = {}",
                1.0 - 1.0 / FAST as f64,
                rate * (1.0 - 1.0 / FAST as f64)
            )?;
            write!(
                f,
                "\n  instances that can let one in at once: {burst}; more than that wait for a report of their own"
            )?;
        }
        if *open != UNBOUNDED {
            write!(f, "\n  open at once at all instances with a lease: {open}")?;
        }
        write!(
            f,
            "\n  each instance without a lease: its own safe part more, n instances n times as much"
        )?;
        let out = lease + lease / DRIFT;
        write!(
            f,
            "\n  a lowered limit holds everywhere after: {} x {} = {} s",
            seconds(*lease),
            1.0 + 1.0 / DRIFT as f64,
            seconds(out)
        )?;
        if *open != UNBOUNDED {
            write!(
                f,
                "; of what is open after {} + {} = {} s",
                seconds(out),
                seconds(*longest),
                seconds(out + longest)
            )?;
        }
        write!(
            f,
            "\n  an agent that starts lends no more than instances say they hold for the former lease x {}",
            1.0 + 1.0 / DRIFT as f64
        )?;
        write!(
            f,
            "\n  unused parts reach who asks after: 3 reports x {} = {} s",
            seconds(*every),
            seconds(3 * every)
        )
    }
}
