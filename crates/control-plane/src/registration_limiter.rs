//! Rate limiting of registrations: instances that all return at once are admitted at a fixed rate, each at its own
//! time.

use crate::Micros;
use std::collections::BTreeMap;

/// The most reservations at a time.
const MAX_RESERVATIONS: usize = 16_384;

/// The rate at which instances may register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RegistrationRate {
    /// Registrations a second.
    pub per_second: u32,
    /// Registrations that are admitted at once without a delay.
    pub burst: u32,
    /// The longest delay, in microseconds.
    pub max_delay: Micros,
}

impl Default for RegistrationRate {
    fn default() -> Self {
        RegistrationRate {
            per_second: 100,
            burst: 50,
            max_delay: 60_000_000,
        }
    }
}

/// Admits registrations at a fixed rate. An instance that has to wait gets a reservation in a queue, and is told when
/// to return.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RegistrationLimiter {
    rate: RegistrationRate,
    /// When the queue will be empty.
    queue_end: Micros,
    /// The time of each reservation, by the name of the instance.
    reservations: BTreeMap<String, Micros>,
}

impl RegistrationLimiter {
    /// Creates a limiter with an empty queue.
    pub fn new(rate: RegistrationRate) -> Self {
        RegistrationLimiter {
            rate,
            queue_end: 0,
            reservations: BTreeMap::new(),
        }
    }

    /// The time between two registrations.
    fn interval(&self) -> Micros {
        1_000_000 / Micros::from(self.rate.per_second.max(1))
    }

    /// Admits a registration now, or returns the delay after which the instance should try again. `jitter` must be
    /// random; it spreads the instances that get no reservation.
    ///
    /// # Errors
    /// The delay, in microseconds.
    pub fn admit(&mut self, now: Micros, name: &str, jitter: u64) -> Result<(), Micros> {
        let interval = self.interval();
        if let Some(&reserved) = self.reservations.get(name) {
            if reserved > now.saturating_add(interval) {
                return Err(reserved - now);
            }
            self.reservations.remove(name);
            return Ok(());
        }
        let queue_delay = self.queue_end.saturating_sub(now);
        if queue_delay <= interval.saturating_mul(Micros::from(self.rate.burst)) {
            self.queue_end = self.queue_end.max(now).saturating_add(interval);
            return Ok(());
        }
        if self.reservations.len() >= MAX_RESERVATIONS {
            self.drop_stale_reservations(now);
        }
        if queue_delay >= self.rate.max_delay || self.reservations.len() >= MAX_RESERVATIONS {
            return Err(self.delay_without_reservation(jitter));
        }
        Err(self.reserve(now, name))
    }

    /// Drops the reservations that were not used in time.
    fn drop_stale_reservations(&mut self, now: Micros) {
        let max_delay = self.rate.max_delay;
        self.reservations
            .retain(|_, reserved| reserved.saturating_add(max_delay) > now);
    }

    /// A random time in the second half of the longest delay.
    fn delay_without_reservation(&self, jitter: u64) -> Micros {
        let half = self.rate.max_delay / 2;
        half + jitter % half.max(1)
    }

    /// Adds a reservation at the end of the queue. Returns the delay until then.
    fn reserve(&mut self, now: Micros, name: &str) -> Micros {
        let reserved = self.queue_end;
        self.queue_end = reserved.saturating_add(self.interval());
        self.reservations.insert(name.to_string(), reserved);
        reserved.saturating_sub(now).max(1)
    }

    /// The time over which a number of instances should spread their registrations, in microseconds.
    pub fn reconnect_window(&self, instances: usize) -> Micros {
        self.interval()
            .saturating_mul(instances as Micros)
            .min(self.rate.max_delay)
    }

    /// Sets the clock back.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.queue_end = self.queue_end.saturating_sub(by);
        self.reservations
            .values_mut()
            .for_each(|reserved| *reserved = reserved.saturating_sub(by));
    }
}
