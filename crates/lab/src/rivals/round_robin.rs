//! Round robin.

use super::chassis::{Choice, Fleet};
use madderloom_balancer::{Micros, NewRequest, ServerId};
use oorandom::Rand64;

/// One server after another, from a random one on: `round_robin` as gRPC's "Load Balancing in gRPC" words it ("each
/// address in the list"), with the random start of its implementations, without which all instances would walk in step.
///
/// It takes no figures and measures nothing. Where the list changes it goes on behind the server that it met last.
pub struct RoundRobin {
    random: Rand64,
    last: Option<ServerId>,
}

impl RoundRobin {
    /// With a seed of its own.
    pub fn new(seed: u64) -> Self {
        RoundRobin {
            random: Rand64::new(u128::from(seed)),
            last: None,
        }
    }
}

impl Choice for RoundRobin {
    fn choose(&mut self, _: Micros, _: &NewRequest, from: &[ServerId], _: &Fleet) -> ServerId {
        let next = match self.last {
            Some(last) => from.partition_point(|id| *id <= last) % from.len(),
            None => self.random.rand_range(0..from.len() as u64) as usize,
        };
        self.last = Some(from[next]);
        from[next]
    }
}
