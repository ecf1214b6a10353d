//! The number of changes of level is bounded whatever the signals are, and levels still take effect.

use madderloom_degradation::{
    ChangeCause, ClassTraits, Condition, Damping, Effects, Level, LevelStateMachine, OperatorOrder,
    OrderKind, Signal, Signals, built_in_levels,
};
use proptest::prelude::*;

const S: u64 = 1_000_000;
const TICK: u64 = 100_000;

fn classes() -> Vec<ClassTraits> {
    let class = |name: &str, is_idempotent| ClassTraits {
        name: name.to_string(),
        is_idempotent,
    };
    vec![class("submit-check", false), class("recheck", true)]
}

fn failing(share: f64, lateness: f64) -> Signals {
    let mut signals = Signals::default();
    signals.set(Signal::FailingServers, share);
    signals.set(Signal::UnknownOutcome, share / 2.0);
    signals.set(Signal::Goodput(None), 1.0 - lateness);
    for class in [
        None,
        Some("submit-check".to_string()),
        Some("recheck".to_string()),
    ] {
        signals.set(Signal::Lateness(class.clone()), lateness);
        signals.set(Signal::Rejected(class), 0.0);
    }
    signals
}

/// The highest number of these times within any window.
fn most_within(window: u64, times: &[u64]) -> u64 {
    let within = |from: &u64| {
        times
            .iter()
            .filter(|at| **at >= *from && **at < from + window)
            .count() as u64
    };
    times.iter().map(within).max().unwrap_or(0)
}

fn simple(enter: &str, leave: &str, min_stay: u64) -> Level {
    let read = |text: &str| Condition::parse(text).expect("it is valid");
    Level {
        name: enter.to_string(),
        enter: read(enter),
        leave: read(leave),
        min_stay,
        effects: Effects::default(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Errors that oscillate on a ten-second cycle for ten minutes, at any phase and depth.
    #[test]
    fn an_oscillation_on_a_ten_second_cycle_stays_within_the_bound(
        phase in 0..10 * S,
        bad in 1..10 * S,
        depth in 0.0..1.0f64,
        late in 0.0..1.0f64,
        jitter in 0.0..1.0f64,
    ) {
        let mut levels = LevelStateMachine::new(built_in_levels(&classes()), Damping::default(), jitter, 0);
        let changes: Vec<u64> = (0..600 * S / TICK)
            .filter_map(|step| {
                let now = step * TICK;
                let is_bad = (now + phase) % (10 * S) < bad;
                let signals = if is_bad { failing(depth, late) } else { failing(0.0, 0.0) };
                levels.evaluate(now, &signals).map(|change| change.at)
            })
            .collect();
        let bound = levels.max_changes(600 * S);
        prop_assert!(changes.len() as u64 <= bound, "{} changes, bound {bound}", changes.len());
    }

    /// Any signals, also adversarial ones: those that change the level if any do.
    #[test]
    fn no_sequence_of_signals_breaks_the_bound(
        shares in proptest::collection::vec((0.0..1.0f64, 0.0..1.0f64, 1..80u64, 0..10u8), 1..400),
        growth in 1.0..2.0f64,
        half_life in 10 * S..1_000 * S,
        max_stay in 10 * S..1_000 * S,
        stays in proptest::collection::vec(S..30 * S, 1..4),
        window in 10 * S..1_200 * S,
    ) {
        let damping = Damping { growth, half_life, max_stay, blind_timeout: 2 * S, max_jitter: 0.0 };
        let level = |(number, stay): (usize, &u64)| {
            let bound = 20 + 20 * number;
            simple(&format!("failing_servers > {bound}%"), &format!("failing_servers < {bound}%"), *stay)
        };
        let mut levels = LevelStateMachine::new(stays.iter().enumerate().map(level).collect(), damping, 0.0, 0);
        let (mut now, mut changes) = (0, Vec::new());
        for (a, b, steps, gap) in shares {
            for step in 0..steps {
                now += TICK * (1 + u64::from(gap));
                // Bad at full service and good at a level, or random, or missing.
                let share = match gap {
                    0..=4 if levels.current().is_some() => 0.0,
                    0..=4 => 1.0,
                    5..=7 => if step % 2 == 0 { a } else { b },
                    _ => f64::NAN,
                };
                let mut signals = Signals::default();
                signals.set(Signal::FailingServers, share);
                changes.extend(levels.evaluate(now, &signals).map(|change| change.at));
            }
        }
        let bound = levels.max_changes(window);
        let most = most_within(window, &changes);
        prop_assert!(most <= bound, "{most} changes within {window} us, bound {bound}");
    }
}

/// The bound is tight enough: an adversary who knows the settings comes close to it.
#[test]
fn an_adversary_comes_close_to_the_bound() {
    let level = simple("failing_servers > 50%", "failing_servers < 50%", 10 * S);
    let mut levels = LevelStateMachine::new(
        vec![level],
        Damping {
            max_jitter: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let changes = (0..600 * S / TICK).filter(|step| {
        let up = levels.current().is_none();
        levels
            .evaluate(step * TICK, &failing(f64::from(u8::from(up)), 0.0))
            .is_some()
    });
    let changes = changes.count() as u64;
    let bound = levels.max_changes(600 * S);
    assert!(
        changes <= bound && 2 * changes >= bound,
        "{changes} changes, bound {bound}"
    );
}

#[test]
fn a_level_is_entered_with_its_cause_and_left_only_after_its_stay() {
    let mut levels = LevelStateMachine::new(
        built_in_levels(&classes()),
        Damping {
            max_jitter: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let mut now = 0;
    let mut until = |levels: &mut LevelStateMachine, signals: &Signals, at: u64| {
        let mut last = None;
        while now < at {
            now += TICK;
            last = levels.evaluate(now, signals).or(last);
        }
        last
    };
    let change = until(&mut levels, &failing(0.2, 0.25), 3 * S).expect("it is entered");
    assert_eq!(change.to.as_deref(), Some("reduced"));
    assert!(
        change
            .to_string()
            .contains("lateness(submit-check) = 0.250"),
        "{change}"
    );
    assert!(matches!(change.cause, ChangeCause::ConditionMet { .. }));
    let entered = change.at;
    // Healthy again: the level is left once its stay is over.
    let left = until(&mut levels, &failing(0.0, 0.0), 300 * S).expect("it is left");
    assert_eq!(left.to, None);
    let history: Vec<_> = levels.history().map(|c| (c.at, c.to.as_deref())).collect();
    assert_eq!(
        history.iter().map(|h| h.1).collect::<Vec<_>>(),
        [Some("reduced"), None]
    );
    assert!(history[1].0 >= entered + 5 * S, "{history:?}");
}

#[test]
fn a_level_rejects_idempotent_requests_first_and_always_the_same_keys() {
    let mut levels =
        LevelStateMachine::new(built_in_levels(&classes()), Damping::default(), 0.0, 0);
    (1..100).for_each(|step| drop(levels.evaluate(step * TICK, &failing(0.25, 0.25))));
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("reduced"));
    let effects = levels.effects();
    // The effects of milder levels apply as well.
    assert_eq!(effects.retry_budget_factor, 0.1);
    let rejected: Vec<u64> = (0..10_000)
        .filter(|key| effects.rejects("recheck", *key, 1.0))
        .collect();
    assert!(
        (4_500..5_500).contains(&rejected.len()),
        "{} of 10,000",
        rejected.len()
    );
    assert!(
        rejected
            .iter()
            .all(|key| effects.rejects("recheck", *key, 1.0))
    );
    assert!((0..10_000).all(|key| !effects.rejects("submit-check", key, 1.0)));
    // A smaller share rejects a subset of the same keys.
    let milder = Effects {
        rejected_shares: [("recheck".to_string(), 0.1)].into(),
        ..Effects::default()
    };
    assert!(
        (0..10_000)
            .filter(|key| milder.rejects("recheck", *key, 1.0))
            .all(|key| rejected.contains(&key))
    );
    let exempting = Effects {
        exempt_weight: 5.0,
        ..effects.clone()
    };
    assert!(
        !exempting.rejects("recheck", rejected[0], 5.0)
            && exempting.rejects("recheck", rejected[0], 4.0)
    );
}

#[test]
fn missing_signals_are_no_recovery_and_a_level_that_prevents_its_measurement_is_left_on_trial() {
    let level = simple("lateness(recheck) > 50%", "lateness(recheck) < 10%", 5 * S);
    let mut levels = LevelStateMachine::new(
        vec![level],
        Damping {
            max_jitter: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let mut late = Signals::default();
    late.set(Signal::Lateness(Some("recheck".into())), 0.9);
    assert!(levels.evaluate(S, &late).is_some());
    // Signals are missing from now on: nothing changes for a while, then the level is left on trial.
    assert!((0..300).all(|step| {
        levels
            .evaluate(S + step * TICK, &Signals::default())
            .is_none()
    }));
    let trial = (300..400)
        .find_map(|step| levels.evaluate(S + step * TICK, &Signals::default()))
        .expect("a trial");
    assert!(
        matches!(trial.cause, ChangeCause::ConditionUnknown { .. }),
        "{trial}"
    );
}

fn order(level: Option<&str>, kind: OrderKind, expires_at: u64) -> OperatorOrder {
    OperatorOrder {
        ordered_by: "ana".into(),
        level: level.map(str::to_string),
        kind,
        expires_at,
    }
}

#[test]
fn an_operator_pins_and_bars_levels_until_the_order_expires() {
    let mut levels =
        LevelStateMachine::new(built_in_levels(&classes()), Damping::default(), 0.0, 0);
    assert!(
        levels
            .apply_order(order(Some("no-such"), OrderKind::Pin, S))
            .expect_err("unknown")
            .to_string()
            .contains("essential")
    );
    assert!(
        levels.apply_order(order(None, OrderKind::Bar, S)).is_err(),
        "full service can't be barred"
    );
    levels
        .apply_order(order(Some("essential"), OrderKind::Pin, 10 * S))
        .expect("it is there");
    let pinned = levels.evaluate(S, &failing(0.0, 0.0)).expect("at once");
    assert_eq!(
        (pinned.to.as_deref(), &pinned.cause),
        (
            Some("essential"),
            &ChangeCause::Ordered { by: "ana".into() }
        )
    );
    assert!(
        (20..100).all(|step| levels.evaluate(step * TICK, &failing(0.0, 0.0)).is_none()),
        "it is pinned"
    );
    // When the order expires, the level is left as usual, for one whose condition for leaving is not met.
    let left = (100..10_000)
        .find_map(|step| levels.evaluate(step * TICK, &failing(0.0, 0.1)))
        .expect("it is left");
    assert_eq!(left.to.as_deref(), Some("reduced"));
    // A barred level is left and not entered.
    levels
        .apply_order(order(Some("reduced"), OrderKind::Bar, 10_000 * S))
        .expect("it is there");
    assert_eq!(
        levels
            .evaluate(2_000 * S, &failing(0.0, 0.1))
            .expect("at once")
            .to
            .as_deref(),
        Some("lean")
    );
    let now = 3_000 * S;
    (0..100).for_each(|step| drop(levels.evaluate(now + step * TICK, &failing(0.3, 0.3))));
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("lean"));
    levels.withdraw_order(Some("reduced"));
    assert_eq!(
        levels
            .evaluate(now + 20 * S, &failing(0.3, 0.3))
            .expect("it is entered")
            .to
            .as_deref(),
        Some("reduced")
    );
}

/// Signals at a threshold, with noise.
#[test]
fn noise_around_each_threshold_changes_the_level_a_few_times_at_most() {
    for at in [0.05, 0.10, 0.15, 0.20, 0.50] {
        let mut levels =
            LevelStateMachine::new(built_in_levels(&classes()), Damping::default(), 0.3, 0);
        let mut noise = 7u64;
        let changes = (0..600 * S / TICK).filter(|step| {
            noise = noise
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let offset = (noise >> 40) as f64 / (1u64 << 24) as f64 - 0.5;
            levels
                .evaluate(
                    step * TICK,
                    &failing(at + 0.02 * offset, at + 0.02 * offset),
                )
                .is_some()
        });
        let changes = changes.count();
        assert!(changes <= 6, "{changes} changes at {at}");
    }
}

#[test]
fn a_new_configuration_keeps_the_active_level_if_it_has_it() {
    let mut levels =
        LevelStateMachine::new(built_in_levels(&classes()), Damping::default(), 0.5, 0);
    levels
        .apply_order(OperatorOrder {
            ordered_by: "ana".into(),
            level: Some("essential".into()),
            kind: OrderKind::Bar,
            expires_at: 900 * S,
        })
        .expect("it is there");
    (1..100).for_each(|step| drop(levels.evaluate(step * TICK, &failing(0.25, 0.25))));
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("reduced"));
    let since = levels.since();
    // The same name at another position, and the other levels removed.
    let kept = Level {
        name: "reduced".into(),
        ..simple("cpu > 50%", "cpu < 10%", 10 * S)
    };
    assert_eq!(
        levels.reconfigure(vec![kept], Damping::default(), 20 * S),
        None
    );
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("reduced"));
    assert_eq!((levels.since(), levels.orders().len()), (since, 0));
    assert!(
        levels.effects().rejected_shares.is_empty(),
        "the effects are those of the new configuration"
    );
    let other = simple("cpu > 50%", "cpu < 10%", 10 * S);
    let change = levels
        .reconfigure(vec![other], Damping::default(), 30 * S)
        .expect("it is gone");
    assert_eq!(
        (change.from.as_deref(), change.to, change.cause),
        (Some("reduced"), None, ChangeCause::LevelRemoved)
    );
    assert_eq!(levels.history().count(), 2);
}

#[test]
fn no_built_in_level_may_be_left_while_it_may_be_entered() {
    let one = |is_idempotent| ClassTraits {
        name: "only".into(),
        is_idempotent,
    };
    let odd = ClassTraits {
        name: "a name) no condition can hold".into(),
        is_idempotent: false,
    };
    let services = [
        classes(),
        vec![one(true)],
        vec![one(false)],
        vec![odd, one(true)],
        Vec::new(),
    ];
    for classes in services {
        let levels = built_in_levels(&classes);
        assert_eq!(levels.len(), 4, "{classes:?}");
        for level in levels {
            assert_eq!(level.enter.met_together(&level.leave), Ok(None), "{level}");
        }
    }
}

#[test]
fn recovery_skips_milder_levels_that_may_be_left_as_well() {
    let mut levels = LevelStateMachine::new(
        built_in_levels(&classes()),
        Damping {
            max_jitter: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let run = |levels: &mut LevelStateMachine, signals: &Signals, from: u64, to: u64| {
        (from / TICK..to / TICK).for_each(|step| drop(levels.evaluate(step * TICK, signals)));
        levels
            .history()
            .map(|change| change.to.clone().unwrap_or_default())
            .collect::<Vec<_>>()
    };
    let up = ["reduced", "essential"];
    assert_eq!(run(&mut levels, &failing(0.0, 0.6), 0, 4 * S), up);
    // Requests are no longer late, but servers still fail: `lean` remains.
    assert_eq!(
        run(&mut levels, &failing(0.08, 0.0), 4 * S, 20 * S),
        [&up[..], &["lean"]].concat()
    );
    assert_eq!(
        run(&mut levels, &failing(0.0, 0.0), 20 * S, 60 * S),
        [&up[..], &["lean", ""]].concat()
    );
    run(&mut levels, &failing(0.0, 0.6), 60 * S, 64 * S);
    let all = run(&mut levels, &failing(0.0, 0.0), 64 * S, 120 * S);
    assert_eq!(
        all[4..],
        ["reduced", "essential", ""],
        "straight to full service"
    );
}
