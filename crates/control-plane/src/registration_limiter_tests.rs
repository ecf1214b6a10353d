//! Instances that register at once are admitted at the configured rate.

use crate::Micros;
use crate::registration_limiter::{RegistrationLimiter, RegistrationRate};

/// Simulates instances that all register at once and return after the delay that they are given. Returns the times of
/// their admission.
fn admission_times(rate: RegistrationRate, count: usize) -> Vec<Micros> {
    let mut limiter = RegistrationLimiter::new(rate);
    let mut rng = oorandom::Rand64::new(3);
    let mut waiting: Vec<(Micros, usize)> = (0..count).map(|n| (1_000_000, n)).collect();
    let mut admitted = Vec::new();
    while let Some(at) = waiting.iter().map(|w| w.0).min() {
        let now: Vec<usize> = waiting.iter().filter(|w| w.0 == at).map(|w| w.1).collect();
        waiting.retain(|w| w.0 != at);
        for one in now {
            match limiter.admit(at, &format!("i{one}"), rng.rand_u64()) {
                Ok(()) => admitted.push(at),
                Err(wait) => waiting.push((at + wait, one)),
            }
        }
    }
    admitted
}

#[test]
fn five_hundred_at_once_are_all_admitted_at_the_configured_rate() {
    let times = admission_times(
        RegistrationRate {
            per_second: 100,
            burst: 50,
            max_delay: 60_000_000,
        },
        500,
    );
    assert_eq!(times.len(), 500);
    assert!(*times.last().expect("some") <= 1_000_000 + 5_100_000);
    for (at, start) in times.iter().enumerate() {
        let within = times[at..]
            .iter()
            .take_while(|t| **t < start + 1_000_000)
            .count();
        assert!(within <= 152, "{within} in a second from {start}");
    }
}

#[test]
fn more_instances_than_fit_into_the_longest_delay_are_admitted_at_the_configured_rate() {
    let times = admission_times(
        RegistrationRate {
            per_second: 100,
            burst: 10,
            max_delay: 2_000_000,
        },
        1_000,
    );
    assert_eq!(times.len(), 1_000);
    let most = (0..times.len()).map(|at| {
        times[at..]
            .iter()
            .take_while(|t| **t < times[at] + 1_000_000)
            .count()
    });
    assert!(
        most.max().expect("some") <= 320,
        "more than the rate and the reservations"
    );
}
