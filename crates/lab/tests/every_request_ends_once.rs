//! Over random experiments every request ends exactly once and every attempt has one outcome, whatever the policy does.

mod common;
use common::*;
use madderloom_balancer::*;
use madderloom_config_reader::Span;
use madderloom_endpoint_history::{RecordedInterval, Recording};
use madderloom_lab::experiment::{
    CancelStops, Class, Distribution, Effect, Experiment, Fault, FaultKind, Phase, ServerKind,
};
use madderloom_lab::policy::{self, Policy, Start};
use madderloom_lab::record::Run;
use madderloom_lab::seeds::{Concern, Random, stream};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;

/// Does anything that the interface has words for, whether it makes sense or not.
struct Chaos {
    random: Random,
    servers: Vec<ServerId>,
    requests: Vec<RequestId>,
}

impl Chaos {
    fn act(&mut self, now: Micros, request: RequestId, actions: &mut Vec<Action>) {
        let server = match self.servers.len() {
            0 => ServerId(12_345),
            count => self.servers[self.random.random_range(0..count)],
        };
        let soon = now + self.random.random_range(0..300_000);
        actions.push(match self.random.random_range(0..12) {
            0..6 => Action::Send {
                request,
                server,
                timeout_at: soon,
                write_by: Micros::MAX,
            },
            6 => Action::Reject {
                request,
                retry_after: Some(soon - now),
            },
            7 => Action::Fail { request },
            8 => Action::Cancel {
                request,
                attempt: self.random.random_range(0..3),
            },
            9 => Action::SetTimer {
                at: soon.saturating_sub(100_000),
                timer: Timer::Request(request),
            },
            10 => Action::Probe(server),
            _ => Action::PollDiscovery,
        });
    }
}

impl Policy for Chaos {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::DiscoveryUpdated(
                DiscoveryUpdate::FullList(list) | DiscoveryUpdate::ListChanges(list),
            ) => {
                self.servers.extend(list.iter().map(|l| l.server));
                self.servers.sort_unstable();
                self.servers.dedup();
            }
            Event::RequestReceived(new) => {
                self.requests.push(new.id);
                (0..2).for_each(|_| self.act(now, new.id, actions));
            }
            // Old requests are acted for again and again, long after their end.
            Event::AttemptEnded(_) | Event::TimerFired(_) if self.random.random_bool(0.7) => {
                let at = self.random.random_range(0..self.requests.len().max(1));
                let request = self.requests.get(at).copied().unwrap_or(7);
                self.act(now, request, actions);
            }
            _ => {}
        }
    }
}

fn chaos(start: Start) -> Result<Box<dyn Policy>, String> {
    let random = stream(start.seed, Concern::Instance, 0);
    Ok(Box::new(Chaos {
        random,
        servers: Vec::new(),
        requests: Vec::new(),
    }))
}

/// A server that first fails a part of what it is given, and then is slow.
fn recording(size: f64, gap: u64) -> Recording {
    let interval = |start_ms: u64, error_share: f64, latency_ratio: f64| RecordedInterval {
        start_ms,
        duration_ms: 400,
        attempts: 1,
        error_share,
        lost_share: (1.0 - error_share) / 2.0,
        rejected_share: 0.0,
        latency_ratio,
    };
    let intervals = vec![
        interval(0, size, 1.0),
        interval(400 + gap, 0.0, 1.0 + 9.0 * size),
    ];
    Recording {
        version: Recording::VERSION,
        server: "s".into(),
        started_at: 0,
        usual_latency: 1,
        intervals,
    }
}

fn faults() -> impl Strategy<Value = Fault> {
    let kinds = prop::sample::select(vec![
        FaultKind::FastErrors,
        FaultKind::LostAnswers,
        FaultKind::SpoiltAnswers,
        FaultKind::Resets,
        FaultKind::Neighbour,
        FaultKind::Slow,
        FaultKind::Hang,
        FaultKind::Crash,
        FaultKind::Vanish,
        FaultKind::RollingRestart,
        FaultKind::Drain,
        FaultKind::CutZone,
        FaultKind::CutAnswers,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoveryMoves,
        FaultKind::StuckReports,
        FaultKind::InstanceRestart,
        FaultKind::Replay,
    ]);
    (
        kinds,
        0u64..2_000,
        0u64..1_500,
        0.0..=1.0f64,
        0.0..=1.0f64,
        0u64..700,
        any::<(bool, bool)>(),
    )
        .prop_map(
            |(kind, at, lasts, share, size, every, (one_class, one_zone))| Fault {
                at: Span::ms(at),
                lasts: Span::ms(lasts),
                kind,
                servers: if matches!(kind, FaultKind::CutZone | FaultKind::CutAnswers) {
                    vec!["zone:a".into()]
                } else {
                    Vec::new()
                },
                share,
                size: if kind == FaultKind::Slow {
                    1.0 + 9.0 * size
                } else {
                    size
                },
                every: Span::ms(every),
                class: one_class.then(|| "one".into()),
                seen_from: one_zone.then(|| "b".into()),
                file: None,
                recording: (kind == FaultKind::Replay).then(|| recording(size, every).into()),
            },
        )
}

prop_compose! {
    fn kinds()(
        (count, cores, queue, connections) in (1u32..4, 1u32..4, 0u32..20, 1u32..40),
        (crowded, cold, keyed, reports) in any::<(bool, bool, bool, bool)>(),
        (handshake, error_rate, noise, speed_cv) in (0u64..2_000, 0.0..0.2f64, 0.0..1.0f64, 0.0..0.6f64),
        cancel in prop::sample::select(vec![CancelStops::Nothing, CancelStops::Waiting, CancelStops::All]),
    ) -> ServerKind {
        ServerKind {
            count, cores, queue, connections, cancel, error_rate, speed_cv,
            crowded_at: if crowded { 1.5 } else { 0.0 },
            crowded_after: Span::ms(200),
            crowded_rest: Span::ms(200),
            cold_from: if cold { 0.2 } else { 1.0 },
            cold: Span::s(u64::from(cold)),
            warm_key_work: if keyed { 0.5 } else { 1.0 },
            warm_keys: 5,
            handshake: Span(handshake),
            report_every: Span::ms(if reports { 20 } else { 0 }),
            report_noise: noise,
            ..ServerKind::default()
        }
    }
}

prop_compose! {
    fn experiments()(
        mut servers in prop::collection::vec(kinds(), 1..3),
        faults in prop::collection::vec(faults(), 0..6),
        (rate, rate_to, wave, outstanding) in (1.0..400.0f64, 1.0..400.0f64, 0.0..1.0f64, 0u32..30),
        (instances, tick, skew, jitter) in (1u32..4, 1u64..5_000, 0.0..1.0f64, 0.0..1.0f64),
        (retries, backoff, try_share, impatient) in (0u32..4, 0u64..100, 0.1..1.0f64, 0.0..0.5f64),
        (closed, on_request, probes, cancel, doubles) in any::<(bool, bool, bool, bool, bool)>(),
        effects in prop::collection::vec(prop::sample::select(vec![Effect::Safe, Effect::Keyed, Effect::Unsafe]), 1..3),
        calls in prop::sample::select(vec![0.0, 2.0, 50.0]),
    ) -> Experiment {
        servers.iter_mut().zip(["x", "y"]).for_each(|(kind, name)| kind.name = name.into());
        let class = |(effect, name): (&Effect, &str)| Class {
            name: name.into(),
            effect: *effect,
            dist: if retries % 2 == 0 { Distribution::Lognormal } else { Distribution::Exponential },
            aim: Span::ms(150),
            deadline: Span::ms(400),
            late_worth: 0.5,
            window: Span::ms(300),
            ..Class::default()
        };
        let mut experiment = Experiment {
            name: "random".into(),
            duration: Span::s(2),
            window: Span::ms(300),
            warmup: Span::ms(if cancel { 0 } else { 500 }),
            servers,
            classes: effects.iter().zip(["one", "two"]).map(class).collect(),
            faults,
            phases: vec![Phase {
                from: Span::ms(500),
                to: Span::s(1),
                rate,
                rate_to,
                wave,
                wave_every: Span::ms(200),
            }],
            ..Experiment::default()
        };
        experiment.instances.count = instances;
        experiment.instances.tick = Span(tick);
        experiment.instances.skew = skew;
        experiment.instances.allow.probes = probes;
        experiment.instances.allow.cancel = cancel;
        experiment.instances.allow.max_attempts = 3;
        experiment.instances.allow.drain_grace = Span::ms(300);
        experiment.instances.allow.fall = Span::ms(300);
        experiment.network.jitter = jitter;
        experiment.network.idle = Span::ms(300);
        experiment.network.connect_timeout = Span::ms(50);
        experiment.discovery.on_request = on_request;
        experiment.discovery.calls_per_second = calls;
        experiment.discovery.notice = Span::ms(200);
        experiment.discovery.silent_notice = Span::ms(600);
        experiment.clients = madderloom_lab::experiment::Clients {
            rate,
            outstanding: if closed { outstanding } else { 0 },
            keys: 20,
            hint_noise: Some(jitter),
            retries,
            try_share,
            backoff: Span::ms(backoff),
            backoff_doubles: doubles,
            honour_retry_after: 0.5,
            impatient,
            ..Default::default()
        };
        experiment
    }
}

fn adds_up(experiment: &Experiment, run: &Run) -> Result<(), TestCaseError> {
    // The judge counts ends and outcomes on its own books; a run where they are not one each is void.
    prop_assert_eq!(&run.void, &None);
    let killed = experiment
        .faults
        .iter()
        .any(|f| f.kind == FaultKind::InstanceRestart);
    for tally in run.classes.values().chain([&run.total]) {
        let ended = tally.in_time + tally.late + tally.refused + tally.failed + tally.left;
        prop_assert_eq!(ended, tally.asked);
        prop_assert!(tally.tries >= tally.asked && tally.earned <= tally.worth);
        let outcomes: u64 = tally.outcomes.values().sum();
        prop_assert!(outcomes == tally.attempts || (killed && outcomes < tally.attempts));
        let latencies: u64 = tally.latency.buckets.iter().map(|b| b.1).sum();
        prop_assert_eq!(latencies, tally.in_time + tally.late);
    }
    let loads = run.windows.iter().flat_map(|w| &w.load);
    prop_assert!(
        loads.clone().all(|l| (0.0..=1.01).contains(l)),
        "{:?}",
        loads.collect::<Vec<_>>()
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn with_the_decision_module(experiment in experiments(), seed in 0u64..1_000) {
        let run = play(&experiment, seed, &policy::own);
        adds_up(&experiment, &run)?;
        for rule in ["dropped-request", "repeated-effect", "unsafe-drain"] {
            prop_assert_eq!(run.breaches.get(rule), None, "{:#?}", run.broken);
        }
    }

    #[test]
    fn with_a_policy_that_does_anything(experiment in experiments(), seed in 0u64..1_000) {
        adds_up(&experiment, &play(&experiment, seed, &chaos))?;
    }
}
