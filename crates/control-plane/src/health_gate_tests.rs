//! The verdicts of the health gate on given and on drawn request counts.

use crate::health_gate::{HealthGate, RequestCounts, Sample, Verdict};

fn sample(before: (u64, u64), after: (u64, u64)) -> Sample {
    let counts = |(ended, bad)| RequestCounts { ended, bad };
    Sample {
        before: counts(before),
        after: counts(after),
    }
}

/// Instances with errors drawn from a binomial; `variation` is the width of the range
/// that each instance draws its own rate from.
fn drawn(
    rng: &mut oorandom::Rand64,
    count: usize,
    before: f64,
    after: f64,
    variation: f64,
) -> Vec<Sample> {
    let counts = |rate: f64, rng: &mut oorandom::Rand64| {
        let rate = (rate + (rng.rand_float() - 0.5) * variation).clamp(0.0, 1.0);
        RequestCounts {
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
fn a_harmful_change_is_distinguished_from_a_bad_hour_of_all_instances() {
    let gate = HealthGate::default();
    let degraded = [sample((500, 5), (500, 100))];
    let calm = [sample((500, 5), (500, 6)), sample((500, 4), (500, 5))];
    assert!(
        matches!(gate.judge(&degraded, &calm), Verdict::Degraded { increase, .. } if (0.15..0.25).contains(&increase))
    );
    let bad_hour = [sample((500, 5), (500, 104)), sample((500, 4), (500, 98))];
    assert_eq!(gate.judge(&degraded, &bad_hour), Verdict::Healthy);
}

#[test]
fn an_instance_that_always_had_a_high_bad_share_is_no_evidence() {
    let gate = HealthGate::default();
    let always = [sample((500, 100), (500, 104))];
    assert_eq!(
        gate.judge(&always, &[sample((500, 5), (500, 6))]),
        Verdict::Healthy
    );
}

#[test]
fn without_requests_there_is_no_verdict() {
    let gate = HealthGate::default();
    assert_eq!(
        gate.judge(&[], &[]),
        Verdict::InsufficientEvidence { requests: 0 }
    );
    assert_eq!(
        gate.judge(&[sample((500, 0), (199, 0))], &[]),
        Verdict::InsufficientEvidence { requests: 199 }
    );
    assert_eq!(
        gate.judge(&[sample((0, 0), (500, 500))], &[]),
        Verdict::InsufficientEvidence { requests: 0 }
    );
}

#[test]
fn false_alarms_stay_below_their_bound_and_harm_is_detected() {
    let gate = HealthGate {
        max_increase_thousandths: 0,
        ..HealthGate::default()
    };
    let mut rng = oorandom::Rand64::new(11);
    let mut alarm_rate = |after: f64, variation: f64| {
        let runs = 400;
        let degraded = (0..runs).filter(|_| {
            let changed = drawn(&mut rng, 5, 0.02, after, variation);
            let unchanged = drawn(&mut rng, 20, 0.02, 0.02, variation);
            matches!(gate.judge(&changed, &unchanged), Verdict::Degraded { .. })
        });
        degraded.count() as f64 / f64::from(runs)
    };
    // With five instances the spread itself is an estimate: a few times the nominal rate at the worst.
    let (uniform, varied, harmful) = (
        alarm_rate(0.02, 0.0),
        alarm_rate(0.02, 0.06),
        alarm_rate(0.06, 0.0),
    );
    assert!(uniform <= 0.02, "{uniform}");
    assert!(varied <= 0.06, "{varied}");
    assert!(harmful >= 0.95, "{harmful}");
}
