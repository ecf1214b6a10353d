//! Properties of the unit interval under long runs of random weights.

use crate::common::*;
use crate::decide::{Interval, POOL};
use crate::interface::*;
use oorandom::Rand64;

const STEP: u64 = 1 << 50;

fn owners(interval: &Interval) -> Vec<Option<ServerId>> {
    (0..1u64 << 14)
        .map(|at| interval.lookup(at * STEP))
        .collect()
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
                assert!(
                    (count(&now, *id) - shares[at]).abs() < 0.002,
                    "{id:?} of {servers}"
                );
            }
            if let Some((old, old_shares)) = before {
                for (was, is) in old.iter().zip(&now) {
                    let Some(server) = was.filter(|_| was != is) else {
                        continue;
                    };
                    let at = server.0 as usize;
                    assert!(
                        shares[at] < old_shares[at] + 1e-6,
                        "{server:?} grew and lost an offset"
                    );
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
        let list = [
            listed(1),
            listed(if round % 2 == 0 { 2 } else { 100 + round }),
        ];
        rig.event(Event::Members(Members::Full(&list)));
        let (id, _) = rig.request(0);
        rig.event(Event::ClientGone(id));
        let pool = &rig.balancer.pool;
        assert!(pool.len() <= POOL, "{} intervals", pool.len());
        assert!(
            pool.contains_key(&vec![ServerId(1), list[1].server]),
            "the present one is there"
        );
    }
    let pool = &rig.balancer.pool;
    assert_eq!(pool.len(), POOL);
    assert!(
        pool.contains_key(&vec![ServerId(1), ServerId(2)]),
        "used every other time"
    );
    assert!(
        !pool.contains_key(&vec![ServerId(1), ServerId(101)]),
        "used once, long ago"
    );
}

/// More servers than 16 bits can number.
#[test]
fn each_of_very_many_servers_has_a_region_of_its_own() {
    let ids: Vec<ServerId> = (0..70_000).map(ServerId).collect();
    let mut interval = Interval::new(ids.clone());
    interval.tune(&vec![1.0; ids.len()]);
    let cells = (8 * ids.len()).next_power_of_two() as u64;
    let offsets = (0..cells).map(|cell| cell * (u64::MAX / cells + 1));
    let owners: std::collections::BTreeSet<ServerId> =
        offsets.filter_map(|at| interval.lookup(at)).collect();
    assert_eq!(owners.len(), ids.len());
}

/// Requests come, attempts begin and end, some twice told, and the intervals are resized in between: whatever is looked up
/// sees a whole resize or none, and each attempt counts once.
#[test]
fn a_resize_amid_open_requests_is_never_seen_half_done_and_outcomes_count_once() {
    let mut random = Rand64::new(5);
    let mut rig = Rig::new(settings(&[Effect::Safe]), &fleet(6));
    let lane: Vec<ServerId> = (0..6).map(ServerId).collect();
    let mut flights: Vec<(RequestId, u32, ServerId, Micros)> = Vec::new();
    let (mut before, mut resizes) = (None::<(Vec<Option<ServerId>>, Vec<f64>)>, 0);
    for _ in 0..4_000 {
        rig.now += random.rand_range(0..20_000);
        if flights.len() < 40 && random.rand_float() < 0.55 {
            let (id, actions) = rig.request(0);
            flights.extend(sent(&actions).map(|server| (id, 0, server, rig.now)));
        } else if !flights.is_empty() {
            let at = random.rand_range(0..flights.len() as u64) as usize;
            let (id, attempt, server, sent_at) = flights.swap_remove(at);
            let elapsed = rig.now - sent_at;
            let outcomes = [
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Full,
                Outcome::Error,
            ];
            let outcome = outcomes[random.rand_range(0..5) as usize];
            let sums = |rig: &Rig| {
                rig.balancer
                    .servers
                    .values()
                    .map(|s| s.time_sum)
                    .sum::<f64>()
            };
            let actions = rig.close(id, attempt, server, outcome, elapsed);
            flights.extend(sent(&actions).map(|server| (id, attempt + 1, server, rig.now)));
            let once = sums(&rig);
            assert!(rig.close(id, attempt, server, outcome, elapsed).is_empty());
            assert_eq!(sums(&rig), once, "an outcome told twice counted twice");
        }
        let out: usize = rig
            .balancer
            .servers
            .values()
            .map(|server| server.out.len())
            .sum();
        assert_eq!(out, flights.len(), "what is out was miscounted");
        let Some(interval) = rig.balancer.pool.get(&lane) else {
            continue;
        };
        let now = owners(interval);
        let shares: Vec<f64> = lane.iter().map(|id| count(&now, *id)).collect();
        if let Some((old, old_shares)) = before.take() {
            resizes += u32::from(old != now);
            for (was, is) in old.iter().zip(&now) {
                let Some(server) = was.filter(|_| was != is) else {
                    continue;
                };
                let at = server.0 as usize;
                assert!(
                    shares[at] < old_shares[at] + 0.001,
                    "{server:?} grew and lost an offset"
                );
            }
        }
        assert!(
            (shares.iter().sum::<f64>() - 0.5).abs() < 0.01,
            "not one half is covered: {shares:?}"
        );
        before = Some((now, shares));
    }
    assert!(resizes > 50, "{resizes} resizes were seen");
}
