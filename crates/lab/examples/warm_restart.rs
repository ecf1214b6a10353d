//! What a warm start is worth: goodput in the first seconds after all instances were killed and started again under
//! load, where they begin cold, where they begin with their last snapshot, and where that is too old.
//!
//! `cargo run --release -p madderloom-lab --example warm_restart [SEEDS]`
//!
//! In virtual time, with the servers, the network and the load of `rolling-restart`, but nobody rolls them: some of them
//! are ill from 5 s on and stay so. At 40 s all instances are killed; they come back after 0.5 s. Arms are paired by
//! seed. A snapshot is taken every 5 s, as `[state] warm_every` has it by default, and weighed as it is there.

use madderloom_balancer::{Action, Balancer, Event, Measurements, Micros, ServerMeasurements};
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{Arm, Experiment, Fault, FaultKind};
use madderloom_lab::policy::{Policy, Start};
use madderloom_lab::{shipped, virtual_time};
use madderloom_sidecar_state::{
    ClassSnapshot, Means, ServerSnapshot, SnapshotDecay, WarmStartSnapshot, blend,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::rc::Rc;

const EVERY: Micros = 5_000_000;
const KILLED: Span = Span::s(40);
const AWAY: Span = Span::ms(500);
const DECAY: SnapshotDecay = SnapshotDecay {
    half_life: 30_000_000,
    max_age: 300_000_000,
};
const SEEDS: u64 = 30;

/// The last snapshot of each instance.
type Store = Rc<RefCell<BTreeMap<u32, (WarmStartSnapshot, Vec<ServerMeasurements>)>>>;

/// The decision module with what a sidecar does of the warm start around it.
struct Warmed {
    inner: Balancer,
    instance: u32,
    store: Store,
    /// A snapshot counts as so much older than it is.
    older: Micros,
    left: Option<Vec<ServerMeasurements>>,
    next: Micros,
}

impl Warmed {
    fn begin(&mut self, now: Micros) -> Vec<ServerMeasurements> {
        let store = self.store.borrow();
        let Some((warm, servers)) = store.get(&self.instance) else {
            return Vec::new();
        };
        let recalled = warm.decayed(now + self.older, DECAY);
        if recalled.weight == 0.0 {
            return Vec::new();
        }
        let guess = self.inner.measurements(now);
        let mixed = |guess: f64, kept: f64| blend(guess, kept, recalled.weight);
        let mut memory = Measurements {
            servers: Vec::new(),
            ..guess.clone()
        };
        for (class, kept) in memory.classes.iter_mut().zip(&recalled.classes) {
            (class.service_time, class.tail_latency) = (
                mixed(class.service_time, kept.usual_work),
                mixed(class.tail_latency, kept.slow_time),
            );
        }
        memory.mean_work_and_time = (
            mixed(guess.mean_work_and_time.0, recalled.means.work),
            mixed(guess.mean_work_and_time.1, recalled.means.answer_time),
        );
        self.inner.restore_class_measurements(&memory);
        let faded =
            servers
                .iter()
                .zip(&recalled.servers)
                .map(|(server, kept)| ServerMeasurements {
                    work: kept.work,
                    attempt_time: kept.attempt_time,
                    failure_score: kept.consecutive_failures,
                    ejection_remaining: kept.ejection_left,
                    ejection_duration: kept.ejection_time,
                    ..*server
                });
        faded.collect()
    }

    fn write(&self, now: Micros) {
        let memory = self.inner.measurements(now);
        let server = |s: &ServerMeasurements| ServerSnapshot {
            name: s.server.0.to_string(),
            work: s.work,
            attempt_time: s.attempt_time,
            consecutive_failures: s.failure_score,
            ejection_left: s.ejection_remaining,
            ejection_time: s.ejection_duration,
            ..ServerSnapshot::default()
        };
        let warm = WarmStartSnapshot {
            taken_at: now,
            means: Means::from(memory.mean_work_and_time),
            servers: memory.servers.iter().map(server).collect(),
            classes: memory
                .classes
                .iter()
                .map(|class| ClassSnapshot {
                    name: String::new(),
                    usual_work: class.service_time,
                    slow_time: class.tail_latency,
                })
                .collect(),
        };
        self.store
            .borrow_mut()
            .insert(self.instance, (warm, memory.servers));
    }
}

impl Policy for Warmed {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let mut left = match self.left.take() {
            Some(left) => left,
            None => self.begin(now),
        };
        let listed = matches!(event, Event::DiscoveryUpdated(_));
        self.inner.handle(now, event, actions);
        if listed {
            left.retain(|server| !self.inner.restore_server_measurements(now, server));
        }
        self.left = Some(left);
        if now >= self.next {
            self.next = now + EVERY;
            self.write(now);
        }
    }
}

/// Goodput of what arrived in the ten seconds from the killing on, and in the two behind the coming back.
fn play(experiment: &Experiment, older: Option<Micros>, seed: u64) -> [f64; 2] {
    let store = Store::default();
    let make = |start: Start| -> Result<Box<dyn Policy>, String> {
        let inner = Balancer::new(start.settings, start.seed).map_err(|e| e.to_string())?;
        let Some(older) = older else {
            return Ok(Box::new(inner));
        };
        let (instance, store) = (start.instance, Rc::clone(&store));
        Ok(Box::new(Warmed {
            inner,
            instance,
            store,
            older,
            left: None,
            next: EVERY,
        }))
    };
    let run = virtual_time::run(experiment, &Arm::default(), seed, &make, &|_| {
        ControlFlow::Continue(())
    });
    assert_eq!(run.void, None);
    assert!(run.breaches.is_empty(), "{:?}", run.breaches);
    let window = experiment.window.micros();
    let goodput = |from: u64, until: u64| {
        let steps = &run.windows[(from / window) as usize..(until / window) as usize];
        steps.iter().map(|w| w.earned).sum::<f64>() / steps.iter().map(|w| w.worth).sum::<f64>()
    };
    let back = KILLED.micros() + AWAY.micros();
    [
        goodput(back, back + 10_000_000),
        goodput(back, back + 2_000_000),
    ]
}

fn ill(kind: FaultKind, servers: &[&str], size: f64) -> Fault {
    let servers = servers.iter().map(|s| s.to_string()).collect();
    Fault {
        at: Span::s(5),
        kind,
        servers,
        size,
        ..Fault::default()
    }
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: usize| values[part * (values.len() - 1) / 4];
    format!("{:.4} ({:.4} to {:.4})", at(2), at(0), at(4))
}

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"));
    let text = shipped::find("rolling-restart")
        .expect("it is shipped")
        .text;
    let base = Experiment::read(&text).expect("it makes sense");
    let worlds = [
        ("well, of three speeds", Vec::new()),
        (
            "two fail all",
            vec![ill(FaultKind::FastErrors, &["quick-0", "plain-0"], 1.0)],
        ),
        (
            "two fail half",
            vec![ill(FaultKind::FastErrors, &["quick-0", "plain-0"], 0.5)],
        ),
        (
            "two ten times slower",
            vec![ill(FaultKind::Slow, &["quick-0", "plain-0"], 10.0)],
        ),
        (
            "two hang",
            vec![ill(FaultKind::Hang, &["quick-0", "plain-0"], 0.0)],
        ),
    ];
    println!("{seeds} seeds; goodput as median (least to most); differences are of pairs\n");
    println!(
        "| servers | of | cold | warm | warm less cold | pairs that gain | 600 s old less cold |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, ills) in worlds {
        let killed = Fault {
            at: KILLED,
            lasts: AWAY,
            kind: FaultKind::InstanceRestart,
            ..Fault::default()
        };
        let faults = ills.into_iter().chain([killed]).collect();
        let (duration, window) = (Span::s(55), Span::ms(500));
        let mut experiment = Experiment {
            duration,
            window,
            faults,
            ..base.clone()
        };
        experiment.instances.allow.probes = false;
        let all = |older| {
            (1..=seeds)
                .map(|seed| play(&experiment, older, seed))
                .collect::<Vec<_>>()
        };
        let (cold, warm, old) = (all(None), all(Some(0)), all(Some(600_000_000)));
        for (at, of) in ["10 s", "2 s"].into_iter().enumerate() {
            let pick = |arm: &[[f64; 2]]| arm.iter().map(|run| run[at]).collect::<Vec<_>>();
            let less = |arm: &[[f64; 2]]| {
                arm.iter()
                    .zip(&cold)
                    .map(|(a, b)| a[at] - b[at])
                    .collect::<Vec<_>>()
            };
            let gains = less(&warm).iter().filter(|gain| **gain > 0.0).count();
            println!(
                "| {name} | {of} | {} | {} | {} | {gains} | {} |",
                spread(pick(&cold)),
                spread(pick(&warm)),
                spread(less(&warm)),
                spread(less(&old))
            );
        }
    }
}
