//! The agent's side: who has been lent what, for how long, and who is to have what next.

use crate::divide::{Want, divide};
use crate::{
    Amount, Ask, Asks, DRIFT, FAST, Lease, Lent, MOST_LIMITS, Micros, ONE, Planted, UNBOUNDED, Who, fits,
    planted,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The most starts of instances that are known at once.
const MOST_BORROWERS: usize = 65_536;
/// The most limits, those of single servers counted each.
const MOST_LINES: usize = 4_096;
/// Of the words to one start that it has not obeyed, so many are kept apart.
const MOST_OUT: usize = 24;
/// What is lent is an eighth more than what was wanted of late: a bucket that fills just as fast as requests come on
/// the average turns many of them away.
const HEADROOM: (u64, u64) = (9, 8);
/// A lease is changed where its part is an eighth or more from what it is to be.
const NOTABLE: u64 = 8;
/// Who is new is counted in at once, but not more often than this, in microseconds.
const SHORTEST_ROUND: Micros = 20_000;
/// Where more want something than can have it, they take turns of so many leases.
const TURN: u64 = 2;

/// One limit as the operators have it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Limit {
    /// All of it.
    pub whole: Amount,
    /// What each instance that takes part is to have of the rate, while there is enough for all.
    pub floor: u64,
    /// By the beginning of instances' names, or by their names: their weight. The first that fits; else 1.
    pub weights: Vec<(String, u64)>,
    /// Zones have equal parts before instances in them do.
    pub by_zone: bool,
    /// It is for each server by itself.
    pub each_server: bool,
    /// A request is open no longer, in microseconds, where its instance is not heard.
    pub longest: Micros,
}

impl Limit {
    fn weight(&self, name: &str) -> u64 {
        self.weights.iter().find(|(pattern, _)| fits(pattern, name)).map_or(1, |(_, weight)| (*weight).max(1))
    }

    /// What may be lent of it: a clock that runs fast fills no bucket faster than the limit says.
    fn lendable(&self) -> Amount {
        let Amount { rate, burst, open } = self.whole;
        Amount { rate: if rate == UNBOUNDED { rate } else { rate - rate.div_ceil(FAST) }, burst, open }
    }
}

impl Limit {
    /// What may be lent of it beside what the others may have.
    fn room(&self, others: Amount) -> Amount {
        self.lendable().with(
            others,
            |all, others| {
                if all == UNBOUNDED { UNBOUNDED } else { all.saturating_sub(others) }
            },
        )
    }
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// What was lent before this start is over: all of each limit may be lent.
    Learned,
    /// An instance obeys another agent of this term: two run on copies of one state. Nothing is lent any more.
    Twin(u64),
    /// A limit is lent beyond itself. This never happens.
    Overdrawn(String),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Learned => {
                f.write_str("fleet limits: what a former agent lent is over; all of them can be lent")
            }
            Note::Twin(term) => write!(
                f,
                "fleet limits: another agent of term {term} lends; this one lends nothing any more. End one of them, and \
                 start the other with term_above = {term}"
            ),
            Note::Overdrawn(limit) => write!(f, "fleet limits: {limit} is lent beyond itself: this is a bug"),
        }
    }
}

/// A word to a start that may still be obeyed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Out {
    number: u64,
    until: Micros,
    of: BTreeMap<String, Amount>,
}

/// One start of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Borrower {
    name: String,
    zone: String,
    seq: u64,
    heard: Micros,
    number: u64,
    asks: BTreeMap<String, Ask>,
    outs: Vec<Out>,
    /// What it is to have.
    target: BTreeMap<String, Amount>,
}

impl Borrower {
    /// What it may be obeying of a limit, and what may be open.
    fn counted(&self, limit: &str, now: Micros, longest: Micros) -> Amount {
        let mut most = Amount::NOTHING;
        let mut last = self.heard;
        for out in &self.outs {
            let Some(amount) = out.of.get(limit) else { continue };
            if out.until > now {
                most = most.greater(*amount);
            } else if out.until.saturating_add(with_drift(longest)) > now && !planted(Planted::ForgetOpen) {
                most.open = most.open.max(amount.open);
            }
            last = last.max(out.until);
        }
        let open = self.asks.get(limit).map_or(0, |ask| ask.open);
        if last.saturating_add(with_drift(longest)) > now && !planted(Planted::ForgetOpen) {
            most.open = most.open.max(open);
        }
        most
    }

    /// The limits that it takes part in, or may have a part of.
    fn limits(&self) -> BTreeSet<&String> {
        self.asks.keys().chain(self.outs.iter().flat_map(|out| out.of.keys())).collect()
    }

    /// What the newest word lends.
    fn lent(&self, limit: &str, now: Micros) -> Amount {
        let last = self.outs.last().filter(|out| out.until > now);
        last.and_then(|out| out.of.get(limit)).copied().unwrap_or_default()
    }
}

/// How a limit, or an instance's part of one, stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// All of it.
    pub whole: Amount,
    /// What may be out.
    pub lent: Amount,
    /// Requests let in of late, thousandths a second.
    pub used: u64,
    /// Requests that came of late, thousandths a second.
    pub wanted: u64,
    /// Requests that are open.
    pub open: u64,
    /// Instances that take part and were heard of late, and those of them that have a part.
    pub instances: usize,
    /// Of these, the ones that have a part.
    pub with_part: usize,
}

/// Lends parts of limits to starts of instances. What it promises is told in the [crate]'s own words.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    who: Who,
    lasts: Micros,
    every: Micros,
    limits: BTreeMap<String, Limit>,
    borrowers: BTreeMap<u64, Borrower>,
    /// What is counted as out of each limit, over all borrowers.
    totals: BTreeMap<String, Amount>,
    /// Until then what a former agent lent may be out.
    free_at: Micros,
    learned: bool,
    rounded: Micros,
    twin: bool,
    notes: Vec<Note>,
}

impl Lender {
    /// An agent that begins at `now`: `former` is how long the leases of those before it may last. Reports come each
    /// `every`.
    pub fn new(now: Micros, who: Who, lasts: Micros, former: Micros, every: Micros) -> Self {
        let former = if planted(Planted::ForgetLength) { lasts } else { former.max(lasts) };
        let free_at = if planted(Planted::NoLearning) { now } else { now.saturating_add(with_drift(former)) };
        Lender {
            who,
            lasts,
            every,
            limits: BTreeMap::new(),
            borrowers: BTreeMap::new(),
            totals: BTreeMap::new(),
            free_at,
            learned: false,
            rounded: 0,
            twin: false,
            notes: Vec::new(),
        }
    }

    /// These limits hold from now on. What is out of a limit that was lowered comes back with the words and the ends of
    /// leases that follow.
    pub fn set(&mut self, now: Micros, limits: BTreeMap<String, Limit>) {
        if limits != self.limits {
            self.limits = limits;
            self.round(now);
        }
    }

    /// Whether all may be lent: what a former agent lent is over.
    pub fn has_learned(&self, now: Micros) -> bool {
        now >= self.free_at
    }

    /// For the log, since the last call.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// A report of an instance has come. Gives the word that answers it; none where nothing is lent here, or a newer
    /// report came before.
    pub fn report(&mut self, now: Micros, name: &str, zone: &str, start: u64, asks: &Asks) -> Option<Lent> {
        let by_name =
            || name.bytes().fold(7, |sum: u64, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
        let start = if planted(Planted::NamesAlone) { by_name() } else { start };
        if asks.by.is_some_and(|by| by.term >= self.who.term && by != self.who) && !self.twin {
            self.twin = true;
            self.notes.push(Note::Twin(self.who.term));
        }
        if self.twin || !self.borrowers.contains_key(&start) && self.borrowers.len() >= MOST_BORROWERS {
            return None;
        }
        let is_new = !self.borrowers.contains_key(&start);
        let borrower = self.borrowers.entry(start).or_default();
        if asks.seq <= borrower.seq && !planted(Planted::NamesAlone) {
            return None;
        }
        self.leave(start, now);
        let borrower = self.borrowers.get_mut(&start)?;
        (borrower.name, borrower.zone, borrower.seq, borrower.heard) =
            (name.into(), zone.into(), asks.seq, now);
        if asks.by == Some(self.who) {
            // One that was forgotten goes on above what it obeyed, or it would pass over what it is told.
            borrower.number = borrower.number.max(asks.number);
            borrower.outs.retain(|out| out.number >= asks.number);
        }
        borrower.asks.clear();
        for ask in asks.of.iter().take(MOST_LIMITS) {
            let sound = ask.wanted.min(crate::MOST);
            borrower.asks.insert(ask.limit.clone(), Ask { wanted: sound, ..ask.clone() });
        }
        self.join(start, now);
        let gap = if is_new { SHORTEST_ROUND } else { self.gap() };
        if now.saturating_sub(self.rounded) >= gap {
            self.round(now);
        }
        Some(self.word(now, start))
    }

    /// Time has passed. Gives the words that some are to have before they ask again.
    pub fn tick(&mut self, now: Micros) -> Vec<(String, Lent)> {
        if self.borrowers.is_empty() || self.twin || now.saturating_sub(self.rounded) < self.gap() {
            return Vec::new();
        }
        self.round(now);
        // Those who are to have less first: their words make room for others once they are obeyed.
        let short = self.short(now);
        let mut notable: Vec<(bool, u64)> = Vec::new();
        for (start, borrower) in &self.borrowers {
            let (mut less, mut more) = (false, false);
            for (limit, target) in borrower.target.iter().filter(|_| self.is_there(borrower, now)) {
                let (lent, room) = (borrower.lent(limit, now), self.room(limit, borrower, now));
                less |= is_notable(lent, *target) && lent.exceeds(*target) && short.contains(limit);
                more |= is_notable(lent, target.lesser(room)) && target.lesser(room).exceeds(lent);
            }
            if less || more {
                notable.push((!less, *start));
            }
        }
        notable.sort_unstable();
        let mut words = Vec::new();
        for (_, start) in notable {
            let lent = self.word(now, start);
            if let Some(borrower) = self.borrowers.get(&start) {
                words.push((borrower.name.clone(), lent));
            }
        }
        words
    }

    /// When [`Lender::tick`] is to be called next.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        (!self.borrowers.is_empty() && !self.twin)
            .then(|| self.rounded.saturating_add(self.gap()).max(now + 1))
    }

    fn gap(&self) -> Micros {
        self.every / 4
    }

    fn is_there(&self, borrower: &Borrower, now: Micros) -> bool {
        borrower.heard.saturating_add(self.lasts) > now
    }

    /// The limits of which somebody waits for more than is free, or more is out than may be.
    fn short(&self, now: Micros) -> BTreeSet<String> {
        let mut short = BTreeSet::new();
        for borrower in self.borrowers.values() {
            for (limit, target) in &borrower.target {
                let lent = borrower.lent(limit, now);
                if target.exceeds(lent) && is_notable(lent, *target) && !short.contains(limit) {
                    short.insert(limit.clone());
                }
            }
        }
        for (limit, total) in &self.totals {
            let all = limit_of(&self.limits, limit).map(Limit::lendable).unwrap_or_default();
            if total.exceeds(all) {
                short.insert(limit.clone());
            }
        }
        short
    }

    /// What a borrower counts for is taken out of the totals. Between two rounds these may hold more than is out, never
    /// less.
    fn leave(&mut self, start: u64, now: Micros) {
        self.count(start, now, u64::saturating_sub);
    }

    /// It counts again, with what has changed.
    fn join(&mut self, start: u64, now: Micros) {
        self.count(start, now, u64::saturating_add);
    }

    fn count(&mut self, start: u64, now: Micros, how: fn(u64, u64) -> u64) {
        let Some(borrower) = self.borrowers.get(&start) else { return };
        for name in borrower.limits() {
            let Some(limit) = limit_of(&self.limits, name) else { continue };
            if self.totals.len() < MOST_LINES || self.totals.contains_key(name) {
                let total = self.totals.entry(name.clone()).or_default();
                *total = total.with(borrower.counted(name, now, limit.longest), how);
            }
        }
    }

    /// What may be lent to one of a limit, beside what the others may have.
    fn room(&self, limit: &str, borrower: &Borrower, now: Micros) -> Amount {
        let Some(of) = limit_of(&self.limits, limit) else { return Amount::NOTHING };
        let total = self.totals.get(limit).copied().unwrap_or_default();
        let others = total.with(borrower.counted(limit, now, of.longest), u64::saturating_sub);
        of.room(others)
    }

    /// The next word to a start, which is counted as out from now on.
    fn word(&mut self, now: Micros, start: u64) -> Lent {
        let own = self.borrowers.get(&start).map(Borrower::limits).unwrap_or_default();
        let before: BTreeMap<String, Amount> =
            own.into_iter().filter_map(|name| Some((name.clone(), *self.totals.get(name)?))).collect();
        self.leave(start, now);
        let learning = now < self.free_at;
        let mut of = Vec::new();
        if let Some(borrower) = self.borrowers.get(&start) {
            for (name, ask) in &borrower.asks {
                let Some(limit) = limit_of(&self.limits, name) else { continue };
                let total = self.totals.get(name).copied().unwrap_or_default();
                let room = limit.room(total);
                let target = borrower.target.get(name).copied().unwrap_or_default();
                let lent = borrower.lent(name, now);
                if learning && ask.holds == Amount::NOTHING && lent == Amount::NOTHING {
                    // It had no lease, and keeps to its safe part until there may be one.
                    continue;
                }
                let keeps = !is_notable(lent, target) && !lent.exceeds(room);
                let mut amount = if keeps { lent } else { target.lesser(room) };
                if learning {
                    // Lent again to whom the former agent lent it: no more is out by it than was.
                    let holds = ask.holds.greater(lent);
                    amount = amount.lesser(Amount { open: holds.open.max(ask.open), ..holds });
                }
                if amount.burst < ONE {
                    // It can't let in one request: others may have it.
                    (amount.rate, amount.burst) = (0, 0);
                }
                of.push(Lease { limit: name.clone(), amount, whole: limit.whole });
            }
        }
        let lasts = self.lasts;
        let until = now.saturating_add(if planted(Planted::NoDrift) { lasts } else { with_drift(lasts) });
        let by = self.who;
        let mut answers = 0;
        let mut number = 0;
        if let Some(borrower) = self.borrowers.get_mut(&start) {
            borrower.number += 1;
            (answers, number) = (borrower.seq, borrower.number);
            if planted(Planted::LendBeforeObeyed) {
                borrower.outs.clear();
            }
            let lent = of.iter().map(|lease| (lease.limit.clone(), lease.amount)).collect();
            borrower.outs.push(Out { number, until, of: lent });
            if borrower.outs.len() > MOST_OUT {
                // Two that have not been obeyed count as one that lends the most of both for the longer time.
                let first = borrower.outs.remove(0);
                if let Some(second) = borrower.outs.first_mut() {
                    second.until = second.until.max(first.until);
                    for (name, amount) in first.of {
                        let both = second.of.entry(name).or_default();
                        *both = both.greater(amount);
                    }
                }
            }
        }
        self.join(start, now);
        // While it learns it lends again what others may have lent; what is open may be so under a safe part.
        for lease in of.iter().filter(|_| !learning) {
            let all = limit_of(&self.limits, &lease.limit).map(Limit::lendable).unwrap_or_default();
            let of =
                |totals: &BTreeMap<String, Amount>| totals.get(&lease.limit).copied().unwrap_or_default();
            let most = of(&before).greater(all);
            if of(&self.totals).rate > most.rate || of(&self.totals).burst > most.burst {
                self.notes.push(Note::Overdrawn(lease.limit.clone()));
            }
        }
        Lent { start, by, number, answers, lasts, of }
    }

    /// Forgets what is over, and divides anew.
    fn round(&mut self, now: Micros) {
        self.rounded = now;
        if !self.learned && now >= self.free_at {
            self.learned = true;
            self.notes.push(Note::Learned);
        }
        let longest = self.limits.values().map(|limit| limit.longest).max().unwrap_or(0);
        let kept = with_drift(self.lasts.saturating_add(longest));
        for borrower in self.borrowers.values_mut() {
            borrower.outs.retain(|out| out.until.saturating_add(with_drift(longest)) > now);
        }
        self.borrowers.retain(|_, b| !b.outs.is_empty() || b.heard.saturating_add(kept) > now);
        self.totals.clear();
        let mut by_limit: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (start, borrower) in &self.borrowers {
            for name in borrower.limits() {
                let Some(limit) = limit_of(&self.limits, name) else { continue };
                if self.totals.len() >= MOST_LINES && !self.totals.contains_key(name) {
                    continue;
                }
                let total = self.totals.entry(name.clone()).or_default();
                *total = total.with(borrower.counted(name, now, limit.longest), u64::saturating_add);
                if self.is_there(borrower, now) && borrower.asks.contains_key(name) {
                    by_limit.entry(name.clone()).or_default().push(*start);
                }
            }
        }
        self.borrowers.values_mut().for_each(|borrower| borrower.target.clear());
        for (name, starts) in by_limit {
            let Some(limit) = limit_of(&self.limits, &name) else { continue };
            let parts = self.parts(&name, limit, &starts, now);
            for (start, part) in starts.into_iter().zip(parts) {
                if let Some(borrower) = self.borrowers.get_mut(&start) {
                    borrower.target.insert(name.clone(), part);
                }
            }
        }
    }

    /// What each of these is to have of a limit.
    fn parts(&self, name: &str, limit: &Limit, starts: &[u64], now: Micros) -> Vec<Amount> {
        let all = limit.lendable();
        let them: Vec<(&Borrower, &Ask)> = starts
            .iter()
            .filter_map(|start| self.borrowers.get(start))
            .filter_map(|borrower| Some((borrower, borrower.asks.get(name)?)))
            .collect();
        // Nobody can use less than one request of the burst, or less than one that is open.
        let burst = if all.burst == UNBOUNDED { u64::MAX } else { all.burst / ONE };
        let units = usize::try_from(burst.min(all.open)).unwrap_or(usize::MAX);
        let mut chosen = vec![true; them.len()];
        if units < them.len() {
            let turn = now / with_drift(self.lasts).saturating_mul(TURN).max(1);
            let mut order: Vec<(bool, u64, usize)> = (0..them.len())
                .map(|at| {
                    (them[at].1.wanted == 0 && them[at].1.wanted_open == 0, scatter(starts[at], turn), at)
                })
                .collect();
            order.sort_unstable();
            order.iter().skip(units).for_each(|(_, _, at)| chosen[*at] = false);
        }
        let grown = |wanted: u64| wanted.saturating_mul(HEADROOM.0) / HEADROOM.1;
        let wants = |wanted: &dyn Fn(&Ask) -> u64, floor: u64| -> Vec<Want> {
            let want = |((borrower, ask), chosen): (&(&Borrower, &Ask), &bool)| {
                let (wanted, floor) = if *chosen { (grown(wanted(ask)), floor) } else { (0, 0) };
                Want { wanted, floor, weight: limit.weight(&borrower.name) }
            };
            them.iter().zip(&chosen).map(want).collect()
        };
        let zones: Vec<&str> = them.iter().map(|(borrower, _)| borrower.zone.as_str()).collect();
        let zones = if limit.by_zone { zones } else { vec![""; them.len()] };
        let rates = spread(all.rate, &wants(&|ask| ask.wanted, limit.floor), &zones, &chosen);
        let open = spread(all.open, &wants(&|ask| ask.wanted_open.max(ask.open) + 1, 1), &zones, &chosen);
        // A burst is what evens out chance, of which those with little traffic have no less than those with much.
        let bursts: Vec<Want> = chosen
            .iter()
            .zip(&them)
            .map(|(chosen, (borrower, _))| {
                let (wanted, floor) = if *chosen { (all.burst, ONE) } else { (0, 0) };
                Want { wanted, floor, weight: limit.weight(&borrower.name) }
            })
            .collect();
        let bursts =
            if all.burst == UNBOUNDED { vec![UNBOUNDED; them.len()] } else { divide(all.burst, &bursts) };
        let parts = rates.into_iter().zip(bursts).zip(open);
        parts.map(|((rate, burst), open)| Amount { rate, burst, open }).collect()
    }

    /// How each limit stands.
    pub fn views(&self, now: Micros) -> BTreeMap<String, View> {
        let mut views: BTreeMap<String, View> = BTreeMap::new();
        for (name, limit) in self.limits.iter().filter(|(_, limit)| !limit.each_server) {
            views.insert(name.clone(), View { whole: limit.whole, ..View::default() });
        }
        for borrower in self.borrowers.values() {
            for (name, view) in self.views_of(borrower, now) {
                let all = views.entry(name).or_insert(View { whole: view.whole, ..View::default() });
                all.lent = all.lent.with(view.lent, u64::saturating_add);
                all.used = all.used.saturating_add(view.used);
                all.wanted = all.wanted.saturating_add(view.wanted);
                all.open = all.open.saturating_add(view.open);
                all.instances += view.instances;
                all.with_part += view.with_part;
            }
        }
        views
    }

    /// How each limit stands at an instance, all its starts together; nothing where it takes part in none.
    pub fn views_at(&self, now: Micros, name: &str) -> BTreeMap<String, View> {
        let starts = self.borrowers.values().filter(|borrower| borrower.name == name);
        starts.flat_map(|borrower| self.views_of(borrower, now)).collect()
    }

    fn views_of(&self, borrower: &Borrower, now: Micros) -> Vec<(String, View)> {
        let there = self.is_there(borrower, now);
        let view = |name: &String| {
            let limit = limit_of(&self.limits, name)?;
            let lent = borrower.counted(name, now, limit.longest);
            let ask = borrower.asks.get(name).filter(|_| there).cloned().unwrap_or_default();
            let (instances, has) = (usize::from(there), borrower.lent(name, now) != Amount::NOTHING);
            let (used, wanted, open, with_part) = (ask.used, ask.wanted, ask.open, usize::from(has && there));
            Some((name.clone(), View { whole: limit.whole, lent, used, wanted, open, instances, with_part }))
        };
        borrower.limits().into_iter().filter_map(view).collect()
    }

    /// What matters of it for the explorer, times as they are to this one.
    #[cfg(any(test, feature = "explore"))]
    pub fn essence(&self, now: Micros) -> impl std::hash::Hash + use<> {
        let ahead = |at: Micros| at.saturating_sub(now);
        let of = |(start, borrower): (&u64, &Borrower)| {
            let outs: Vec<_> =
                borrower.outs.iter().map(|out| (out.number, ahead(out.until), out.of.clone())).collect();
            let asks: Vec<_> = borrower.asks.values().map(|ask| (ask.holds, ask.wanted, ask.open)).collect();
            let heard = now.saturating_sub(borrower.heard);
            (*start, borrower.seq, borrower.number, outs, asks, heard, borrower.target.clone())
        };
        let borrowers: Vec<_> = self.borrowers.iter().map(of).collect();
        (self.who, borrowers, ahead(self.free_at), now.saturating_sub(self.rounded), self.twin)
    }

    /// All times are moved back by so much, for the explorer.
    #[cfg(any(test, feature = "explore"))]
    pub fn rebase(&mut self, by: Micros) {
        let earlier = |at: &mut Micros| *at = at.saturating_sub(by);
        earlier(&mut self.free_at);
        earlier(&mut self.rounded);
        for borrower in self.borrowers.values_mut() {
            earlier(&mut borrower.heard);
            borrower.outs.iter_mut().for_each(|out| earlier(&mut out.until));
        }
    }
}

/// What holds for a limit by its name, that of one server by the limit's.
fn limit_of<'l>(limits: &'l BTreeMap<String, Limit>, name: &str) -> Option<&'l Limit> {
    match name.split_once('/') {
        Some((of, _)) => limits.get(of).filter(|limit| limit.each_server),
        None => limits.get(name).filter(|limit| !limit.each_server),
    }
}

/// As long as something may last by a clock that runs slow.
fn with_drift(span: Micros) -> Micros {
    span.saturating_add(span.div_ceil(DRIFT))
}

/// Whether a lease is so far from what it is to be that it is changed at once.
fn is_notable(lent: Amount, target: Amount) -> bool {
    let far = |one: u64, other: u64| one.abs_diff(other) > one.max(other) / NOTABLE;
    far(lent.rate, target.rate) || far(lent.burst, target.burst) || far(lent.open, target.open)
}

/// Mixes a start and a turn, so that all take turns (SplitMix64's finalizer, Steele and others).
fn scatter(start: u64, turn: u64) -> u64 {
    let mut mixed = start ^ turn.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Divides among zones, then in each, and spreads half of what nobody wants among those chosen, by weight: room at each
/// to grow at once. The other half stays free for whoever asks next.
fn spread(all: u64, wants: &[Want], zones: &[&str], chosen: &[bool]) -> Vec<u64> {
    if all == UNBOUNDED {
        return vec![UNBOUNDED; wants.len()];
    }
    let mut members: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    zones.iter().enumerate().for_each(|(at, zone)| members.entry(zone).or_default().push(at));
    let sum = |of: &[usize], what: &dyn Fn(&Want) -> u64| {
        of.iter().map(|at| what(&wants[*at])).fold(0, u64::saturating_add)
    };
    let of_zones: Vec<Want> = members
        .values()
        .map(|of| Want {
            wanted: sum(of, &|w| w.wanted.max(w.floor)),
            floor: sum(of, &|w| w.floor),
            weight: 1,
        })
        .collect();
    let mut parts = vec![0; wants.len()];
    for (of, total) in members.values().zip(divide(all, &of_zones)) {
        let own: Vec<Want> = of.iter().map(|at| wants[*at]).collect();
        for (at, part) in of.iter().zip(divide(total, &own)) {
            parts[*at] = part;
        }
    }
    let left = all.saturating_sub(parts.iter().sum()) / 2;
    let heavy = |at: usize| if chosen[at] { u128::from(wants[at].weight) } else { 0 };
    let weights: u128 = (0..wants.len()).map(heavy).sum();
    for (at, part) in parts.iter_mut().enumerate() {
        let more = u128::from(left) * heavy(at) / weights.max(1);
        *part += u64::try_from(more).unwrap_or(0);
    }
    parts
}
