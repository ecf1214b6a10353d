//! The agent's side of leases: which shares are granted, to whom and for how long.

mod allocation;
mod event;
#[cfg(any(test, feature = "explore"))]
mod explored_state;
mod grants;
mod holder_record;
mod limit;
mod reallocation;
mod reservations;
mod status;

pub use event::LeaseServerEvent;
pub use limit::{HolderWeight, Limit};
pub use status::LimitStatus;

use crate::{
    CLOCK_DRIFT_DIVISOR, Capacity, Grant, InjectedBug, LeaseRequest, LeaseRequests,
    MAX_LIMITS_PER_HOLDER, MAX_RATE_OR_BURST, Micros, ServerId, is_injected,
};
use holder_record::HolderRecord;
use std::collections::BTreeMap;

/// The most starts of instances that are known at the same time. Further ones receive no grants.
const MAX_HOLDERS: usize = 65_536;
/// A lease is changed at once where it differs from its target by more than one part in this many.
const NOTABLE_DIFFERENCE_DIVISOR: u64 = 8;
/// The usual allocations divide the time between two reports of an instance into this many parts.
const ALLOCATIONS_PER_REPORT: u64 = 4;
/// The shortest time between two allocations where a holder is new, in microseconds.
const MIN_ALLOCATION_INTERVAL: Micros = 20_000;
/// The time between two allocations where a holder is new, for each known holder, in microseconds. Allocations for new
/// holders look at 10,000 holders a second at most, however many arrive: a twentieth of a core at the 5 us that a
/// holder costs.
const ALLOCATION_INTERVAL_PER_HOLDER: Micros = 100;

/// A grant, and the name of the instance that it must be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedGrant {
    /// The name of the instance.
    pub instance: String,
    /// The grant to the present start of the instance.
    pub grant: Grant,
}

/// Grants leases of shares of limits to starts of instances. The documentation of the [crate] states the bound that
/// it keeps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseServer {
    id: ServerId,
    /// The duration of a lease.
    duration: Micros,
    report_interval: Micros,
    limits: BTreeMap<String, Limit>,
    /// By the start of the instance.
    holders: BTreeMap<u64, HolderRecord>,
    /// The capacity of each limit that is reserved for all holders together.
    reserved: BTreeMap<String, Capacity>,
    /// When the last lease of a former server expires.
    recovery_ends: Micros,
    has_reported_recovery: bool,
    last_allocation: Micros,
    /// Whether an instance uses grants of another server of the same or a later term.
    in_conflict: bool,
    events: Vec<LeaseServerEvent>,
}

impl LeaseServer {
    /// Starts a server at `now` whose leases last for `duration`. `former_duration` is the longest duration of leases
    /// that former servers granted. Instances report once each `report_interval`.
    pub fn new(
        now: Micros,
        id: ServerId,
        duration: Micros,
        former_duration: Micros,
        report_interval: Micros,
    ) -> Self {
        let forgets = is_injected(InjectedBug::ForgetFormerDuration);
        let longest = if forgets {
            duration
        } else {
            former_duration.max(duration)
        };
        let recovery_ends = if is_injected(InjectedBug::NoRecovery) {
            now
        } else {
            now.saturating_add(with_drift(longest))
        };
        LeaseServer {
            id,
            duration,
            report_interval,
            limits: BTreeMap::new(),
            holders: BTreeMap::new(),
            reserved: BTreeMap::new(),
            recovery_ends,
            has_reported_recovery: false,
            last_allocation: 0,
            in_conflict: false,
            events: Vec::new(),
        }
    }

    /// Replaces the limits. Capacity of a lowered limit returns as smaller grants are acknowledged or leases expire.
    pub fn set_limits(&mut self, now: Micros, limits: BTreeMap<String, Limit>) {
        if limits != self.limits {
            self.limits = limits;
            self.reallocate(now);
        }
    }

    /// Whether all leases of former servers have expired, so that each limit can be granted in full.
    pub fn has_recovered(&self, now: Micros) -> bool {
        now >= self.recovery_ends
    }

    /// Takes the events for the log since the last call.
    pub fn take_events(&mut self) -> Vec<LeaseServerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Handles the report of a start of an instance and returns the grant that answers it. Returns `None` where this
    /// server makes no grants, and for a report that arrives after a newer one.
    pub fn handle_report(
        &mut self,
        now: Micros,
        name: &str,
        zone: &str,
        start: u64,
        requests: &LeaseRequests,
    ) -> Option<Grant> {
        let by_name = is_injected(InjectedBug::IdentifyByName);
        let start = if by_name { hash_name(name) } else { start };
        self.detect_conflict(requests.server);
        let is_new = !self.holders.contains_key(&start);
        if self.in_conflict || is_new && self.holders.len() >= MAX_HOLDERS {
            return None;
        }
        let holder = self.holders.entry(start).or_default();
        if requests.sequence <= holder.last_sequence && !by_name {
            return None;
        }
        self.release_reservation(start, now);
        let holder = self.holders.get_mut(&start)?;
        holder.name = name.into();
        holder.zone = zone.into();
        holder.last_report = now;
        record_requests(holder, self.id, requests);
        self.reserve(start, now);
        let interval = if is_new {
            self.interval_for_new_holders()
        } else {
            self.allocation_interval()
        };
        if now.saturating_sub(self.last_allocation) >= interval {
            self.reallocate(now);
        }
        Some(self.issue_grant(now, start))
    }

    /// Stops granting leases where an instance uses grants of another server of this term or a later one.
    fn detect_conflict(&mut self, used_server: Option<ServerId>) {
        let conflicts =
            used_server.is_some_and(|used| used.term >= self.id.term && used != self.id);
        if conflicts && !self.in_conflict {
            self.in_conflict = true;
            self.events
                .push(LeaseServerEvent::ConflictingServer { term: self.id.term });
        }
    }

    /// Reallocates where it is time to, and returns the grants that should be sent before the next reports.
    pub fn tick(&mut self, now: Micros) -> Vec<AddressedGrant> {
        let is_due = now.saturating_sub(self.last_allocation) >= self.allocation_interval();
        if self.holders.is_empty() || self.in_conflict || !is_due {
            return Vec::new();
        }
        self.reallocate(now);
        let grants = self.holders_to_notify(now).into_iter().filter_map(|start| {
            let grant = self.issue_grant(now, start);
            let instance = self.holders.get(&start)?.name.clone();
            Some(AddressedGrant { instance, grant })
        });
        grants.collect()
    }

    /// When [`LeaseServer::tick`] is due next; `None` where there is nothing to do.
    pub fn next_tick(&self, now: Micros) -> Option<Micros> {
        (!self.holders.is_empty() && !self.in_conflict).then(|| {
            self.last_allocation
                .saturating_add(self.allocation_interval())
                .max(now + 1)
        })
    }

    fn allocation_interval(&self) -> Micros {
        self.report_interval / ALLOCATIONS_PER_REPORT
    }

    /// The shortest time between two allocations where a holder is new. A new holder that has to wait keeps to its safe
    /// capacity until then.
    fn interval_for_new_holders(&self) -> Micros {
        let for_all = ALLOCATION_INTERVAL_PER_HOLDER.saturating_mul(self.holders.len() as Micros);
        for_all
            .max(MIN_ALLOCATION_INTERVAL)
            .min(self.allocation_interval().max(MIN_ALLOCATION_INTERVAL))
    }

    /// Whether a holder has reported within the last lease duration.
    fn is_active(&self, holder: &HolderRecord, now: Micros) -> bool {
        holder.last_report.saturating_add(self.duration) > now
    }
}

/// Records the requests of a holder's report, and forgets the grants before the one that the report acknowledges.
fn record_requests(holder: &mut HolderRecord, server: ServerId, requests: &LeaseRequests) {
    holder.last_sequence = requests.sequence;
    if requests.server == Some(server) {
        // A holder that was forgotten would ignore grants with numbers below the one that it uses.
        holder.last_grant = holder.last_grant.max(requests.grant_number);
        holder
            .outstanding
            .retain(|grant| grant.number >= requests.grant_number);
    }
    holder.requests.clear();
    for request in requests.requests.iter().take(MAX_LIMITS_PER_HOLDER) {
        let bounded = LeaseRequest {
            demand_rate: request.demand_rate.min(MAX_RATE_OR_BURST),
            ..request.clone()
        };
        holder.requests.insert(request.limit.clone(), bounded);
    }
}

/// Stands in for the start where [`InjectedBug::IdentifyByName`] is injected.
fn hash_name(name: &str) -> u64 {
    name.bytes().fold(7, |hash: u64, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    })
}

/// The longest time that a duration may take by a clock that runs slow.
fn with_drift(duration: Micros) -> Micros {
    duration.saturating_add(duration.div_ceil(CLOCK_DRIFT_DIVISOR))
}

/// Whether a lease differs so much from its target that it is changed at once.
fn is_notable(granted: Capacity, target: Capacity) -> bool {
    let differs =
        |one: u64, other: u64| one.abs_diff(other) > one.max(other) / NOTABLE_DIFFERENCE_DIVISOR;
    differs(granted.rate, target.rate)
        || differs(granted.burst, target.burst)
        || differs(granted.in_flight, target.in_flight)
}
