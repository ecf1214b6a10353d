//! The periodic allocation of all limits anew, and whom to tell of it.

use super::allocation::{Participant, allocate};
use super::limit::limit_for;
use super::note::Note;
use super::{LeaseServer, is_notable, with_drift};
use crate::Micros;
use std::collections::BTreeSet;

impl LeaseServer {
    /// Forgets expired grants and silent holders, and allocates all limits anew.
    pub(super) fn reallocate(&mut self, now: Micros) {
        self.last_allocation = now;
        if !self.has_noted_recovery && self.has_learned(now) {
            self.has_noted_recovery = true;
            self.notes.push(Note::Recovered);
        }
        self.forget_expired(now);
        let starts = self.recount_totals(now);
        self.holders
            .values_mut()
            .for_each(|holder| holder.target.clear());
        for (name, starts) in starts {
            let Some(limit) = limit_for(&self.limits, &name) else {
                continue;
            };
            let participant = |start: &u64| {
                let holder = self.holders.get(start)?;
                Some(Participant {
                    start: *start,
                    holder,
                    request: holder.requests.get(&name)?,
                })
            };
            let participants: Vec<Participant<'_>> =
                starts.iter().filter_map(participant).collect();
            let shares = allocate(limit, &participants, self.duration, now);
            for (start, share) in starts.into_iter().zip(shares) {
                if let Some(holder) = self.holders.get_mut(&start) {
                    holder.target.insert(name.clone(), share);
                }
            }
        }
    }

    fn forget_expired(&mut self, now: Micros) {
        let longest = self
            .limits
            .values()
            .map(|limit| limit.longest)
            .max()
            .unwrap_or(0);
        let remembered = with_drift(self.duration.saturating_add(longest));
        for holder in self.holders.values_mut() {
            holder
                .outstanding
                .retain(|grant| grant.expires.saturating_add(with_drift(longest)) > now);
        }
        self.holders.retain(|_, holder| {
            !holder.outstanding.is_empty() || holder.last_report.saturating_add(remembered) > now
        });
    }

    /// The starts whose leases differ notably from their targets. Those whose leases shrink come first: once they
    /// have acknowledged, others can grow.
    pub(super) fn holders_to_notify(&self, now: Micros) -> Vec<u64> {
        let contended = self.contended_limits(now);
        let mut starts: Vec<(bool, u64)> = Vec::new();
        for (start, holder) in &self.holders {
            let (mut shrinks, mut grows) = (false, false);
            for (limit, target) in holder.target.iter().filter(|_| self.is_active(holder, now)) {
                let granted = holder.granted(limit, now);
                let reachable = target.lesser(self.available(limit, holder, now));
                shrinks |= is_notable(granted, *target)
                    && granted.exceeds(*target)
                    && contended.contains(limit);
                grows |= is_notable(granted, reachable) && reachable.exceeds(granted);
            }
            if shrinks || grows {
                starts.push((!shrinks, *start));
            }
        }
        starts.sort_unstable();
        starts.into_iter().map(|(_, start)| start).collect()
    }

    /// The limits of which a holder waits for more than it has, or of which more is granted than may be.
    fn contended_limits(&self, now: Micros) -> BTreeSet<String> {
        let mut contended = BTreeSet::new();
        for holder in self.holders.values() {
            for (limit, target) in &holder.target {
                let granted = holder.granted(limit, now);
                if target.exceeds(granted)
                    && is_notable(granted, *target)
                    && !contended.contains(limit)
                {
                    contended.insert(limit.clone());
                }
            }
        }
        for (limit, total) in &self.totals {
            if total.exceeds(self.grantable(limit)) {
                contended.insert(limit.clone());
            }
        }
        contended
    }
}
