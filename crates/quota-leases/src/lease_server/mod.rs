//! The agent's side of leases: which shares are granted, to whom and for how long.

mod allocation;
mod holder_record;
mod limit;
mod status;

pub use limit::Limit;
pub use status::LimitStatus;

use crate::{
    Amount, DRIFT, Grant, InjectedBug, Lease, LeaseRequest, LeaseRequests, MOST_LIMITS, Micros,
    ONE, ServerId, is_injected,
};
use allocation::{Participant, allocate};
use holder_record::{HolderRecord, OutstandingGrant};
use limit::limit_for;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The most starts of instances that are known at the same time.
const MAX_HOLDERS: usize = 65_536;
/// The most limits with outstanding grants. The limits of single servers count one each.
const MAX_TOTALS: usize = 4_096;
/// A lease is changed at once where it differs from its target by more than one part in this many.
const NOTABLE: u64 = 8;
/// The shortest time between two allocations where a holder is new, in microseconds.
const SHORTEST_INTERVAL: Micros = 20_000;
/// And for each known holder, so that allocations for new ones look at 10,000 holders a second at most, however many arrive:
/// a twentieth of a core at the 5 us that a holder costs.
const INTERVAL_PER_HOLDER: Micros = 100;

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// All leases of former servers have expired: each limit can be granted in full.
    Recovered,
    /// An instance uses grants of another server of this term, so two agents run on copies of one state. This server
    /// makes no more grants.
    Conflict(u64),
    /// More than the whole of a limit is granted. This never happens.
    Overcommitted(String),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Recovered => f.write_str(
                "fleet limits: what a former agent lent is over; all of them can be lent",
            ),
            Note::Conflict(term) => write!(
                f,
                "fleet limits: another agent of term {term} lends; this one lends nothing any more. End one of them, and \
                 start the other with term_above = {term}"
            ),
            Note::Overcommitted(limit) => {
                write!(
                    f,
                    "fleet limits: {limit} is lent beyond itself: this is a bug"
                )
            }
        }
    }
}

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

    /// The starts whose leases differ notably from their targets. Those whose leases shrink come first: once they
    /// have acknowledged, others can grow.
    fn holders_to_notify(&self, now: Micros) -> Vec<u64> {
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

    /// Removes a holder's usage from the totals. Between two allocations the totals may be too high, never too low.
    fn subtract_from_totals(&mut self, start: u64, now: Micros) {
        self.update_totals(start, now, u64::saturating_sub);
    }

    /// Adds a holder's usage to the totals.
    fn add_to_totals(&mut self, start: u64, now: Micros) {
        self.update_totals(start, now, u64::saturating_add);
    }

    fn update_totals(&mut self, start: u64, now: Micros, combine: fn(u64, u64) -> u64) {
        let Some(holder) = self.holders.get(&start) else {
            return;
        };
        for name in holder.limits() {
            let Some(limit) = limit_for(&self.limits, name) else {
                continue;
            };
            if self.totals.len() < MAX_TOTALS || self.totals.contains_key(name) {
                let total = self.totals.entry(name.clone()).or_default();
                *total = total.with(holder.possibly_used(name, now, limit.longest), combine);
            }
        }
    }

    fn total(&self, limit: &str) -> Amount {
        self.totals.get(limit).copied().unwrap_or_default()
    }

    fn grantable(&self, limit: &str) -> Amount {
        limit_for(&self.limits, limit)
            .map(Limit::grantable)
            .unwrap_or_default()
    }

    /// The amount of a limit that can be granted to a holder beside what the others may be using.
    fn available(&self, name: &str, holder: &HolderRecord, now: Micros) -> Amount {
        let Some(limit) = limit_for(&self.limits, name) else {
            return Amount::NOTHING;
        };
        let own = holder.possibly_used(name, now, limit.longest);
        limit.available(self.total(name).with(own, u64::saturating_sub))
    }

    /// Makes the next grant to a start and counts it as outstanding.
    fn issue_grant(&mut self, now: Micros, start: u64) -> Grant {
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

    /// Forgets expired grants and silent holders, and allocates all limits anew.
    fn reallocate(&mut self, now: Micros) {
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

    /// Computes the totals anew. Returns the active participants of each limit.
    fn recount_totals(&mut self, now: Micros) -> BTreeMap<String, Vec<u64>> {
        self.totals.clear();
        let mut participants: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (start, holder) in &self.holders {
            for name in holder.limits() {
                let Some(limit) = limit_for(&self.limits, name) else {
                    continue;
                };
                if self.totals.len() >= MAX_TOTALS && !self.totals.contains_key(name) {
                    continue;
                }
                let total = self.totals.entry(name.clone()).or_default();
                *total = total.with(
                    holder.possibly_used(name, now, limit.longest),
                    u64::saturating_add,
                );
                if self.is_active(holder, now) && holder.requests.contains_key(name) {
                    participants.entry(name.clone()).or_default().push(*start);
                }
            }
        }
        participants
    }

    /// The state that matters to the explorer, with times relative to `now`.
    #[cfg(any(test, feature = "explore"))]
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
    #[cfg(any(test, feature = "explore"))]
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
