//! The time and the rules of the agents that the models of rollouts and of relays have in common.

use crate::membership::Leases;
use crate::spread::Pace;
use crate::{Micros, Rules, Time};

/// The unit of all durations in the models. Its real length does not matter.
pub(super) const TIME_UNIT: Micros = 10_000_000;

/// A pace that delays no registration.
pub(super) const UNLIMITED_PACE: Pace = Pace {
    rate: u32::MAX,
    burst: u32::MAX,
    horizon: TIME_UNIT,
};

/// The rules of the agents: a lease of two reports.
pub(super) fn fleet_rules() -> Rules {
    Rules {
        leases: Leases {
            lease: 2 * TIME_UNIT,
            grace: TIME_UNIT,
            memory: 1_000 * TIME_UNIT,
            most: 8,
        },
        pace: UNLIMITED_PACE,
        every: TIME_UNIT,
    }
}

/// The time of every event: a state is moved back whenever time advances.
pub(super) fn now() -> Time {
    Time::default()
}
