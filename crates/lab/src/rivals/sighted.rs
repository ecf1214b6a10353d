//! Arms that see the true state of the servers. No real balancer can; they are there to measure by.

use super::chassis::{Choice, Fleet};
use super::figures::Figures;
use crate::policy::Truth;
use madderloom_balancer::{AttemptResult, Micros, NewRequest, Outcome, ServerId, Settings};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The usual work of a class: first this part of its aim...
const GUESS: f64 = 0.125;
/// ...then a mean in which the latest answer weighs so much.
const WEIGHT: f64 = 0.02;

/// The server at which the request is expected to be done first, with perfect knowledge of all queues and speeds.
///
/// `centralized` is the centralized protocol in section 5 of Wu and Burns, "Improving I/O Performance of Clustered
/// Storage Systems by Adaptive Request Distribution": one distributor that knows all servers and packs the work onto
/// them. It knows nothing of failures, as its servers have none. `oracle` besides adds to a server's time the
/// part of its requests that fail now, times `failure_cost` (1) aims of the class, and leaves out what takes no
/// work, whether that has been listed or not. Both see a cold server as the slow one that it is, and that is all
/// the care for it: they give it what it can do, not less. Neither knows the way to a server: latency and cuts.
///
/// With work `w` of the request, backlog `b`, `k` cores and speed `s` of them all, the expected time is
/// `max(0, b - (k - 1) w) / s + w k / s`: it waits for a core until all but `k - 1` requests' worth of the backlog is
/// done. The work is the request's hint or else the mean that the instance measured for the class, and the cores
/// are the most that were ever seen free at once. Of servers that are equally good one is drawn at random.
pub struct Sighted {
    random: Rand64,
    truth: Rc<dyn Truth>,
    oracle: bool,
    failure_cost: f64,
    aims: Vec<f64>,
    works: Vec<f64>,
    cores: BTreeMap<ServerId, u32>,
    /// The wait and the core's speed that the choice just made goes by; then by attempt.
    chosen: Option<(f64, f64)>,
    sent: BTreeMap<(u64, u32), (f64, f64)>,
}

impl Sighted {
    /// `centralized`, with a seed of its own.
    pub fn centralized(truth: Rc<dyn Truth>, settings: &Settings, seed: u64) -> Self {
        let aims: Vec<f64> = settings
            .classes
            .iter()
            .map(|c| c.latency_objective as f64)
            .collect();
        Sighted {
            random: Rand64::new(u128::from(seed)),
            truth,
            oracle: false,
            failure_cost: 0.0,
            works: aims.iter().map(|aim| GUESS * aim).collect(),
            aims,
            cores: BTreeMap::new(),
            chosen: None,
            sent: BTreeMap::new(),
        }
    }

    /// `oracle`, with a seed of its own.
    pub fn oracle(
        figures: &mut Figures<'_>,
        truth: Rc<dyn Truth>,
        settings: &Settings,
        seed: u64,
    ) -> Self {
        let failure_cost = figures.take("failure_cost", 1.0, 0.0..=1e6);
        Sighted {
            oracle: true,
            failure_cost,
            ..Sighted::centralized(truth, settings, seed)
        }
    }

    /// The expected cost of a server, and in it the wait and the speed of a core; none where it is not to be had.
    fn rate(&mut self, server: ServerId, class: usize, work: f64) -> Option<(f64, f64, f64)> {
        let truth = self.truth.server(server)?;
        if self.oracle && !truth.takes_work {
            return None;
        }
        let cores = self.cores.entry(server).or_insert(1);
        *cores = truth.free_cores.max(*cores);
        let (cores, speed) = (f64::from(*cores), truth.speed.max(1e-9));
        let wait = (truth.backlog - (cores - 1.0) * work).max(0.0) / speed;
        let fails = self.failure_cost * truth.failing * self.aims[class];
        Some((wait + work * cores / speed + fails, wait, speed / cores))
    }
}

impl Choice for Sighted {
    fn choose(
        &mut self,
        _: Micros,
        request: &NewRequest,
        from: &[ServerId],
        _: &Fleet,
    ) -> ServerId {
        let class = request.class as usize;
        let hint = request
            .cost_hint
            .filter(|cost| *cost > 0)
            .map(|cost| cost as f64);
        let work = hint.unwrap_or(self.works[class]);
        let (mut taken, mut least, mut ties) = (None, f64::INFINITY, 0);
        for server in from {
            let Some((cost, wait, speed)) = self.rate(*server, class, work) else {
                continue;
            };
            ties = if cost < least {
                1
            } else {
                ties + u64::from(cost == least)
            };
            if cost < least || (cost == least && self.random.rand_range(0..ties) == 0) {
                (taken, least) = (Some(*server), cost);
                self.chosen = Some((wait, speed));
            }
        }
        taken.unwrap_or_else(|| from[self.random.rand_range(0..from.len() as u64) as usize])
    }

    fn forget(&mut self, server: ServerId) {
        self.cores.remove(&server);
    }

    fn sent(&mut self, _: Micros, _: ServerId, attempt: (u64, u32)) {
        if let Some(chosen) = self.chosen.take() {
            self.sent.insert(attempt, chosen);
        }
    }

    fn closed(&mut self, _: Micros, class: u32, closed: &AttemptResult, _: &Fleet) {
        let Some((wait, speed)) = self.sent.remove(&(closed.request, closed.attempt)) else {
            return;
        };
        if closed.outcome == Outcome::Ok {
            let elapsed = closed.elapsed as f64;
            let work = speed * (elapsed - wait).max(0.1 * elapsed);
            let mean = &mut self.works[class as usize];
            *mean += WEIGHT * (work - *mean);
        }
    }
}
