//! Delay of detection, delay of recovery and rate of false alarms: this crate beside two other detectors, on the same
//! attempts.
//!
//! ```sh
//! cargo run --release -p madderloom-endpoint-history --example detect
//! ```
//!
//! Sixteen servers respond after a fixed time plus an exponential one, and fail once in a thousand attempts. After a
//! period without faults one of them has a fault for a while, the longer the fewer attempts there are. Each detector
//! sees the same attempts.
//!
//! `threshold` is a share of failures over 5% of the last minute's attempts, of at least 10, as alerts are often
//! written. `envoy` is outlier detection by its documentation, with its defaults: five failures in a row, and each ten
//! seconds a success rate 1.9 deviations below the mean where five hosts had 100 requests, for 30 s times the number of
//! ejections. Neither looks at latency. A server counts as detected while it is ejected.

use madderloom_balancer::{Outcome, ServerId};
use madderloom_endpoint_history::{
    AnomalyPhase, CompletedAttempt, EndpointHistory, ListedEndpoint, Settings, Subject,
};
use oorandom::Rand64;
use std::collections::VecDeque;

/// One second, in microseconds.
const S: u64 = 1_000_000;
const HOUR: u64 = 3_600 * S;
const DAY: u64 = 24 * HOUR;
const SERVERS: u64 = 16;
/// The server that has the fault.
const FAULTY: u64 = 3;
const SEEDS: u128 = 5;

/// A detector of faulty servers.
trait Detector {
    fn attempt(&mut self, now: u64, attempt: &CompletedAttempt);
    /// The servers that are considered faulty now. Called once a second.
    fn faulty(&mut self, now: u64) -> Vec<u64>;
}

/// This crate.
struct Madderloom {
    history: EndpointHistory,
    /// Active anomalies.
    active: Vec<ActiveAnomaly>,
}

struct ActiveAnomaly {
    number: u64,
    servers: Vec<u64>,
}

impl Madderloom {
    fn new() -> Self {
        let mut history = EndpointHistory::new(Settings::default());
        for id in 0..SERVERS {
            history.endpoint_listed(0, ServerId(id), ListedEndpoint::default());
        }
        Madderloom {
            history,
            active: Vec::new(),
        }
    }
}

impl Detector for Madderloom {
    fn attempt(&mut self, now: u64, attempt: &CompletedAttempt) {
        let minute_of_day = (now / (60 * S) % 1_440) as u16;
        self.history.record_attempt(now, minute_of_day, attempt);
    }

    fn faulty(&mut self, now: u64) -> Vec<u64> {
        for report in self.history.poll_anomalies(now) {
            let number = report.number;
            let servers = match report.subject {
                Subject::Endpoint(server) => vec![server.0],
                Subject::Zone(_) | Subject::Fleet => (0..SERVERS).collect(),
            };
            match report.phase {
                AnomalyPhase::Raised => self.active.push(ActiveAnomaly { number, servers }),
                AnomalyPhase::Cleared => self.active.retain(|active| active.number != number),
                AnomalyPhase::Updated => {}
            }
        }
        let mut faulty: Vec<u64> = self
            .active
            .iter()
            .flat_map(|active| active.servers.clone())
            .collect();
        faulty.sort_unstable();
        faulty.dedup();
        faulty
    }
}

/// A share of failures over the last minute.
struct Threshold {
    attempts: Vec<VecDeque<WindowedAttempt>>,
}

struct WindowedAttempt {
    ended_at: u64,
    failed: bool,
}

impl Threshold {
    const WINDOW: u64 = 60 * S;
    const MIN_ATTEMPTS: usize = 10;
    const MAX_FAILURE_SHARE: f64 = 0.05;

    fn new() -> Self {
        Threshold {
            attempts: (0..SERVERS).map(|_| VecDeque::new()).collect(),
        }
    }
}

impl Detector for Threshold {
    fn attempt(&mut self, now: u64, attempt: &CompletedAttempt) {
        self.attempts[attempt.server.0 as usize].push_back(WindowedAttempt {
            ended_at: now,
            failed: attempt.outcome != Outcome::Ok,
        });
    }

    fn faulty(&mut self, now: u64) -> Vec<u64> {
        let mut faulty = Vec::new();
        for (id, attempts) in (0..).zip(&mut self.attempts) {
            while attempts
                .front()
                .is_some_and(|first| first.ended_at + Self::WINDOW < now)
            {
                attempts.pop_front();
            }
            let failures = attempts.iter().filter(|attempt| attempt.failed).count();
            let max_failures = Self::MAX_FAILURE_SHARE * attempts.len() as f64;
            if attempts.len() >= Self::MIN_ATTEMPTS && failures as f64 > max_failures {
                faulty.push(id);
            }
        }
        faulty
    }
}

#[derive(Clone, Copy, Default)]
struct Host {
    consecutive_failures: u32,
    requests: u32,
    successes: u32,
    ejections: u64,
    ejected_until: u64,
}

impl Host {
    fn is_ejected(&self, now: u64) -> bool {
        self.ejected_until > now
    }

    fn success_rate(&self) -> f64 {
        f64::from(self.successes) / f64::from(self.requests)
    }
}

/// Envoy's outlier detection.
struct Envoy {
    hosts: Vec<Host>,
    interval_end: u64,
}

impl Envoy {
    const INTERVAL: u64 = 10 * S;
    const CONSECUTIVE_FAILURES: u32 = 5;
    const BASE_EJECTION_TIME: u64 = 30 * S;
    const MAX_EJECTION_TIME: u64 = 300 * S;
    /// Hosts that may be ejected at a time are one in so many, and at least one.
    const HOSTS_PER_EJECTION: usize = 10;
    const MIN_HOSTS: usize = 5;
    const MIN_REQUESTS: u32 = 100;
    const DEVIATIONS: f64 = 1.9;

    fn new() -> Self {
        Envoy {
            hosts: vec![Host::default(); SERVERS as usize],
            interval_end: Self::INTERVAL,
        }
    }

    fn eject(&mut self, now: u64, id: usize) {
        let ejected = self
            .hosts
            .iter()
            .filter(|host| host.is_ejected(now))
            .count();
        let max_ejected = (self.hosts.len() / Self::HOSTS_PER_EJECTION).max(1);
        if self.hosts[id].is_ejected(now) || ejected >= max_ejected {
            return;
        }
        let host = &mut self.hosts[id];
        host.ejections += 1;
        let ejection_time =
            (Self::BASE_EJECTION_TIME * host.ejections).min(Self::MAX_EJECTION_TIME);
        host.ejected_until = now + ejection_time;
        host.consecutive_failures = 0;
    }

    /// Ejects hosts whose success rate is far below the mean.
    fn eject_by_success_rate(&mut self, now: u64) {
        let rates: Vec<(usize, f64)> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.requests >= Self::MIN_REQUESTS && !host.is_ejected(now))
            .map(|(id, host)| (id, host.success_rate()))
            .collect();
        if rates.len() < Self::MIN_HOSTS {
            return;
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let squares = rates.iter().map(|(_, rate)| (rate - mean).powi(2));
        let variance = squares.sum::<f64>() / count;
        let min_rate = mean - Self::DEVIATIONS * variance.sqrt();
        for (id, _) in rates.iter().filter(|(_, rate)| *rate < min_rate) {
            self.eject(now, *id);
        }
    }

    fn end_interval(&mut self, now: u64) {
        self.interval_end = now + Self::INTERVAL;
        self.eject_by_success_rate(now);
        for host in &mut self.hosts {
            host.requests = 0;
            host.successes = 0;
            if !host.is_ejected(now) {
                host.ejections = host.ejections.saturating_sub(1);
            }
        }
    }
}

impl Detector for Envoy {
    fn attempt(&mut self, now: u64, attempt: &CompletedAttempt) {
        let id = attempt.server.0 as usize;
        let host = &mut self.hosts[id];
        // An ejected host gets no requests; those that this simulation sends there are ignored.
        if host.is_ejected(now) {
            return;
        }
        host.requests += 1;
        if attempt.outcome == Outcome::Ok {
            host.consecutive_failures = 0;
            host.successes += 1;
        } else {
            host.consecutive_failures += 1;
        }
        if host.consecutive_failures >= Self::CONSECUTIVE_FAILURES {
            self.eject(now, id);
        }
    }

    fn faulty(&mut self, now: u64) -> Vec<u64> {
        if now >= self.interval_end {
            self.end_interval(now);
        }
        (0..)
            .zip(&self.hosts)
            .filter(|(_, host)| host.is_ejected(now))
            .map(|(id, _)| id)
            .collect()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Fails this share of attempts.
    Fails(f64),
    FailsOneClass,
    /// Multiplies latencies by this.
    Slow(f64),
    SlowForLargeRequests,
    /// Fails half of the attempts, on and off for so many seconds each.
    Intermittent(u64),
}

impl Fault {
    /// The share of attempts of this class that fail now.
    fn failure_share(self, now: u64, class: u32) -> f64 {
        match self {
            Fault::Fails(share) => share,
            Fault::FailsOneClass if class == 1 => 1.0,
            Fault::Intermittent(seconds) if (now / S / seconds).is_multiple_of(2) => 0.5,
            _ => 0.0,
        }
    }

    /// What multiplies the latency of a request of this size.
    fn latency_factor(self, size: f64) -> f64 {
        match self {
            Fault::Slow(factor) => factor,
            Fault::SlowForLargeRequests if size >= 2.0 => 6.0,
            _ => 1.0,
        }
    }
}

const FAULTS: [(&str, Fault); 10] = [
    ("fails all", Fault::Fails(1.0)),
    ("fails 30%", Fault::Fails(0.3)),
    ("fails one in a hundred", Fault::Fails(0.01)),
    ("fails one class of four", Fault::FailsOneClass),
    ("twice as slow", Fault::Slow(2.0)),
    ("four times as slow", Fault::Slow(4.0)),
    ("ten times as slow", Fault::Slow(10.0)),
    (
        "heavy requests six times as slow",
        Fault::SlowForLargeRequests,
    ),
    ("fails half, on and off every 8 s", Fault::Intermittent(8)),
    ("fails half, on and off every 60 s", Fault::Intermittent(60)),
];

/// One simulated period: without a fault first, then with it, and without again for as long.
#[derive(Clone, Copy)]
struct Scenario {
    fault: Fault,
    /// Requests a second at all servers together.
    rate: f64,
    /// When the fault begins, in microseconds.
    fault_start: u64,
    /// How long the fault lasts, and how long its end is awaited, in microseconds.
    fault_duration: u64,
}

impl Scenario {
    fn fault_end(&self) -> u64 {
        self.fault_start + self.fault_duration
    }

    fn end(&self) -> u64 {
        self.fault_end() + self.fault_duration
    }

    fn is_faulty(&self, now: u64, server: u64) -> bool {
        server == FAULTY && (self.fault_start..self.fault_end()).contains(&now)
    }

    /// A random attempt that ends now.
    fn attempt(&self, now: u64, random: &mut Rand64) -> CompletedAttempt {
        let server = random.rand_u64() % SERVERS;
        let class = (random.rand_u64() >> 40) as u32 % 4;
        let size = 0.2 + 2.8 * random.rand_float();
        let fault = if self.is_faulty(now, server) {
            self.fault
        } else {
            Fault::None
        };
        let failure_share = f64::max(fault.failure_share(now, class), 0.001);
        let failed = random.rand_float() < failure_share;
        let exponential = -random.rand_float().max(1e-9).ln();
        let latency = size * fault.latency_factor(size) * 50_000.0 * (1.0 + 0.5 * exponential);
        CompletedAttempt {
            server: ServerId(server),
            class,
            outcome: if failed { Outcome::Error } else { Outcome::Ok },
            elapsed: latency as u64,
            relative_size: size,
        }
    }
}

/// Results of one detector over several runs.
#[derive(Default)]
struct Results {
    /// Seconds from the begin of the fault to its detection.
    detection_delays: Vec<f64>,
    /// Seconds from the end of the fault to the last second in which the server was considered faulty.
    recovery_delays: Vec<f64>,
    /// How often a server was newly considered faulty that was not.
    false_alarms: f64,
    /// Days without faults.
    days: f64,
}

/// What is known of one run.
#[derive(Default)]
struct Run {
    /// Servers considered faulty in the last second.
    faulty: Vec<u64>,
    false_alarms: usize,
    /// Time from the begin of the fault to its detection, in microseconds.
    detection_delay: Option<u64>,
    /// When the faulty server was last considered faulty.
    last_detected_at: Option<u64>,
}

impl Run {
    fn observe(&mut self, scenario: &Scenario, now: u64, faulty: Vec<u64>) {
        self.false_alarms += faulty
            .iter()
            .filter(|id| !self.faulty.contains(*id) && !scenario.is_faulty(now, **id))
            .count();
        let has_fault = scenario.fault != Fault::None;
        if faulty.contains(&FAULTY) && has_fault && now >= scenario.fault_start {
            self.last_detected_at = Some(now);
            let delay = now - scenario.fault_start;
            let is_in_time = now < scenario.fault_end();
            self.detection_delay = self.detection_delay.or(is_in_time.then_some(delay));
        }
        self.faulty = faulty;
    }
}

impl Results {
    fn add(&mut self, scenario: &Scenario, run: &Run) {
        self.false_alarms += run.false_alarms as f64;
        self.days += scenario.fault_start as f64 / DAY as f64;
        let Some(detection_delay) = run.detection_delay else {
            return;
        };
        self.detection_delays.push(detection_delay as f64 / 1e6);
        // A server that is considered faulty until the end of the run has no known delay.
        let recovery_delay = run
            .last_detected_at
            .map_or(0, |at| (at + S).saturating_sub(scenario.fault_end()));
        if recovery_delay + S < scenario.fault_duration {
            self.recovery_delays.push(recovery_delay as f64 / 1e6);
        }
    }
}

fn simulate(detector: &mut dyn Detector, scenario: &Scenario, seed: u128) -> Run {
    let mut random = Rand64::new(seed);
    let mut run = Run::default();
    let mut next_attempt = 0.0;
    let mut next_second = S;
    let end = scenario.end();
    loop {
        // Requests arrive at random, not in step.
        next_attempt -= 1e6 / scenario.rate * random.rand_float().max(1e-12).ln();
        let now = next_attempt as u64;
        while next_second <= now.min(end) {
            let faulty = detector.faulty(next_second);
            run.observe(scenario, next_second, faulty);
            next_second += S;
        }
        if now >= end {
            return run;
        }
        detector.attempt(now, &scenario.attempt(now, &mut random));
    }
}

/// Runs a scenario with `SEEDS` seeds.
fn results(make: MakeDetector, scenario: &Scenario, first_seed: u128) -> Results {
    let mut results = Results::default();
    for seed in first_seed..first_seed + SEEDS {
        let run = simulate(&mut *make(), scenario, seed);
        results.add(scenario, &run);
    }
    results
}

type MakeDetector = fn() -> Box<dyn Detector>;

const DETECTORS: [(&str, MakeDetector); 3] = [
    ("madderloom", || Box::new(Madderloom::new())),
    ("envoy", || Box::new(Envoy::new())),
    ("threshold", || Box::new(Threshold::new())),
];

/// The median, the lowest and the highest value in parentheses, and how many of all runs have a value.
fn summary(values: &mut [f64], runs: usize) -> String {
    values.sort_by(f64::total_cmp);
    let Some((lowest, highest)) = values.first().zip(values.last()) else {
        return "never".into();
    };
    let median = values[values.len() / 2];
    let some = if values.len() < runs {
        format!(" in {} of {runs}", values.len())
    } else {
        String::new()
    };
    if lowest == highest {
        format!("{median:.0}{some}")
    } else {
        format!("{median:.0} ({lowest:.0}-{highest:.0}){some}")
    }
}

/// How many requests arrive, and how long is simulated for them.
struct Load {
    name: &'static str,
    /// Requests a second at all servers together.
    rate: f64,
    /// Time without a fault before each fault.
    fault_start: u64,
    fault_duration: u64,
    /// Time without a fault in which false alarms are counted.
    false_alarm_period: u64,
}

const LOADS: [Load; 4] = [
    Load {
        name: "1 a minute",
        rate: 1.0 / 60.0,
        fault_start: 7 * DAY,
        fault_duration: 2 * DAY,
        false_alarm_period: 60 * DAY,
    },
    Load {
        name: "1 a second",
        rate: 1.0,
        fault_start: 6 * HOUR,
        fault_duration: 2 * HOUR,
        false_alarm_period: 14 * DAY,
    },
    Load {
        name: "30 a second",
        rate: 30.0,
        fault_start: HOUR,
        fault_duration: HOUR / 6,
        false_alarm_period: 2 * DAY,
    },
    Load {
        name: "1,000 a second",
        rate: 1_000.0,
        fault_start: HOUR / 6,
        fault_duration: HOUR / 6,
        false_alarm_period: 4 * HOUR,
    },
];

fn print_delays(load: &Load) {
    for (fault_name, fault) in FAULTS {
        let scenario = Scenario {
            fault,
            rate: load.rate,
            fault_start: load.fault_start,
            fault_duration: load.fault_duration,
        };
        for (name, make) in DETECTORS {
            let mut results = results(make, &scenario, 1);
            let detected = results.detection_delays.len();
            let detection = summary(&mut results.detection_delays, SEEDS as usize);
            let recovery = match detected {
                0 => "-".to_string(),
                _ => summary(&mut results.recovery_delays, detected),
            };
            println!(
                "| {} | {fault_name} | {name} | {detection} | {recovery} |",
                load.name
            );
        }
    }
}

fn print_false_alarms(load: &Load) {
    let scenario = Scenario {
        fault: Fault::None,
        rate: load.rate,
        fault_start: load.false_alarm_period,
        fault_duration: 0,
    };
    for (name, make) in DETECTORS {
        let results = results(make, &scenario, 101);
        let per_day = results.false_alarms / results.days;
        println!(
            "| {} | {name} | {} | {:.1} | {per_day:.2} |",
            load.name, results.false_alarms, results.days
        );
    }
}

fn main() {
    println!("| rate | fault | way | found after s | trusted again after s |");
    println!("| --- | --- | --- | --- | --- |");
    LOADS.iter().for_each(print_delays);
    println!("\n| rate | way | false alarms | in days | a day |\n| --- | --- | --- | --- | --- |");
    LOADS.iter().for_each(print_false_alarms);
}
