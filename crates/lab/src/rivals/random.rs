//! Random choice: uniform, or by weight.

use super::chassis::{Choice, Fleet};
use madderloom_balancer::{Micros, NewRequest, ServerId};
use oorandom::Rand64;
use smallvec::SmallVec;

/// Up to so many are drawn one by one, and again where one was drawn before.
const FEW: usize = 8;

/// Some of `from`, all different and in random order: `count` of them, or all where there are fewer.
pub fn draw(random: &mut Rand64, from: &[ServerId], count: usize) -> SmallVec<[ServerId; FEW]> {
    let (mut drawn, count) = (SmallVec::new(), count.min(from.len()));
    if count > FEW {
        let mut rest = from.to_vec();
        for at in 0..count {
            rest.swap(at, random.rand_range(at as u64..from.len() as u64) as usize);
        }
        drawn.extend_from_slice(&rest[..count]);
    }
    while drawn.len() < count {
        let id = from[random.rand_range(0..from.len() as u64) as usize];
        if !drawn.contains(&id) {
            drawn.push(id);
        }
    }
    drawn
}

/// Any server, each as likely: `RANDOM` in Envoy's documentation of load balancers, and the randomized protocol in
/// section 5 of Wu and Burns, "Improving I/O Performance of Clustered Storage Systems by Adaptive Request
/// Distribution", which gives unequal servers equal parts.
///
/// It takes no figures and measures nothing, so no outcome changes what it does.
pub struct Random {
    random: Rand64,
}

impl Random {
    /// With a seed of its own.
    pub fn new(seed: u64) -> Self {
        Random {
            random: Rand64::new(u128::from(seed)),
        }
    }
}

impl Choice for Random {
    fn choose(&mut self, _: Micros, _: &NewRequest, from: &[ServerId], _: &Fleet) -> ServerId {
        from[self.random.rand_range(0..from.len() as u64) as usize]
    }
}

/// Any server, each as likely as its listed capacity is large: randomized distribution where the speeds are known
/// beforehand (`WEIGHTED` clusters of Envoy, Ribbon's `WeightedResponseTimeRule` with fixed weights).
///
/// It takes no figures and measures nothing.
pub struct WeightedRandom {
    random: Rand64,
}

impl WeightedRandom {
    /// With a seed of its own.
    pub fn new(seed: u64) -> Self {
        WeightedRandom {
            random: Rand64::new(u128::from(seed)),
        }
    }
}

impl Choice for WeightedRandom {
    fn choose(&mut self, _: Micros, _: &NewRequest, from: &[ServerId], fleet: &Fleet) -> ServerId {
        let total: f64 = from.iter().map(|id| fleet.capacity(*id)).sum();
        let mut left = self.random.rand_float() * total;
        let met = from.iter().find(|id| {
            left -= fleet.capacity(**id);
            left < 0.0
        });
        *met.unwrap_or(&from[from.len() - 1])
    }
}
