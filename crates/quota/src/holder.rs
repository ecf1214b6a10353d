//! The instance's side: what it was lent, and what it lets in.

use crate::{Amount, Ask, Asks, Lent, MOST_LIMITS, Micros, ONE, Planted, UNBOUNDED, Who, planted};
use std::collections::{BTreeMap, VecDeque};

/// Of so many reports the times are remembered; an answer to an older one is passed over.
const REPORTS: usize = 16;
/// Over so long what comes is averaged, in microseconds: at two requests a second chance alone moves
/// it by a third.
const AVERAGED: u64 = 6_000_000;
/// The most that was open fades by this much from one report to the next: by 3 in 10.
const FADES: (u64, u64) = (7, 10);
/// A report that comes sooner after the last one than this measures nothing anew, in microseconds.
const SHORTEST_LOOK: Micros = 200_000;
/// What nobody has asked for for so long is no longer asked for, where it was made on demand.
const FORGOTTEN: Micros = 60_000_000;
/// One request in the billionths that buckets hold: a rate in thousandths a second times microseconds.
const UNIT: u128 = 1_000_000_000;
/// Where a refusal can't say better when a request may be let in: a report later.
const A_REPORT: Micros = 1_000_000;

/// What an instance may let in while no lease holds, of one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Safe {
    /// Nothing.
    #[default]
    Nothing,
    /// This much, whatever the limit.
    Fixed(Amount),
    /// The limit divided by this number, as the last lease told the limit; nothing before there was one.
    Part(u64),
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// After so many microseconds it may be, where nothing changes. None where that depends on what is open.
    pub after: Option<Micros>,
    /// No lease holds.
    pub unleased: bool,
}

/// A bucket: fills at a rate up to a burst. Exact: no rounding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Bucket {
    stock: u128,
    at: Micros,
}

impl Bucket {
    /// What has run in by then.
    fn run_in(&mut self, now: Micros, amount: Amount) {
        let span = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let full = u128::from(amount.burst) * UNIT / u128::from(ONE);
        let more = u128::from(amount.rate).saturating_mul(u128::from(span));
        self.stock = self.stock.saturating_add(more).min(full);
    }

    /// Takes one, or says when there is one; none where there never is.
    fn take(&mut self, now: Micros, amount: Amount) -> Result<(), Option<Micros>> {
        if amount.rate == UNBOUNDED {
            return Ok(());
        }
        self.run_in(now, amount);
        if self.stock >= UNIT {
            self.stock -= UNIT;
            return Ok(());
        }
        if amount.rate == 0 || amount.burst < ONE {
            return Err(None);
        }
        let wait = (UNIT - self.stock).div_ceil(u128::from(amount.rate));
        Err(Some(u64::try_from(wait).unwrap_or(u64::MAX)))
    }
}

/// One limit, as this instance has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    safe: Safe,
    /// Whether the limit is in the last word; what that lends.
    has: bool,
    lent: Amount,
    /// All of the limit, by the last lease that had it.
    whole: Amount,
    /// Filled under leases.
    bucket: Bucket,
    /// Filled under the safe part.
    spare: Bucket,
    open: u64,
    /// Requests that came, and those that were let in, since the last look.
    came: u64,
    taken: u64,
    peak: u64,
    looked: Micros,
    wanted: u64,
    wanted_open: u64,
    used: u64,
    denied: u64,
    /// Made on demand; forgotten when nothing comes any more.
    of_demand: bool,
    last: Micros,
}

impl Held {
    fn new(now: Micros, safe: Safe, of_demand: bool) -> Self {
        let bucket = Bucket { stock: 0, at: now };
        Held {
            safe,
            has: false,
            lent: Amount::NOTHING,
            whole: Amount::NOTHING,
            bucket,
            spare: bucket,
            open: 0,
            came: 0,
            taken: 0,
            peak: 0,
            looked: now,
            wanted: 0,
            wanted_open: 0,
            used: 0,
            denied: 0,
            of_demand,
            last: now,
        }
    }

    /// What it may let in without a lease.
    fn safe_part(&self) -> Amount {
        match self.safe {
            Safe::Nothing => Amount::NOTHING,
            Safe::Fixed(amount) => amount,
            Safe::Part(of) => {
                let part = |whole: u64| if whole == UNBOUNDED { UNBOUNDED } else { whole / of.max(1) };
                self.whole.with(self.whole, |whole, _| part(whole))
            }
        }
    }

    /// Measures what came since the last look.
    fn look(&mut self, now: Micros) {
        let span = now.saturating_sub(self.looked);
        if span < SHORTEST_LOOK {
            return;
        }
        let a_second = |count: u64| {
            let rate = u128::from(count) * UNIT / u128::from(span);
            u64::try_from(rate).unwrap_or(u64::MAX).min(crate::MOST)
        };
        let averaged = |former: u64, now: u64| {
            let (former, now, span) = (u128::from(former), u128::from(now), u128::from(span.min(AVERAGED)));
            let all = u128::from(AVERAGED);
            u64::try_from((former * (all - span) + now * span) / all).unwrap_or(u64::MAX)
        };
        // More than chance explains (two standard deviations) is wanted at once.
        let surely = self.came.saturating_sub(2 * (self.came + 1).isqrt());
        self.wanted = averaged(self.wanted, a_second(self.came)).max(a_second(surely));
        self.wanted_open = self.peak.max(self.wanted_open / FADES.1 * FADES.0);
        self.used = averaged(self.used, a_second(self.taken));
        (self.came, self.taken, self.peak, self.looked) = (0, 0, self.open, now);
    }
}

/// How one limit stands at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// What it may let in now: the lease's part, or the safe one.
    pub may: Amount,
    /// All of the limit, by the last lease; nothing before there was one.
    pub whole: Amount,
    /// Whether a lease holds.
    pub leased: bool,
    /// Requests that are open.
    pub open: u64,
    /// Requests that were let in of late, in thousandths a second.
    pub used: u64,
    /// Requests that were turned away, ever.
    pub denied: u64,
}

/// The lease of all limits of this instance, and what it lets in. Times are those of a clock that also runs while the
/// machine is suspended: one that stands still then would keep a lease that has long been lent to others.
///
/// It looks at the time it is given with each request: whoever stood still must read the clock after waking.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    limits: BTreeMap<String, Held>,
    /// The greatest term of an agent that was heard of.
    term: u64,
    by: Option<Who>,
    number: u64,
    /// When the lease ends; none holds at or after it.
    ends: Micros,
    /// Since when none holds, or one does.
    since: Micros,
    was_leased: bool,
    seq: u64,
    /// When the last reports were made.
    made: VecDeque<(u64, Micros)>,
    /// Words of another agent of the same term that were passed over.
    strange: u64,
}

impl Holder {
    /// Takes part in these limits from now on, and in no others. What is open stays counted, and a lease that holds stays.
    pub fn follow(&mut self, now: Micros, limits: impl IntoIterator<Item = (String, Safe)>) {
        let limits: BTreeMap<String, Safe> = limits.into_iter().take(MOST_LIMITS).collect();
        self.limits.retain(|name, held| {
            limits.contains_key(name.as_str())
                || held.of_demand && name.split_once('/').is_some_and(|(of, _)| limits.contains_key(of))
        });
        for (name, safe) in limits {
            self.limits.entry(name).or_insert_with(|| Held::new(now, safe, false)).safe = safe;
        }
    }

    /// Whether it takes part in any limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// An agent of this term was heard of: those before it are not obeyed any more.
    pub fn hear(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Whether a lease holds.
    pub fn is_leased(&self, now: Micros) -> bool {
        now < self.ends
    }

    /// Since when a lease holds, or none does.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// When the lease ends; in the past where none holds.
    pub fn ends(&self) -> Micros {
        self.ends
    }

    /// Whose lease it is.
    pub fn by(&self) -> Option<Who> {
        self.by
    }

    /// Tells whether the lease was lost or won since the last call.
    pub fn changed(&mut self, now: Micros) -> Option<bool> {
        let leased = self.is_leased(now);
        if leased == self.was_leased {
            return None;
        }
        self.since = if leased { now } else { self.ends };
        self.was_leased = leased;
        Some(leased)
    }

    /// The same for one server of a limit that is for each: the part goes by `limit/server`. A server that was not used
    /// of late is under the safe part until a report has asked for it. Of [`MOST_LIMITS`] parts the one that was used
    /// longest ago, with nothing open, makes room.
    ///
    /// # Errors
    /// When to come again; also where so many parts are in use that there is no room for another.
    pub fn admit_at(&mut self, now: Micros, limit: &str, server: &str) -> Result<(), Denied> {
        let name = format!("{limit}/{server}");
        if !self.limits.contains_key(&name) {
            let Some(safe) = self.limits.get(limit).map(|held| held.safe) else { return Ok(()) };
            if self.limits.len() >= MOST_LIMITS {
                let idle = self.limits.iter().filter(|(_, held)| held.of_demand && held.open == 0);
                let oldest = idle.min_by_key(|(_, held)| held.last).map(|(name, _)| name.clone());
                let Some(oldest) = oldest else { return Err(Denied { after: None, unleased: true }) };
                self.limits.remove(&oldest);
            }
            self.limits.insert(name.clone(), Held::new(now, safe, true));
        }
        self.admit(now, &name)
    }

    /// A request comes. It is let in, and open until [`Holder::end`], or it is not. One that is under no limit of this
    /// instance is.
    ///
    /// # Errors
    /// When to come again.
    pub fn admit(&mut self, now: Micros, limit: &str) -> Result<(), Denied> {
        let holds = now < self.ends;
        let ends = self.ends;
        let Some(held) = self.limits.get_mut(limit) else { return Ok(()) };
        let leased = holds && held.has;
        held.last = now;
        held.came += 1;
        held.peak = held.peak.max(held.open + 1);
        let may = if leased { held.lent } else { held.safe_part() };
        let done = if held.open >= may.open {
            Err(None)
        } else if leased {
            held.bucket.take(now, may).map_err(|after| Some(after.unwrap_or(A_REPORT)))
        } else {
            // What ran in under the lease was lost with it.
            held.bucket = Bucket { stock: 0, at: if holds { now } else { now.max(ends) } };
            held.spare.take(now, may).map_err(|after| Some(after.unwrap_or(A_REPORT)))
        };
        match done {
            Ok(()) => {
                held.open += 1;
                held.taken += 1;
                Ok(())
            }
            Err(after) => {
                held.denied += 1;
                Err(Denied { after, unleased: !leased })
            }
        }
    }

    /// A request that was let in has ended, or has not begun since another limit turned it away. What it took of the rate
    /// is not given back, or a bucket would hold more than ran in.
    pub fn end(&mut self, limit: &str) {
        if let Some(held) = self.limits.get_mut(limit) {
            held.open = held.open.saturating_sub(1);
        }
    }

    /// What goes with the report that is made now.
    pub fn ask(&mut self, now: Micros) -> Asks {
        self.seq += 1;
        self.made.push_back((self.seq, now));
        if self.made.len() > REPORTS {
            self.made.pop_front();
        }
        let leased = self.is_leased(now);
        self.limits
            .retain(|_, held| !held.of_demand || held.open > 0 || now.saturating_sub(held.last) < FORGOTTEN);
        let of = self.limits.iter_mut().map(|(limit, held)| {
            held.look(now);
            Ask {
                limit: limit.clone(),
                holds: if leased && held.has { held.lent } else { Amount::NOTHING },
                wanted: held.wanted,
                wanted_open: held.wanted_open,
                open: held.open,
                used: held.used,
            }
        });
        Asks { seq: self.seq, by: self.by, number: self.number, of: of.collect() }
    }

    /// The agent's word has come. Gives whether it was taken and lends less of something than before: then the agent
    /// is to be told at once, so that others can have it.
    pub fn take(&mut self, now: Micros, lent: &Lent) -> bool {
        let fenced = !planted(Planted::NoFencing);
        if fenced
            && (lent.by.term < self.term
                || self.by.is_some_and(|by| by.term == lent.by.term && by != lent.by))
        {
            self.strange += u64::from(lent.by.term == self.term);
            return false;
        }
        let newer = self.by != Some(lent.by);
        if fenced && !newer && lent.number <= self.number {
            return false;
        }
        let Some(made) = self.made.iter().find(|(seq, _)| *seq == lent.answers).map(|(_, made)| *made) else {
            return false;
        };
        let made = if planted(Planted::CountFromArrival) { now } else { made };
        let ends = made.saturating_add(lent.lasts.min(crate::LEASES.1));
        if ends <= now {
            // Too late to be of use, and not obeyed: nothing may be said of it either.
            return false;
        }
        self.hear(lent.by.term);
        let leased = self.is_leased(now);
        let mut lowered = false;
        for (name, held) in &mut self.limits {
            // What ran in under the former lease stays, up to the new burst.
            if leased && held.has {
                held.bucket.run_in(now, held.lent);
            } else {
                held.bucket = Bucket { stock: 0, at: now };
            }
            let lease = lent.of.iter().find(|lease| lease.limit == *name);
            let amount = lease.map_or(Amount::NOTHING, |lease| lease.amount);
            lowered |= leased && held.lent.exceeds(amount);
            (held.has, held.lent) = (lease.is_some(), amount);
            if planted(Planted::FillAnew) {
                held.bucket.stock = u128::MAX;
            }
            held.bucket.run_in(now, amount);
            if let Some(lease) = lease {
                held.whole = lease.whole;
            }
        }
        (self.by, self.number, self.ends) = (Some(lent.by), lent.number, ends);
        lowered
    }

    /// How each limit stands.
    pub fn standings(&self, now: Micros) -> impl Iterator<Item = (&str, Standing)> {
        let leased = self.is_leased(now);
        self.limits.iter().map(move |(name, held)| {
            let standing = Standing {
                may: if leased && held.has { held.lent } else { held.safe_part() },
                whole: held.whole,
                leased: leased && held.has,
                open: held.open,
                used: held.used,
                denied: held.denied,
            };
            (name.as_str(), standing)
        })
    }

    /// Words of another agent of the same term that were passed over: two agents run on copies of one state.
    pub fn strange(&self) -> u64 {
        self.strange
    }

    /// What matters of it for the explorer, times as they are to this one: what it measured does not.
    #[cfg(any(test, feature = "explore"))]
    pub fn essence(&self, now: Micros) -> impl std::hash::Hash + use<> {
        let limits: Vec<_> = self
            .limits
            .iter()
            .map(|(name, held)| {
                let mut bucket = held.bucket;
                bucket.run_in(now.min(self.ends).max(bucket.at), held.lent);
                let stock = if self.is_leased(now) { bucket.stock } else { 0 };
                (name.clone(), held.lent, stock, held.open)
            })
            .collect();
        let made: Vec<_> = self.made.iter().map(|(seq, at)| (*seq, now.saturating_sub(*at))).collect();
        (limits, self.by, self.number, self.ends.saturating_sub(now), self.seq, made)
    }
}
