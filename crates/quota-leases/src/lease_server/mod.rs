//! The agent's side of leases: which shares are granted, to whom and for how long.

mod allocation;
#[cfg(any(test, feature = "explore"))]
mod explored;
mod grants;
mod holder_record;
mod limit;
mod note;
mod reallocation;
mod status;
mod totals;

pub use limit::Limit;
pub use note::Note;
pub use status::LimitStatus;

use crate::{
    Amount, DRIFT, Grant, InjectedBug, LeaseRequest, LeaseRequests, MOST_LIMITS, Micros, ServerId,
    is_injected,
};
use holder_record::HolderRecord;
use std::collections::BTreeMap;

/// The most starts of instances that are known at the same time.
const MAX_HOLDERS: usize = 65_536;
/// A lease is changed at once where it differs from its target by more than one part in this many.
const NOTABLE: u64 = 8;
/// The shortest time between two allocations where a holder is new, in microseconds.
const SHORTEST_INTERVAL: Micros = 20_000;
/// And for each known holder, so that allocations for new ones look at 10,000 holders a second at most, however many arrive:
/// a twentieth of a core at the 5 us that a holder costs.
const INTERVAL_PER_HOLDER: Micros = 100;

/// Grants leases of shares of limits to starts of instances. The documentation of the [crate] states the bound that
/// it keeps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseServer {
    id: ServerId,
    duration: Micros,
    report_interval: Micros,
    limits: BTreeMap<String, Limit>,
    /// By the start of the instance.
    holders: BTreeMap<u64, HolderRecord>,
    /// The amount of each limit that all holders together may be using.
    totals: BTreeMap<String, Amount>,
    /// When the last lease of a former server expires.
    recovery_ends: Micros,
    has_noted_recovery: bool,
    last_allocation: Micros,
    /// Whether another server of the same term was heard of.
    in_conflict: bool,
    notes: Vec<Note>,
}

impl LeaseServer {
    /// Starts a server at `now` whose leases last for `duration`. `former` is the longest duration of leases that
    /// former servers granted. Instances report once each `report_interval`.
    pub fn new(
        now: Micros,
        id: ServerId,
        duration: Micros,
        former: Micros,
        report_interval: Micros,
    ) -> Self {
        let forgets = is_injected(InjectedBug::ForgetFormerDuration);
        let longest = if forgets {
            duration
        } else {
            former.max(duration)
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
            totals: BTreeMap::new(),
            recovery_ends,
            has_noted_recovery: false,
            last_allocation: 0,
            in_conflict: false,
            notes: Vec::new(),
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
    pub fn has_learned(&self, now: Micros) -> bool {
        now >= self.recovery_ends
    }

    /// Takes the events for the log since the last call.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Handles an instance's report and returns the grant that answers it. Returns `None` where this server makes no
    /// grants, and for a report that arrives after a newer one.
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
        if requests
            .by
            .is_some_and(|by| by.term >= self.id.term && by != self.id)
            && !self.in_conflict
        {
            self.in_conflict = true;
            self.notes.push(Note::Conflict(self.id.term));
        }
        let is_new = !self.holders.contains_key(&start);
        if self.in_conflict || is_new && self.holders.len() >= MAX_HOLDERS {
            return None;
        }
        let holder = self.holders.entry(start).or_default();
        if requests.seq <= holder.seq && !by_name {
            return None;
        }
        self.subtract_from_totals(start, now);
        let holder = self.holders.get_mut(&start)?;
        holder.name = name.into();
        holder.zone = zone.into();
        holder.seq = requests.seq;
        holder.last_report = now;
        if requests.by == Some(self.id) {
            // A holder that was forgotten would ignore grants with numbers below the one that it uses.
            holder.number = holder.number.max(requests.number);
            holder
                .outstanding
                .retain(|grant| grant.number >= requests.number);
        }
        holder.requests.clear();
        for request in requests.of.iter().take(MOST_LIMITS) {
            let wanted = request.wanted.min(crate::MOST);
            holder.requests.insert(
                request.limit.clone(),
                LeaseRequest {
                    wanted,
                    ..request.clone()
                },
            );
        }
        self.add_to_totals(start, now);
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

    /// Reallocates where it is time to, and returns the grants that should be sent before the next reports, with the
    /// names of their instances.
    pub fn tick(&mut self, now: Micros) -> Vec<(String, Grant)> {
        let is_due = now.saturating_sub(self.last_allocation) >= self.allocation_interval();
        if self.holders.is_empty() || self.in_conflict || !is_due {
            return Vec::new();
        }
        self.reallocate(now);
        let grants = self.holders_to_notify(now).into_iter().filter_map(|start| {
            let grant = self.issue_grant(now, start);
            let holder = self.holders.get(&start)?;
            Some((holder.name.clone(), grant))
        });
        grants.collect()
    }

    /// When [`LeaseServer::tick`] is due next.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        (!self.holders.is_empty() && !self.in_conflict).then(|| {
            self.last_allocation
                .saturating_add(self.allocation_interval())
                .max(now + 1)
        })
    }

    fn allocation_interval(&self) -> Micros {
        self.report_interval / 4
    }

    /// The shortest time between two allocations where a holder is new. A new holder that has to wait keeps to its safe
    /// amount until then.
    fn interval_for_new_holders(&self) -> Micros {
        let for_all = INTERVAL_PER_HOLDER.saturating_mul(self.holders.len() as Micros);
        for_all
            .max(SHORTEST_INTERVAL)
            .min(self.allocation_interval().max(SHORTEST_INTERVAL))
    }

    /// Whether a holder has reported within the last lease duration.
    fn is_active(&self, holder: &HolderRecord, now: Micros) -> bool {
        holder.last_report.saturating_add(self.duration) > now
    }
}

/// The injected bug [`InjectedBug::IdentifyByName`] uses this in place of the start.
fn hash_name(name: &str) -> u64 {
    name.bytes().fold(7, |hash: u64, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    })
}

/// The longest time that a duration may take by a clock that runs slow.
fn with_drift(duration: Micros) -> Micros {
    duration.saturating_add(duration.div_ceil(DRIFT))
}

/// Whether a lease differs so much from its target that it is changed at once.
fn is_notable(granted: Amount, target: Amount) -> bool {
    let differs = |one: u64, other: u64| one.abs_diff(other) > one.max(other) / NOTABLE;
    differs(granted.rate, target.rate)
        || differs(granted.burst, target.burst)
        || differs(granted.open, target.open)
}
