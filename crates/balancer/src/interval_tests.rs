//! Properties of the unit interval under long runs of random weights.

use crate::common::*;
use crate::decide::{Interval, POOL};
use crate::interface::*;
use oorandom::Rand64;

const STEP: u64 = 1 << 50;

fn owners(interval: &Interval) -> Vec<Option<ServerId>> {
    (0..1u64 << 14).map(|at| interval.lookup(at * STEP)).collect()
}

fn count(owners: &[Option<ServerId>], server: ServerId) -> f64 {
    owners.iter().filter(|o| **o == Some(server)).count() as f64 / owners.len() as f64
}

#[test]
fn half_is_covered_shares_follow_weights_and_only_shrinking_servers_lose_offsets() {
    let mut random = Rand64::new(11);
    for servers in [1usize, 2, 3, 9, 17, 54] {
        let ids: Vec<ServerId> = (0..servers as u64).map(ServerId).collect();
        let mut interval = Interval::new(ids.clone());
        let mut before: Option<(Vec<Option<ServerId>>, Vec<f64>)> = None;
        for _ in 0..60 {
            let weights: Vec<f64> = ids.iter().map(|_| 0.05 + random.rand_float()).collect();
            let total: f64 = weights.iter().sum();
            let shares: Vec<f64> = weights.iter().map(|w| w / total / 2.0).collect();
            interval.tune(&weights);
            let now = owners(&interval);
            let covered = now.iter().flatten().count() as f64 / now.len() as f64;
            assert!((covered - 0.5).abs() < 0.01, "{covered} is covered");
            for (at, id) in ids.iter().enumerate() {
                // One offset has one owner by construction, so shares that add up do not overlap.
                assert!((count(&now, *id) - shares[at]).abs() < 0.002, "{id:?} of {servers}");
            }
            if let Some((old, old_shares)) = before {
                for (was, is) in old.iter().zip(&now) {
                    let Some(server) = was.filter(|_| was != is) else { continue };
                    let at = server.0 as usize;
                    assert!(shares[at] < old_shares[at] + 1e-6, "{server:?} grew and lost an offset");
                }
            }
            before = Some((now, shares));
        }
    }
}

#[test]
fn the_pool_keeps_a_bounded_number_of_intervals_and_those_used_last() {
    let mut rig = Rig::new(settings(&[Effect::Safe]), &[]);
    for round in 0..30u64 {
        rig.now += S;
        // The lists take turns: each odd one is new, each even one is the same as before.
        let list = [listed(1), listed(if round % 2 == 0 { 2 } else { 100 + round })];
        rig.event(Event::Members(Members::Full(&list)));
        let (id, _) = rig.request(0);
        rig.event(Event::ClientGone(id));
        let pool = &rig.balancer.pool;
        assert!(pool.len() <= POOL, "{} intervals", pool.len());
        assert!(pool.contains_key(&vec![ServerId(1), list[1].server]), "the present one is there");
    }
    let pool = &rig.balancer.pool;
    assert_eq!(pool.len(), POOL);
    assert!(pool.contains_key(&vec![ServerId(1), ServerId(2)]), "used every other time");
    assert!(!pool.contains_key(&vec![ServerId(1), ServerId(101)]), "used once, long ago");
}

/// More servers than 16 bits can number.
#[test]
fn each_of_very_many_servers_has_a_region_of_its_own() {
    let ids: Vec<ServerId> = (0..70_000).map(ServerId).collect();
    let mut interval = Interval::new(ids.clone());
    interval.tune(&vec![1.0; ids.len()]);
    let cells = (8 * ids.len()).next_power_of_two() as u64;
    let offsets = (0..cells).map(|cell| cell * (u64::MAX / cells + 1));
    let owners: std::collections::BTreeSet<ServerId> = offsets.filter_map(|at| interval.lookup(at)).collect();
    assert_eq!(owners.len(), ids.len());
}
