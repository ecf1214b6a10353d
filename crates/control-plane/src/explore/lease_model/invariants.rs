//! The invariants of a state.

use super::LeaseModel;
use super::bounds::SECOND;
use super::state::LeaseModelState;
use crate::explore::{Invariant, InvariantViolation};
use madderloom_quota_leases::{HeldLimitStatus, ONE_REQUEST};

impl LeaseModel {
    /// Checks the invariants of every state.
    pub(super) fn check_state(&self, state: &LeaseModelState) -> Result<(), InvariantViolation> {
        self.check_leases(state)?;
        self.check_in_flight(state)?;
        self.check_windows(state)
    }

    /// Checks that the valid leases add up to no more than the limit.
    fn check_leases(&self, state: &LeaseModelState) -> Result<(), InvariantViolation> {
        let (mut rate, mut burst) = (0, 0);
        for status in self.valid_leases(state) {
            rate += status.usable.rate;
            burst += status.usable.burst;
        }
        let after = self.lease_steps();
        let max_rate = self.part_in_force(state, self.limit.rate, after) * ONE_REQUEST;
        if rate > max_rate {
            let details = format!("{rate} of {max_rate} thousandths");
            return Err(Invariant::Rates.violated(details));
        }
        let max_burst = self.part_in_force(state, self.limit.burst, after) * ONE_REQUEST;
        if burst > max_burst {
            let details = format!("{burst} of {max_burst} thousandths");
            return Err(Invariant::Bursts.violated(details));
        }
        Ok(())
    }

    /// Checks that no more requests are in flight than the limit allows.
    fn check_in_flight(&self, state: &LeaseModelState) -> Result<(), InvariantViolation> {
        let in_flight: u64 = state
            .instances
            .iter()
            .map(|instance| instance.request_ages.len() as u64)
            .sum();
        let after = self.lease_steps() + self.max_request_duration;
        let max_in_flight = self.part_in_force(state, self.limit.in_flight, after);
        if in_flight > max_in_flight {
            let details = format!("{in_flight} of {max_in_flight}");
            return Err(Invariant::InFlight.violated(details));
        }
        Ok(())
    }

    /// Checks that the leaky bucket that stands for all windows does not overflow.
    fn check_windows(&self, state: &LeaseModelState) -> Result<(), InvariantViolation> {
        let size = self.limit.burst * SECOND;
        if state.bucket_level > size {
            let excess = state.bucket_level - size;
            let details = format!("{excess} millionths over the burst");
            return Err(Invariant::Windows.violated(details));
        }
        Ok(())
    }

    /// The status of the limit at each instance that holds a valid lease.
    fn valid_leases(&self, state: &LeaseModelState) -> impl Iterator<Item = HeldLimitStatus> {
        (0..state.instances.len()).filter_map(|at| {
            let now = self.instance_time(state.ticks, at);
            let (_, status) = state.instances[at].holder.statuses(now).next()?;
            status.has_lease.then_some(status)
        })
    }

    /// A lease with its drift, in whole steps.
    fn lease_steps(&self) -> u64 {
        self.first_duration.max(self.second_duration) + 1
    }

    /// A figure of the limit, or half of it where the limit was lowered more than `after` steps ago.
    fn part_in_force(&self, state: &LeaseModelState, figure: u64, after: u64) -> u64 {
        let is_lowered = state
            .lowered_at
            .is_some_and(|lowered_at| state.ticks > lowered_at + after);
        if is_lowered { figure / 2 } else { figure }
    }
}
