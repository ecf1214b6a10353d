//! The grants to single holders.

use super::holder_record::{HolderRecord, OutstandingGrant};
use super::limit::{Limit, limit_for};
use super::{LeaseServer, LeaseServerEvent, is_notable, with_drift};
use crate::{Capacity, Grant, InjectedBug, Lease, LeaseRequest, Micros, ONE_REQUEST, is_injected};
use std::collections::BTreeMap;

impl LeaseServer {
    /// Makes the next grant to a start and counts it as outstanding.
    pub(super) fn issue_grant(&mut self, now: Micros, start: u64) -> Grant {
        let limits = self
            .holders
            .get(&start)
            .map(HolderRecord::limits)
            .unwrap_or_default();
        let reserved_before: BTreeMap<String, Capacity> = limits
            .into_iter()
            .filter_map(|name| Some((name.clone(), *self.reserved.get(name)?)))
            .collect();
        self.release_reservation(start, now);
        let leases = self.leases_for(now, start);
        let (number, answered_sequence) = self.record_grant(now, start, &leases);
        self.reserve(start, now);
        // During recovery the server grants again what others may have granted, and requests in flight may exceed the
        // limit under safe capacities.
        if self.has_recovered(now) {
            self.report_overcommitted(&leases, &reserved_before);
        }
        Grant {
            start,
            server: self.id,
            number,
            answered_sequence,
            duration: self.duration,
            leases,
        }
    }

    /// The leases of a start in its next grant. Nothing must be reserved for the start itself.
    fn leases_for(&self, now: Micros, start: u64) -> Vec<Lease> {
        let Some(holder) = self.holders.get(&start) else {
            return Vec::new();
        };
        let lease = |(name, request): (&String, &LeaseRequest)| {
            let limit = limit_for(&self.limits, name)?;
            let capacity = self.next_capacity(now, limit, holder, name, request)?;
            Some(Lease {
                limit: name.clone(),
                capacity,
                total: limit.total,
            })
        };
        holder.requests.iter().filter_map(lease).collect()
    }

    /// The leased capacity of one limit in a holder's next grant. `None` during recovery where the holder has no
    /// lease: it keeps to its safe capacity.
    fn next_capacity(
        &self,
        now: Micros,
        limit: &Limit,
        holder: &HolderRecord,
        name: &str,
        request: &LeaseRequest,
    ) -> Option<Capacity> {
        let is_recovering = !self.has_recovered(now);
        let available = limit.available(self.reserved(name));
        let target = holder.target.get(name).copied().unwrap_or_default();
        let granted = holder.granted(name, now);
        if is_recovering && request.held == Capacity::ZERO && granted == Capacity::ZERO {
            return None;
        }
        let keeps = !is_notable(granted, target) && !granted.exceeds(available);
        let mut capacity = if keeps {
            granted
        } else {
            target.component_min(available)
        };
        if is_recovering {
            // A lease of the former server is renewed with no more than it had.
            let held = request.held.component_max(granted);
            capacity = capacity.component_min(Capacity {
                in_flight: held.in_flight.max(request.in_flight),
                ..held
            });
        }
        if capacity.burst < ONE_REQUEST {
            // The holder could not admit one request; others may use the capacity.
            capacity.rate = 0;
            capacity.burst = 0;
        }
        Some(capacity)
    }

    /// Counts a grant as outstanding. Returns its number and the sequence number of the report that it answers.
    fn record_grant(&mut self, now: Micros, start: u64, leases: &[Lease]) -> (u64, u64) {
        let valid_for = if is_injected(InjectedBug::NoDrift) {
            self.duration
        } else {
            with_drift(self.duration)
        };
        let expires = now.saturating_add(valid_for);
        let Some(holder) = self.holders.get_mut(&start) else {
            return (0, 0);
        };
        holder.last_grant += 1;
        if is_injected(InjectedBug::ReuseBeforeAcknowledgement) {
            holder.outstanding.clear();
        }
        let number = holder.last_grant;
        let leased = leases
            .iter()
            .map(|lease| (lease.limit.clone(), lease.capacity))
            .collect();
        holder.add_outstanding(OutstandingGrant {
            number,
            expires,
            leased,
        });
        (number, holder.last_sequence)
    }

    /// Checks the invariant of all grants: what is reserved grows beyond no limit.
    fn report_overcommitted(
        &mut self,
        leases: &[Lease],
        reserved_before: &BTreeMap<String, Capacity>,
    ) {
        for lease in leases {
            let before = reserved_before
                .get(&lease.limit)
                .copied()
                .unwrap_or_default();
            let most = before.component_max(self.grantable(&lease.limit));
            let reserved = self.reserved(&lease.limit);
            if reserved.rate > most.rate || reserved.burst > most.burst {
                self.events.push(LeaseServerEvent::Overcommitted {
                    limit: lease.limit.clone(),
                });
            }
        }
    }
}
