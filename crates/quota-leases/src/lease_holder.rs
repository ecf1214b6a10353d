//! The instance's side of leases: the lease that it holds, and the requests that it admits.

use crate::{
    Amount, Grant, InjectedBug, LeaseRequest, LeaseRequests, MOST_LIMITS, Micros, ONE, ServerId,
    UNBOUNDED, is_injected,
};
use std::collections::{BTreeMap, VecDeque};

/// The number of reports whose times are remembered. A grant that answers an older report is ignored.
const REMEMBERED_REPORTS: usize = 16;
/// The time over which the rate of requests is averaged, in microseconds. At two requests a second, random variation
/// alone moves the average by a third.
const AVERAGING_TIME: u64 = 6_000_000;
/// The recent maximum of open requests decays by this factor from one report to the next (7/10).
const OPEN_DECAY: (u64, u64) = (7, 10);
/// The shortest time between two measurements, in microseconds. A report that is made sooner repeats the last one.
const SHORTEST_MEASUREMENT: Micros = 200_000;
/// How long a share that was created on demand is kept without requests, in microseconds.
const IDLE_TIME: Micros = 60_000_000;
/// One request in the billionths that buckets count: a rate in thousandths a second, multiplied by microseconds.
const TOKEN: u128 = 1_000_000_000;
/// The delay after which a denied request is worth retrying where nothing better is known: one report, in
/// microseconds.
const DEFAULT_RETRY: Micros = 1_000_000;

/// The amount of one limit that an instance may use while it holds no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Safe {
    /// Nothing.
    #[default]
    Nothing,
    /// A fixed amount, whatever the limit is.
    Fixed(Amount),
    /// The limit by the last lease, divided by this number; nothing before the first lease.
    Part(u64),
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet-wide limit has no room{}", if *.unleased { ": the instance holds no lease" } else { "" })]
pub struct Denied {
    /// The delay after which the request will be admitted if nothing changes, in microseconds. `None` where that
    /// depends on open requests.
    pub after: Option<Micros>,
    /// Whether the instance holds no lease of the limit.
    pub unleased: bool,
}

/// A token bucket that fills at a rate up to a burst. It is exact: nothing is rounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Bucket {
    /// Billionths of a request.
    tokens: u128,
    /// When it was last filled.
    filled_at: Micros,
}

impl Bucket {
    /// Adds the tokens that have accumulated until `now`.
    fn refill(&mut self, now: Micros, amount: Amount) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let full = u128::from(amount.burst) * TOKEN / u128::from(ONE);
        let more = u128::from(amount.rate).saturating_mul(u128::from(elapsed));
        self.tokens = self.tokens.saturating_add(more).min(full);
    }

    /// Takes a token. The error is the delay until there is one, or `None` where there never will be.
    fn take(&mut self, now: Micros, amount: Amount) -> Result<(), Option<Micros>> {
        if amount.rate == UNBOUNDED {
            return Ok(());
        }
        self.refill(now, amount);
        if self.tokens >= TOKEN {
            self.tokens -= TOKEN;
            return Ok(());
        }
        if amount.rate == 0 || amount.burst < ONE {
            return Err(None);
        }
        let wait = (TOKEN - self.tokens).div_ceil(u128::from(amount.rate));
        Err(Some(u64::try_from(wait).unwrap_or(u64::MAX)))
    }
}

/// One limit at this instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLimit {
    safe: Safe,
    /// Whether the last grant contains a lease of the limit, and its amount.
    has_lease: bool,
    leased: Amount,
    /// The whole limit, by the last lease of it.
    whole: Amount,
    /// Fills under leases.
    bucket: Bucket,
    /// Fills without a lease, by the safe amount.
    safe_bucket: Bucket,
    open: u64,
    /// Requests since the last measurement.
    requested: u64,
    /// Requests admitted since the last measurement.
    admitted: u64,
    /// The most requests that were open at once, or would have been, since the last measurement.
    peak_open: u64,
    measured_at: Micros,
    wanted: u64,
    wanted_open: u64,
    used: u64,
    denied: u64,
    /// Whether it was created on demand, and is forgotten when it has been idle for [`IDLE_TIME`].
    on_demand: bool,
    last_request: Micros,
}

impl HeldLimit {
    fn new(now: Micros, safe: Safe, on_demand: bool) -> Self {
        let bucket = Bucket {
            tokens: 0,
            filled_at: now,
        };
        HeldLimit {
            safe,
            has_lease: false,
            leased: Amount::NOTHING,
            whole: Amount::NOTHING,
            bucket,
            safe_bucket: bucket,
            open: 0,
            requested: 0,
            admitted: 0,
            peak_open: 0,
            measured_at: now,
            wanted: 0,
            wanted_open: 0,
            used: 0,
            denied: 0,
            on_demand,
            last_request: now,
        }
    }

    /// The amount that may be used without a lease.
    fn safe_amount(&self) -> Amount {
        match self.safe {
            Safe::Nothing => Amount::NOTHING,
            Safe::Fixed(amount) => amount,
            Safe::Part(divisor) => {
                let part = |whole: u64| {
                    if whole == UNBOUNDED {
                        UNBOUNDED
                    } else {
                        whole / divisor.max(1)
                    }
                };
                self.whole.with(self.whole, |whole, _| part(whole))
            }
        }
    }

    /// Measures the requests since the last measurement.
    fn measure(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < SHORTEST_MEASUREMENT {
            return;
        }
        let per_second = |count: u64| {
            let rate = u128::from(count) * TOKEN / u128::from(elapsed);
            u64::try_from(rate).unwrap_or(u64::MAX).min(crate::MOST)
        };
        let averaged = |former: u64, present: u64| {
            let (former, present) = (u128::from(former), u128::from(present));
            let weight = u128::from(elapsed.min(AVERAGING_TIME));
            let total = u128::from(AVERAGING_TIME);
            u64::try_from((former * (total - weight) + present * weight) / total)
                .unwrap_or(u64::MAX)
        };
        // A rate beyond random variation (two standard deviations) counts at once.
        let certain = self
            .requested
            .saturating_sub(2 * (self.requested + 1).isqrt());
        self.wanted = averaged(self.wanted, per_second(self.requested)).max(per_second(certain));
        self.wanted_open = self
            .peak_open
            .max(self.wanted_open / OPEN_DECAY.1 * OPEN_DECAY.0);
        self.used = averaged(self.used, per_second(self.admitted));
        self.requested = 0;
        self.admitted = 0;
        self.peak_open = self.open;
        self.measured_at = now;
    }
}

/// How one limit stands at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The amount that may be used now: that of the lease, or the safe amount.
    pub may: Amount,
    /// The whole limit by the last lease; nothing before the first lease.
    pub whole: Amount,
    /// Whether the instance holds a lease of the limit.
    pub leased: bool,
    /// Requests that are open.
    pub open: u64,
    /// The recent rate of admitted requests, in thousandths a second.
    pub used: u64,
    /// Requests that were denied since the start.
    pub denied: u64,
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
    by: Option<ServerId>,
    /// The number of the present grant.
    number: u64,
    /// When the leases expire; at that time they are no longer valid.
    expires: Micros,
    /// When the leases were last won or lost, as [`LeaseHolder::changed`] last reported it.
    since: Micros,
    was_leased: bool,
    /// The sequence number of the last report.
    seq: u64,
    /// When the last reports were made, by their sequence numbers.
    report_times: VecDeque<(u64, Micros)>,
    /// Grants of another server of the same term that were ignored.
    strange: u64,
}

impl LeaseHolder {
    /// Takes part in these limits from now on, and in no others. Open requests stay counted, and a valid lease is
    /// kept.
    pub fn follow(&mut self, now: Micros, limits: impl IntoIterator<Item = (String, Safe)>) {
        let limits: BTreeMap<String, Safe> = limits.into_iter().take(MOST_LIMITS).collect();
        self.limits.retain(|name, held| {
            limits.contains_key(name.as_str())
                || held.on_demand
                    && name
                        .split_once('/')
                        .is_some_and(|(of, _)| limits.contains_key(of))
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
    pub fn hear(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Whether a grant is valid.
    pub fn is_leased(&self, now: Micros) -> bool {
        now < self.expires
    }

    /// Since when a grant has been valid, or none has.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// When the leases expire; in the past where no grant is valid.
    pub fn ends(&self) -> Micros {
        self.expires
    }

    /// The server that made the present grant.
    pub fn by(&self) -> Option<ServerId> {
        self.by
    }

    /// Whether the leases were won (`true`) or lost (`false`) since the last call; `None` where neither.
    pub fn changed(&mut self, now: Micros) -> Option<bool> {
        let leased = self.is_leased(now);
        if leased == self.was_leased {
            return None;
        }
        self.since = if leased { now } else { self.expires };
        self.was_leased = leased;
        Some(leased)
    }

    /// Admits a request to one server under a limit of each server. The share is named `limit/server`. For a server
    /// that was not used recently, the safe amount applies until a report has requested a lease. Where there are
    /// [`MOST_LIMITS`] shares, the least recently used one without open requests is dropped.
    ///
    /// # Errors
    /// The delay to retry after. Also fails where all shares are in use.
    pub fn admit_at(&mut self, now: Micros, limit: &str, server: &str) -> Result<(), Denied> {
        let name = format!("{limit}/{server}");
        if !self.limits.contains_key(&name) {
            let Some(safe) = self.limits.get(limit).map(|held| held.safe) else {
                return Ok(());
            };
            if self.limits.len() >= MOST_LIMITS {
                let idle = self
                    .limits
                    .iter()
                    .filter(|(_, held)| held.on_demand && held.open == 0);
                let oldest = idle
                    .min_by_key(|(_, held)| held.last_request)
                    .map(|(name, _)| name.clone());
                let Some(oldest) = oldest else {
                    return Err(Denied {
                        after: None,
                        unleased: true,
                    });
                };
                self.limits.remove(&oldest);
            }
            self.limits
                .insert(name.clone(), HeldLimit::new(now, safe, true));
        }
        self.admit(now, &name)
    }

    /// Admits a request, which then counts as open until [`LeaseHolder::end`]. A limit that the instance does not
    /// take part in admits every request.
    ///
    /// # Errors
    /// The delay to retry after.
    pub fn admit(&mut self, now: Micros, limit: &str) -> Result<(), Denied> {
        let is_valid = self.is_leased(now);
        let expires = self.expires;
        let Some(held) = self.limits.get_mut(limit) else {
            return Ok(());
        };
        let leased = is_valid && held.has_lease;
        held.last_request = now;
        held.requested += 1;
        held.peak_open = held.peak_open.max(held.open + 1);
        let may = if leased {
            held.leased
        } else {
            held.safe_amount()
        };
        let done = if held.open >= may.open {
            Err(None)
        } else if leased {
            held.bucket
                .take(now, may)
                .map_err(|after| Some(after.unwrap_or(DEFAULT_RETRY)))
        } else {
            // The tokens of a lease are lost when it expires.
            held.bucket = Bucket {
                tokens: 0,
                filled_at: if is_valid { now } else { now.max(expires) },
            };
            held.safe_bucket
                .take(now, may)
                .map_err(|after| Some(after.unwrap_or(DEFAULT_RETRY)))
        };
        match done {
            Ok(()) => {
                held.open += 1;
                held.admitted += 1;
                Ok(())
            }
            Err(after) => {
                held.denied += 1;
                Err(Denied {
                    after,
                    unleased: !leased,
                })
            }
        }
    }

    /// Ends an admitted request, or one that another limit denied after this one had admitted it. Its token is not
    /// returned: the bucket would hold more than it was filled with.
    pub fn end(&mut self, limit: &str) {
        if let Some(held) = self.limits.get_mut(limit) {
            held.open = held.open.saturating_sub(1);
        }
    }

    /// Makes the lease requests of the report that is sent now.
    pub fn ask(&mut self, now: Micros) -> LeaseRequests {
        self.seq += 1;
        self.report_times.push_back((self.seq, now));
        if self.report_times.len() > REMEMBERED_REPORTS {
            self.report_times.pop_front();
        }
        let leased = self.is_leased(now);
        self.limits.retain(|_, held| {
            !held.on_demand || held.open > 0 || now.saturating_sub(held.last_request) < IDLE_TIME
        });
        let requests = self.limits.iter_mut().map(|(limit, held)| {
            held.measure(now);
            LeaseRequest {
                limit: limit.clone(),
                holds: if leased && held.has_lease {
                    held.leased
                } else {
                    Amount::NOTHING
                },
                wanted: held.wanted,
                wanted_open: held.wanted_open,
                open: held.open,
                used: held.used,
            }
        });
        LeaseRequests {
            seq: self.seq,
            by: self.by,
            number: self.number,
            of: requests.collect(),
        }
    }

    /// Uses a grant from now on, unless it is outdated or comes from a server that was replaced. Returns whether the
    /// grant is in use and leases less of some limit than before: a report should then acknowledge it at once, so
    /// that others can use the difference.
    pub fn take(&mut self, now: Micros, grant: &Grant) -> bool {
        let fenced = !is_injected(InjectedBug::NoFencing);
        if fenced
            && (grant.by.term < self.term
                || self
                    .by
                    .is_some_and(|by| by.term == grant.by.term && by != grant.by))
        {
            self.strange += u64::from(grant.by.term == self.term);
            return false;
        }
        let is_other_server = self.by != Some(grant.by);
        if fenced && !is_other_server && grant.number <= self.number {
            return false;
        }
        let report = self
            .report_times
            .iter()
            .find(|(seq, _)| *seq == grant.answers);
        let Some((_, reported_at)) = report.copied() else {
            return false;
        };
        let counts_from = if is_injected(InjectedBug::CountFromArrival) {
            now
        } else {
            reported_at
        };
        let expires = counts_from.saturating_add(grant.duration.min(crate::LEASES.1));
        if expires <= now {
            // It arrived too late to be used, so it must not be acknowledged either.
            return false;
        }
        self.hear(grant.by.term);
        let leased = self.is_leased(now);
        let mut lowered = false;
        for (name, held) in &mut self.limits {
            // The tokens of the former lease are kept, up to the new burst.
            if leased && held.has_lease {
                held.bucket.refill(now, held.leased);
            } else {
                held.bucket = Bucket {
                    tokens: 0,
                    filled_at: now,
                };
            }
            let lease = grant.of.iter().find(|lease| lease.limit == *name);
            let amount = lease.map_or(Amount::NOTHING, |lease| lease.amount);
            lowered |= leased && held.leased.exceeds(amount);
            (held.has_lease, held.leased) = (lease.is_some(), amount);
            if is_injected(InjectedBug::RefillOnGrant) {
                held.bucket.tokens = u128::MAX;
            }
            held.bucket.refill(now, amount);
            if let Some(lease) = lease {
                held.whole = lease.whole;
            }
        }
        self.by = Some(grant.by);
        self.number = grant.number;
        self.expires = expires;
        lowered
    }

    /// The name and standing of each limit.
    pub fn standings(&self, now: Micros) -> impl Iterator<Item = (&str, Standing)> {
        let leased = self.is_leased(now);
        self.limits.iter().map(move |(name, held)| {
            let standing = Standing {
                may: if leased && held.has_lease {
                    held.leased
                } else {
                    held.safe_amount()
                },
                whole: held.whole,
                leased: leased && held.has_lease,
                open: held.open,
                used: held.used,
                denied: held.denied,
            };
            (name.as_str(), standing)
        })
    }

    /// The number of ignored grants of another server of the same term. There are some where two agents run on copies
    /// of one state.
    pub fn strange(&self) -> u64 {
        self.strange
    }

    /// The state that matters to the explorer, with times relative to `now`. Measurements are left out.
    #[cfg(any(test, feature = "explore"))]
    pub fn essence(&self, now: Micros) -> impl std::hash::Hash + use<> {
        let limits: Vec<_> = self
            .limits
            .iter()
            .map(|(name, held)| {
                let mut bucket = held.bucket;
                bucket.refill(now.min(self.expires).max(bucket.filled_at), held.leased);
                let tokens = if self.is_leased(now) {
                    bucket.tokens
                } else {
                    0
                };
                (name.clone(), held.leased, tokens, held.open)
            })
            .collect();
        let report_times: Vec<_> = self
            .report_times
            .iter()
            .map(|(seq, at)| (*seq, now.saturating_sub(*at)))
            .collect();
        (
            limits,
            self.by,
            self.number,
            self.expires.saturating_sub(now),
            self.seq,
            report_times,
        )
    }
}
