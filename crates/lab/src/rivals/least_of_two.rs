//! Two choices by own outstanding requests.

use super::chassis::{Choice, Fleet};
use super::figures::Figures;
use super::random::draw;
use madderloom_balancer::{Micros, NewRequest, ServerId};
use oorandom::Rand64;

/// Of two servers drawn at random, the one with fewer requests out: Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing" (IEEE TPDS 12(10), 2001), by the only queue lengths that a client has of its own, as
/// gRPC's `least_request` (A48) and NGINX's `random two least_conn` do it.
///
/// Figures: `choices` (2), servers drawn, all different; as many as there are servers make it the least of all.
/// Of servers with equally many the first drawn is taken. A request that is over counts no more, however it
/// ended: a server that fails fast looks idle and draws traffic, as published.
pub struct LeastOfTwo {
    random: Rand64,
    choices: usize,
}

impl LeastOfTwo {
    /// With a seed of its own.
    pub fn new(figures: &mut Figures<'_>, seed: u64) -> Self {
        let choices = figures.take("choices", 2.0, 1.0..=1e4) as usize;
        LeastOfTwo {
            random: Rand64::new(u128::from(seed)),
            choices,
        }
    }
}

impl Choice for LeastOfTwo {
    fn choose(&mut self, _: Micros, _: &NewRequest, from: &[ServerId], fleet: &Fleet) -> ServerId {
        let drawn = draw(&mut self.random, from, self.choices);
        drawn
            .into_iter()
            .min_by_key(|id| fleet.out(*id))
            .unwrap_or(from[0])
    }
}
