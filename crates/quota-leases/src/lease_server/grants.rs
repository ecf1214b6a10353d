//! The grants to single holders.

use super::holder_record::{HolderRecord, OutstandingGrant};
use super::limit::{Limit, limit_for};
use super::note::Note;
use super::{LeaseServer, is_notable, with_drift};
use crate::{Amount, Grant, InjectedBug, Lease, LeaseRequest, Micros, ONE, is_injected};
use std::collections::BTreeMap;

impl LeaseServer {
    /// Makes the next grant to a start and counts it as outstanding.
    pub(super) fn issue_grant(&mut self, now: Micros, start: u64) -> Grant {
        let limits = self
            .holders
            .get(&start)
            .map(HolderRecord::limits)
            .unwrap_or_default();
        let totals_before: BTreeMap<String, Amount> = limits
            .into_iter()
            .filter_map(|name| Some((name.clone(), *self.totals.get(name)?)))
            .collect();
        self.subtract_from_totals(start, now);
        let leases = self.leases_for(now, start);
        let (number, answers) = self.record_grant(now, start, &leases);
        self.add_to_totals(start, now);
        // During recovery the server grants again what others may have granted, and open requests may exceed the
        // limit under safe amounts.
        if self.has_learned(now) {
            self.note_overcommitted(&leases, &totals_before);
        }
        Grant {
            start,
            by: self.id,
            number,
            answers,
            duration: self.duration,
            of: leases,
        }
    }

    /// The leases of a start in its next grant. The totals must not contain the start's own usage.
    fn leases_for(&self, now: Micros, start: u64) -> Vec<Lease> {
        let Some(holder) = self.holders.get(&start) else {
            return Vec::new();
        };
        let lease = |(name, request): (&String, &LeaseRequest)| {
            let limit = limit_for(&self.limits, name)?;
            let amount = self.next_amount(now, limit, holder, name, request)?;
            Some(Lease {
                limit: name.clone(),
                amount,
                whole: limit.whole,
            })
        };
        holder.requests.iter().filter_map(lease).collect()
    }

    /// The amount of one limit in a holder's next grant. `None` during recovery where the holder has no lease: it
    /// keeps to its safe amount.
    fn next_amount(
        &self,
        now: Micros,
        limit: &Limit,
        holder: &HolderRecord,
        name: &str,
        request: &LeaseRequest,
    ) -> Option<Amount> {
        let is_recovering = !self.has_learned(now);
        let available = limit.available(self.total(name));
        let target = holder.target.get(name).copied().unwrap_or_default();
        let granted = holder.granted(name, now);
        if is_recovering && request.holds == Amount::NOTHING && granted == Amount::NOTHING {
            return None;
        }
        let keeps = !is_notable(granted, target) && !granted.exceeds(available);
        let mut amount = if keeps {
            granted
        } else {
            target.lesser(available)
        };
        if is_recovering {
            // A lease of the former server is renewed with no more than it had.
            let holds = request.holds.greater(granted);
            amount = amount.lesser(Amount {
                open: holds.open.max(request.open),
                ..holds
            });
        }
        if amount.burst < ONE {
            // The holder could not admit one request; others may use the amount.
            (amount.rate, amount.burst) = (0, 0);
        }
        Some(amount)
    }

    /// Counts a grant as outstanding. Returns its number and the sequence number of the report that it answers.
    fn record_grant(&mut self, now: Micros, start: u64, leases: &[Lease]) -> (u64, u64) {
        let has_drift = !is_injected(InjectedBug::NoDrift);
        let valid_for = if has_drift {
            with_drift(self.duration)
        } else {
            self.duration
        };
        let expires = now.saturating_add(valid_for);
        let Some(holder) = self.holders.get_mut(&start) else {
            return (0, 0);
        };
        holder.number += 1;
        if is_injected(InjectedBug::ReuseBeforeAcknowledgement) {
            holder.outstanding.clear();
        }
        let number = holder.number;
        let amounts = leases
            .iter()
            .map(|lease| (lease.limit.clone(), lease.amount))
            .collect();
        holder.add_outstanding(OutstandingGrant {
            number,
            expires,
            amounts,
        });
        (number, holder.seq)
    }

    fn note_overcommitted(&mut self, leases: &[Lease], totals_before: &BTreeMap<String, Amount>) {
        for lease in leases {
            let before = totals_before.get(&lease.limit).copied().unwrap_or_default();
            let most = before.greater(self.grantable(&lease.limit));
            let total = self.total(&lease.limit);
            if total.rate > most.rate || total.burst > most.burst {
                self.notes.push(Note::Overcommitted(lease.limit.clone()));
            }
        }
    }
}
