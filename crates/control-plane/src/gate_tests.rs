//! The verdicts of the health gate on given and on drawn request counts.

use crate::gate::{Counts, GateRule, Sample, Verdict, judge};

fn sample(before: (u64, u64), after: (u64, u64)) -> Sample {
    let counts = |(ended, bad)| Counts { ended, bad };
    Sample {
        before: counts(before),
        after: counts(after),
    }
}

/// Instances with errors drawn from a binomial; `rough` draws for each instance a rate of its own round it.
fn drawn(
    rng: &mut oorandom::Rand64,
    count: usize,
    before: f64,
    after: f64,
    rough: f64,
) -> Vec<Sample> {
    let counts = |rate: f64, rng: &mut oorandom::Rand64| {
        let rate = (rate + (rng.rand_float() - 0.5) * rough).clamp(0.0, 1.0);
        Counts {
            ended: 400,
            bad: (0..400).filter(|_| rng.rand_float() < rate).count() as u64,
        }
    };
    (0..count)
        .map(|_| Sample {
            before: counts(before, rng),
            after: counts(after, rng),
        })
        .collect()
}

#[test]
fn a_change_that_hurts_is_told_from_a_bad_hour_of_all() {
    let rule = GateRule::default();
    let hurt = [sample((500, 5), (500, 100))];
    let calm = [sample((500, 5), (500, 6)), sample((500, 4), (500, 5))];
    assert!(
        matches!(judge(&rule, &hurt, &calm), Verdict::Hurts { by, .. } if (0.15..0.25).contains(&by))
    );
    let bad_hour = [sample((500, 5), (500, 104)), sample((500, 4), (500, 98))];
    assert_eq!(judge(&rule, &hurt, &bad_hour), Verdict::Sound);
}

#[test]
fn an_instance_that_was_always_bad_is_no_sign() {
    let rule = GateRule::default();
    let always = [sample((500, 100), (500, 104))];
    assert_eq!(
        judge(&rule, &always, &[sample((500, 5), (500, 6))]),
        Verdict::Sound
    );
}

#[test]
fn without_requests_there_is_no_verdict() {
    let rule = GateRule::default();
    assert_eq!(judge(&rule, &[], &[]), Verdict::TooLittle(0));
    assert_eq!(
        judge(&rule, &[sample((500, 0), (199, 0))], &[]),
        Verdict::TooLittle(199)
    );
    assert_eq!(
        judge(&rule, &[sample((0, 0), (500, 500))], &[]),
        Verdict::TooLittle(0)
    );
}

#[test]
fn false_alarms_stay_under_their_bound_and_harm_is_found() {
    let rule = GateRule {
        worse: 0,
        ..GateRule::default()
    };
    let mut rng = oorandom::Rand64::new(11);
    let mut alarms = |after: f64, rough: f64| {
        let runs = 400;
        let hurt = (0..runs).filter(|_| {
            let changed = drawn(&mut rng, 5, 0.02, after, rough);
            let unchanged = drawn(&mut rng, 20, 0.02, 0.02, rough);
            matches!(judge(&rule, &changed, &unchanged), Verdict::Hurts { .. })
        });
        hurt.count() as f64 / f64::from(runs)
    };
    // With five instances the spread itself is an estimate: a few times the nominal rate at the worst.
    let (plain, rough, harm) = (alarms(0.02, 0.0), alarms(0.02, 0.06), alarms(0.06, 0.0));
    assert!(plain <= 0.02, "{plain}");
    assert!(rough <= 0.06, "{rough}");
    assert!(harm >= 0.95, "{harm}");
}
