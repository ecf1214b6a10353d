//! What the explorer needs of a lease server: the state that distinguishes one from another, and a way to set its
//! clock back.

use super::LeaseServer;
use super::holder_record::HolderRecord;
use crate::Micros;

impl LeaseServer {
    /// The state that matters to the explorer, with times relative to `now`.
    pub fn essence(&self, now: Micros) -> impl std::hash::Hash + use<> {
        let ahead = |at: Micros| at.saturating_sub(now);
        let essence = |(start, holder): (&u64, &HolderRecord)| {
            let outstanding: Vec<_> = holder
                .outstanding
                .iter()
                .map(|grant| (grant.number, ahead(grant.expires), grant.amounts.clone()))
                .collect();
            let requests: Vec<_> = holder
                .requests
                .values()
                .map(|request| (request.holds, request.wanted, request.open))
                .collect();
            let silent_for = now.saturating_sub(holder.last_report);
            (
                *start,
                holder.seq,
                holder.number,
                outstanding,
                requests,
                silent_for,
                holder.target.clone(),
            )
        };
        let holders: Vec<_> = self.holders.iter().map(essence).collect();
        let since_allocation = now.saturating_sub(self.last_allocation);
        (
            self.id,
            holders,
            ahead(self.recovery_ends),
            since_allocation,
            self.in_conflict,
        )
    }

    /// Moves all times back, for the explorer.
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
