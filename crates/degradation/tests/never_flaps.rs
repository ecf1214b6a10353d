//! The level changes a bounded number of times, whatever the signals do, and still does what it is for.

use madderloom_degradation::section::{ClassFacts, built_in};
use madderloom_degradation::{
    Cause, Condition, Damping, Effects, Level, Levels, Order, Signal, Signals,
};
use proptest::prelude::*;

const S: u64 = 1_000_000;
const TICK: u64 = 100_000;

fn classes() -> Vec<ClassFacts> {
    let class = |name: &str, repeatable| ClassFacts {
        name: name.to_string(),
        repeatable,
    };
    vec![class("submit-check", false), class("recheck", true)]
}

fn failing(share: f64, lateness: f64) -> Signals {
    let mut signals = Signals::default();
    signals.set(Signal::FailingServers, share);
    signals.set(Signal::Unknown, share / 2.0);
    signals.set(Signal::Goodput(None), 1.0 - lateness);
    for class in [
        None,
        Some("submit-check".to_string()),
        Some("recheck".to_string()),
    ] {
        signals.set(Signal::Lateness(class.clone()), lateness);
        signals.set(Signal::Refused(class), 0.0);
    }
    signals
}

/// The most changes in any window among those at these times.
fn most_in(window: u64, times: &[u64]) -> u64 {
    let within = |from: &u64| {
        times
            .iter()
            .filter(|at| **at >= *from && **at < from + window)
            .count() as u64
    };
    times.iter().map(within).max().unwrap_or(0)
}

fn simple(enter: &str, leave: &str, least_stay: u64) -> Level {
    let read = |text: &str| Condition::parse(text).expect("it is sound");
    Level {
        name: enter.to_string(),
        enter: read(enter),
        leave: read(leave),
        least_stay,
        effects: Effects::default(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Errors that swing on a ten-second cycle for ten minutes, at any phase and depth.
    #[test]
    fn a_swing_on_a_ten_second_cycle_stays_under_the_bound(
        phase in 0..10 * S,
        bad in 1..10 * S,
        depth in 0.0..1.0f64,
        late in 0.0..1.0f64,
        place in 0.0..1.0f64,
    ) {
        let mut levels = Levels::new(built_in(&classes()), Damping::default(), place, 0);
        let changes: Vec<u64> = (0..600 * S / TICK)
            .filter_map(|step| {
                let now = step * TICK;
                let is_bad = (now + phase) % (10 * S) < bad;
                let signals = if is_bad { failing(depth, late) } else { failing(0.0, 0.0) };
                levels.step(now, &signals).map(|change| change.at)
            })
            .collect();
        let bound = levels.changes_at_most(600 * S);
        prop_assert!(changes.len() as u64 <= bound, "{} changes, bound {bound}", changes.len());
    }

    /// Any signals at all, also an enemy's: each step it is shown what moves it if anything does.
    #[test]
    fn no_sequence_of_signals_breaks_the_bound(
        shares in proptest::collection::vec((0.0..1.0f64, 0.0..1.0f64, 1..80u64, 0..10u8), 1..400),
        growth in 1.0..2.0f64,
        half_life in 10 * S..1_000 * S,
        longest in 10 * S..1_000 * S,
        stays in proptest::collection::vec(S..30 * S, 1..4),
        window in 10 * S..1_200 * S,
    ) {
        let damping = Damping { growth, half_life, longest, blind: 2 * S, spread: 0.0 };
        let level = |(number, stay): (usize, &u64)| {
            let bound = 20 + 20 * number;
            simple(&format!("failing_servers > {bound}%"), &format!("failing_servers < {bound}%"), *stay)
        };
        let mut levels = Levels::new(stays.iter().enumerate().map(level).collect(), damping, 0.0, 0);
        let (mut now, mut changes) = (0, Vec::new());
        for (a, b, steps, gap) in shares {
            for step in 0..steps {
                now += TICK * (1 + u64::from(gap));
                // Up when it is down and down when it is up, or what chance says, or nothing.
                let share = match gap {
                    0..=4 if levels.current().is_some() => 0.0,
                    0..=4 => 1.0,
                    5..=7 => if step % 2 == 0 { a } else { b },
                    _ => f64::NAN,
                };
                let mut signals = Signals::default();
                signals.set(Signal::FailingServers, share);
                changes.extend(levels.step(now, &signals).map(|change| change.at));
            }
        }
        let bound = levels.changes_at_most(window);
        let most = most_in(window, &changes);
        prop_assert!(most <= bound, "{most} changes within {window} us, bound {bound}");
    }
}

/// The bound is of use: an enemy who knows the settings comes near it, so it is not merely large.
#[test]
fn an_enemy_comes_near_the_bound() {
    let level = simple("failing_servers > 50%", "failing_servers < 50%", 10 * S);
    let mut levels = Levels::new(
        vec![level],
        Damping {
            spread: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let changes = (0..600 * S / TICK).filter(|step| {
        let up = levels.current().is_none();
        levels
            .step(step * TICK, &failing(f64::from(u8::from(up)), 0.0))
            .is_some()
    });
    let changes = changes.count() as u64;
    let bound = levels.changes_at_most(600 * S);
    assert!(
        changes <= bound && 2 * changes >= bound,
        "{changes} changes, bound {bound}"
    );
}

#[test]
fn a_level_is_entered_with_its_cause_and_left_only_after_its_stay() {
    let mut levels = Levels::new(
        built_in(&classes()),
        Damping {
            spread: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let mut now = 0;
    let mut until = |levels: &mut Levels, signals: &Signals, at: u64| {
        let mut last = None;
        while now < at {
            now += TICK;
            last = levels.step(now, signals).or(last);
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
    assert!(matches!(change.cause, Cause::Met { .. }));
    let entered = change.at;
    // Well again: it is left, and not before its stay is over.
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
fn a_level_gives_up_what_may_be_asked_again_before_what_may_not_and_the_same_keys_each_time() {
    let mut levels = Levels::new(built_in(&classes()), Damping::default(), 0.0, 0);
    (1..100).for_each(|step| drop(levels.step(step * TICK, &failing(0.25, 0.25))));
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("reduced"));
    let effects = levels.effects();
    // What the level below gives up is given up too.
    assert_eq!(effects.retries, 0.1);
    let away: Vec<u64> = (0..10_000)
        .filter(|key| effects.turns_away("recheck", *key, 1.0))
        .collect();
    assert!(
        (4_500..5_500).contains(&away.len()),
        "{} of 10,000",
        away.len()
    );
    assert!(
        away.iter()
            .all(|key| effects.turns_away("recheck", *key, 1.0))
    );
    assert!((0..10_000).all(|key| !effects.turns_away("submit-check", key, 1.0)));
    // A milder share befalls a part of the same keys.
    let milder = Effects {
        turn_away: [("recheck".to_string(), 0.1)].into(),
        ..Effects::default()
    };
    assert!(
        (0..10_000)
            .filter(|key| milder.turns_away("recheck", *key, 1.0))
            .all(|key| away.contains(&key))
    );
    let sparing = Effects {
        spare_worth: 5.0,
        ..effects.clone()
    };
    assert!(
        !sparing.turns_away("recheck", away[0], 5.0) && sparing.turns_away("recheck", away[0], 4.0)
    );
}

#[test]
fn absence_is_not_health_and_a_level_that_blinds_itself_is_left_on_trial() {
    let level = simple("lateness(recheck) > 50%", "lateness(recheck) < 10%", 5 * S);
    let mut levels = Levels::new(
        vec![level],
        Damping {
            spread: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let mut late = Signals::default();
    late.set(Signal::Lateness(Some("recheck".into())), 0.9);
    assert!(levels.step(S, &late).is_some());
    // Nothing is measured any more: for a while that changes nothing, then it is tried.
    assert!((0..300).all(|step| levels.step(S + step * TICK, &Signals::default()).is_none()));
    let trial = (300..400)
        .find_map(|step| levels.step(S + step * TICK, &Signals::default()))
        .expect("a trial");
    assert!(matches!(trial.cause, Cause::Blind { .. }), "{trial}");
}

#[test]
fn an_operator_pins_and_bars_levels_for_a_time() {
    let mut levels = Levels::new(built_in(&classes()), Damping::default(), 0.0, 0);
    let order = |level: Option<&str>, pin, until| Order {
        by: "ana".into(),
        level: level.map(str::to_string),
        pin,
        until,
    };
    assert!(
        levels
            .order(order(Some("no-such"), true, S))
            .expect_err("unknown")
            .contains("essential")
    );
    assert!(
        levels.order(order(None, false, S)).is_err(),
        "full service can't be barred"
    );
    levels
        .order(order(Some("essential"), true, 10 * S))
        .expect("it is there");
    let pinned = levels.step(S, &failing(0.0, 0.0)).expect("at once");
    assert_eq!(
        (pinned.to.as_deref(), &pinned.cause),
        (Some("essential"), &Cause::Ordered { by: "ana".into() })
    );
    assert!(
        (20..100).all(|step| levels.step(step * TICK, &failing(0.0, 0.0)).is_none()),
        "it is pinned"
    );
    // With the order's end the level is left as ever, by and by: here for one whose leave is not met.
    let left = (100..10_000)
        .find_map(|step| levels.step(step * TICK, &failing(0.0, 0.1)))
        .expect("it is left");
    assert_eq!(left.to.as_deref(), Some("reduced"));
    // A bar has the level left and not entered.
    levels
        .order(order(Some("reduced"), false, 10_000 * S))
        .expect("it is there");
    assert_eq!(
        levels
            .step(2_000 * S, &failing(0.0, 0.1))
            .expect("at once")
            .to
            .as_deref(),
        Some("lean")
    );
    let now = 3_000 * S;
    (0..100).for_each(|step| drop(levels.step(now + step * TICK, &failing(0.3, 0.3))));
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("lean"));
    levels.withdraw(Some("reduced"));
    assert_eq!(
        levels
            .step(now + 20 * S, &failing(0.3, 0.3))
            .expect("it is entered")
            .to
            .as_deref(),
        Some("reduced")
    );
}

/// Load held right at a threshold, with noise round it.
#[test]
fn noise_round_each_threshold_changes_the_level_a_few_times_at_most() {
    for at in [0.05, 0.10, 0.15, 0.20, 0.50] {
        let mut levels = Levels::new(built_in(&classes()), Damping::default(), 0.3, 0);
        let mut noise = 7u64;
        let changes = (0..600 * S / TICK).filter(|step| {
            noise = noise
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let wobble = (noise >> 40) as f64 / (1u64 << 24) as f64 - 0.5;
            levels
                .step(
                    step * TICK,
                    &failing(at + 0.02 * wobble, at + 0.02 * wobble),
                )
                .is_some()
        });
        let changes = changes.count();
        assert!(changes <= 6, "{changes} changes at {at}");
    }
}

#[test]
fn another_file_keeps_the_level_where_it_has_it_and_tells_where_not() {
    let mut levels = Levels::new(built_in(&classes()), Damping::default(), 0.5, 0);
    levels
        .order(Order {
            by: "ana".into(),
            level: Some("essential".into()),
            pin: false,
            until: 900 * S,
        })
        .expect("it is there");
    (1..100).for_each(|step| drop(levels.step(step * TICK, &failing(0.25, 0.25))));
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("reduced"));
    let since = levels.since();
    // The same name at another place, and the others gone.
    let kept = Level {
        name: "reduced".into(),
        ..simple("cpu > 50%", "cpu < 10%", 10 * S)
    };
    assert_eq!(levels.turn_to(vec![kept], Damping::default(), 20 * S), None);
    assert_eq!(levels.current().map(|l| l.name.as_str()), Some("reduced"));
    assert_eq!((levels.since(), levels.orders().len()), (since, 0));
    assert!(
        levels.effects().turn_away.is_empty(),
        "what it gives up is the new file's"
    );
    let other = simple("cpu > 50%", "cpu < 10%", 10 * S);
    let change = levels
        .turn_to(vec![other], Damping::default(), 30 * S)
        .expect("it is gone");
    assert_eq!(
        (change.from.as_deref(), change.to, change.cause),
        (Some("reduced"), None, Cause::Gone)
    );
    assert_eq!(levels.history().count(), 2);
}

#[test]
fn no_level_that_is_built_in_is_left_where_it_is_entered() {
    let one = |repeatable| ClassFacts {
        name: "only".into(),
        repeatable,
    };
    let odd = ClassFacts {
        name: "a name) no condition can hold".into(),
        repeatable: false,
    };
    let facts = [
        classes(),
        vec![one(true)],
        vec![one(false)],
        vec![odd, one(true)],
        Vec::new(),
    ];
    for facts in facts {
        let levels = built_in(&facts);
        assert_eq!(levels.len(), 4, "{facts:?}");
        for level in levels {
            assert_eq!(level.enter.met_together(&level.leave), Ok(None), "{level}");
        }
    }
}

#[test]
fn on_the_way_down_levels_that_are_over_too_are_passed_over_and_others_are_not() {
    let mut levels = Levels::new(
        built_in(&classes()),
        Damping {
            spread: 0.0,
            ..Damping::default()
        },
        0.0,
        0,
    );
    let run = |levels: &mut Levels, signals: &Signals, from: u64, to: u64| {
        (from / TICK..to / TICK).for_each(|step| drop(levels.step(step * TICK, signals)));
        levels
            .history()
            .map(|change| change.to.clone().unwrap_or_default())
            .collect::<Vec<_>>()
    };
    let up = ["reduced", "essential"];
    assert_eq!(run(&mut levels, &failing(0.0, 0.6), 0, 4 * S), up);
    // Late no more, but servers fail still: `lean` holds on.
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
