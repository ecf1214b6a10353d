//! A server with exponential work and Poisson arrivals waits as Erlang's formula says.

use madderloom_lab::experiment::{Allow, ServerKind};
use madderloom_lab::model::server::{Answer, Job, Output, Repeats, Server, Spec};
use madderloom_lab::seeds::{Concern, stream};
use rand_distr::{Distribution, Exp1};

/// Mean wait in units of the mean work: Erlang C over what is spare (Erlang 1917).
fn erlang_c(cores: u32, load: f64) -> f64 {
    let offered = load * f64::from(cores);
    // Erlang B by its recursion, then C from it.
    let blocked = (1..=cores).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    let waits = blocked / (1.0 - load * (1.0 - blocked));
    waits / (f64::from(cores) * (1.0 - load))
}

fn mean_wait(cores: u32, load: f64, requests: usize, seed: u64) -> f64 {
    const WORK: f64 = 10_000.0;
    let kind = ServerKind {
        cores,
        speed: 2.0,
        queue: u32::MAX,
        ..ServerKind::default()
    };
    let spec = Spec::new(&kind, kind.speed, &Allow::default(), WORK);
    let mut server = Server::new(spec, Repeats::shared(), stream(seed, Concern::Server, 0));
    let mut random = stream(seed, Concern::Works, 0);
    let mut draw = || -> f64 { Exp1.sample(&mut random) };
    let (mut clock, mut total, mut out) = (0.0, 0.0, Vec::new());
    // A request's tag is the time at which it would be done without any wait.
    for _ in 0..requests {
        clock += draw() * WORK / (2.0 * load * f64::from(cores));
        while let Some(at) = server.wake_at().filter(|at| *at <= clock as u64) {
            server.wake(at, &mut out);
            for output in out.drain(..) {
                if let Output::Answered(tag, Answer::Ok) = output {
                    total += at as f64 - tag as f64;
                }
            }
        }
        let work = draw() * WORK;
        let tag = (clock.floor() + work / 2.0) as u64;
        server.request(
            clock as u64,
            Job {
                tag,
                class: 0,
                zone: 0,
                work,
                key: None,
                once: None,
            },
            &mut out,
        );
    }
    // Half a microsecond, on average, is lost to rounding at each end.
    total / requests as f64 / (WORK / 2.0)
}

#[test]
fn mean_waits_match_erlang_c_within_three_percent() {
    for (cores, load) in [(1, 0.5), (3, 0.7), (8, 0.8)] {
        let seeds = 4;
        let mean = (0..seeds)
            .map(|seed| mean_wait(cores, load, 250_000, seed))
            .sum::<f64>()
            / seeds as f64;
        let wanted = erlang_c(cores, load);
        println!("{cores} cores at {load}: {mean:.4} of a work, Erlang C says {wanted:.4}");
        assert!(
            (mean / wanted - 1.0).abs() < 0.03,
            "{cores} cores at {load}: {mean} instead of {wanted}"
        );
    }
}
