//! What reduced service levels make of a day, beside the same days without them:
//! `cargo run --release -p madderloom-lab --example levels -- [EXPERIMENT...] [--seeds N] [--fleet N]`.
//!
//! For each experiment (all shipped ones where none is named) the decision module is played without levels, with those
//! that are built in, and with those of the file's arms. Told are means over the seeds with intervals of 95%, what
//! changes against the arm without levels seed by seed, and how far the instances of a fleet change together: of each
//! change, the part of all instances that make one to the same level within a second.

use clap::Parser;
use madderloom_degradation::LevelsSection;
use madderloom_lab::experiment::{Arm, Experiment};
use madderloom_lab::figures::Figure;
use madderloom_lab::leveled::{self, Told};
use madderloom_lab::policy::Start;
use madderloom_lab::record::Run;
use madderloom_lab::stats::{Interval, bootstrap};
use madderloom_lab::{shipped, virtual_time};
use std::cell::RefCell;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Parser)]
struct Arguments {
    /// Shipped ones or files; all shipped ones of the module's without a word
    experiments: Vec<String>,
    /// So many seeds of each file, and on past them
    #[arg(long, default_value_t = 5)]
    seeds: usize,
    /// So many instances in place of the file's; servers and rate grow with them up to ten times
    #[arg(long)]
    fleet: Option<u32>,
    /// Tell each change of the first seed, with its cause
    #[arg(long)]
    changes: bool,
    /// At once
    #[arg(long, default_value_t = 4)]
    jobs: usize,
}

/// A change: when, of which instance, to which level.
type Changed = (u64, u32, Option<String>);

struct Played {
    run: Run,
    changes: Vec<Changed>,
}

fn play(experiment: &Experiment, arm: &Arm, seed: u64) -> Played {
    let changes = Rc::new(RefCell::new(Vec::new()));
    let log = Rc::clone(&changes);
    let told: Told = Rc::new(move |instance, change| {
        log.borrow_mut()
            .push((change.at, instance, change.to.clone()));
    });
    let make = |start: Start| leveled::make(experiment, arm, start, Some(Rc::clone(&told)));
    let go_on = |_| ControlFlow::Continue(());
    let run = virtual_time::run(experiment, arm, seed, &make, &go_on);
    let changes = changes.take();
    Played { run, changes }
}

/// Of each change, the part of all instances that make one to the same level within a second of it, in the mean.
fn together(changes: &[Changed], instances: u32) -> Option<f64> {
    let near = |(at, _, to): &Changed| {
        let same = changes
            .iter()
            .filter(|other| other.0.abs_diff(*at) <= 500_000 && other.2 == *to);
        let mut who: Vec<u32> = same.map(|other| other.1).collect();
        who.sort_unstable();
        who.dedup();
        who.len() as f64 / f64::from(instances)
    };
    let all: Vec<f64> = changes.iter().map(near).collect();
    (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
}

fn told(interval: Option<Interval>, digits: usize) -> String {
    match interval {
        None => "-".into(),
        Some(Interval {
            mean,
            ends: Some((low, high)),
            ..
        }) => {
            format!("{mean:.digits$} [{low:.digits$}, {high:.digits$}]")
        }
        Some(Interval { mean, .. }) => format!("{mean:.digits$}"),
    }
}

fn measure(mut experiment: Experiment, arguments: &Arguments) {
    if let Some(fleet) = arguments.fleet {
        let times = (f64::from(fleet) / f64::from(experiment.instances.count)).clamp(1.0, 20.0);
        experiment.instances.count = fleet;
        experiment.clients.rate *= times;
        experiment.phases.iter_mut().for_each(|phase| {
            phase.rate *= times;
            phase.rate_to *= times;
        });
        experiment.servers.iter_mut().for_each(|kind| {
            kind.count = (f64::from(kind.count) * times) as u32;
        });
    }
    let mut arms = vec![
        Arm {
            name: "without".into(),
            policy: "madderloom".into(),
            ..Arm::default()
        },
        Arm {
            name: "built in".into(),
            policy: "madderloom".into(),
            levels: Some(LevelsSection {
                built_in: true,
                ..LevelsSection::default()
            }),
            ..Arm::default()
        },
    ];
    let own = experiment
        .arms
        .iter()
        .filter(|arm| arm.levels.as_ref().is_some_and(|l| !l.levels.is_empty()));
    arms.extend(own.cloned());
    let last = experiment.seeds.last().copied().unwrap_or(0);
    let seeds: Vec<u64> = experiment
        .seeds
        .iter()
        .copied()
        .chain(last + 1..)
        .take(arguments.seeds)
        .collect();
    if arguments.changes {
        for arm in arms.iter().filter(|arm| arm.levels.is_some()) {
            println!("{}, {}, seed {}:", experiment.name, arm.name, seeds[0]);
            let told: Told = Rc::new(|instance, change| {
                println!(
                    "{:8.1} s, instance {instance}: {change}",
                    change.at as f64 / 1e6
                );
            });
            let make =
                |start: Start| leveled::make(&experiment, arm, start, Some(Rc::clone(&told)));
            virtual_time::run(&experiment, arm, seeds[0], &make, &|_| {
                ControlFlow::Continue(())
            });
        }
        return;
    }
    let jobs: Vec<(usize, u64)> = seeds
        .iter()
        .flat_map(|seed| (0..arms.len()).map(|arm| (arm, *seed)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..arguments.jobs.clamp(1, 8) {
            scope.spawn(|| {
                while let Some((arm, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = play(&experiment, &arms[*arm], *seed);
                    done.lock()
                        .expect("no player panics")
                        .push((*arm, *seed, played));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no player panics");
    done.sort_by_key(|(arm, seed, _)| (*arm, *seed));
    let of = |arm: usize| {
        done.iter()
            .filter(move |d| d.0 == arm)
            .map(|d| &d.2)
            .collect::<Vec<_>>()
    };
    let base = of(0);
    println!(
        "\n## {}, {} instances, {} seeds\n",
        experiment.name,
        experiment.instances.count,
        seeds.len()
    );
    println!("| arm | figure | value | difference to without |\n| --- | --- | --- | --- |");
    for (at, arm) in arms.iter().enumerate() {
        let mine = of(at);
        let row = |name: &str, digits: usize, value: &dyn Fn(&Played) -> Option<f64>| {
            let values: Vec<f64> = mine.iter().filter_map(|p| value(p)).collect();
            let pairs = mine
                .iter()
                .zip(&base)
                .filter_map(|(a, b)| Some(value(a)? - value(b)?));
            let differences: Vec<f64> = pairs.collect();
            let other = if at == 0 {
                None
            } else {
                bootstrap(&differences, 0.95)
            };
            let value = told(bootstrap(&values, 0.95), digits);
            println!(
                "| {} | {name} | {value} | {} |",
                arm.name,
                told(other, digits)
            );
        };
        row("goodput", 4, &|p| {
            Figure::Goodput.of(&experiment, &p.run, None)
        });
        for class in &experiment.classes {
            let name = format!("goodput({})", class.name);
            row(&name, 4, &|p| {
                Figure::Goodput.of(&experiment, &p.run, Some(&class.name))
            });
        }
        row("worth lost", 0, &|p| {
            Figure::WorthLost.of(&experiment, &p.run, None)
        });
        row("recovery [s]", 1, &|p| {
            Figure::Recovery.of(&experiment, &p.run, None)
        });
        if at > 0 {
            let instances = experiment.instances.count;
            row("changes an instance", 2, &|p| {
                Some(p.changes.len() as f64 / f64::from(instances))
            });
            row("most changes of an instance", 0, &|p| {
                let of =
                    |instance: u32| p.changes.iter().filter(|c| c.1 == instance).count() as f64;
                (0..instances).map(of).reduce(f64::max)
            });
            row("changing together", 2, &|p| together(&p.changes, instances));
        }
        let broken: u64 = mine.iter().flat_map(|p| p.run.breaches.values()).sum();
        let void: Vec<&str> = mine.iter().filter_map(|p| p.run.void.as_deref()).collect();
        if broken > 0 || !void.is_empty() {
            println!(
                "| {} | rules broken, void | {broken}, {} | |",
                arm.name,
                void.join("; ")
            );
        }
    }
}

fn main() {
    let mut arguments = Arguments::parse();
    if arguments.experiments.is_empty() {
        let own = shipped::ALL
            .iter()
            .filter(|(name, _)| !name.starts_with("paper") && *name != "fleet-2000");
        arguments.experiments = own.map(|(name, _)| name.to_string()).collect();
    }
    for name in &arguments.experiments {
        let text = shipped::find(name)
            .expect("there is such an experiment")
            .text;
        measure(Experiment::read(&text).expect("it makes sense"), &arguments);
    }
}
