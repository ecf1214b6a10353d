//! Prequal's hot-cold rule over a pool of probes.

use super::chassis::{Choice, Fleet};
use super::figures::Figures;
use super::random::draw;
use madderloom_balancer::{AttemptResult, LoadReport, Micros, NewRequest, Outcome, ServerId};
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};

/// Answers to probes by which the distribution of requests in flight is estimated.
const SEEN: usize = 128;
/// Latencies kept for each server, and of all servers together where one has none.
const SAMPLES: (usize, usize) = (16, 64);
/// Of these, those taken at the nearest numbers in flight, of which the median counts.
const NEAREST: usize = 5;

/// A probe's answer in the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probe {
    /// Who answered.
    pub server: ServerId,
    /// When the answer came.
    pub at: Micros,
    /// Requests in flight there, those included that were sent by this answer since.
    pub in_flight: f64,
    /// The latency that a request may expect there, in microseconds.
    pub latency: f64,
    /// How often it may still be used.
    pub uses: u32,
}

/// The hot-cold lexicographic rule: the place of the best of some probes, none of which is hot that has at most
/// `limit` requests in flight. The cold one with the least latency, or where all are hot, the one with the fewest
/// requests in flight. Of equal ones the earlier.
pub fn best(pool: &[Probe], limit: f64) -> Option<usize> {
    let rank = |p: &Probe| {
        if p.in_flight > limit {
            (1, p.in_flight)
        } else {
            (0, p.latency)
        }
    };
    extreme(pool, |a, b| order(rank(a), rank(b)))
}

/// The worst of some probes: the hot one with the most requests in flight, or where all are cold, the one with the
/// most latency.
pub fn worst(pool: &[Probe], limit: f64) -> Option<usize> {
    let rank = |p: &Probe| {
        if p.in_flight > limit {
            (1, p.in_flight)
        } else {
            (0, p.latency)
        }
    };
    extreme(pool, |a, b| order(rank(b), rank(a)))
}

fn order(a: (u8, f64), b: (u8, f64)) -> std::cmp::Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}

fn extreme(pool: &[Probe], less: impl Fn(&Probe, &Probe) -> std::cmp::Ordering) -> Option<usize> {
    (0..pool.len()).min_by(|a, b| less(&pool[*a], &pool[*b]))
}

/// The smallest of some values that at least a part `share` of them do not exceed; without end where there are none.
pub fn quantile(values: impl Iterator<Item = f64>, share: f64) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    let place = (share * values.len() as f64).ceil().max(1.0) as usize - 1;
    values.get(place).copied().unwrap_or(f64::INFINITY)
}

/// How often an answer may be used, as a mean: `max(1, (1 + delta) / ((1 - pool / servers) * probes - removed))`, without
/// bound where probes do not come in faster than they are removed.
pub fn reuses(delta: f64, pool: f64, servers: f64, probes: f64, removed: f64) -> f64 {
    let surplus = (1.0 - pool / servers) * probes - removed;
    if surplus > 0.0 {
        ((1.0 + delta) / surplus).max(1.0)
    } else {
        f64::INFINITY
    }
}

/// Latencies by the requests that were in flight.
#[derive(Clone, Debug, Default)]
struct Latencies(VecDeque<(f64, f64)>);

impl Latencies {
    fn add(&mut self, sample: (f64, f64), most: usize) {
        self.0.push_back(sample);
        if self.0.len() > most {
            self.0.pop_front();
        }
    }

    fn at(&self, in_flight: f64) -> Option<f64> {
        let mut near: Vec<(f64, f64)> = self
            .0
            .iter()
            .map(|(n, t)| ((n - in_flight).abs(), *t))
            .collect();
        near.sort_by(|a, b| a.0.total_cmp(&b.0));
        near.truncate(NEAREST);
        (!near.is_empty()).then(|| quantile(near.into_iter().map(|(_, t)| t), 0.5))
    }
}

/// Prequal: Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should balance: Introducing Prequal" (NSDI
/// 2024).
///
/// Each request has `probes` (3) servers probed, drawn at random, whose answers come later and go into a pool of `pool`
/// (16). A request goes to the best of the pool by the hot-cold rule ([`best`]), where a probe is hot if its
/// requests in flight exceed the `quantile` (2^-0.25) of those lately heard of. An answer leaves the pool when it is
/// older than `age_ms` (1 000), when it has been used as often as [`reuses`] says with `delta` (1), when it is the
/// oldest and a new one finds the pool full; and with each request `remove` (1) are taken out, the oldest and the
/// worst in turn. A use adds one to the answer's requests in flight. With fewer than `least` (2) answers the
/// server is drawn at random: this is also the fallback where the site allows no probes, and there it is all that is
/// left of it.
///
/// What could not be as published:
/// - Reports here hold no latency. Servers estimate it by the median of their latest latencies at about the present
///   number in flight; here the instance does so by its own attempts that were sent by a probe, of that server or, where
///   there are none, of all. Served attempts and timeouts count.
/// - A newer answer of a server replaces its older one, so that of a handful of servers no stale one stays.
/// - There is no probing while no request comes: the interface has no timer for it.
/// - The heuristic against servers that fail fast is mentioned in the paper and not described; there is none here.
pub struct Prequal {
    random: Rand64,
    probes: f64,
    most: usize,
    age: f64,
    remove: f64,
    delta: f64,
    share: f64,
    least: usize,
    /// In the order in which the answers came.
    pool: Vec<Probe>,
    seen: VecDeque<f64>,
    /// Parts of probes and removals that are owed.
    owed: (f64, f64),
    /// Whether the next removal takes the worst.
    worst_next: bool,
    servers: usize,
    /// What was in flight by the probe that the choice just made went by; then by attempt.
    chosen: Option<f64>,
    sent: BTreeMap<(u64, u32), f64>,
    latencies: BTreeMap<ServerId, Latencies>,
    all: Latencies,
}

impl Prequal {
    /// With a seed of its own.
    pub fn new(figures: &mut Figures<'_>, seed: u64) -> Self {
        Prequal {
            random: Rand64::new(u128::from(seed)),
            probes: figures.take("probe_rate", 3.0, 0.0..=100.0),
            most: figures.take("pool", 16.0, 1.0..=1e4) as usize,
            age: figures.time("age_ms", 1_000.0),
            remove: figures.take("remove", 1.0, 0.0..=100.0),
            delta: figures.take("delta", 1.0, 0.0..=100.0),
            share: figures.take("quantile", 2f64.powf(-0.25), 0.0..=1.0),
            least: figures.take("least", 2.0, 1.0..=1e4) as usize,
            pool: Vec::new(),
            seen: VecDeque::new(),
            owed: (0.0, 0.0),
            worst_next: false,
            servers: 0,
            chosen: None,
            sent: BTreeMap::new(),
            latencies: BTreeMap::new(),
            all: Latencies::default(),
        }
    }

    /// The answers that the next request is sent by, in the order in which they came.
    pub fn pool(&self) -> &[Probe] {
        &self.pool
    }

    /// More in flight than this is hot.
    pub fn limit(&self) -> f64 {
        quantile(self.seen.iter().copied(), self.share)
    }

    fn drop_old(&mut self, now: Micros) {
        self.pool
            .retain(|p| now.saturating_sub(p.at) as f64 <= self.age);
    }

    fn remove_some(&mut self, limit: f64) {
        self.owed.1 += self.remove;
        while self.owed.1 >= 1.0 {
            self.owed.1 -= 1.0;
            let place = if self.worst_next {
                worst(&self.pool, limit)
            } else {
                Some(0)
            };
            self.worst_next = !self.worst_next;
            if let Some(place) = place.filter(|at| *at < self.pool.len()) {
                self.pool.remove(place);
            }
        }
    }

    fn uses(&mut self) -> u32 {
        let mean = reuses(
            self.delta,
            self.most as f64,
            self.servers as f64,
            self.probes,
            self.remove,
        )
        .min(1e6);
        mean as u32 + u32::from(self.random.rand_float() < mean.fract())
    }
}

impl Choice for Prequal {
    fn choose(&mut self, now: Micros, _: &NewRequest, from: &[ServerId], _: &Fleet) -> ServerId {
        self.drop_old(now);
        let limit = self.limit();
        let open: Vec<Probe> = self
            .pool
            .iter()
            .copied()
            .filter(|p| from.binary_search(&p.server).is_ok())
            .collect();
        let taken = best(&open, limit)
            .filter(|_| open.len() >= self.least)
            .map(|at| open[at]);
        self.chosen = taken.map(|p| p.in_flight);
        if let Some(taken) = taken {
            for probe in self.pool.iter_mut().filter(|p| p.server == taken.server) {
                probe.in_flight += 1.0;
                probe.uses -= 1;
            }
            self.pool.retain(|p| p.uses > 0);
        }
        self.remove_some(limit);
        taken.map_or_else(
            || from[self.random.rand_range(0..from.len() as u64) as usize],
            |p| p.server,
        )
    }

    fn arrived(&mut self, _: Micros, fleet: &Fleet, probes: &mut Vec<ServerId>) {
        self.owed.0 += self.probes;
        let count = self.owed.0 as usize;
        self.owed.0 -= count as f64;
        probes.extend(draw(&mut self.random, fleet.ready(), count));
    }

    fn listed(&mut self, _: Micros, fleet: &Fleet) {
        self.servers = fleet.ready().len();
        self.pool
            .retain(|p| fleet.ready().binary_search(&p.server).is_ok());
    }

    fn forget(&mut self, server: ServerId) {
        self.pool.retain(|p| p.server != server);
        self.latencies.remove(&server);
    }

    fn sent(&mut self, _: Micros, _: ServerId, attempt: (u64, u32)) {
        if let Some(in_flight) = self.chosen.take() {
            self.sent.insert(attempt, in_flight);
        }
    }

    fn closed(&mut self, _: Micros, _: u32, closed: &AttemptResult, fleet: &Fleet) {
        let sent = self.sent.remove(&(closed.request, closed.attempt));
        let counts = matches!(closed.outcome, Outcome::Ok | Outcome::Timeout);
        if let Some(in_flight) = sent.filter(|_| counts && fleet.get(closed.server).is_some()) {
            let sample = (in_flight, closed.elapsed as f64);
            self.latencies
                .entry(closed.server)
                .or_default()
                .add(sample, SAMPLES.0);
            self.all.add(sample, SAMPLES.1);
        }
    }

    fn probed(&mut self, now: Micros, server: ServerId, report: Option<LoadReport>) {
        self.pool.retain(|p| p.server != server);
        let Some(in_flight) = report.map(|r| r.in_flight).filter(|held| held.is_finite()) else {
            return;
        };
        self.seen.push_back(in_flight);
        if self.seen.len() > SEEN {
            self.seen.pop_front();
        }
        let measured = self.latencies.get(&server).and_then(|l| l.at(in_flight));
        let latency = measured.or_else(|| self.all.at(in_flight)).unwrap_or(0.0);
        if self.pool.len() >= self.most {
            self.pool.remove(0);
        }
        let uses = self.uses();
        self.pool.push(Probe {
            server,
            at: now,
            in_flight,
            latency,
            uses,
        });
    }
}
