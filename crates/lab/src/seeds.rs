//! Random streams: one for each concern, all drawn from the seed of a run.
//!
//! Arms are paired by them: what one arm draws for its servers' luck never moves the arrivals, the works or the
//! faults of another arm with the same seed.

use rand::SeedableRng;

/// The generator behind every stream (PCG, O'Neill 2014): the same numbers on every machine.
pub type Random = rand_pcg::Pcg64Mcg;

/// What a stream of random numbers is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Concern {
    /// How unequal the servers are.
    Fleet,
    /// Which servers a fault befalls.
    Faults,
    /// When requests come.
    Arrivals,
    /// What they are: class, key, instance, client.
    Asks,
    /// How much work they are.
    Works,
    /// Latencies and resets.
    Network,
    /// The luck of one server.
    Server,
    /// The seed of one instance of the policy.
    Instance,
}

/// The stream of a concern, and where there are several, the one with this index.
pub fn stream(seed: u64, concern: Concern, index: u64) -> Random {
    Random::seed_from_u64(derive(seed, concern, index))
}

/// A seed of its own for a concern and an index.
pub fn derive(seed: u64, concern: Concern, index: u64) -> u64 {
    mix(mix(mix(seed) ^ (concern as u64 + 1)) ^ index)
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood 2014): neighbouring seeds get unlike streams.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
