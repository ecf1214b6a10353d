//! What levels cost: `cargo run --release -p madderloom-degradation --example cost`. Told are nanoseconds for each request
//! and for each look at the signals, the best and the median of eleven rounds.

use madderloom_balancer::{Closed, Outcome, ServerId};
use madderloom_degradation::gauge::Outside;
use madderloom_degradation::keeper::{End, Keeper};
use madderloom_degradation::section::{ClassFacts, Section};
use std::hint::black_box;
use std::time::Instant;

fn keeper() -> Keeper {
    let class = |name: &str, repeatable| ClassFacts {
        name: name.into(),
        repeatable,
    };
    let section = Section {
        built_in: true,
        ..Section::default()
    };
    let checked = section
        .resolve(&[class("submit-check", false), class("recheck", true)])
        .expect("sound");
    Keeper::new(
        checked,
        vec!["submit-check".into(), "recheck".into()],
        0.5,
        0,
    )
}

fn measure(what: &str, times: u64, mut each: impl FnMut(&mut Keeper, u64)) {
    let mut rounds: Vec<f64> = (0..11)
        .map(|_| {
            let mut keeper = keeper();
            let begun = Instant::now();
            (0..times).for_each(|number| each(&mut keeper, number));
            black_box(&keeper);
            begun.elapsed().as_nanos() as f64 / times as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    println!(
        "{what}: {:.0} ns at best, {:.0} ns in the median",
        rounds[0], rounds[5]
    );
}

fn main() {
    let closed = |request| Closed {
        request,
        attempt: 0,
        server: ServerId(1),
        outcome: Outcome::Ok,
        elapsed: 20_000,
        ended: true,
    };
    measure(
        "a request's end and that of its attempt",
        1_000_000,
        |keeper, number| {
            let now = 1_000 * number;
            keeper.closed(now, &closed(number));
            keeper.ended(now, (number % 2) as usize, End::served(20_000, 500_000));
        },
    );
    let outside = Outside {
        failing: Some(0.1),
        open: Some(0.2),
        cpu: Some(0.3),
        list_age: Some(1),
    };
    measure(
        "a look, with 100 requests since the last",
        10_000,
        |keeper, number| {
            let now = 100_000 * number;
            (0..100).for_each(|of| {
                keeper.ended(now + of, (of % 2) as usize, End::served(20_000, 500_000))
            });
            black_box(keeper.look(now + 100, &outside));
        },
    );
    let reduced = keeper().reduced().clone();
    measure(
        "a key's place, beside a share of none",
        10_000_000,
        |_, number| {
            black_box(reduced.away.first().is_some_and(|share| *share > 0.0));
            black_box(madderloom_degradation::place(number));
        },
    );
}
