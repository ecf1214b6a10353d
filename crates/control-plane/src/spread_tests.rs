//! Instances that register at once are admitted at the configured rate.

use crate::Micros;
use crate::spread::{Pace, Spread};

/// Plays instances that all register at once and return when they are told to. Returns the times of their
/// admission.
fn come_back(pace: Pace, count: usize) -> Vec<Micros> {
    let mut spread = Spread::new(pace);
    let mut rng = oorandom::Rand64::new(3);
    let mut waiting: Vec<(Micros, usize)> = (0..count).map(|n| (1_000_000, n)).collect();
    let mut admitted = Vec::new();
    while let Some(at) = waiting.iter().map(|w| w.0).min() {
        let now: Vec<usize> = waiting.iter().filter(|w| w.0 == at).map(|w| w.1).collect();
        waiting.retain(|w| w.0 != at);
        for one in now {
            match spread.admit(at, &format!("i{one}"), rng.rand_u64()) {
                Ok(()) => admitted.push(at),
                Err(wait) => waiting.push((at + wait, one)),
            }
        }
    }
    admitted
}

#[test]
fn five_hundred_at_once_come_in_at_the_pace_and_all_of_them_do() {
    let times = come_back(
        Pace {
            rate: 100,
            burst: 50,
            horizon: 60_000_000,
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
fn more_than_the_horizon_holds_still_come_in_at_the_pace() {
    let times = come_back(
        Pace {
            rate: 100,
            burst: 10,
            horizon: 2_000_000,
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
        "more than the pace and what had places"
    );
}
