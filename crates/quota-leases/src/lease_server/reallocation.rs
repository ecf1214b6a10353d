//! The periodic allocation of all limits among their holders, and which holders receive a grant because of it.

use super::allocation::{Participant, allocate};
use super::limit::limit_for;
use super::{LeaseServer, LeaseServerEvent, is_notable, with_drift};
use crate::Micros;
use std::collections::BTreeSet;

impl LeaseServer {
    /// Forgets expired grants and silent holders, and allocates all limits anew.
    pub(super) fn reallocate(&mut self, now: Micros) {
        self.last_allocation = now;
        if !self.has_reported_recovery && self.has_recovered(now) {
            self.has_reported_recovery = true;
            self.events.push(LeaseServerEvent::Recovered);
        }
        self.forget_expired(now);
        let starts_by_limit = self.recount_reservations(now);
        self.holders
            .values_mut()
            .for_each(|holder| holder.target.clear());
        for (name, starts) in starts_by_limit {
            self.allocate_limit(now, &name, starts);
        }
    }

    /// Allocates one limit among the starts that take part in it.
    fn allocate_limit(&mut self, now: Micros, name: &str, starts: Vec<u64>) {
        let Some(limit) = limit_for(&self.limits, name) else {
            return;
        };
        let participant = |start: &u64| {
            let holder = self.holders.get(start)?;
            Some(Participant {
                start: *start,
                holder,
                request: holder.requests.get(name)?,
            })
        };
        let participants: Vec<Participant<'_>> = starts.iter().filter_map(participant).collect();
        let shares = allocate(limit, &participants, self.duration, now);
        for (start, share) in starts.into_iter().zip(shares) {
            if let Some(holder) = self.holders.get_mut(&start) {
                holder.target.insert(name.to_string(), share);
            }
        }
    }

    fn forget_expired(&mut self, now: Micros) {
        let longest = self
            .limits
            .values()
            .map(|limit| limit.max_request_duration)
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
                let reachable = target.component_min(self.available(limit, holder, now));
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

    /// The limits of which a holder waits for more than it has, or of which more is reserved than may be granted.
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
        for (limit, reserved) in &self.reserved {
            if reserved.exceeds(self.grantable(limit)) {
                contended.insert(limit.clone());
            }
        }
        contended
    }
}
