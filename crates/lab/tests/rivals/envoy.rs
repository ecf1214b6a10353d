//! Envoy's weighted least request and outlier detection.

use crate::rig::*;
use madderloom_balancer::*;
use madderloom_lab::rivals::chassis::{Choice, Fleet, Member};
use madderloom_lab::rivals::envoy::{LeastRequest, Outliers};
use madderloom_lab::rivals::figures::Figures;
use madderloom_lab::rivals::random::Random;

fn least_request(with: &[(&str, f64)], fleet: &Fleet) -> LeastRequest {
    let with = figures(with);
    let mut choice = LeastRequest::new(&mut Figures::new("", &with), 3);
    choice.listed(0, fleet);
    choice
}

fn shares(choice: &mut dyn Choice, now: Micros, fleet: &Fleet, draws: usize) -> Vec<f64> {
    let mut counts = vec![0.0; fleet.ready().len()];
    for _ in 0..draws {
        counts[choice.choose(now, &request(1, 0), fleet.ready(), fleet).0 as usize] +=
            1.0 / draws as f64;
    }
    counts
}

#[test]
fn unequal_weights_make_a_round_robin_by_weight_and_requests_out() {
    // Weights of 1/2, 2/1 and 3/(1 + 1): a half, two and one and a half, of four.
    let fleet = weighted(&[(1.0, 1), (2.0, 0), (3.0, 1)]);
    let shares = shares(&mut least_request(&[], &fleet), 0, &fleet, 8_000);
    for (share, expected) in shares.iter().zip([0.125, 0.5, 0.375]) {
        assert!((share - expected).abs() < 0.001, "{shares:?}");
    }
}

#[test]
fn the_bias_is_the_power_of_requests_out() {
    let fleet = weighted(&[(1.0, 3), (2.0, 0)]);
    for (bias, expected) in [(0.0, 1.0), (1.0, 0.25), (2.0, 0.0625)] {
        let choice = least_request(&[("bias", bias)], &fleet);
        assert!((choice.weight(0, ServerId(0), &fleet) - expected).abs() < 1e-12);
        assert!((choice.weight(0, ServerId(1), &fleet) - 2.0).abs() < 1e-12);
    }
}

#[test]
fn equal_weights_make_it_the_least_of_two_drawn() {
    let fleet = loaded(&[0, 1, 2]);
    let shares = shares(&mut least_request(&[], &fleet), 0, &fleet, 30_000);
    for (share, expected) in shares.iter().zip([2.0 / 3.0, 1.0 / 3.0, 0.0]) {
        assert!((share - expected).abs() < 0.02, "{shares:?}");
    }
}

#[test]
fn slow_start_gives_a_young_server_its_part_and_is_off_unless_asked_for() {
    let young = Member {
        listed: ServerEntry {
            started_at: Some(100 * S),
            ..listed(1)
        },
        out: 0,
    };
    let fleet: Fleet = [
        Member {
            listed: listed(0),
            out: 0,
        },
        young,
    ]
    .into_iter()
    .collect();
    let on = [("slow_start_ms", 10_000.0)];
    for (with, age, expected) in [
        (&[] as &[(&str, f64)], 0, 1.0),
        (&on, 0, 0.1),
        (&on, 5 * S, 0.5),
        (&on, 10 * S, 1.0),
        (&[on[0], ("aggression", 2.0)], 4 * S, 0.4f64.sqrt()),
        (&[on[0], ("least_weight", 0.3)], S, 0.3),
    ] {
        let mut choice = least_request(with, &fleet);
        let now = 100 * S + age;
        assert!(
            (choice.weight(now, ServerId(1), &fleet) - expected).abs() < 1e-9,
            "{with:?} at {age}"
        );
        let share = shares(&mut choice, now, &fleet, 4_000)[1];
        assert!(
            (share - expected / (1.0 + expected)).abs() < 0.03,
            "{with:?} at {age}: {share}"
        );
    }
}

struct Hosts {
    outliers: Outliers,
    fleet: Fleet,
}

impl Hosts {
    fn new(count: usize) -> Self {
        let with = figures(&[]);
        let outliers = Outliers::new(&mut Figures::new("", &with), Box::new(Random::new(1)));
        let mut hosts = Hosts {
            outliers,
            fleet: loaded(&vec![0; count]),
        };
        hosts.outliers.listed(0, &hosts.fleet);
        hosts
    }

    fn close(&mut self, now: Micros, server: u64, outcome: Outcome, times: usize) {
        for _ in 0..times {
            let server = ServerId(server);
            let closed = AttemptResult {
                request: 1,
                attempt: 0,
                server,
                outcome,
                elapsed: MS,
                request_ended: false,
            };
            self.outliers.closed(now, 0, &closed, &self.fleet);
        }
    }

    /// The servers that are not chosen in some hundred draws.
    fn ejected(&mut self, now: Micros) -> Vec<usize> {
        let shares = shares(&mut self.outliers, now, &self.fleet, 500);
        (0..shares.len()).filter(|at| shares[*at] == 0.0).collect()
    }
}

#[test]
fn five_failures_in_a_row_eject_a_host_for_half_a_minute_and_then_for_longer() {
    let mut hosts = Hosts::new(10);
    for outcome in [
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::Reset,
    ] {
        hosts.close(0, 3, outcome, 1);
    }
    assert_eq!(hosts.ejected(0), [0; 0], "four are not enough");
    hosts.close(0, 3, Outcome::Ok, 1);
    hosts.close(0, 3, Outcome::ConnectFailed, 4);
    hosts.close(0, 3, Outcome::Moot, 3);
    assert_eq!(
        hosts.ejected(0),
        [0; 0],
        "not in a row, and what was never sent does not count"
    );
    hosts.close(0, 3, Outcome::Error, 1);
    assert_eq!(hosts.ejected(30 * S - 1), [3]);
    assert_eq!(hosts.ejected(30 * S), [0; 0]);
    hosts.close(30 * S, 3, Outcome::Error, 5);
    assert_eq!(
        hosts.ejected(90 * S - 1),
        [3],
        "twice as long the second time"
    );
    assert_eq!(hosts.ejected(90 * S), [0; 0]);
}

#[test]
fn intervals_without_an_ejection_are_taken_off_its_time() {
    let mut hosts = Hosts::new(10);
    for _ in 0..3 {
        hosts.close(0, 3, Outcome::Error, 5);
        hosts
            .outliers
            .choose(0, &request(1, 0), hosts.fleet.ready(), &hosts.fleet);
    }
    assert_eq!(
        hosts.ejected(29 * S),
        [3],
        "while it is ejected it is not ejected again"
    );
    // It is back at 30 s, which the interval's end at 39 s notes; one more goes by without an ejection.
    for now in [39 * S, 49 * S] {
        assert_eq!(hosts.ejected(now), [0; 0]);
    }
    hosts.close(50 * S, 3, Outcome::Error, 5);
    assert_eq!(hosts.ejected(80 * S - 1), [3]);
    assert_eq!(hosts.ejected(80 * S), [0; 0], "half a minute again");
}

#[test]
fn of_ten_hosts_no_second_one_is_ejected() {
    let mut hosts = Hosts::new(10);
    for server in [1, 2, 3] {
        hosts.close(0, server, Outcome::Error, 9);
    }
    assert_eq!(hosts.ejected(0), [1]);
    let mut hosts = Hosts::new(3);
    hosts.close(0, 2, Outcome::Error, 5);
    assert_eq!(hosts.ejected(0), [2], "one always may be, also of three");
}

#[test]
fn where_most_hosts_are_ejected_all_are_used() {
    let with = figures(&[("ejected_share", 1.0)]);
    let outliers = Outliers::new(&mut Figures::new("", &with), Box::new(Random::new(1)));
    let mut hosts = Hosts {
        outliers,
        ..Hosts::new(10)
    };
    for server in 0..5 {
        hosts.close(0, server, Outcome::Error, 5);
    }
    assert_eq!(hosts.ejected(0), [0, 1, 2, 3, 4]);
    hosts.close(0, 5, Outcome::Error, 5);
    assert_eq!(hosts.ejected(0), [0; 0]);
}

#[test]
fn a_host_whose_success_rate_stands_out_is_ejected_at_the_end_of_an_interval() {
    let run = |volume: usize, servers: &[u64]| {
        let with = figures(&[("deviations", 1.0)]);
        let outliers = Outliers::new(&mut Figures::new("", &with), Box::new(Random::new(1)));
        let mut hosts = Hosts {
            outliers,
            ..Hosts::new(10)
        };
        hosts.close(0, 0, Outcome::Ok, 1);
        for _ in 0..volume / 2 {
            for server in servers {
                hosts.close(S, *server, Outcome::Ok, 1);
                hosts.close(
                    S,
                    *server,
                    if *server == 7 {
                        Outcome::Error
                    } else {
                        Outcome::Ok
                    },
                    1,
                );
            }
        }
        let before = hosts.ejected(9 * S);
        assert!(before.is_empty(), "{before:?}");
        hosts.ejected(10 * S)
    };
    assert_eq!(run(102, &[0, 1, 3, 5, 7]), [7]);
    assert_eq!(
        run(98, &[0, 1, 3, 5, 7]),
        [0; 0],
        "too few requests to tell"
    );
    assert_eq!(run(102, &[1, 3, 5, 7]), [0; 0], "too few hosts to tell");
}

#[test]
fn a_host_that_has_started_again_has_a_clean_slate() {
    let mut hosts = Hosts::new(10);
    hosts.close(0, 4, Outcome::Error, 5);
    assert_eq!(hosts.ejected(0), [4]);
    hosts.outliers.forget(ServerId(4));
    assert_eq!(hosts.ejected(0), [0; 0]);
}
