//! Prequal's rule, its pool, and its fallback.

use crate::rig::*;
use madderloom_balancer::*;
use madderloom_lab::rivals::chassis::{Choice, Fleet};
use madderloom_lab::rivals::figures::Figures;
use madderloom_lab::rivals::prequal::{Prequal, Probe, best, quantile, reuses, worst};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn probe(server: u64, in_flight: f64, latency: f64) -> Probe {
    Probe {
        server: ServerId(server),
        at: 0,
        in_flight,
        latency,
        uses: 1,
    }
}

fn prequal(with: &[(&str, f64)], servers: usize) -> (Prequal, Fleet) {
    let (with, fleet) = (figures(with), loaded(&vec![0; servers]));
    let mut prequal = Prequal::new(&mut Figures::new("", &with), 3);
    prequal.listed(0, &fleet);
    (prequal, fleet)
}

fn answer(prequal: &mut Prequal, now: Micros, server: u64, held: f64) {
    prequal.probed(
        now,
        ServerId(server),
        Some(LoadReport {
            in_flight: held,
            errors_per_second: 0.0,
        }),
    );
}

fn servers(prequal: &Prequal) -> Vec<u64> {
    prequal.pool().iter().map(|p| p.server.0).collect()
}

proptest! {
    #[test]
    fn the_rule_agrees_with_its_words(
        figures in proptest::collection::vec((0u32..6, 0u32..6), 0..12),
        limit in 0u32..6,
    ) {
        let pool: Vec<Probe> =
            figures.iter().enumerate().map(|(at, (n, t))| probe(at as u64, (*n).into(), (*t).into())).collect();
        let (hot, cold): (Vec<usize>, Vec<usize>) = (0..figures.len()).partition(|at| figures[*at].0 > limit);
        let least = |of: &[usize], by: fn(&(u32, u32)) -> u32| {
            let least = of.iter().map(|at| by(&figures[*at])).min()?;
            of.iter().copied().find(|at| by(&figures[*at]) == least)
        };
        let most = |of: &[usize], by: fn(&(u32, u32)) -> u32| {
            let most = of.iter().map(|at| by(&figures[*at])).max()?;
            of.iter().copied().find(|at| by(&figures[*at]) == most)
        };
        let expected = if cold.is_empty() { least(&hot, |p| p.0) } else { least(&cold, |p| p.1) };
        prop_assert_eq!(best(&pool, limit.into()), expected);
        let expected = if hot.is_empty() { most(&cold, |p| p.1) } else { most(&hot, |p| p.0) };
        prop_assert_eq!(worst(&pool, limit.into()), expected);
    }

    #[test]
    fn at_least_the_part_of_values_does_not_exceed_the_quantile(
        values in proptest::collection::vec(0u32..9, 1..40),
        share in 0.0..=1.0f64,
    ) {
        let at = quantile(values.iter().map(|v| f64::from(*v)), share);
        let upto = |bound: f64| values.iter().filter(|v| f64::from(**v) <= bound).count() as f64;
        prop_assert!(upto(at) >= share * values.len() as f64);
        prop_assert!(upto(at - 1.0) < (share * values.len() as f64).max(1.0));
    }
}

#[test]
fn an_answer_is_reused_as_the_paper_says() {
    // With the paper's figures: 16 of 100 servers in the pool, 3 probes, 1 removed.
    assert!((reuses(1.0, 16.0, 100.0, 3.0, 1.0) - 2.0 / 1.52).abs() < 1e-12);
    assert_eq!(
        reuses(1.0, 16.0, 1_000.0, 5.0, 1.0),
        1.0,
        "once at the least"
    );
    assert_eq!(
        reuses(1.0, 16.0, 10.0, 3.0, 1.0),
        f64::INFINITY,
        "no more probes come than go"
    );
}

#[test]
fn each_request_has_so_many_different_servers_probed() {
    let mut rig = Rig::new("prequal", &[], settings(&[RetrySafety::Idempotent]), 20);
    let mut counts = vec![0.0; 20];
    for _ in 0..4_000 {
        let mut asked = asked(&rig.request(0).1);
        asked.iter().for_each(|id| counts[id.0 as usize] += 1.0);
        asked.sort_unstable();
        asked.dedup();
        assert_eq!(asked.len(), 3);
    }
    // The 99.9th percentile of chi-square with 19 degrees of freedom; draws without repeats vary less.
    assert!(chi_square(&counts, &[600.0; 20]) < 43.82, "{counts:?}");
    let mut rig = Rig::new(
        "prequal",
        &[("probe_rate", 0.25)],
        settings(&[RetrySafety::Idempotent]),
        20,
    );
    let asked: usize = (0..400).map(|_| asked(&rig.request(0).1).len()).sum();
    assert_eq!(asked, 100, "a part of a probe is owed to the next request");
}

/// Sends a request to the only server that is to be had and has it answered.
fn serve(prequal: &mut Prequal, id: RequestId, server: u64, held: f64, elapsed: Micros) {
    let fleet = loaded(&[0; 6]);
    answer(prequal, 0, server, held);
    let only = [ServerId(server)];
    prequal.choose(0, &request(id, 0), &only, &fleet);
    prequal.sent(0, only[0], (id, 0));
    let closed = AttemptResult {
        request: id,
        attempt: 0,
        server: only[0],
        outcome: Outcome::Ok,
        elapsed,
        request_ended: true,
    };
    prequal.closed(0, 0, &closed, &fleet);
}

#[test]
fn the_cold_answer_with_the_least_latency_gets_the_request() {
    let (mut prequal, fleet) = prequal(&[("quantile", 0.5), ("remove", 0.0), ("least", 1.0)], 6);
    for (id, (server, elapsed)) in [(0, 10 * MS), (1, 30 * MS), (2, 20 * MS)]
        .into_iter()
        .enumerate()
    {
        serve(&mut prequal, id as u64, server, 1.0, elapsed);
    }
    for (server, held) in [(0, 9.0), (1, 1.0), (2, 1.0)] {
        answer(&mut prequal, 0, server, held);
    }
    assert_eq!(prequal.limit(), 1.0);
    assert_eq!(
        prequal.choose(0, &request(9, 0), fleet.ready(), &fleet),
        ServerId(2),
        "the fastest one is hot"
    );
}

#[test]
fn latency_is_the_median_near_the_present_number_in_flight() {
    let (mut prequal, _) = prequal(&[("remove", 0.0), ("least", 1.0)], 6);
    let times = [9, 1, 3, 7, 5];
    for (id, time) in (0..).zip(times) {
        serve(&mut prequal, 2 * id, 0, 1.0, time * MS);
        serve(&mut prequal, 2 * id + 1, 0, 12.0, 10 * time * MS);
    }
    let mut told = |server, held| {
        answer(&mut prequal, 0, server, held);
        prequal.pool().last().map(|p| p.latency)
    };
    assert_eq!((told(0, 2.0), told(0, 10.0)), (Some(5e3), Some(5e4)));
    assert_eq!(
        told(4, 2.0),
        Some(5e3),
        "nothing is measured of it: all servers stand for it"
    );
    prequal.forget(ServerId(0));
    assert!(prequal.pool().iter().all(|p| p.server == ServerId(4)));
}

#[test]
fn where_all_are_hot_the_one_with_the_fewest_in_flight_is_taken_and_each_use_adds_one() {
    let (mut prequal, fleet) = prequal(&[("quantile", 0.0), ("remove", 0.0)], 6);
    for _ in 0..128 {
        answer(&mut prequal, 0, 5, 0.0); // the least lately seen: all that have any are hot
    }
    prequal.probed(0, ServerId(5), None);
    for (server, held) in [(0, 4.0), (1, 2.0), (2, 3.0)] {
        answer(&mut prequal, 0, server, held);
    }
    let taken: Vec<u64> = (0..6)
        .map(|id| prequal.choose(0, &request(id, 0), fleet.ready(), &fleet).0)
        .collect();
    assert_eq!(
        taken,
        [1, 1, 2, 0, 1, 2],
        "4, 2, 3 in flight, then 4, 3, 3, and so on; of equals the earlier"
    );
}

#[test]
fn the_pool_forgets_what_is_old_and_what_is_gone_and_keeps_the_newest_of_each() {
    let (mut prequal, fleet) = prequal(&[("pool", 3.0), ("remove", 0.0), ("probe_rate", 0.0)], 6);
    for (at, server) in [(0, 0), (10, 1), (20, 0), (30, 2)] {
        answer(&mut prequal, at, server, 1.0);
    }
    assert_eq!(servers(&prequal), [1, 0, 2], "one for each server");
    answer(&mut prequal, 40, 3, 1.0);
    assert_eq!(
        servers(&prequal),
        [0, 2, 3],
        "the oldest goes where it is full"
    );
    prequal.choose(S + 25, &request(1, 0), fleet.ready(), &fleet);
    assert_eq!(servers(&prequal), [2, 3], "older than a second");
    prequal.probed(50, ServerId(2), None);
    assert_eq!(servers(&prequal), [3], "a probe that was not answered");
    prequal.forget(ServerId(3));
    assert!(prequal.pool().is_empty());
}

#[test]
fn the_oldest_and_the_worst_are_removed_in_turn() {
    let (mut prequal, fleet) = prequal(&[], 12);
    for server in 0..8 {
        answer(
            &mut prequal,
            0,
            server,
            if server == 5 { 30.0 } else { 1.0 },
        );
    }
    prequal.choose(0, &request(1, 0), fleet.ready(), &fleet);
    assert_eq!(servers(&prequal), [1, 2, 3, 4, 5, 6, 7]);
    prequal.choose(0, &request(2, 0), fleet.ready(), &fleet);
    assert_eq!(
        servers(&prequal),
        [1, 2, 3, 4, 6, 7],
        "5 has by far the most in flight"
    );
}

#[test]
fn an_answer_is_gone_after_its_uses() {
    // (1 + 1) / ((1 - 16 / 200) * 3 - 0) is under one: each answer is used once.
    let (mut prequal, fleet) = prequal(&[("remove", 0.0)], 200);
    for server in 0..5 {
        answer(&mut prequal, 0, server, 1.0);
    }
    for left in [4, 3, 2, 1] {
        prequal.choose(0, &request(1, 0), fleet.ready(), &fleet);
        assert_eq!(prequal.pool().len(), left);
    }
    prequal.choose(0, &request(1, 0), fleet.ready(), &fleet);
    assert_eq!(prequal.pool().len(), 1, "of fewer than two none is used");
}

#[test]
fn without_probes_it_is_random() {
    let mut site = settings(&[RetrySafety::Idempotent]);
    site.limits.probes = false;
    let mut rig = Rig::new("prequal", &[], site, 10);
    let mut counts = BTreeMap::<ServerId, f64>::new();
    for _ in 0..20_000 {
        let (id, actions) = rig.request(0);
        assert!(asked(&actions).is_empty());
        let server = sent(&actions).expect("sent");
        *counts.entry(server).or_default() += 1.0;
        rig.close(id, 0, server, Outcome::Ok);
    }
    let counts: Vec<f64> = counts.into_values().collect();
    assert!(chi_square(&counts, &[2_000.0; 10]) < 27.88, "{counts:?}");
}
