//! Reduced service levels on whole days in virtual time: they do not swing with the servers, and a storm ends.

use madderloom_config_reader::Span;
use madderloom_degradation::LevelsSection;
use madderloom_lab::experiment::{Arm, Experiment, Fault, FaultKind};
use madderloom_lab::leveled::{self, Told};
use madderloom_lab::policy::Start;
use madderloom_lab::record::Run;
use madderloom_lab::{shipped, virtual_time};
use proptest::prelude::*;
use std::cell::RefCell;
use std::ops::ControlFlow;
use std::rc::Rc;

fn shipped(name: &str) -> Experiment {
    Experiment::read(&shipped::find(name).expect("it is shipped").text).expect("it makes sense")
}

/// Plays it with levels or without, and gives the changes of each instance.
fn play(experiment: &Experiment, levels: Option<LevelsSection>, seed: u64) -> (Run, Vec<u64>) {
    let changes = Rc::new(RefCell::new(vec![0; experiment.instances.count as usize]));
    let log = Rc::clone(&changes);
    let told: Told = Rc::new(move |instance, _| log.borrow_mut()[instance as usize] += 1);
    let arm = Arm {
        name: "arm".into(),
        policy: "madderloom".into(),
        levels,
        ..Arm::default()
    };
    let make = |start: Start| leveled::make(experiment, &arm, start, Some(Rc::clone(&told)));
    let run = virtual_time::run(
        experiment,
        &arm,
        seed,
        &make,
        &|_| ControlFlow::Continue(()),
    );
    assert_eq!(run.void, None);
    assert_eq!(
        run.breaches.values().sum::<u64>(),
        0,
        "a rule is broken: {:?}",
        run.breaches
    );
    let changes = changes.take();
    (run, changes)
}

fn built_in() -> LevelsSection {
    LevelsSection {
        built_in: true,
        ..LevelsSection::default()
    }
}

fn bound(experiment: &Experiment) -> u64 {
    let plan = built_in()
        .resolve(&leveled::facts(&experiment.classes))
        .expect("they are sound");
    plan.max_changes_in_ten_minutes
}

/// Of the submissions, the share that was served in time.
fn submissions(run: &Run) -> f64 {
    run.classes["submit-check"].goodput()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2, max_shrink_iters: 0, failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Errors that swing on a ten-second cycle for ten minutes, at any phase and depth.
    #[test]
    fn a_swing_for_ten_minutes_changes_levels_within_the_bound_and_submissions_lose_nothing_by_it(
        phase in 0..10_000u64,
        bad in 2_000..8_000u64,
        size in 0.3..1.0f64,
        share in 0.1..0.6f64,
        seed in 0..1_000u64,
    ) {
        let mut experiment = shipped("calm");
        experiment.duration = Span::s(610);
        // Fewer cores and as many fewer requests: as close a day, and sooner played.
        experiment.clients.rate /= 3.0;
        experiment.servers.iter_mut().for_each(|kind| kind.cores = 1);
        let fault = |cycle: u64| Fault {
            at: Span::ms(phase + 10_000 * cycle),
            lasts: Span::ms(bad),
            kind: FaultKind::FastErrors,
            size,
            share,
            ..Fault::default()
        };
        experiment.faults = (0..60).map(fault).collect();
        let (without, _) = play(&experiment, None, seed);
        let (with, changes) = play(&experiment, Some(built_in()), seed);
        let most = changes.iter().max().copied().unwrap_or(0);
        prop_assert!(most <= bound(&experiment), "{most} changes, bound {}", bound(&experiment));
        let (without, with) = (submissions(&without), submissions(&with));
        prop_assert!(with >= without - 0.02, "submissions went from {without} to {with}");
    }
}

#[test]
fn load_that_hovers_where_levels_are_entered_changes_them_a_few_times() {
    let mut experiment = shipped("threshold");
    experiment.duration = Span::s(90);
    experiment.phases[0].rate = 420.0;
    let (_, changes) = play(&experiment, Some(built_in()), 1);
    let most = changes.iter().max().copied().unwrap_or(0);
    assert!(
        (1..=12).contains(&most),
        "{changes:?}: it hovers, and they do not follow each wave of eight seconds"
    );
}

/// The trigger goes after 38 s. By then the servers are crowded, and clients that ask again at once keep them so.
#[test]
fn a_storm_that_feeds_itself_ends_with_levels_alone() {
    let mut experiment = shipped("storm-of-many");
    experiment.duration = Span::s(200);
    let served = |run: &Run| {
        let last = run.windows.iter().take(200).rev().take(20);
        let (asked, in_time) = last.fold((0, 0), |sum, window| {
            let (asked, in_time) = window.classes["submit-check"];
            (sum.0 + asked, sum.1 + in_time)
        });
        in_time as f64 / asked as f64
    };
    let (without, _) = play(&experiment, None, 1);
    let (with, changes) = play(&experiment, Some(built_in()), 1);
    let (without, with) = (served(&without), served(&with));
    assert!(
        without < 0.6,
        "it is well without: {without} of submissions at the end"
    );
    assert!(
        with > 0.85,
        "it is not back: {with} of submissions at the end"
    );
    assert!(
        changes.iter().all(|changes| *changes <= bound(&experiment)),
        "{changes:?}"
    );
}
