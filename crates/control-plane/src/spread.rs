//! Rate limiting of registrations: instances that all return at once are admitted at a fixed rate, each at its own
//! time.

use crate::Micros;
use std::collections::BTreeMap;

/// The most reservations at a time.
const MAX_RESERVATIONS: usize = 16_384;

/// The rate at which instances may register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// Registrations a second.
    pub rate: u32,
    /// Registrations that are admitted at once without a delay.
    pub burst: u32,
    /// The longest delay, in microseconds.
    pub horizon: Micros,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            rate: 100,
            burst: 50,
            horizon: 60_000_000,
        }
    }
}

/// Admits registrations at a fixed rate. An instance that has to wait receives a place in a queue, and is told its
/// time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Spread {
    pace: Pace,
    /// When the queue will be empty.
    queue_end: Micros,
    /// The reserved reservations: names and times.
    reservations: BTreeMap<String, Micros>,
}

impl Spread {
    /// Creates a limiter with an empty queue.
    pub fn new(pace: Pace) -> Self {
        Spread {
            pace,
            queue_end: 0,
            reservations: BTreeMap::new(),
        }
    }

    fn gap(&self) -> Micros {
        1_000_000 / Micros::from(self.pace.rate.max(1))
    }

    /// Admits a registration now, or returns the delay in microseconds. `jitter` must be random; it spreads the
    /// instances for which there is no place in the queue.
    pub fn admit(&mut self, now: Micros, name: &str, jitter: u64) -> Result<(), Micros> {
        let gap = self.gap();
        if let Some(&at) = self.reservations.get(name) {
            if at > now.saturating_add(gap) {
                return Err(at - now);
            }
            self.reservations.remove(name);
            return Ok(());
        }
        let ahead = self.queue_end.saturating_sub(now);
        if ahead <= gap.saturating_mul(Micros::from(self.pace.burst)) {
            self.queue_end = self.queue_end.max(now).saturating_add(gap);
            return Ok(());
        }
        // Places that were not used in time are dropped.
        let stale = self.pace.horizon;
        if self.reservations.len() >= MAX_RESERVATIONS {
            self.reservations
                .retain(|_, at| at.saturating_add(stale) > now);
        }
        if ahead >= self.pace.horizon || self.reservations.len() >= MAX_RESERVATIONS {
            // No place is reserved that far ahead: the instance asks again within the last half.
            return Err(self.pace.horizon / 2 + jitter % (self.pace.horizon / 2).max(1));
        }
        let at = self.queue_end;
        self.queue_end = at.saturating_add(gap);
        self.reservations.insert(name.to_string(), at);
        Err(at.saturating_sub(now).max(1))
    }

    /// The time over which a number of instances should spread their return, in microseconds.
    pub fn span(&self, instances: usize) -> Micros {
        self.gap()
            .saturating_mul(instances as Micros)
            .min(self.pace.horizon)
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.queue_end = self.queue_end.saturating_sub(by);
        self.reservations
            .values_mut()
            .for_each(|at| *at = at.saturating_sub(by));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays instances that all register at once and return when they are told to. Returns the times of their
    /// admission.
    fn come_back(pace: Pace, count: usize) -> Vec<Micros> {
        let mut spread = Spread::new(pace);
        let mut rng = oorandom::Rand64::new(3);
        let mut waiting: Vec<(Micros, usize)> = (0..count).map(|n| (1_000_000, n)).collect();
        let mut admitted = Vec::new();
        while let Some(at) = waiting.iter().map(|w| w.0).min() {
            let now: Vec<usize> = waiting.iter().filter(|w| w.0 == at).map(|w| w.1).collect();
            waiting.retain(|w| w.0 != at);
            for one in now {
                match spread.admit(at, &format!("i{one}"), rng.rand_u64()) {
                    Ok(()) => admitted.push(at),
                    Err(wait) => waiting.push((at + wait, one)),
                }
            }
        }
        admitted
    }

    #[test]
    fn five_hundred_at_once_come_in_at_the_pace_and_all_of_them_do() {
        let times = come_back(
            Pace {
                rate: 100,
                burst: 50,
                horizon: 60_000_000,
            },
            500,
        );
        assert_eq!(times.len(), 500);
        assert!(*times.last().expect("some") <= 1_000_000 + 5_100_000);
        for (at, start) in times.iter().enumerate() {
            let within = times[at..]
                .iter()
                .take_while(|t| **t < start + 1_000_000)
                .count();
            assert!(within <= 152, "{within} in a second from {start}");
        }
    }

    #[test]
    fn more_than_the_horizon_holds_still_come_in_at_the_pace() {
        let times = come_back(
            Pace {
                rate: 100,
                burst: 10,
                horizon: 2_000_000,
            },
            1_000,
        );
        assert_eq!(times.len(), 1_000);
        let most = (0..times.len()).map(|at| {
            times[at..]
                .iter()
                .take_while(|t| **t < times[at] + 1_000_000)
                .count()
        });
        assert!(
            most.max().expect("some") <= 320,
            "more than the pace and what had places"
        );
    }
}
