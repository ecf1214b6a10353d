//! An anomaly is found within seconds, reported once and cleared; usual behaviour is none.

use madderloom_balancer::{Outcome, ServerId};
use madderloom_endpoint_history::{
    Anomaly, AnomalyPhase, CompletedAttempt, EndpointHistory, Fault, ListedEndpoint, Settings,
    Subject, WaitingAttempt,
};
use oorandom::Rand64;

const S: u64 = 1_000_000;
const DAY: u64 = 86_400 * S;

/// A pool whose servers respond as a closure says, and all reports of its history.
struct Pool {
    history: EndpointHistory,
    random: Rand64,
    now: u64,
    servers: u64,
    reports: Vec<Anomaly>,
}

/// How a server responds to a request.
#[derive(Clone, Copy)]
struct Response {
    outcome: Outcome,
    latency_factor: f64,
}

const HEALTHY: Response = Response {
    outcome: Outcome::Ok,
    latency_factor: 1.0,
};

impl Pool {
    fn new(servers: u64, seed: u128) -> Self {
        let mut history = EndpointHistory::new(Settings::default());
        (0..servers).for_each(|id| {
            history.endpoint_listed(
                0,
                ServerId(id),
                ListedEndpoint {
                    zone: (id % 2) as u32,
                    ..ListedEndpoint::default()
                },
            )
        });
        Pool {
            history,
            random: Rand64::new(seed),
            now: S,
            servers,
            reports: Vec::new(),
        }
    }

    /// Advances to a time, with `rate` requests a second at each server.
    fn run(
        &mut self,
        until: u64,
        rate: f64,
        respond: impl Fn(u64, u64, u32, f64, f64) -> Response,
    ) {
        let gap = (1e6 / rate / self.servers as f64) as u64;
        let mut next_poll = self.now;
        while self.now < until {
            self.now += gap;
            let id = (self.random.rand_u64() >> 33) % self.servers;
            let (class, size) = (
                (self.random.rand_u64() >> 40) as u32 % 2,
                0.2 + 2.8 * self.random.rand_float(),
            );
            let chance = self.random.rand_float();
            let response = respond(self.now, id, class, size, chance);
            // An exponential part above a fixed one, as queues make it.
            let latency = size
                * response.latency_factor
                * 50_000.0
                * (1.0 - 0.5 * self.random.rand_float().max(1e-9).ln());
            let outcome = match response.outcome {
                Outcome::Ok if self.random.rand_float() < 0.001 => Outcome::Error,
                outcome => outcome,
            };
            let minute = (self.now / (60 * S) % 1_440) as u16;
            let attempt = CompletedAttempt {
                server: ServerId(id),
                class,
                outcome,
                elapsed: latency as u64,
                relative_size: size,
            };
            self.history.record_attempt(self.now, minute, &attempt);
            while next_poll <= self.now {
                self.reports.extend(self.history.poll_anomalies(next_poll));
                next_poll += S;
            }
        }
    }

    fn raised(&self) -> Vec<&Anomaly> {
        self.reports
            .iter()
            .filter(|d| d.phase == AnomalyPhase::Raised)
            .collect()
    }

    fn cleared_after(&self, from: u64) -> Option<u64> {
        self.reports
            .iter()
            .find(|d| d.phase == AnomalyPhase::Cleared && d.reported_at >= from)
            .map(|d| d.reported_at - from)
    }
}

/// An attempt that has waited for this long.
fn waiting_for(age: u64) -> WaitingAttempt {
    WaitingAttempt { class: 0, age }
}

/// Fails with this outcome if the random number is below the share.
fn failing(share: f64, chance: f64, outcome: Outcome) -> Response {
    if chance < share {
        Response {
            outcome,
            latency_factor: 1.0,
        }
    } else {
        HEALTHY
    }
}

/// A fault of one server, and the anomaly that it is expected to be.
struct FaultCase {
    name: &'static str,
    /// How the faulty server responds, by class, size and a random number.
    respond: fn(u32, f64, f64) -> Response,
    expected: Fault,
    class: Option<u32>,
    detected_within: u64,
}

const FAULT_CASES: [FaultCase; 7] = [
    FaultCase {
        name: "fails 30% of its attempts",
        respond: |_, _, c| failing(0.3, c, Outcome::Reset),
        expected: Fault::FailsRequests,
        class: None,
        detected_within: 4 * S,
    },
    FaultCase {
        name: "fails one in a hundred",
        respond: |_, _, c| failing(0.02, c, Outcome::Error),
        expected: Fault::FailsRequests,
        class: None,
        detected_within: 120 * S,
    },
    FaultCase {
        name: "hangs",
        respond: |_, _, _| failing(1.0, 0.0, Outcome::Timeout),
        expected: Fault::FailsRequests,
        class: None,
        detected_within: 3 * S,
    },
    FaultCase {
        name: "rejects connections",
        respond: |_, _, c| failing(0.5, c, Outcome::ConnectFailed),
        expected: Fault::RejectsRequests,
        class: None,
        detected_within: 4 * S,
    },
    FaultCase {
        name: "is slow and never fails",
        respond: |_, _, _| Response {
            latency_factor: 4.0,
            ..HEALTHY
        },
        expected: Fault::Slow,
        class: None,
        detected_within: 15 * S,
    },
    FaultCase {
        name: "is slow for heavy requests",
        respond: |_, size, _| Response {
            latency_factor: if size >= 2.0 { 6.0 } else { 1.0 },
            ..HEALTHY
        },
        expected: Fault::SlowForLargeRequests,
        class: None,
        detected_within: 25 * S,
    },
    FaultCase {
        name: "fails one class",
        respond: |class, _, c| failing(if class == 1 { 0.1 } else { 0.0 }, c, Outcome::Error),
        expected: Fault::FailsRequests,
        class: Some(1),
        detected_within: 30 * S,
    },
];

/// Each fault of a single server: one report within seconds, and one when it is over.
#[test]
fn a_fault_of_one_endpoint_is_one_anomaly_within_seconds_and_is_cleared() {
    for case in FAULT_CASES {
        let name = case.name;
        let mut pool = Pool::new(8, 7);
        pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
        assert_eq!(
            pool.raised().len(),
            0,
            "{name}: before anything was wrong: {:?}",
            pool.reports
        );
        let began = pool.now;
        pool.run(began + 200 * S, 20.0, |_, id, class, size, c| {
            if id == 3 {
                (case.respond)(class, size, c)
            } else {
                HEALTHY
            }
        });
        assert_one_anomaly(&pool, &case, began);
        let healthy_from = pool.now;
        pool.run(healthy_from + 200 * S, 20.0, |_, _, _, _, _| HEALTHY);
        let cleared = pool
            .cleared_after(healthy_from)
            .unwrap_or_else(|| panic!("{name}: never cleared"));
        assert!(
            cleared <= 90 * S,
            "{name}: cleared only after {} s",
            cleared / S
        );
        assert_eq!(pool.history.active_anomalies().count(), 0, "{name}");
    }
}

/// The expected anomaly was raised in time, and no other.
fn assert_one_anomaly(pool: &Pool, case: &FaultCase, began: u64) {
    let name = case.name;
    let raised = pool.raised();
    assert!(!raised.is_empty(), "{name}: not found");
    let first = raised[0];
    assert_eq!(
        (first.subject, first.fault),
        (Subject::Endpoint(ServerId(3)), case.expected),
        "{name}: {first}"
    );
    assert_eq!(first.class, case.class, "{name}: {first:?}");
    assert!(
        first.reported_at - began <= case.detected_within,
        "{name}: only after {} s",
        (first.reported_at - began) / S
    );
    assert!(
        raised.iter().all(|d| d.subject == first.subject),
        "{name}: {raised:?}"
    );
    assert!(
        raised.len() <= 2,
        "{name}: reported more than once: {raised:?}"
    );
}

#[test]
fn a_fault_of_all_endpoints_is_one_anomaly_of_the_fleet_and_one_of_a_zone_one_of_the_zone() {
    for (bad, subject) in [(|_: u64| true) as fn(u64) -> bool, |id| id % 2 == 1]
        .into_iter()
        .zip([Subject::Fleet, Subject::Zone(1)])
    {
        let mut pool = Pool::new(8, 11);
        pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
        let began = pool.now;
        pool.run(began + 60 * S, 20.0, |_, id, _, _, c| {
            if bad(id) {
                failing(0.4, c, Outcome::Reset)
            } else {
                HEALTHY
            }
        });
        let raised = pool.raised();
        assert_eq!(
            raised.iter().filter(|d| d.subject == subject).count(),
            1,
            "{raised:?}"
        );
        // One or two may have been reported before the others showed the fault.
        assert!(raised.len() <= 2, "{raised:?}");
        assert!(pool.history.evidence().filter(|e| e.is_shared).count() >= 4);
        let healthy_from = pool.now;
        pool.run(healthy_from + 120 * S, 20.0, |_, _, _, _, _| HEALTHY);
        assert_eq!(
            pool.history.active_anomalies().count(),
            0,
            "{:?}",
            pool.history.active_anomalies().collect::<Vec<_>>()
        );
    }
}

/// A server that slows down every night at the same hour: reported until its baseline has learned it. A night without
/// the slowdown is no anomaly either.
#[test]
fn a_nightly_slowdown_is_reported_until_it_is_learned() {
    let mut pool = Pool::new(3, 5);
    let mut nights = Vec::new();
    for day in 0..7 {
        let before = pool.raised().len();
        let nightly = |now: u64| (2 * 3_600..4 * 3_600).contains(&(now % DAY / S));
        // On the last but one it does not occur.
        let comes = day != 5;
        pool.run((day + 1) * DAY, 0.1, |now, id, _, _, _| {
            let slow = comes && id == 0 && nightly(now);
            Response {
                latency_factor: if slow { 4.0 } else { 1.0 },
                ..HEALTHY
            }
        });
        nights.push(pool.raised().len() - before);
    }
    assert!(nights[0] >= 1 && nights[1] >= 1, "{nights:?}");
    assert_eq!(nights[3..], [0, 0, 0, 0], "{nights:?}");
}

/// Weeks without faults: fewer false alarms than accepted, over all seeds together.
#[test]
fn weeks_without_faults_raise_no_more_false_alarms_than_accepted() {
    let (weeks, mut alarms) = (6, 0);
    for seed in 0..weeks {
        let mut pool = Pool::new(6, 100 + seed);
        pool.run(7 * DAY, 0.05, |_, _, _, _, _| HEALTHY);
        alarms += pool.raised().len();
    }
    // 0.1 a day are allowed: 4.2 in all of these weeks. The bounds are known to err on the safe side.
    assert!(alarms <= 4, "{alarms} in {weeks} weeks");
}

#[test]
fn an_intermittent_fault_is_reported_a_few_times_at_most() {
    let mut pool = Pool::new(6, 3);
    pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
    let began = pool.now;
    pool.run(began + 1_800 * S, 20.0, |now, id, _, _, c| {
        if id == 2 && (now / (8 * S)).is_multiple_of(2) {
            failing(0.5, c, Outcome::Error)
        } else {
            HEALTHY
        }
    });
    let raised = pool.raised().len();
    assert!((1..=8).contains(&raised), "{raised} anomalies");
}

#[test]
fn an_unresponsive_endpoint_is_reported_before_the_first_attempt_times_out() {
    let mut pool = Pool::new(3, 9);
    pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
    // It does not respond any more; attempts in flight there grow older.
    let began = pool.now;
    let mut found = None;
    for second in 1..30 {
        let now = began + second * S;
        let ages = (0..10)
            .map(|n| waiting_for(second * S - n * 50_000))
            .take(if second == 1 { 10 } else { 20 });
        pool.history.check_waiting_attempts(now, ServerId(1), ages);
        found = found.or(pool
            .history
            .poll_anomalies(now)
            .into_iter()
            .find(|d| d.fault == Fault::Unresponsive)
            .map(|d| d.reported_at - began));
    }
    assert!(found.is_some_and(|after| after <= 8 * S), "{found:?}");
    // If the process itself stalled, attempts in flight waited for that.
    let mut stalled = Pool::new(3, 9);
    stalled.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
    let now = stalled.now + 30 * S;
    stalled
        .history
        .check_waiting_attempts(now, ServerId(1), (0..20).map(|_| waiting_for(30 * S)));
    assert_eq!(stalled.history.poll_anomalies(now), []);
    // One that merely has little to do is not unresponsive.
    let mut idle = Pool::new(3, 9);
    idle.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
    for second in 1..600 {
        idle.history
            .check_waiting_attempts(idle.now + second * S, ServerId(1), std::iter::empty());
        assert_eq!(idle.history.poll_anomalies(idle.now + second * S), []);
    }
}

/// Attempts that began while the endpoint was unresponsive time out after the first response that ends it.
#[test]
fn timeouts_of_attempts_begun_while_unresponsive_are_no_second_anomaly() {
    const ATTEMPTS: u64 = 8;
    let mut pool = Pool::new(3, 9);
    pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
    let began = pool.now;
    for second in 1..8 {
        let now = began + second * S;
        pool.history.check_waiting_attempts(
            now,
            ServerId(1),
            (0..ATTEMPTS).map(|_| waiting_for(second * S)),
        );
        pool.reports.extend(pool.history.poll_anomalies(now));
    }
    let ended = |outcome, elapsed| CompletedAttempt {
        server: ServerId(1),
        class: 0,
        outcome,
        elapsed,
        relative_size: 1.0,
    };
    let end = began + 8 * S;
    pool.history
        .record_attempt(end, 0, &ended(Outcome::Ok, S / 20));
    for at in 1..ATTEMPTS {
        pool.history
            .record_attempt(end + at, 0, &ended(Outcome::Timeout, 8 * S));
    }
    // Attempts that begin afterwards count as usual.
    (1..4).for_each(|second| {
        pool.reports
            .extend(pool.history.poll_anomalies(end + second * S))
    });
    let raised: Vec<Fault> = pool.raised().iter().map(|anomaly| anomaly.fault).collect();
    assert_eq!(raised, [Fault::Unresponsive]);
    for at in 0..ATTEMPTS {
        pool.history
            .record_attempt(end + (10 + at) * S, 0, &ended(Outcome::Timeout, 2 * S));
        pool.reports
            .extend(pool.history.poll_anomalies(end + (10 + at) * S));
    }
    (18..22).for_each(|second| {
        pool.reports
            .extend(pool.history.poll_anomalies(end + second * S))
    });
    let raised: Vec<Fault> = pool.raised().iter().map(|anomaly| anomaly.fault).collect();
    assert_eq!(raised, [Fault::Unresponsive, Fault::FailsRequests]);
}

#[test]
fn inconsistent_load_reports_are_an_anomaly() {
    let mut pool = Pool::new(3, 9);
    for second in 1..20 {
        pool.history
            .record_load_report(second * S, ServerId(0), 0.0, 8);
        pool.history
            .record_load_report(second * S, ServerId(1), 9.0, 8);
        pool.reports.extend(pool.history.poll_anomalies(second * S));
    }
    let raised = pool.raised();
    assert_eq!(raised.len(), 1, "{raised:?}");
    assert_eq!(
        (raised[0].subject, raised[0].fault),
        (Subject::Endpoint(ServerId(0)), Fault::InconsistentReports)
    );
}

#[test]
fn evidence_names_the_degraded_endpoint_and_its_share_of_failures() {
    let mut pool = Pool::new(8, 21);
    pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
    assert_eq!(
        pool.history
            .evidence()
            .filter(|e| e.confidence > 0.5)
            .count(),
        0
    );
    let began = pool.now;
    pool.run(began + 30 * S, 20.0, |_, id, _, _, c| {
        if id == 5 {
            failing(0.3, c, Outcome::Reset)
        } else {
            HEALTHY
        }
    });
    let evidence: Vec<_> = pool
        .history
        .evidence()
        .filter(|e| e.confidence > 0.5)
        .collect();
    assert_eq!(evidence.len(), 1, "{evidence:?}");
    assert_eq!(evidence[0].server, ServerId(5));
    assert!(
        (0.2..0.4).contains(&evidence[0].failed_share) && evidence[0].rejected_share == 0.0,
        "{evidence:?}"
    );
    assert!(!evidence[0].is_shared && pool.now - evidence[0].last_observed_at < S);
}

/// The requests change, and no server does: a class that takes ten times as long becomes most of the load.
#[test]
fn a_change_of_the_mix_of_classes_is_no_anomaly() {
    let mut history = EndpointHistory::new(Settings::default());
    (0..4).for_each(|id| history.endpoint_listed(0, ServerId(id), ListedEndpoint::default()));
    let mut random = Rand64::new(4);
    let mut reports = Vec::new();
    for tick in 0..120_000u64 {
        let now = tick * 10_000;
        let heavy = random.rand_float() < if tick < 60_000 { 0.05 } else { 0.9 };
        let usual = if heavy { 500_000.0 } else { 50_000.0 };
        let elapsed = (usual * (1.0 - 0.5 * random.rand_float().max(1e-9).ln())) as u64;
        let class = u32::from(heavy);
        let attempt = CompletedAttempt {
            server: ServerId(tick % 4),
            class,
            outcome: Outcome::Ok,
            elapsed,
            relative_size: 1.0,
        };
        history.record_attempt(now, 0, &attempt);
        if now % S == 0 {
            reports.extend(history.poll_anomalies(now));
        }
    }
    assert_eq!(reports, []);
}

/// Failures of a restarted or new server from its first response on are not learned as its baseline.
#[test]
fn a_new_or_restarted_endpoint_is_compared_with_its_former_baseline_or_its_kind() {
    for (id, restarted) in [(2, true), (6, false)] {
        let mut pool = Pool::new(6, 31);
        pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
        let began = pool.now;
        pool.history.endpoint_listed(
            began,
            ServerId(id),
            ListedEndpoint {
                restarted,
                ..ListedEndpoint::default()
            },
        );
        pool.servers = pool.servers.max(id + 1);
        let bad = |_, at, _, _, c| {
            if at == id {
                failing(0.3, c, Outcome::Error)
            } else {
                HEALTHY
            }
        };
        pool.run(began + 20 * S, 20.0, bad);
        let raised = pool.raised();
        assert_eq!(raised.len(), 1, "{id}: {raised:?}");
        assert_eq!(
            (raised[0].subject, raised[0].fault),
            (Subject::Endpoint(ServerId(id)), Fault::FailsRequests)
        );
        assert!(
            raised[0].started_at >= began && raised[0].reported_at - began <= 6 * S,
            "{raised:?}"
        );
    }
}

#[test]
fn an_endpoint_that_warms_up_may_be_slow() {
    let mut pool = Pool::new(6, 33);
    pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
    let began = pool.now;
    let listed = ListedEndpoint {
        restarted: true,
        warming_up_until: began + 30 * S,
        ..ListedEndpoint::default()
    };
    pool.history.endpoint_listed(began, ServerId(1), listed);
    pool.run(began + 100 * S, 20.0, |now, id, _, _, _| {
        let is_warming_up = id == 1 && now < began + 30 * S;
        Response {
            latency_factor: if is_warming_up { 5.0 } else { 1.0 },
            ..HEALTHY
        }
    });
    assert_eq!(pool.raised().len(), 0, "{:?}", pool.reports);
}

/// A run of failures at first, then some luck: an anomaly remains active for as long as its cause, except for one run of
/// luck in an hour.
#[test]
fn a_few_good_responses_do_not_clear_an_anomaly() {
    let ended_early = |seed: &u128| {
        let mut pool = Pool::new(4, 500 + seed);
        pool.run(300 * S, 20.0, |_, _, _, _, _| HEALTHY);
        let began = pool.now;
        pool.run(began + 60 * S, 20.0, |now, id, _, _, c| {
            let share = if now < began + S / 2 { 1.0 } else { 0.3 };
            if id == 3 {
                failing(share, c, Outcome::Reset)
            } else {
                HEALTHY
            }
        });
        assert!(!pool.raised().is_empty());
        pool.reports
            .iter()
            .any(|report| report.phase == AnomalyPhase::Cleared)
    };
    let early = (0..60).filter(ended_early).count();
    // In an hour of such minutes, all together.
    assert!(early <= 2, "{early} of 60 ended early");
}
