//! The arms that see the truth.

use crate::rig::*;
use madderloom_balancer::*;
use madderloom_lab::policy::ServerTruth;
use madderloom_lab::rivals::chassis::Choice;
use madderloom_lab::rivals::figures::Figures;
use madderloom_lab::rivals::sighted::Sighted;
use std::collections::BTreeMap;
use std::rc::Rc;

fn truth(backlog: f64, speed: f64) -> ServerTruth {
    ServerTruth {
        backlog,
        speed,
        free_cores: u32::from(backlog == 0.0),
        ..IDLE
    }
}

fn taken(oracle: bool, servers: &[Option<ServerTruth>], cost: Micros) -> Vec<f64> {
    let known: BTreeMap<_, _> = (0..).map(ServerId).zip(servers.iter().copied()).collect();
    let (known, site, with) = (
        Rc::new(Known(known)),
        settings(&[RetrySafety::Idempotent]),
        figures(&[]),
    );
    let mut choice = if oracle {
        Sighted::oracle(&mut Figures::new("", &with), known, &site, 1)
    } else {
        Sighted::centralized(known, &site, 1)
    };
    let fleet = loaded(&vec![0; servers.len()]);
    let mut shares = vec![0.0; servers.len()];
    for id in 0..1_000 {
        let new = NewRequest {
            cost_hint: Some(cost),
            ..request(id, 0)
        };
        shares[choice.choose(0, &new, fleet.ready(), &fleet).0 as usize] += 0.001;
    }
    shares
}

#[test]
fn both_go_where_the_request_is_done_first() {
    for oracle in [false, true] {
        // 30 ms of work: done in 40 ms here, 35 there, 60 on the slow one that is idle.
        let servers = [
            Some(truth(1e4, 1.0)),
            Some(truth(4e4, 2.0)),
            Some(truth(0.0, 0.5)),
        ];
        assert_eq!(taken(oracle, &servers, 30_000)[1].round(), 1.0);
        // 5 ms of work: 15, 22.5, 10.
        assert_eq!(taken(oracle, &servers, 5_000)[2].round(), 1.0);
    }
}

#[test]
fn equally_good_servers_share_alike() {
    let shares = taken(true, &[Some(IDLE); 4], 5_000);
    assert!(
        shares.iter().all(|share| (share - 0.25).abs() < 0.06),
        "{shares:?}"
    );
}

#[test]
fn a_server_with_a_core_free_makes_nobody_wait() {
    // Two cores of speed 1.5, one of them busy: 10 ms of work are done in 6.7 ms there, in 8.3 on the idle one.
    let two = ServerTruth {
        backlog: 1e4,
        speed: 3.0,
        free_cores: 2,
        ..IDLE
    };
    assert_eq!(
        taken(false, &[Some(two), Some(truth(0.0, 1.2))], 10_000)[0].round(),
        1.0
    );
    assert_eq!(
        taken(false, &[Some(two), Some(truth(0.0, 1.8))], 10_000)[1].round(),
        1.0
    );
}

#[test]
fn without_hints_the_work_of_a_class_is_measured() {
    let known = [
        (ServerId(0), Some(truth(2e4, 4.0))),
        (ServerId(1), Some(truth(0.0, 1.0))),
    ];
    let mut choice = Sighted::centralized(
        Rc::new(Known(known.into())),
        &settings(&[RetrySafety::Idempotent]),
        1,
    );
    let fleet = loaded(&[0, 0]);
    // 50 ms are first held to be usual: 17.5 on the fast one with its queue. Then 2 ms: 5.5 against 2.
    for id in 0..400 {
        let server = choice.choose(0, &request(id, 0), fleet.ready(), &fleet);
        assert!(id > 0 || server == ServerId(0));
        choice.sent(0, server, (id, 0));
        let elapsed = if server == ServerId(0) { 5_500 } else { 2_000 };
        let closed = AttemptResult {
            request: id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed,
            request_ended: true,
        };
        choice.closed(0, 0, &closed, &fleet);
    }
    assert_eq!(
        choice.choose(0, &request(400, 0), fleet.ready(), &fleet),
        ServerId(1)
    );
}

#[test]
fn the_oracle_alone_keeps_away_from_what_fails_or_takes_no_work() {
    let failing = ServerTruth {
        failing: 0.3,
        ..truth(0.0, 1.0)
    };
    let draining = ServerTruth {
        takes_work: false,
        ..truth(0.0, 1.0)
    };
    let busy = truth(1e4, 1.0);
    for bad in [failing, draining] {
        assert_eq!(taken(true, &[Some(bad), Some(busy)], 5_000)[1].round(), 1.0);
        assert_eq!(
            taken(false, &[Some(bad), Some(busy)], 5_000)[0].round(),
            1.0
        );
    }
    // A little failing weighs less than a long queue: 0.3 of 400 ms against half a second.
    assert_eq!(
        taken(true, &[Some(failing), Some(truth(5e5, 1.0))], 5_000)[0].round(),
        1.0
    );
    for oracle in [false, true] {
        assert_eq!(
            taken(oracle, &[None, Some(busy)], 5_000)[1].round(),
            1.0,
            "down is down"
        );
        assert_eq!(
            taken(oracle, &[None, None], 5_000)
                .iter()
                .sum::<f64>()
                .round(),
            1.0,
            "some server"
        );
    }
}
