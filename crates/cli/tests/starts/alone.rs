//! What it costs sixty sidecars that share nothing to find out by themselves that a server fails, and that it is well again:
//! the figures beside which fleet-wide verdicts will be held.

use super::{Fleet, MANNER, Size, alone, many, millis};
use madderloom_fault_testing::{Arrivals, LoadGenerator, ResponseMode, Server, list_json};
use std::time::{Duration, Instant};

/// What a server gets of all sidecars in windows of half a second, from then on.
fn windows(server: &Server, from: Instant, many: u32) -> Vec<usize> {
    let arrivals = Arrivals::of_servers([server]);
    let edge = |number: u32| arrivals.since(from + millis(500) * number).len();
    (0..many)
        .map(|number| edge(number) - edge(number + 1))
        .collect()
}

#[test]
#[ignore = "prints figures and guards nothing"]
fn figures_of_sixty_that_find_out_each_by_itself() {
    for answers in [ResponseMode::InternalError, ResponseMode::NoResponse] {
        let alone = alone();
        let servers: Vec<Server> = (0..10)
            .map(|number| Server::with_service_time(&format!("w{number}"), millis(5)))
            .collect();
        let known = list_json(1, &servers.iter().collect::<Vec<_>>());
        let fleet = Fleet::start_with(
            alone,
            (servers, millis(1_000)),
            &known,
            (MANNER, Size::said_to_be(many())),
            |_, _| (),
        );
        // Four requests a second of each sidecar.
        let fronts: Vec<_> = fleet.fronts.values().copied().collect();
        let load = LoadGenerator::start(&fronts, millis(250));
        std::thread::sleep(millis(6_000));
        let (bad, from) = (&fleet.servers[0], Instant::now());
        bad.set_response(answers);
        std::thread::sleep(millis(12_000));
        let well = Instant::now();
        bad.set_response(ResponseMode::Success);
        std::thread::sleep(millis(12_000));
        let got = load.stop();
        let lost = |from: Instant, over: Duration| {
            got.iter()
                .filter(|got| {
                    got.sent_at >= from && got.sent_at < from + over && got.status != Some(200)
                })
                .count()
        };
        eprintln!(
            "{answers:?}: of {} requests {} not served in 12 s of it, {} in the first second; it got {:?}, and {:?} once it was well",
            got.iter()
                .filter(|got| got.sent_at >= from && got.sent_at < well)
                .count(),
            lost(from, millis(12_000)),
            lost(from, millis(1_000)),
            windows(bad, from, 24),
            windows(bad, well, 24),
        );
    }
}
