//! Every decision of the balancer and every tunable, to be read aloud from top to bottom.
//! The types, events and actions it speaks in are in `interface.rs`.
//! The ordinary path: a request's key, else a random number, is hashed onto a unit interval of which
//! one half is covered, and hashed again with the next function of the family while it meets empty space.
//! A server's region is proportional to its measured size over elapsed time. Everything else is an
//! exception of one kind: a server that may not take this request now (see [`Bar`]) counts as empty space.

use crate::discovery_evidence::CallFailure;
use crate::discovery_poll::FailedCall;
use crate::interface::*;
use crate::state::*;
use foldhash::quality::FixedState;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::hash::BuildHasher;

// ---- Tunables; times and spans in microseconds ----

const PERIOD: Micros = 250_000; // an interval is retuned at its first use after this...
const STRETCH: usize = 16; // ...for so many servers: among more, one answer says less and tuning costs more
const KEEP: f64 = 0.9; // what a period with answers leaves of older sums: quiet instances see few answers
const PRIOR: f64 = 2.0; // usual answers at its kind's mean mixed into each server's measurement
pub(crate) const POOL: usize = 8; // intervals kept
const SUBREGIONS: usize = 8; // of an interval for each server, at least: so shares are exact enough
const HASHES: u32 = 64; // functions of the hash family tried for one selection
const CHOICES: usize = 5; // regions so met first, of which a request goes to the first...
const FIT: f64 = 0.3; // of the aim
const TRIALS: f64 = 0.05; // of them go to the first all the same: what is held to be slow is measured again
const BETTER: f64 = 0.75; // ...but for one that would serve it in this part of the time
const CROSSING: f64 = 33.0; // requests that a crossing of zones weighs as, times its price in worth
const FAILURES: u32 = 6; // ejects a server: time-outs count 1, errors 2, lost connections 3, in a row
const ALIVE: f64 = 10.0; // times later, by the part of its answers that a server loses: it is known to live
pub(crate) const LOSSES: f64 = 10e6; // over which what a server loses is counted...
pub(crate) const DOUBT: f64 = 1.0; // ...but for so many, which a whole one loses too
const LOSS: f64 = 2.0; // aims that a loss is worth waiting to avoid, where it can't be sent again
const EJECTION: (Micros, Micros) = (1_000_000, 8_000_000); // first, and last after doubling at failed trials
const LOOK: Micros = 25_000; // between looks at a request that is held or waits for probes
pub(crate) const BLIND: u32 = 16; // from so many instances on, own work out tells too little of a queue
pub(crate) const PROBES: (f64, f64) = (3.0, 0.02); // servers asked first, and part of the worth spent on it
pub(crate) const FRESH: Micros = 30_000; // how long a probe's answer holds
pub(crate) const FAILING: f64 = 1.0; // requests that an error a second weighs as
pub(crate) const OVERDUE: f64 = 2.0; // an attempt is overdue after this multiple of its class's slow answers
pub(crate) const RETRY_BUDGET: (f64, f64) = (0.5, 10.0); // earned by each first attempt, and saved at most
pub(crate) const RATE_SPAN: f64 = 3e6; // over which arrivals and served work are counted...
pub(crate) const AIMS: f64 = 3.0; // ...or, for a class's answers, this many aims, where that is longer
pub(crate) const COST: (f64, f64) = (0.125, 0.3); // a class's usual work: first by its aim, then a quantile
pub(crate) const SLOW: (f64, f64) = (0.5, 0.95); // its slow answers, likewise
pub(crate) const STEPS: (f64, f64, f64) = (0.5, 0.9, 0.1); // of a quantile: first, shrinking by, to the last
pub(crate) const WEIGHT: f64 = 0.02; // of the latest value in a mean
pub(crate) const DELAY_SPAN: f64 = 1e6; // a class's delay is that of its answers in this time...
pub(crate) const DELAYS: (f64, f64) = (10.0, 200.0); // ...of so many at least, and at most
const DELAY: f64 = 0.45; // a class may have open what it serves in this part of its aim...
const WORKS: (f64, f64) = (2.0, 0.75); // ...or so many times its work, up to this part: work is no queue...
const HINTS: f64 = 0.004; // of the latest hint in the mean of those: they are rough
const OPENING: i32 = 3; // ...and more by this power as its delay is shorter; less, too, of what is to spare
const QUEUE: f64 = 0.6; // but never more than it serves in this part: answers tell of a delay late
const SPARE: f64 = 3.0; // requests beyond a rate or a share, whose noise would refuse what is rare
const REPEATS: f64 = 0.5; // part of all that for clients' repeats, of which some are past the aim
const CALM: Micros = 5_000_000; // without early refusal, after which the next is logged
const LONG: f64 = 0.8; // a class is long when its usual work is over this part of the shortest aim
const LONG_PART: f64 = 0.8; // servers for long classes, by their part of the work: they have time to queue
pub(crate) const LANE_SPAN: f64 = 60e6; // over which that part is counted
pub(crate) const HEARD: (f64, f64) = (4e6, 20e6); // a server is to be heard from in this, by arrivals over...
const MET: f64 = 0.5e6; // ...that; one of many that asks nobody meets each in this
const REACH: usize = 8; // but so many servers are used at least
const SAVED: f64 = 0.5; // of a cold server's budget for a `fall`: more would let a burst spend it at once
const AT_ONCE: f64 = 24.0; // instances that may give a cold server a request as it starts
const PACE: f64 = 1.5; // of what a cold server would bear of a warm one's usual work is given to it at most

/// Why a server counts as empty space for a request. Up to `Tried`, the least barred of those met is
/// taken when no function of the family finds a free one; the rest are never taken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Bar {
    Free,         // it does not: it may take the request
    Ejected,      // it failed and awaits its trial
    Tried,        // an attempt of this request was there already
    Cold,         // the work it may be given while it is cold is spent
    OutsideGroup, // it would not discard a repeat of this request
}

/// A unit interval of equal subregions, half of it covered. A server owns whole subregions and the
/// beginning of at most one more, so it grows and shrinks without moving others.
pub(crate) struct Interval {
    ids: Vec<ServerId>,
    tuned: Micros,
    /// For each subregion: the place of its owner in `ids`, and how much of it is covered.
    cells: Vec<(u32, u32)>,
}

impl Interval {
    const CELL: u32 = 1 << 16;

    pub(crate) fn new(ids: Vec<ServerId>) -> Self {
        let cells = (SUBREGIONS * ids.len().max(1)).next_power_of_two();
        Interval {
            ids,
            tuned: 0,
            cells: vec![(0, 0); cells],
        }
    }

    pub(crate) fn lookup(&self, offset: u64) -> Option<ServerId> {
        let bits = self.cells.len().trailing_zeros();
        let (owner, covered) = self.cells[(offset >> (64 - bits)) as usize];
        let within = (offset << bits >> 48) as u32;
        (within < covered).then(|| self.ids[owner as usize])
    }

    /// Resizes the regions in place to the weights' proportions: first all that shrink, then all that grow,
    /// each from the subregion that it covers in part, so that it keeps one such at the most.
    pub(crate) fn tune(&mut self, weights: &[f64]) {
        let total: f64 = weights.iter().sum();
        let half = self.cells.len() as i64 / 2 * i64::from(Self::CELL);
        let mut change: Vec<i64> = weights
            .iter()
            .map(|w| (w / total * half as f64) as i64)
            .collect();
        change[0] += half - change.iter().sum::<i64>();
        self.cells
            .iter()
            .for_each(|(owner, covered)| change[*owner as usize] -= i64::from(*covered));
        for whole in [false, true] {
            for (owner, covered) in self
                .cells
                .iter_mut()
                .filter(|c| (c.1 == Self::CELL) == whole)
            {
                let cut = (-change[*owner as usize]).clamp(0, i64::from(*covered));
                *covered -= cut as u32;
                change[*owner as usize] += cut;
            }
        }
        let mut growing = 0;
        for free in [false, true] {
            for (owner, covered) in self.cells.iter_mut().filter(|c| (c.1 == 0) == free) {
                if free {
                    let Some(next) = change[growing..].iter().position(|c| *c > 0) else {
                        return;
                    };
                    growing += next;
                    *owner = growing as u32;
                }
                let add = change[*owner as usize].clamp(0, i64::from(Self::CELL - *covered));
                *covered += add as u32;
                change[*owner as usize] -= add;
            }
        }
    }
}

impl Balancer {
    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) && self.settings.discovery_on_request {
            let missed = FailedCall {
                list_known_at: now.saturating_sub(Rules::DOWN),
                reason: CallFailure::Unreachable,
            };
            self.schedule_poll(now, missed, actions);
        }
        match event {
            Event::Members(news) => self.members(now, news, actions),
            Event::Request(new) => self.request(now, new, actions),
            Event::Closed(closed) => self.closed(now, closed, actions),
            Event::Begun { request, .. } => self.conclude(request, true, actions),
            Event::Probed(server, report) => {
                self.servers
                    .entry(server)
                    .and_modify(|s| s.report = Some((now, report)));
            }
            Event::ClientGone(id) => self.settle(id, actions),
            Event::Timer(Timer::Request(id)) => self.review(now, id, actions),
            Event::Timer(Timer::Discovery) => {
                if self.discovery_poll.on_timer(now) {
                    actions.push(Action::Subscribe);
                }
            }
            Event::Coming(id) => self.coming(id),
            Event::Came(id) => self.came(now, id, actions),
            Event::Spent(id) => self.spent(id),
            Event::Settings(new) => self.retune(now, new),
            Event::Level(reduced) => {
                self.reduced = reduced.clone();
                self.retry_budget = self.retry_budget.min(RETRY_BUDGET.1 * reduced.retries);
            }
        }
    }

    // ---- Discovery ----

    fn schedule_poll(&mut self, now: Micros, failed: FailedCall, actions: &mut Vec<Action>) {
        let fleet = (&self.settings.rules, self.settings.group_size);
        let due = self
            .discovery_poll
            .schedule_after_failure(now, failed, fleet, &mut self.random);
        actions.extend(due.map(|at| Action::SetTimer {
            at,
            timer: Timer::Discovery,
        }));
    }

    fn members(&mut self, now: Micros, news: Members<'_>, actions: &mut Vec<Action>) {
        match news {
            Members::Failed {
                since,
                waited,
                broken_off,
            } => {
                actions.push(Action::Log(Note::DiscoveryFailed));
                let reason = CallFailure::from_ended_call(waited, broken_off);
                self.schedule_poll(
                    now,
                    FailedCall {
                        list_known_at: since,
                        reason,
                    },
                    actions,
                );
            }
            Members::Silent { since } => {
                let reason = CallFailure::Unanswered;
                self.schedule_poll(
                    now,
                    FailedCall {
                        list_known_at: since,
                        reason,
                    },
                    actions,
                );
            }
            Members::Watching => self.discovery_poll.on_watch_opened(now),
            Members::Full(list) => {
                self.servers
                    .values_mut()
                    .for_each(|s| s.listed.state = ServerState::Gone);
                self.list_came(now, list);
            }
            Members::Changes(list) => self.list_came(now, list),
        }
    }

    fn list_came(&mut self, now: Micros, list: &[Listed]) {
        self.discovery_poll.on_list_update();
        let all = list.len().max(self.ready.len()).max(1);
        let users =
            f64::from(self.settings.group_size) * self.reach(now).min(all) as f64 / all as f64;
        let at_once = AT_ONCE / users;
        for listed in list {
            // Where each instance may give a cold server less than one request in all, some give one at once
            // and some late, by chance: all together give what it bears from the first moment on.
            let by_chance = |_| (self.random.rand_float() - at_once) * self.mean_size.at;
            let owed = listed.started.map_or(0.0, by_chance);
            let server = self
                .servers
                .entry(listed.server)
                .or_insert_with(|| Server::new(*listed, now, owed));
            if listed.started > server.listed.started {
                // A crashed server comes back cold: nothing measured of its last life holds.
                let out = std::mem::take(&mut server.out);
                *server = Server {
                    out,
                    out_size: server.out_size,
                    ..Server::new(*listed, now, owed)
                };
            }
            server.listed = *listed;
        }
        self.servers
            .retain(|_, s| s.listed.state != ServerState::Gone || !s.out.is_empty());
        let ready = self
            .servers
            .values()
            .map(|s| s.listed)
            .filter(|l| l.state == ServerState::Ready);
        self.ready = ready.map(|l| l.server).collect();
        self.set_lanes(now);
    }

    // ---- Requests ----

    fn request(&mut self, now: Micros, new: NewRequest, actions: &mut Vec<Action>) {
        let at = new.class as usize;
        if at >= self.classes.len() || self.turned_away(&new) {
            return self.refuse(new.id, actions);
        }
        if self.too_old(&new) || self.overloaded(now, &new, actions) {
            return self.refuse(new.id, actions);
        }
        let class = &self.settings.classes[at];
        // From outside: one hint beyond all reason would give a server the whole interval for minutes.
        let hint = new.cost.unwrap_or(0).min(class.deadline) as f64;
        let size = if hint > 0.0 {
            hint
        } else {
            self.classes[at].cost.at
        };
        self.mean_size.add(size);
        self.arrivals.add(now, 1.0);
        let aim = class
            .aim
            .saturating_add((class.aim_stretch * hint) as Micros);
        // Past the aim nothing is earned, so no wait; an unsafe request may have run, and its client is told.
        let worthless = class.late_worth <= 0.0 && class.effect != Effect::Unsafe;
        let wait = if worthless {
            aim.min(new.time_left)
        } else {
            new.time_left
        };
        let wait = (self.reduced.patience * wait as f64) as Micros;
        let key = new.key.unwrap_or_else(|| self.random.rand_u64());
        let give_up = now + wait.saturating_sub(self.settings.tick);
        let most = self.settings.limits.max_attempts as usize;
        let request = Request::new(at, key, size, now, give_up, most);
        // Answers alone do not tell work from queue: only hints, of many requests, may widen what is let in.
        let work = &mut self.classes[at].work;
        work.step = (work.step / (1.0 + work.step)).max(HINTS);
        work.add((hint / class.aim as f64).min(1.0));
        self.classes[at].open += 1;
        self.requests.insert(new.id, request);
        let (earned, most) = RETRY_BUDGET;
        let most = (self.reduced.retries * most).max(1.0); // less than one would be none
        self.retry_budget = (self.retry_budget + self.reduced.retries * earned).min(most);
        self.review(now, new.id, actions);
    }

    /// Of the servers that were asked for this request's first attempt, the one that holds least.
    fn least_held(&self, now: Micros, request: &Request) -> Option<ServerId> {
        let asked = request.looked.iter().filter_map(|id| self.servers.get(id));
        let rated = asked.filter(|s| s.long.is_some()).map(|s| {
            let (bar, time) = self.bar(now, s, request);
            (bar, time, s.listed.server)
        });
        let best = rated.min_by(|a, b| {
            (a.0, a.1)
                .partial_cmp(&(b.0, b.1))
                .unwrap_or(Ordering::Equal)
        });
        best.filter(|(bar, ..)| *bar <= Bar::Tried)
            .map(|(.., id)| id)
    }

    /// Whether the level of service that holds turns this away: whom it befalls it befalls everywhere and at
    /// each try. It does not count as arrived, so that its class's servers go to the others.
    fn turned_away(&mut self, new: &NewRequest) -> bool {
        let class = new.class as usize;
        let share = self.reduced.away.get(class).copied().unwrap_or(0.0);
        let worthy = self.settings.classes[class].worth >= self.reduced.spare_worth;
        let away = share > 0.0 && !worthy && {
            let key = new.key.unwrap_or_else(|| self.random.rand_u64());
            place(key) < share
        };
        self.classes[class].given_up += u64::from(away);
        away
    }

    /// A client's repeat with less time left than first tries have tells its age by that. Past the aim it is
    /// worth nothing; in overload such repeats took a tenth of all that was served.
    fn too_old(&mut self, new: &NewRequest) -> bool {
        let class = &self.settings.classes[new.class as usize];
        let seen = &mut self.classes[new.class as usize];
        if !new.repeat {
            seen.first_try(new.time_left.min(class.deadline));
        }
        let past_aim = new.time_left.saturating_add(class.aim) <= class.deadline;
        let old = new.time_left < seen.first_left && past_aim;
        new.repeat && class.late_worth <= 0.0 && old
    }

    /// Queues of an aim's worth of work serve nobody in time, and clients that come again keep them full.
    /// Once answers are slow, no more is taken in than is served, least of tenants over their share.
    fn overloaded(&mut self, now: Micros, new: &NewRequest, actions: &mut Vec<Action>) -> bool {
        let (class, tenant) = (new.class as usize, new.tenant as usize);
        // Counted before any refusal: a class that is refused must not lose its servers by that.
        let seen = &mut self.classes[class];
        seen.arrived.add(now, seen.cost.at);
        let mut part = self.standing(class) * if new.repeat { REPEATS } else { 1.0 };
        if let Some(seen) = self.tenants.get_mut(tenant) {
            seen.add(now, 1.0);
            let mine = seen.get(now);
            let all: f64 = self.tenants.iter().map(|t| t.get(now)).sum();
            let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota).sum();
            part *= ((all * self.settings.tenants[tenant].quota / quotas + SPARE) / mine).min(1.0);
        }
        let seen = &mut self.classes[class];
        let served = seen.served.rate(now) * self.settings.classes[class].aim as f64;
        // A wave fills the queues before the first slow answer comes: what is open is bounded at once. The
        // gate opens by degrees: a flood let in by a few fast answers starts the next overload. In parts of
        // a request, by chance: one open at each of a thousand instances jams a fleet of a hundred.
        let delay = (WORKS.0 * seen.work.at).clamp(DELAY, WORKS.1);
        let slack = delay / seen.delay;
        let (gate, part) = (slack.powi(OPENING), delay * part);
        let room =
            (part * gate.max(slack.min(1.0))).min(QUEUE) * served + (part * gate).min(1.0) * SPARE;
        let over = f64::from(seen.open) + self.random.rand_float() >= room;
        if over
            && seen
                .refused
                .replace(now)
                .is_none_or(|last| now > last + CALM)
        {
            actions.push(Action::Log(Note::Overload(new.class)));
        }
        over
    }

    /// What a class's work is worth, as a part of the worthiest that the same servers do.
    fn standing(&self, class: usize) -> f64 {
        let work = |at: usize| {
            if self.settings.worth_by_work {
                1.0
            } else {
                self.classes[at].cost.at
            }
        };
        let worth = |at: usize| self.settings.classes[at].worth / work(at);
        let beside = |at: &usize| !self.classes[*at].retired && self.long(*at) == self.long(class);
        let sharing = (0..self.classes.len()).filter(beside).map(worth);
        worth(class) / sharing.fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Whether a further attempt may go out: never where one may have run that must not run twice.
    fn may_resend(&self, now: Micros, request: &Request) -> bool {
        let harmless = now
            < request.write_by(
                self.settings.classes[request.class].effect,
                self.settings.tick,
            );
        let more = request.attempts.len() < request.most_attempts;
        harmless && more && now < self.over_at(request)
    }

    /// Sends the request's next attempt to the server that the interval gives, if any may take it.
    fn send(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if !self
            .requests
            .get(&id)
            .is_some_and(|r| self.may_resend(now, r))
        {
            return false;
        }
        let Some(mut request) = self.requests.remove(&id) else {
            return false;
        };
        // Where each of many instances sees little, own work out tells nothing of a queue: the first servers
        // that the hash family names are asked, and the one that holds least for its weight is taken.
        if request.attempts.is_empty()
            && request.looked.is_empty()
            && self.asks > 1
            && self.reduced.probes
        {
            for _ in 0..self.asks {
                let Some(server) = self.choose(now, &mut request) else {
                    break;
                };
                request.looked.push(server);
                actions.push(Action::Probe(server));
            }
            self.requests.insert(id, request);
            return false;
        }
        let chosen = self
            .least_held(now, &request)
            .or_else(|| self.choose(now, &mut request));
        if let Some(server) = chosen.and_then(|to| self.servers.get_mut(&to)) {
            let seen = &self.classes[request.class];
            let long_by = (request.size / seen.cost.at.max(self.mean_size.at)).max(1.0);
            let due = now + (OVERDUE * seen.slow.at * long_by) as Micros;
            let attempt = request.attempts.len() as u32;
            let write_by = request.write_by(
                self.settings.classes[request.class].effect,
                self.settings.tick,
            );
            server.out.push(Out {
                request: id,
                attempt,
                size: request.size,
                sent: now,
                due,
            });
            server.out_size += request.size;
            (server.cold_budget, server.cold_filled) = (server.cold_left(now) - request.size, now);
            request.looked.clear();
            request.attempts.push(Attempt {
                to: server.listed,
                sent: now,
                outcome: None,
            });
            let (server, timeout_at) = (server.listed.server, request.give_up);
            actions.push(Action::Send {
                request: id,
                server,
                timeout_at,
                write_by,
            });
        }
        self.requests.insert(id, request);
        chosen.is_some()
    }

    /// The ordinary path: hash, and hash again while on empty space.
    fn choose(&mut self, now: Micros, request: &mut Request) -> Option<ServerId> {
        let (reach, had) = (self.reach(now), self.reached);
        let unfit = self.classes.len() > 1 || reach > had || reach < had / 2;
        if unfit && now >= self.lanes_set + PERIOD {
            self.set_lanes(now);
        }
        let long = self.long(request.class) && !self.lanes[1].is_empty();
        let lane = std::mem::take(&mut self.lanes[usize::from(long)]);
        self.tune(now, &lane);
        let interval = self.pool.get(&lane);
        // Servers that are asked are compared by what they tell, not here.
        let trial = !request.looked.is_empty() || self.random.rand_float() < TRIALS;
        let choices = if trial { 1 } else { CHOICES };
        let class = &self.settings.classes[request.class];
        let in_time = FIT * (request.came + class.aim).saturating_sub(now) as f64;
        let (mut met, mut taken): (usize, Option<(f64, ServerId)>) = (0, None);
        let mut best: Option<(Bar, f64, ServerId)> = None;
        for hash in request.next_hash..request.next_hash + HASHES {
            let offset = FixedState::with_seed(u64::from(hash)).hash_one(request.key);
            let owner = interval.and_then(|i| i.lookup(offset));
            let Some(id) = owner.filter(|id| !request.looked.contains(id)) else {
                continue;
            };
            let (bar, time) = self.bar(now, &self.servers[&id], request);
            if bar <= Bar::Tried && best.is_none_or(|(b, t, _)| (bar, time) < (b, t)) {
                best = Some((bar, time, id));
            }
            if bar == Bar::Free {
                taken = taken
                    .filter(|(least, _)| time >= BETTER * least)
                    .or(Some((time, id)));
                met += 1;
                if met == choices || time <= in_time {
                    request.next_hash = hash + 1;
                    break;
                }
            }
        }
        self.lanes[usize::from(long)] = lane;
        taken.map(|(_, id)| id).or(best.map(|(.., id)| id))
    }

    /// Why this server counts as empty space for this request, and how long it would take for it, by its
    /// weight and what it holds.
    fn bar(&self, now: Micros, server: &Server, request: &Request) -> (Bar, f64) {
        let listed = &server.listed;
        let crossing = if listed.zone == self.settings.zone {
            0.0
        } else {
            self.settings.prices.cross_zone
        };
        let held = server
            .out_size
            .max(server.reported(now) * self.mean_size.at);
        let work = held + CROSSING * crossing * self.mean_size.at;
        let class = &self.settings.classes[request.class];
        // What may be repeated is left to the servers that lose a part: a loss costs it little.
        let risk = if class.effect == Effect::Unsafe {
            LOSS * server.loses * class.aim as f64
        } else {
            0.0
        };
        let time = (work + request.size) / server.value.max(f64::MIN_POSITIVE) + risk;
        let outside = match (request.first_run(), class.effect) {
            (
                Some(first),
                Effect::Keyed {
                    scope: Scope::Zone, ..
                },
            ) => first.to.zone != listed.zone,
            (
                Some(first),
                Effect::Keyed {
                    scope: Scope::Cell, ..
                },
            ) => first.to.cell != listed.cell,
            _ => false,
        };
        let cold = server.warmth(now, &self.settings.rules) < 1.0 && server.cold_left(now) <= 0.0;
        let on_trial = server
            .ejected_until
            .is_some_and(|until| now < until || !server.out.is_empty());
        let bars = [
            (outside, Bar::OutsideGroup),
            (cold, Bar::Cold),
            (
                request
                    .attempts
                    .iter()
                    .any(|a| a.to.server == listed.server),
                Bar::Tried,
            ),
            (on_trial, Bar::Ejected),
        ];
        (
            bars.iter()
                .find(|(holds, _)| *holds)
                .map_or(Bar::Free, |(_, bar)| *bar),
            time,
        )
    }

    /// Nothing more is decided: an attempt still out is called off unless it streams.
    fn conclude(&mut self, id: RequestId, streams: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let open = !std::mem::replace(&mut request.settled, true) && request.coming.is_none();
        self.classes[request.class].open -= u32::from(open);
        let cancels = !streams && self.settings.limits.cancel;
        let useless = request
            .attempts
            .iter()
            .position(|a| a.outcome.is_none() && cancels);
        actions.extend(useless.map(|at| Action::Cancel {
            request: id,
            attempt: at as u32,
        }));
    }

    /// The request is over, and forgotten once its attempts are.
    fn settle(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.conclude(id, false, actions);
        if self.requests.get(&id).is_some_and(|r| r.live() == 0) {
            self.requests.remove(&id);
        }
    }

    fn refuse(&self, request: RequestId, actions: &mut Vec<Action>) {
        let retry_after = self
            .settings
            .limits
            .retry_after
            .then_some(self.settings.limits.max_retry_after);
        actions.push(Action::Refuse {
            request,
            retry_after,
        });
    }

    /// The final answer: a refusal where another try can do no harm, else a failure.
    fn finish(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let safe = self.settings.classes[request.class].effect == Effect::Safe;
        if safe || request.first_run().is_none() {
            self.refuse(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
        // A failure is no queue: to take it for one would refuse what idle servers can do.
        let last = request.attempts.last().and_then(|a| a.outcome);
        if !matches!(
            last,
            Some(Outcome::Error | Outcome::Reset | Outcome::ConnectFailed)
        ) {
            self.classes[request.class].delayed(now, 1.0);
        }
        self.settle(id, actions);
    }

    /// A look at one request: when it is held or waits for probes, and when nothing is to be had any more.
    fn review(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.settled) else {
            return;
        };
        if now >= self.over_at(request) {
            return self.finish(now, id, actions);
        }
        let at = if request.live() == 0 && !self.send(now, id, actions) {
            now + LOOK
        } else {
            Micros::MAX
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let at = at.min(self.over_at(request));
        if at < Micros::MAX {
            actions.push(Action::SetTimer {
                at,
                timer: Timer::Request(id),
            });
        }
    }

    // ---- Answers ----

    fn closed(&mut self, now: Micros, closed: Closed, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&closed.request) else {
            return;
        };
        let attempt = request.attempts.get_mut(closed.attempt as usize);
        let Some(attempt) = attempt.filter(|a| a.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(closed.outcome);
        let (class, size, came) = (request.class, request.size, request.came);
        let (settled, live) = (request.settled, request.live());
        self.measure(now, class, size, closed, actions);
        if closed.outcome == Outcome::Ok && !settled {
            let (seen, aim) = (
                &mut self.classes[class],
                self.settings.classes[class].aim as f64,
            );
            let part = now.saturating_sub(came) as f64 / aim;
            seen.delayed(now, part.min(1.0)); // more would shut the class
            seen.served.add(now, 1.0);
            self.served.add(now, size);
        }
        if closed.ended || settled || closed.outcome == Outcome::Ok {
            self.settle(closed.request, actions);
        } else if live == 0 && self.retry_budget >= 1.0 && self.send(now, closed.request, actions) {
            // Retries come out of a budget: overload must not feed on itself.
            self.retry_budget -= 1.0;
        } else if live == 0 {
            self.finish(now, closed.request, actions);
        }
    }

    fn measure(
        &mut self,
        now: Micros,
        class: usize,
        size: f64,
        closed: Closed,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(&closed.server) else {
            return;
        };
        server
            .out
            .retain(|o| (o.request, o.attempt) != (closed.request, closed.attempt));
        server.out_size = server.out.iter().map(|o| o.size).sum();
        let elapsed = closed.elapsed as f64;
        match closed.outcome {
            Outcome::Moot => return,
            Outcome::Ok => {
                server.size_sum += size;
                server.time_sum += elapsed.max(1.0);
                server.last_answer = now;
                server.failures = 0;
                server.ejection = 0;
                let lost = std::mem::take(&mut server.in_a_row);
                server.lost.add(now, lost);
                server.ended.add(now, lost + 1.0);
                if server.ejected_until.take().is_some() {
                    actions.push(Action::Log(Note::Restored(closed.server)));
                }
                self.classes[class].cost.add(elapsed);
                self.classes[class].slow.add(elapsed);
                self.mean_time.add(elapsed);
            }
            // Fast failures add almost no time, so a failing server would keep its region and draw traffic.
            _ => server.time_sum += elapsed.max(self.mean_time.at),
        }
        server.answered = true;
        let weight = match closed.outcome {
            Outcome::Timeout => 1,
            Outcome::Error => 2,
            Outcome::ConnectFailed | Outcome::Reset => 3,
            _ => 0,
        };
        server.failures = server.failures.saturating_add(weight);
        if weight > 0 && !closed.outcome.proves_not_run() {
            server.in_a_row += 1.0;
        }
        let most = f64::from(FAILURES) * (1.0 + ALIVE * server.loses);
        let failed = server
            .ejected_until
            .map_or(f64::from(server.failures) >= most, |until| now >= until);
        if weight > 0 && failed {
            server.ejection = (2 * server.ejection).clamp(EJECTION.0, EJECTION.1);
            server.ejected_until = Some(now + server.ejection);
            actions.push(Action::Log(Note::Ejected(closed.server, closed.outcome)));
        }
    }

    // ---- Measurement and tuning ----

    /// A short request behind a long one misses its aim. Where the usual work of some class is a large part
    /// of another's aim, each sort has servers of its own: the long ones as many of them, in an order that
    /// all instances agree on, as is their part of the work.
    pub(crate) fn set_lanes(&mut self, now: Micros) {
        self.lanes_set = now;
        let work = |seen: &ClassSeen| seen.arrived.get(now);
        let all: f64 = self.classes.iter().map(work).sum();
        let longs = (0..self.classes.len()).filter(|at| self.long(*at));
        let part = longs.map(|at| work(&self.classes[at])).sum::<f64>() / all.max(1.0);
        let (mut order, mut long) = (self.ready.clone(), Vec::new());
        if order.len() > 1 && part > 0.0 && part < 1.0 {
            // A server that hangs or is ejected serves neither sort: the parts are counted without it.
            let fit = |s: &Server| !s.stalled(now) && s.ejected_until.is_none();
            let count = self
                .ready
                .iter()
                .filter(|id| fit(&self.servers[id]))
                .count();
            let wanted = (LONG_PART * part * count as f64).round() as usize;
            let mut missing = wanted.clamp(1, count.max(2) - 1);
            order.sort_by_cached_key(|id| FixedState::with_seed(u64::MAX).hash_one(id));
            while missing > 0
                && let Some(id) = order.pop()
            {
                missing -= usize::from(fit(&self.servers[&id]));
                long.push(id);
            }
        }
        self.reached = self.reach(now);
        let own = FixedState::with_seed(self.seed);
        for lane in [&mut order, &mut long] {
            lane.sort_by_cached_key(|id| own.hash_one(id));
            lane.truncate(self.reached);
            lane.sort_unstable();
        }
        for (id, server) in &mut self.servers {
            let is_long = long.binary_search(id).is_ok();
            server.long = (is_long || order.binary_search(id).is_ok()).then_some(is_long);
        }
        self.lanes = [order, long];
    }

    /// What answers seldom cannot be measured: hung and slow servers are met again and again. An instance
    /// that does not ask keeps to as many as it hears from, of its own choice: together they use all. Of a
    /// hundred that all use a server, each sends it one more before its first late answer, and jams it; few
    /// that meet it often hold back at once, since what they have out there themselves is its queue.
    fn reach(&self, now: Micros) -> usize {
        let may_ask = self.settings.limits.probes;
        if may_ask && (self.asks > 1 || self.settings.group_size < BLIND) {
            return usize::MAX;
        }
        let span = if may_ask { MET } else { HEARD.0 };
        let heard = (self.arrivals.get(now) / HEARD.1 * span) as usize;
        heard.max(REACH).next_power_of_two()
    }

    fn long(&self, class: usize) -> bool {
        self.classes[class].cost.at > LONG * self.shortest_aim
    }

    /// Brings the interval of these servers up to date, or makes one.
    fn tune(&mut self, now: Micros, lane: &[ServerId]) {
        let period = PERIOD * lane.len().div_ceil(STRETCH) as Micros;
        if lane.is_empty() || self.pool.get(lane).is_some_and(|i| now < i.tuned + period) {
            return;
        }
        let rules = self.settings.rules;
        // Where the whole fleet is cold nothing was served: all instances together begin at one a `fall`.
        let first =
            self.mean_size.at / rules.fall.max(1) as f64 / f64::from(self.settings.group_size);
        // Over the whole span also where this instance is younger: a cold server's budget errs low.
        let used = lane.len() + self.lanes.iter().map(Vec::len).sum::<usize>(); // this one is not in there
        let per_server = self.served.get(now) / RATE_SPAN / used as f64;
        let long = self.servers.get(&lane[0]).and_then(|s| s.long);
        let prior = PRIOR * self.mean_time.at;
        // A quiet instance hears from few of many servers: what it has measured of a kind tells of the rest.
        let (mut all, mut kinds) = (Seen::default(), BTreeMap::<u32, Seen>::new());
        for server in self.servers.values().filter(|s| s.long == long) {
            all.add(server);
            kinds.entry(server.listed.kind).or_default().add(server);
        }
        let mean = (1.0 + all.size) / (1.0 + all.time);
        let mut weights = Vec::with_capacity(lane.len());
        for server in self.servers.values_mut().filter(|s| s.long == long) {
            // A hung server completes nothing: the age of what is overdue there counts against it.
            let overdue = server
                .out
                .iter()
                .filter(|o| now > o.due)
                .map(|o| (now - o.sent) as f64);
            let time = server.time_sum + overdue.sum::<f64>() + prior;
            let kind = kinds.entry(server.listed.kind).or_default();
            let usual = (kind.size + mean * prior) / (kind.time + prior);
            let own = usual * server.listed.capacity / (kind.capacity / kind.servers);
            server.loses = server.share_lost(now);
            let warmth = server.warmth(now, &rules);
            server.value = ((server.size_sum + own * prior) / time) * warmth;
            weights.push(server.value);
            let kept = if std::mem::take(&mut server.answered) {
                KEEP
            } else {
                1.0
            };
            (server.size_sum, server.time_sum) = (kept * server.size_sum, kept * server.time_sum);
            // A cold server is given what it would bear of a warm one's usual work and a part more: the warm
            // can't do it all. Hardly any is saved up. A request takes the budget below nothing, so that an
            // instance whose part is less than one request in all that time sends some too.
            (server.cold_budget, server.cold_filled) = (server.cold_left(now), now);
            server.cold_rate = (PACE * warmth * per_server * (own / mean)).max(first);
            server.cold_most = server.cold_rate * rules.fall as f64 * SAVED;
        }
        if self.pool.len() >= POOL && !self.pool.contains_key(lane) {
            let oldest = self
                .pool
                .iter()
                .min_by_key(|(_, i)| i.tuned)
                .map(|(key, _)| key.clone());
            oldest.and_then(|key| self.pool.remove(&key));
        }
        let interval = self
            .pool
            .entry(lane.to_vec())
            .or_insert_with(|| Interval::new(lane.to_vec()));
        interval.tune(&weights);
        interval.tuned = now;
    }
}
