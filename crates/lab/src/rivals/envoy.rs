//! Envoy's weighted least request, and its outlier detection.

use super::chassis::{Choice, Fleet};
use super::figures::Figures;
use super::random::draw;
use madderloom_balancer::{AttemptResult, LoadReport, Micros, NewRequest, Outcome, ServerId};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// `LEAST_REQUEST` as Envoy's documentation words it ("Supported load balancers", "Slow start mode").
///
/// Where all weights are equal, the one with the fewest requests out of `choices` (2) drawn at random. Else a weighted
/// round robin (earliest deadline first) in which a host weighs `weight / (requests out + 1) ^ bias` (1) when it
/// goes back into the schedule. The weight is the listed capacity. Figures besides: `slow_start_ms` (0: off, Envoy's
/// default), a window after a server's listed start in which its weight is multiplied by
/// `max(least_weight, (age / window) ^ (1 / aggression))`, with `aggression` (1) and `least_weight` (0.1).
///
/// No outcome changes what it does: a server that fails fast looks idle.
pub struct LeastRequest {
    random: Rand64,
    choices: usize,
    bias: f64,
    slow_start: f64,
    aggression: f64,
    least_weight: f64,
    /// The schedule: when each server is due, in its own time.
    due: BTreeMap<ServerId, f64>,
    time: f64,
    /// Whether the weights differ, those of slow start aside.
    unequal: bool,
    /// No server is in slow start from then on.
    slow_until: f64,
}

impl LeastRequest {
    /// With a seed of its own.
    pub fn new(figures: &mut Figures<'_>, seed: u64) -> Self {
        LeastRequest {
            random: Rand64::new(u128::from(seed)),
            choices: figures.take("choices", 2.0, 1.0..=1e4) as usize,
            bias: figures.take("bias", 1.0, 0.0..=100.0),
            slow_start: figures.time("slow_start_ms", 0.0),
            aggression: figures.take("aggression", 1.0, 0.01..=100.0),
            least_weight: figures.take("least_weight", 0.1, 0.001..=1.0),
            due: BTreeMap::new(),
            time: 0.0,
            unequal: false,
            slow_until: 0.0,
        }
    }

    /// What a host weighs in the schedule.
    pub fn weight(&self, now: Micros, server: ServerId, fleet: &Fleet) -> f64 {
        let started = fleet.get(server).and_then(|m| m.listed.started_at);
        let warmth = match started.map(|at| now.saturating_sub(at) as f64) {
            Some(age) if age < self.slow_start => (age / self.slow_start)
                .powf(1.0 / self.aggression)
                .max(self.least_weight),
            _ => 1.0,
        };
        warmth * fleet.capacity(server) / f64::from(fleet.out(server) + 1).powf(self.bias)
    }
}

impl Choice for LeastRequest {
    fn choose(
        &mut self,
        now: Micros,
        _: &NewRequest,
        from: &[ServerId],
        fleet: &Fleet,
    ) -> ServerId {
        if !self.unequal && now as f64 >= self.slow_until {
            let drawn = draw(&mut self.random, from, self.choices);
            return drawn
                .into_iter()
                .min_by_key(|id| fleet.out(*id))
                .unwrap_or(from[0]);
        }
        let due = |id: &ServerId| self.due.get(id).copied().unwrap_or(self.time);
        let next = from
            .iter()
            .min_by(|a, b| due(a).total_cmp(&due(b)))
            .copied()
            .unwrap_or(from[0]);
        self.time = self.time.max(due(&next));
        let again = self.time + 1.0 / self.weight(now, next, fleet);
        self.due.insert(next, again);
        next
    }

    fn listed(&mut self, _: Micros, fleet: &Fleet) {
        let ready = fleet.ready();
        self.due.retain(|id, _| ready.binary_search(id).is_ok());
        for id in ready {
            // Somewhere within its first turn: without that all instances would walk in step.
            let first = self.random.rand_float() / fleet.capacity(*id);
            self.due.entry(*id).or_insert(self.time + first);
        }
        let mut weights = ready.iter().map(|id| fleet.capacity(*id));
        let first = weights.next();
        self.unequal = weights.any(|w| Some(w) != first);
        let started = ready
            .iter()
            .filter_map(|id| fleet.get(*id)?.listed.started_at)
            .max();
        let window = |at: Micros| {
            if self.slow_start > 0.0 {
                at as f64 + self.slow_start
            } else {
                0.0
            }
        };
        self.slow_until = started.map_or(0.0, window);
    }
}

/// What outlier detection holds of a host.
#[derive(Clone, Copy, Debug, Default)]
struct Host {
    /// Failures in a row.
    failures: u32,
    /// Of the present interval.
    requests: u32,
    served: u32,
    /// How often it was ejected, less one for each interval in which it was not.
    ejections: u32,
    ejected_until: Option<Micros>,
}

/// Envoy's outlier detection ("Outlier detection" in its documentation) in front of another choice, which sees only the
/// hosts that are not ejected; or all where fewer than `panic_share` (0.5) of those that are ready are left (panic mode).
///
/// - *Consecutive 5xx*: after `failures` (5) in a row a host is ejected. Errors, refusals of servers (they are 503),
///   timeouts, lost and failed connections all count, as where local and external errors are not split.
/// - *Success rate*: each `interval_ms` (10 000), where at least `hosts` (5) had `volume` (100) requests in it, those
///   below the mean less `deviations` (1.9) standard deviations are ejected.
/// - *Ejection* lasts `ejection_ms` (30 000) times the number of times that the host was ejected, `ejection_most_ms`
///   (300 000) at most; the number falls by one with each interval in which it was not. No host is ejected while
///   `ejected_share` (0.1) of all are, but one always may be.
///
/// The interval is kept by the events that come: a quiet instance does at the next one what was due before.
pub struct Outliers {
    inner: Box<dyn Choice>,
    hosts: BTreeMap<ServerId, Host>,
    /// Those that are ejected, and some whose time has run out since.
    out: BTreeSet<ServerId>,
    checked: Option<Micros>,
    failures: u32,
    interval: f64,
    least_hosts: usize,
    volume: u32,
    deviations: f64,
    ejection: f64,
    ejection_most: f64,
    ejected_share: f64,
    panic_share: f64,
}

impl Outliers {
    /// In front of a choice.
    pub fn new(figures: &mut Figures<'_>, inner: Box<dyn Choice>) -> Self {
        Outliers {
            inner,
            hosts: BTreeMap::new(),
            out: BTreeSet::new(),
            checked: None,
            failures: figures.take("failures", 5.0, 1.0..=1e6) as u32,
            interval: figures.time("interval_ms", 10_000.0).max(1.0),
            least_hosts: figures.take("hosts", 5.0, 1.0..=1e6) as usize,
            volume: figures.take("volume", 100.0, 1.0..=1e6) as u32,
            deviations: figures.take("deviations", 1.9, 0.0..=100.0),
            ejection: figures.time("ejection_ms", 30_000.0),
            ejection_most: figures.time("ejection_most_ms", 300_000.0),
            ejected_share: figures.take("ejected_share", 0.1, 0.0..=1.0),
            panic_share: figures.take("panic_share", 0.5, 0.0..=1.0),
        }
    }

    fn ejected(&self, now: Micros, server: ServerId) -> bool {
        let out = self.out.contains(&server);
        out && self
            .hosts
            .get(&server)
            .and_then(|h| h.ejected_until)
            .is_some_and(|until| now < until)
    }

    /// Takes off the list those whose time is over.
    fn sweep(&mut self, now: Micros) {
        let until = |id: &ServerId| self.hosts.get(id).and_then(|h| h.ejected_until);
        self.out
            .retain(|id| until(id).is_some_and(|until| now < until));
    }

    fn eject(&mut self, now: Micros, server: ServerId, fleet: &Fleet) {
        self.sweep(now);
        let out = self
            .out
            .iter()
            .filter(|id| fleet.ready().binary_search(id).is_ok())
            .count();
        let most = (self.ejected_share * fleet.ready().len() as f64).max(1.0);
        let Some(host) = self
            .hosts
            .get_mut(&server)
            .filter(|_| out as f64 + 1.0 <= most)
        else {
            return;
        };
        self.out.insert(server);
        host.ejections += 1;
        host.failures = 0;
        let time = (self.ejection * f64::from(host.ejections)).min(self.ejection_most);
        host.ejected_until = Some(now + time as Micros);
    }

    /// The end of an interval: the success rates are compared.
    fn check(&mut self, now: Micros, fleet: &Fleet) {
        let checked = *self.checked.get_or_insert(now);
        if ((now - checked) as f64) < self.interval {
            return;
        }
        self.checked = Some(now);
        let mut rates = Vec::new();
        for (id, host) in &mut self.hosts {
            if host.requests >= self.volume {
                rates.push((*id, f64::from(host.served) / f64::from(host.requests)));
            }
            (host.requests, host.served) = (0, 0);
            match host.ejected_until {
                None => host.ejections = host.ejections.saturating_sub(1),
                Some(until) if now >= until => host.ejected_until = None,
                Some(_) => {}
            }
        }
        if rates.len() < self.least_hosts {
            return;
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let variance = rates
            .iter()
            .map(|(_, rate)| (rate - mean).powi(2))
            .sum::<f64>()
            / count;
        let bound = mean - self.deviations * variance.sqrt();
        for (id, _) in rates.iter().filter(|(_, rate)| *rate < bound) {
            if !self.ejected(now, *id) {
                self.eject(now, *id, fleet);
            }
        }
    }
}

impl Choice for Outliers {
    fn choose(
        &mut self,
        now: Micros,
        request: &NewRequest,
        from: &[ServerId],
        fleet: &Fleet,
    ) -> ServerId {
        self.check(now, fleet);
        self.sweep(now);
        if self.out.is_empty() {
            return self.inner.choose(now, request, from, fleet);
        }
        let ready = fleet.ready();
        let out = self
            .out
            .iter()
            .filter(|id| ready.binary_search(id).is_ok())
            .count();
        let panics = ((ready.len() - out) as f64) < self.panic_share * ready.len() as f64;
        let left: Vec<ServerId> = from
            .iter()
            .copied()
            .filter(|id| !self.out.contains(id))
            .collect();
        let from = if panics || left.is_empty() {
            from
        } else {
            &left
        };
        self.inner.choose(now, request, from, fleet)
    }

    fn arrived(&mut self, now: Micros, fleet: &Fleet, probes: &mut Vec<ServerId>) {
        self.inner.arrived(now, fleet, probes);
    }

    fn listed(&mut self, now: Micros, fleet: &Fleet) {
        self.inner.listed(now, fleet);
    }

    fn forget(&mut self, server: ServerId) {
        self.hosts.remove(&server);
        self.out.remove(&server);
        self.inner.forget(server);
    }

    fn sent(&mut self, now: Micros, server: ServerId, attempt: (u64, u32)) {
        self.inner.sent(now, server, attempt);
    }

    fn closed(&mut self, now: Micros, class: u32, closed: &AttemptResult, fleet: &Fleet) {
        self.inner.closed(now, class, closed, fleet);
        self.check(now, fleet);
        if matches!(closed.outcome, Outcome::Moot | Outcome::Cancelled)
            || fleet.get(closed.server).is_none()
        {
            return;
        }
        let served = closed.outcome == Outcome::Ok;
        let host = self.hosts.entry(closed.server).or_default();
        host.requests += 1;
        host.served += u32::from(served);
        host.failures = if served { 0 } else { host.failures + 1 };
        if host.failures >= self.failures && !self.ejected(now, closed.server) {
            self.eject(now, closed.server, fleet);
        }
    }

    fn probed(&mut self, now: Micros, server: ServerId, report: Option<LoadReport>) {
        self.inner.probed(now, server, report);
    }
}
