//! What is chosen, against theory.

use crate::rig::*;
use madderloom_balancer::*;
use madderloom_lab::rivals::chassis::{Choice, Fleet};
use madderloom_lab::rivals::figures::Figures;
use madderloom_lab::rivals::least_of_two::LeastOfTwo;
use madderloom_lab::rivals::peak_ewma::{Estimate, PeakEwma};
use madderloom_lab::rivals::random::{Random, WeightedRandom, draw};
use madderloom_lab::rivals::round_robin::RoundRobin;
use oorandom::Rand64;
use proptest::prelude::*;
use std::collections::BTreeMap;

const DRAWS: usize = 40_000;
/// The 99.9th percentiles of chi-square with 9, 5 and 19 degrees of freedom.
const CHI: (f64, f64, f64) = (27.88, 20.52, 43.82);

fn counts(choice: &mut dyn Choice, fleet: &Fleet) -> Vec<f64> {
    let mut counts = vec![0.0; fleet.ready().len()];
    for id in 0..DRAWS {
        let server = choice.choose(0, &request(id as u64, 0), fleet.ready(), fleet);
        counts[server.0 as usize] += 1.0;
    }
    counts
}

#[test]
fn random_is_uniform() {
    for seed in 0..5 {
        let counts = counts(&mut Random::new(seed), &loaded(&[0; 10]));
        assert!(
            chi_square(&counts, &[DRAWS as f64 / 10.0; 10]) < CHI.0,
            "seed {seed}: {counts:?}"
        );
    }
}

#[test]
fn weighted_random_goes_by_listed_capacity() {
    let fleet = weighted(&[(1.0, 0), (2.0, 0), (3.0, 9), (4.0, 0), (0.5, 0), (0.5, 0)]);
    let expected: Vec<f64> = [1.0, 2.0, 3.0, 4.0, 0.5, 0.5]
        .iter()
        .map(|w| DRAWS as f64 * w / 11.0)
        .collect();
    for seed in 0..5 {
        let counts = counts(&mut WeightedRandom::new(seed), &fleet);
        assert!(
            chi_square(&counts, &expected) < CHI.1,
            "seed {seed}: {counts:?}"
        );
    }
}

#[test]
fn every_pair_is_drawn_equally_often_in_either_order_and_no_server_twice() {
    let ids: Vec<ServerId> = (0..5).map(ServerId).collect();
    let mut random = Rand64::new(3);
    let mut pairs = BTreeMap::<(u64, u64), f64>::new();
    for _ in 0..DRAWS {
        let drawn = draw(&mut random, &ids, 2);
        assert!(drawn.len() == 2 && drawn[0] != drawn[1]);
        *pairs.entry((drawn[0].0, drawn[1].0)).or_default() += 1.0;
    }
    let counts: Vec<f64> = pairs.into_values().collect();
    assert!(
        chi_square(&counts, &[DRAWS as f64 / 20.0; 20]) < CHI.2,
        "{counts:?}"
    );
    assert!(draw(&mut random, &[], 2).is_empty());
}

#[test]
fn many_are_drawn_as_few_are() {
    let ids: Vec<ServerId> = (0..20).map(ServerId).collect();
    let mut random = Rand64::new(3);
    let mut firsts = vec![0.0; 20];
    for _ in 0..DRAWS {
        let mut drawn = draw(&mut random, &ids, 12);
        firsts[drawn[0].0 as usize] += 1.0;
        drawn.sort_unstable();
        drawn.dedup();
        assert_eq!(drawn.len(), 12);
    }
    assert!(
        chi_square(&firsts, &[DRAWS as f64 / 20.0; 20]) < CHI.2,
        "{firsts:?}"
    );
    let mut all = draw(&mut random, &ids, 99);
    all.sort_unstable();
    assert_eq!(all.to_vec(), ids, "more than there are gives all");
}

#[test]
fn round_robin_meets_each_server_in_its_turn_from_a_random_one() {
    let fleet = loaded(&[0; 7]);
    let mut starts = BTreeMap::new();
    for seed in 0..50 {
        let mut robin = RoundRobin::new(seed);
        let mut next = || robin.choose(0, &request(1, 0), fleet.ready(), &fleet).0;
        let first = next();
        *starts.entry(first).or_insert(0) += 1;
        for turn in 1..30 {
            assert_eq!(next(), (first + turn) % 7);
        }
    }
    assert_eq!(starts.len(), 7, "all instances begin alike: {starts:?}");
}

#[test]
fn round_robin_goes_on_behind_the_last_server_where_the_list_changes() {
    let mut robin = RoundRobin::new(1);
    let mut next = |ids: &[u64]| {
        let from: Vec<ServerId> = ids.iter().copied().map(ServerId).collect();
        robin.choose(0, &request(1, 0), &from, &loaded(&[])).0
    };
    assert_eq!(next(&[5]), 5);
    assert_eq!(next(&[1, 5, 8]), 8);
    assert_eq!(next(&[1, 5]), 1);
}

/// A server with `r` less loaded ones beside it is taken where it is drawn with one of the `n - 1 - r` busier ones.
#[test]
fn least_of_two_takes_each_rank_as_often_as_theory_says() {
    let loads = [4, 0, 7, 1, 9, 2, 3, 8, 5, 6];
    let fleet = loaded(&loads);
    let with = BTreeMap::new();
    for seed in 0..5 {
        let counts = counts(
            &mut LeastOfTwo::new(&mut Figures::new("", &with), seed),
            &fleet,
        );
        let expected: Vec<f64> = loads
            .iter()
            .map(|rank| DRAWS as f64 * 2.0 * (9.0 - f64::from(*rank)) / 90.0)
            .collect();
        let (busiest, rest): (Vec<_>, Vec<_>) =
            counts.iter().zip(&expected).partition(|(_, e)| **e == 0.0);
        assert!(
            busiest.iter().all(|(c, _)| **c == 0.0),
            "the busiest of all was taken"
        );
        let (c, e): (Vec<f64>, Vec<f64>) = rest.into_iter().unzip();
        assert!(chi_square(&c, &e) < CHI.0, "seed {seed}: {counts:?}");
    }
}

#[test]
fn least_of_as_many_as_there_are_is_the_least_of_all() {
    let with = figures(&[("choices", 6.0)]);
    let mut choice = LeastOfTwo::new(&mut Figures::new("", &with), 1);
    let fleet = loaded(&[3, 4, 1, 2, 9, 9]);
    assert_eq!(counts(&mut choice, &fleet)[2], DRAWS as f64);
}

/// Poisson arrivals are not needed for it: balls into bins. With one choice the fullest of `n` bins holds about
/// `ln n / ln ln n` of `n` balls, with two `ln ln n / ln 2`.
#[test]
fn two_choices_level_what_one_choice_heaps_up() {
    let fullest = |choice: &mut dyn Choice| {
        let mut loads = vec![0; 1_000];
        for id in 0..1_000 {
            let fleet = loaded(&loads);
            loads[choice.choose(0, &request(id, 0), fleet.ready(), &fleet).0 as usize] += 1;
        }
        loads.into_iter().max().unwrap_or(0)
    };
    let with = BTreeMap::new();
    let one = fullest(&mut Random::new(5));
    let two = fullest(&mut LeastOfTwo::new(&mut Figures::new("", &with), 5));
    assert!(
        one >= 5 && two <= 4,
        "{one} with one choice, {two} with two"
    );
}

proptest! {
    #[test]
    fn the_average_follows_its_closed_form(
        first in 0.0..1e6f64,
        steps in proptest::collection::vec((0u64..20 * S, 0.0..1e6f64), 1..40),
        decay in 1e3..1e8f64,
    ) {
        let mut estimate = Estimate::new(0, first);
        let (mut now, mut model) = (0, first);
        for (gap, latency) in steps {
            now += gap;
            let weight = 1.0 - (-(gap as f64) / decay).exp();
            model = if latency > model { latency } else { model + weight * (latency - model) };
            let at = estimate.add(now, latency, decay);
            prop_assert!((at - model).abs() <= 1e-9 * model.max(1.0), "{at} for {model}");
        }
    }

    /// However often one looks, a peak that is not repeated has lost all but `exp(-time / decay)`.
    #[test]
    fn looking_does_not_change_how_a_peak_decays(peak in 1.0..1e6f64, mut looks in proptest::collection::vec(1u64..10 * S, 1..20)) {
        looks.sort_unstable();
        let mut estimate = Estimate::new(0, peak);
        let decay = 5e6;
        for at in &looks {
            let left = estimate.add(*at, 0.0, decay);
            let expected = peak * (-(*at as f64) / decay).exp();
            prop_assert!((left - expected).abs() <= 1e-9 * peak);
        }
    }

    #[test]
    fn peak_ewma_takes_the_smaller_product_of_latency_and_requests_out(
        latencies in (1u64..1_000_000, 1u64..1_000_000),
        out in (0u32..20, 0u32..20),
        seed in 0u64..1_000,
    ) {
        let with = figures(&[("default_rtt_ms", 0.0)]);
        let mut choice = PeakEwma::new(&mut Figures::new("", &with), seed);
        let fleet = loaded(&[out.0, out.1]);
        // The first look makes an entry for each, which the answers then fill.
        choice.choose(0, &request(0, 0), fleet.ready(), &fleet);
        for (server, elapsed) in [(0, latencies.0), (1, latencies.1)] {
            let closed = AttemptResult { request: 1, attempt: 0, server: ServerId(server), outcome: Outcome::Ok, elapsed, request_ended: true };
            choice.closed(0, 0, &closed, &fleet);
        }
        let costs = (latencies.0 * u64::from(out.0 + 1), latencies.1 * u64::from(out.1 + 1));
        prop_assume!(costs.0 != costs.1);
        let taken = choice.choose(0, &request(1, 0), fleet.ready(), &fleet);
        prop_assert_eq!(taken, ServerId(u64::from(costs.1 < costs.0)));
    }
}

#[test]
fn peak_ewma_holds_what_it_never_measured_to_be_slow_and_forgets_a_restarted_server() {
    let with = BTreeMap::new();
    let mut choice = PeakEwma::new(&mut Figures::new("", &with), 1);
    let fleet = loaded(&[0, 0]);
    let mut taken = || choice.choose(0, &request(0, 0), fleet.ready(), &fleet);
    taken();
    let closed = |elapsed| AttemptResult {
        request: 1,
        attempt: 0,
        server: ServerId(1),
        outcome: Outcome::Ok,
        elapsed,
        request_ended: true,
    };
    // A second without news: the default of server 0 and the start of server 1 fade alike, then 1 answers fast.
    choice.closed(10 * S, 0, &closed(5 * MS), &fleet);
    assert_eq!(
        choice.choose(10 * S, &request(0, 0), fleet.ready(), &fleet),
        ServerId(0),
        "both fade to 0"
    );
    choice.forget(ServerId(0));
    assert_eq!(
        choice.choose(10 * S, &request(0, 0), fleet.ready(), &fleet),
        ServerId(1)
    );
}
