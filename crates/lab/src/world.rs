//! Who is there: servers and instances by name, zone and size, and what an instance is told at its start.

use crate::experiment::{Effect, Experiment};
use crate::seeds::{Concern, stream};
use madderloom_balancer::{self as balancer, Micros, ServerId, Settings};
use rand_distr::{Distribution, LogNormal};

/// How long after a client's deadline an instance may still end its request.
pub const GRACE: Micros = 20_000;

/// An instance that neither watches nor asks for this long counts as told what was listed that long before.
pub const ASK_WITHIN: Micros = 10_000_000;

/// The servers and instances of an experiment with one seed. The same for every arm and driver.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// The servers: kind by kind, each kind's in the order of their numbers.
    pub servers: Vec<ServerPlace>,
    /// The zone of each instance.
    pub instances: Vec<u32>,
}

/// A server's name, place and size.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPlace {
    /// `KIND-NUMBER`.
    pub name: String,
    /// What the decision module calls it.
    pub id: ServerId,
    /// The place of its kind in the experiment.
    pub kind: u32,
    /// The place of its zone in the experiment.
    pub zone: u32,
    /// Standard microseconds of work that one of its cores does in a microsecond.
    pub speed: f64,
    /// Listed capacity.
    pub weight: f64,
}

impl World {
    /// The world of this experiment with this seed.
    pub fn of(experiment: &Experiment, seed: u64) -> Self {
        let zones = experiment.network.zones.len().max(1) as u32;
        let mut random = stream(seed, Concern::Fleet, 0);
        let mut servers = Vec::new();
        for (at, kind) in experiment.servers.iter().enumerate() {
            let unequal = LogNormal::from_mean_cv(1.0, kind.speed_cv.max(0.0)).ok();
            for number in 0..kind.count {
                let name = format!("{}-{number}", kind.name);
                let factor = match unequal.filter(|_| kind.speed_cv > 0.0) {
                    Some(unequal) => unequal.sample(&mut random).clamp(0.05, 20.0),
                    None => 1.0,
                };
                let listed = if kind.weight > 0.0 {
                    kind.weight
                } else {
                    f64::from(kind.cores) * kind.speed
                };
                servers.push(ServerPlace {
                    id: ServerId::from_name(&name),
                    kind: at as u32,
                    zone: number % zones,
                    speed: kind.speed * factor,
                    weight: listed,
                    name,
                });
            }
        }
        let instances = (0..experiment.instances.count).map(|i| i % zones).collect();
        World { servers, instances }
    }

    /// The servers that a fault names: by name, by kind, or as `zone:NAME`.
    pub fn named(&self, experiment: &Experiment, names: &[String]) -> Vec<u32> {
        let holds = |server: &ServerPlace| {
            names.iter().any(|name| match name.strip_prefix("zone:") {
                Some(zone) => experiment
                    .network
                    .zones
                    .get(server.zone as usize)
                    .is_some_and(|z| z == zone),
                None => {
                    *name == server.name || *name == experiment.servers[server.kind as usize].name
                }
            })
        };
        (0..)
            .zip(&self.servers)
            .filter(|(_, server)| holds(server))
            .map(|(at, _)| at)
            .collect()
    }
}

/// What an instance in this zone is told at its start.
pub fn settings(experiment: &Experiment, zone: u32) -> Settings {
    let allow = &experiment.instances.allow;
    let class = |class: &crate::experiment::Class| balancer::Class {
        latency_objective: class.aim.micros(),
        latency_objective_stretch: 0.0,
        deadline: class.deadline.micros(),
        retry_safety: match class.effect {
            Effect::Safe => balancer::RetrySafety::Idempotent,
            Effect::Unsafe => balancer::RetrySafety::NonIdempotent,
            Effect::Keyed => balancer::RetrySafety::IdempotentWithKey {
                scope: balancer::DeduplicationScope::All,
                window: class.window.micros(),
            },
        },
        priority_weight: class.worth,
        late_weight_share: class.late_worth,
    };
    // Told as one figure for all kinds: the coldest start and the longest warming that any of them has.
    let cold_from = experiment
        .servers
        .iter()
        .map(|k| k.cold_from)
        .fold(1.0, f64::min);
    let cold = experiment
        .servers
        .iter()
        .map(|k| k.cold.micros())
        .max()
        .unwrap_or(0);
    Settings {
        group_size: experiment.instances.count.max(1),
        zone,
        tick: experiment.instances.tick.micros().max(1),
        classes: experiment.classes.iter().map(class).collect(),
        tenants: Vec::new(),
        discovery_on_request: experiment.discovery.on_request,
        limits: balancer::Limits {
            cancel: allow.cancel,
            probes: allow.probes
                && experiment
                    .servers
                    .iter()
                    .all(|k| k.report_every.micros() > 0),
            retry_after: allow.retry_after.micros() > 0,
            max_retry_after: allow.retry_after.micros(),
            max_attempts: allow.max_attempts.max(1),
        },
        rules: balancer::SafetyRules {
            slow_start_min_share: cold_from.clamp(0.001, 1.0),
            slow_start_window: cold,
            overload_window: allow.fall.micros(),
            max_poll_interval: ASK_WITHIN,
            drain_grace: allow.drain_grace.micros(),
        },
        prices: balancer::Prices {
            cross_zone: allow.cross_zone_price,
            probe: allow.probe_price,
        },
        weight_per_work: false,
    }
}
