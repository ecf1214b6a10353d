//! Properties of the unit interval over many tunings with random weights.

use crate::common::*;
use crate::decide::{Interval, MAX_INTERVALS};
use crate::interface::*;
use oorandom::Rand64;

const OFFSET_STEP: u64 = 1 << 50;

/// The owners at evenly spaced offsets of the interval.
fn owners(interval: &Interval) -> Vec<Option<ServerId>> {
    (0..1u64 << 14)
        .map(|sample| interval.lookup(sample * OFFSET_STEP))
        .collect()
}

fn share(owners: &[Option<ServerId>], server: ServerId) -> f64 {
    owners
        .iter()
        .filter(|owner| **owner == Some(server))
        .count() as f64
        / owners.len() as f64
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
            let shares: Vec<f64> = weights.iter().map(|weight| weight / total / 2.0).collect();
            interval.tune(&weights);
            let now = owners(&interval);
            let covered = now.iter().flatten().count() as f64 / now.len() as f64;
            assert!((covered - 0.5).abs() < 0.01, "{covered} is covered");
            for (index, id) in ids.iter().enumerate() {
                // Each offset has one owner, so regions whose shares add up do not overlap.
                assert!(
                    (share(&now, *id) - shares[index]).abs() < 0.002,
                    "{id:?} of {servers}"
                );
            }
            if let Some((old, old_shares)) = before {
                for (old_owner, new_owner) in old.iter().zip(&now) {
                    let Some(server) = old_owner.filter(|_| old_owner != new_owner) else {
                        continue;
                    };
                    let index = server.0 as usize;
                    assert!(
                        shares[index] < old_shares[index] + 1e-6,
                        "{server:?} grew and lost an offset"
                    );
                }
            }
            before = Some((now, shares));
        }
    }
}

#[test]
fn a_bounded_number_of_intervals_is_kept_and_the_least_recently_used_is_dropped() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &[]);
    for round in 0..30u64 {
        rig.now += S;
        // The lists alternate: each odd one is new, each even one is the same as before.
        let list = [
            listed(1),
            listed(if round % 2 == 0 { 2 } else { 100 + round }),
        ];
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&list)));
        let (id, _) = rig.request(0);
        rig.event(Event::ClientDisconnected(id));
        let cache = &rig.balancer.cache;
        assert!(cache.len() <= MAX_INTERVALS, "{} intervals", cache.len());
        assert!(
            cache.contains_key(&vec![ServerId(1), list[1].server]),
            "the current interval is missing"
        );
    }
    let cache = &rig.balancer.cache;
    assert_eq!(cache.len(), MAX_INTERVALS);
    assert!(
        cache.contains_key(&vec![ServerId(1), ServerId(2)]),
        "the interval used in every other round was dropped"
    );
    assert!(
        !cache.contains_key(&vec![ServerId(1), ServerId(101)]),
        "an interval used only once, long ago, was kept"
    );
}

/// Uses more servers than a 16-bit index can hold.
#[test]
fn each_of_very_many_servers_has_a_region_of_its_own() {
    let ids: Vec<ServerId> = (0..70_000).map(ServerId).collect();
    let mut interval = Interval::new(ids.clone());
    interval.tune(&vec![1.0; ids.len()]);
    let subregions = (8 * ids.len()).next_power_of_two() as u64;
    let offsets = (0..subregions).map(|subregion| subregion * (u64::MAX / subregions + 1));
    let owners: std::collections::BTreeSet<ServerId> = offsets
        .filter_map(|offset| interval.lookup(offset))
        .collect();
    assert_eq!(owners.len(), ids.len());
}

/// Requests arrive, attempts start and end, some results are delivered twice, and the intervals are tuned in between. Every
/// lookup must see a completed tuning, and each attempt must count once.
#[test]
fn lookups_during_open_requests_never_see_a_partial_tuning_and_results_count_once() {
    let mut random = Rand64::new(5);
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(6));
    let lane: Vec<ServerId> = (0..6).map(ServerId).collect();
    let mut in_flight: Vec<(RequestId, u32, ServerId, Micros)> = Vec::new();
    let (mut before, mut tunings) = (None::<(Vec<Option<ServerId>>, Vec<f64>)>, 0);
    for _ in 0..4_000 {
        rig.now += random.rand_range(0..20_000);
        if in_flight.len() < 40 && random.rand_float() < 0.55 {
            let (id, actions) = rig.request(0);
            in_flight.extend(sent(&actions).map(|server| (id, 0, server, rig.now)));
        } else if !in_flight.is_empty() {
            let index = random.rand_range(0..in_flight.len() as u64) as usize;
            let (id, attempt, server, sent_at) = in_flight.swap_remove(index);
            let elapsed = rig.now - sent_at;
            let outcomes = [
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Full,
                Outcome::Error,
            ];
            let outcome = outcomes[random.rand_range(0..5) as usize];
            let total_time = |rig: &Rig| {
                rig.balancer
                    .servers
                    .values()
                    .map(|server| server.time_sum)
                    .sum::<f64>()
            };
            let actions = rig.close(id, attempt, server, outcome, elapsed);
            in_flight.extend(sent(&actions).map(|server| (id, attempt + 1, server, rig.now)));
            let counted_once = total_time(&rig);
            assert!(rig.close(id, attempt, server, outcome, elapsed).is_empty());
            assert_eq!(
                total_time(&rig),
                counted_once,
                "a result delivered twice counted twice"
            );
        }
        let counted: usize = rig
            .balancer
            .servers
            .values()
            .map(|server| server.in_flight.len())
            .sum();
        assert_eq!(
            counted,
            in_flight.len(),
            "the attempts in flight were miscounted"
        );
        let Some(interval) = rig.balancer.cache.get(&lane) else {
            continue;
        };
        let now = owners(interval);
        let shares: Vec<f64> = lane.iter().map(|id| share(&now, *id)).collect();
        if let Some((old, old_shares)) = before.take() {
            tunings += u32::from(old != now);
            for (old_owner, new_owner) in old.iter().zip(&now) {
                let Some(server) = old_owner.filter(|_| old_owner != new_owner) else {
                    continue;
                };
                let index = server.0 as usize;
                assert!(
                    shares[index] < old_shares[index] + 0.001,
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
    assert!(tunings > 50, "only {tunings} tunings were observed");
}
