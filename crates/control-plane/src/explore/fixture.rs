//! The time and the rules of the agents that the models of rollouts and of relays have in common.

use crate::membership::LeaseSettings;
use crate::registration_limiter::RegistrationRate;
use crate::{FleetSettings, Micros, Time};

/// The unit of all durations in the models. Its real length does not matter.
pub(super) const TIME_UNIT: Micros = 10_000_000;

/// A rate that delays no registration.
pub(super) const UNLIMITED_RATE: RegistrationRate = RegistrationRate {
    per_second: u32::MAX,
    burst: u32::MAX,
    max_delay: TIME_UNIT,
};

/// The rules of the agents: a lease of two reports.
pub(super) fn fleet_rules() -> FleetSettings {
    FleetSettings {
        leases: LeaseSettings {
            duration: 2 * TIME_UNIT,
            grace_period: TIME_UNIT,
            retention: 1_000 * TIME_UNIT,
            max_members: 8,
        },
        registration_rate: UNLIMITED_RATE,
        report_interval: TIME_UNIT,
    }
}

/// The time of every event: a state is moved back whenever time advances.
pub(super) fn now() -> Time {
    Time::default()
}
