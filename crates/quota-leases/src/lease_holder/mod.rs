//! The instance's side of leases: the grant that it holds, and the requests that it admits.

mod demand_meter;
#[cfg(any(test, feature = "explore"))]
mod explored_state;
mod held_limit;
mod status;
mod token_bucket;

pub use held_limit::{Rejection, SafeCapacity};
pub use status::HeldLimitStatus;

use crate::{
    Grant, InjectedBug, LeaseRequests, MAX_LEASE_DURATION, MAX_LIMITS_PER_HOLDER, Micros, ServerId,
    is_injected,
};
use held_limit::HeldLimit;
use std::collections::{BTreeMap, VecDeque};

/// The number of reports whose times are remembered. A grant that answers an older report is ignored.
const MAX_REMEMBERED_REPORTS: usize = 16;
/// How long a limit of one server that was created on demand is kept without requests, in microseconds.
const IDLE_TIMEOUT: Micros = 60_000_000;

/// A change between holding a valid grant and holding none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// A grant is valid, and none was before.
    Acquired,
    /// The last grant has expired before another one arrived.
    Lost,
}

/// Holds the leases of all limits of an instance, and admits requests within them.
///
/// Times must come from a clock that also runs while the machine is suspended: otherwise the holder would use a lease
/// that the server has granted to others since. The caller must read the clock anew for each request, so that a
/// process that was stopped does not go by an earlier time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    limits: BTreeMap<String, HeldLimit>,
    /// The greatest known term of an agent.
    term: u64,
    /// The server that made the present grant.
    server: Option<ServerId>,
    /// The number of the present grant.
    grant_number: u64,
    /// When the present grant expires; at that time it is no longer valid.
    expires: Micros,
    /// When a grant was last acquired or lost, as [`LeaseHolder::take_lease_change`] last reported it.
    changed_at: Micros,
    /// Whether a grant was valid when that was last reported.
    had_grant: bool,
    /// The sequence number of the last report.
    sequence: u64,
    /// When the last reports were made, by their sequence numbers.
    report_times: VecDeque<(u64, Micros)>,
    /// Grants of another server of the same term that were ignored.
    conflicting_grants: u64,
}

impl LeaseHolder {
    /// Takes part in these limits from now on, and in no others. Requests in flight stay counted, and a valid grant is
    /// kept. Of more than [`MAX_LIMITS_PER_HOLDER`] limits the last are ignored.
    pub fn set_limits(
        &mut self,
        now: Micros,
        limits: impl IntoIterator<Item = (String, SafeCapacity)>,
    ) {
        let limits: BTreeMap<String, SafeCapacity> =
            limits.into_iter().take(MAX_LIMITS_PER_HOLDER).collect();
        self.limits.retain(|name, held| {
            limits.contains_key(name.as_str())
                || held.on_demand
                    && name
                        .split_once('/')
                        .is_some_and(|(limit, _)| limits.contains_key(limit))
        });
        for (name, safe) in limits {
            self.limits
                .entry(name)
                .or_insert_with(|| HeldLimit::new(now, safe, false))
                .safe = safe;
        }
    }

    /// Whether it takes part in no limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records the term of an agent. Grants of servers of earlier terms are ignored from now on.
    pub fn observe_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Whether a grant is valid.
    pub fn has_valid_grant(&self, now: Micros) -> bool {
        now < self.expires
    }

    /// When a grant was last acquired or lost, as [`LeaseHolder::take_lease_change`] last reported it.
    pub fn changed_at(&self) -> Micros {
        self.changed_at
    }

    /// When the present grant expires; in the past where no grant is valid.
    pub fn expires_at(&self) -> Micros {
        self.expires
    }

    /// The server that made the present grant; none before the first grant.
    pub fn server(&self) -> Option<ServerId> {
        self.server
    }

    /// Whether a grant was acquired or lost since the last call; `None` where neither.
    pub fn take_lease_change(&mut self, now: Micros) -> Option<LeaseChange> {
        let has_grant = self.has_valid_grant(now);
        if has_grant == self.had_grant {
            return None;
        }
        self.had_grant = has_grant;
        if has_grant {
            self.changed_at = now;
            Some(LeaseChange::Acquired)
        } else {
            self.changed_at = self.expires;
            Some(LeaseChange::Lost)
        }
    }

    /// Admits a request to one server under a limit of each server. The server's limit is named `limit/server`. For a
    /// server that was not used recently, the safe capacity applies until a report has requested a lease. Where there
    /// are [`MAX_LIMITS_PER_HOLDER`] limits, the least recently used one of a server without requests in flight is
    /// dropped.
    ///
    /// # Errors
    /// The delay to retry after. Also fails where the limits of all known servers have requests in flight.
    pub fn admit_to_server(
        &mut self,
        now: Micros,
        limit: &str,
        server: &str,
    ) -> Result<(), Rejection> {
        let name = format!("{limit}/{server}");
        if !self.limits.contains_key(&name) {
            let Some(safe) = self.limits.get(limit).map(|held| held.safe) else {
                return Ok(());
            };
            if self.limits.len() >= MAX_LIMITS_PER_HOLDER && !self.drop_least_recently_used() {
                return Err(Rejection {
                    retry_after: None,
                    without_lease: true,
                });
            }
            self.limits
                .insert(name.clone(), HeldLimit::new(now, safe, true));
        }
        self.admit(now, &name)
    }

    /// Drops the limit of the server that was least recently used. Returns whether there is one without requests in
    /// flight.
    fn drop_least_recently_used(&mut self) -> bool {
        let idle = self
            .limits
            .iter()
            .filter(|(_, held)| held.on_demand && held.in_flight == 0);
        let oldest = idle
            .min_by_key(|(_, held)| held.last_request)
            .map(|(name, _)| name.clone());
        oldest.is_some_and(|name| self.limits.remove(&name).is_some())
    }

    /// Admits a request, which then counts as in flight until [`LeaseHolder::release`]. A limit that the instance does
    /// not take part in admits every request.
    ///
    /// # Errors
    /// The delay to retry after.
    pub fn admit(&mut self, now: Micros, limit: &str) -> Result<(), Rejection> {
        let grant_is_valid = self.has_valid_grant(now);
        self.limits
            .get_mut(limit)
            .map_or(Ok(()), |held| held.admit(now, grant_is_valid))
    }

    /// Ends an admitted request, or one that another limit rejected after this one had admitted it. Its token is not
    /// returned: the bucket would hold more than it was filled with.
    pub fn release(&mut self, limit: &str) {
        if let Some(held) = self.limits.get_mut(limit) {
            held.in_flight = held.in_flight.saturating_sub(1);
        }
    }

    /// Makes the lease requests of the report that is sent now. Limits of servers that were idle for a minute are
    /// dropped.
    pub fn make_report(&mut self, now: Micros) -> LeaseRequests {
        self.sequence += 1;
        self.report_times.push_back((self.sequence, now));
        if self.report_times.len() > MAX_REMEMBERED_REPORTS {
            self.report_times.pop_front();
        }
        self.limits.retain(|_, held| {
            !held.on_demand
                || held.in_flight > 0
                || now.saturating_sub(held.last_request) < IDLE_TIMEOUT
        });
        let grant_is_valid = self.has_valid_grant(now);
        let requests = self
            .limits
            .iter_mut()
            .map(|(limit, held)| held.make_request(now, limit, grant_is_valid));
        LeaseRequests {
            sequence: self.sequence,
            server: self.server,
            grant_number: self.grant_number,
            requests: requests.collect(),
        }
    }

    /// Uses a grant from now on, unless it is outdated or comes from a server that was replaced. Returns whether the
    /// grant is in use and leases less of some limit than before: a report should then acknowledge it at once, so
    /// that others can use the difference.
    pub fn apply_grant(&mut self, now: Micros, grant: &Grant) -> bool {
        if self.is_fenced_off(grant) {
            return false;
        }
        let Some(reported_at) = self.report_time(grant.answered_sequence) else {
            return false;
        };
        let counts_from = if is_injected(InjectedBug::CountFromArrival) {
            now
        } else {
            reported_at
        };
        let expires = counts_from.saturating_add(grant.duration.min(MAX_LEASE_DURATION));
        if expires <= now {
            // It arrived too late to be used, so it must not be acknowledged either.
            return false;
        }
        self.observe_term(grant.server.term);
        let lowers_a_lease = self.replace_leases(now, grant);
        self.server = Some(grant.server);
        self.grant_number = grant.number;
        self.expires = expires;
        lowers_a_lease
    }

    /// Whether a grant must be ignored: its server was replaced or runs beside that of the present grant, or it is not
    /// newer than the present grant.
    fn is_fenced_off(&mut self, grant: &Grant) -> bool {
        if is_injected(InjectedBug::NoFencing) {
            return false;
        }
        let is_of_twin = self
            .server
            .is_some_and(|server| server.term == grant.server.term && server != grant.server);
        if grant.server.term < self.term || is_of_twin {
            self.conflicting_grants += u64::from(grant.server.term == self.term);
            return true;
        }
        self.server == Some(grant.server) && grant.number <= self.grant_number
    }

    /// When the report of a sequence number was made; `None` where that is no longer known.
    fn report_time(&self, sequence: u64) -> Option<Micros> {
        self.report_times
            .iter()
            .find(|(known, _)| *known == sequence)
            .map(|(_, at)| *at)
    }

    /// Replaces the leases of all limits by those of a grant. Returns whether one is lower than a valid former one.
    fn replace_leases(&mut self, now: Micros, grant: &Grant) -> bool {
        let former_is_valid = self.has_valid_grant(now);
        let mut lowers_a_lease = false;
        for (name, held) in &mut self.limits {
            let lease = grant.leases.iter().find(|lease| lease.limit == *name);
            let former = held.valid_lease(former_is_valid).unwrap_or_default();
            held.replace_lease(now, former_is_valid, lease);
            lowers_a_lease |= former.exceeds(held.leased.unwrap_or_default());
        }
        lowers_a_lease
    }

    /// The number of ignored grants of another server of the same term. There are some where two agents run on copies
    /// of one state.
    pub fn conflicting_grants(&self) -> u64 {
        self.conflicting_grants
    }
}
