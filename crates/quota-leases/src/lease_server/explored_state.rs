//! The view of a lease server that a model checker needs: the state that distinguishes one from another, and a way to
//! set its clock back.

use super::LeaseServer;
use super::holder_record::HolderRecord;
use crate::Micros;

impl LeaseServer {
    /// The state that determines what the server does next, with times relative to `now`.
    pub fn explored_state(&self, now: Micros) -> impl std::hash::Hash + use<> {
        let remaining = |at: Micros| at.saturating_sub(now);
        let holder_state = |(start, holder): (&u64, &HolderRecord)| {
            let outstanding: Vec<_> = holder
                .outstanding
                .iter()
                .map(|grant| (grant.number, remaining(grant.expires), grant.leased.clone()))
                .collect();
            let requests: Vec<_> = holder
                .requests
                .values()
                .map(|request| (request.held, request.demand_rate, request.in_flight))
                .collect();
            let silent_for = now.saturating_sub(holder.last_report);
            (
                *start,
                holder.last_sequence,
                holder.last_grant,
                outstanding,
                requests,
                silent_for,
                holder.target.clone(),
            )
        };
        let holders: Vec<_> = self.holders.iter().map(holder_state).collect();
        let since_allocation = now.saturating_sub(self.last_allocation);
        (
            self.id,
            holders,
            remaining(self.recovery_ends),
            since_allocation,
            self.in_conflict,
        )
    }

    /// Moves all times back, as if the clock had started later.
    pub fn rebase(&mut self, by: Micros) {
        let earlier = |at: &mut Micros| *at = at.saturating_sub(by);
        earlier(&mut self.recovery_ends);
        earlier(&mut self.last_allocation);
        for holder in self.holders.values_mut() {
            earlier(&mut holder.last_report);
            holder
                .outstanding
                .iter_mut()
                .for_each(|grant| earlier(&mut grant.expires));
        }
    }
}
