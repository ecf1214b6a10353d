//! Sixty that start beside servers that start too. What a cold server gets of all of them together is counted by itself, and
//! it falls for good when that is more than the protocol says that it bears.

use super::{DRAIN_GRACE, Fleet, MANNER, Size, alone, many, millis};
use madderloom_fault_testing::{
    Arrivals, Link, LoadGenerator, RequestResult, Server, SlowStart, list_json, unique_address,
    verify_results,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

/// A cold server begins with a twentieth of its 200 requests a second and is warm after 8 s. It bears three times what it can
/// do in a second, and what chance adds: 43 requests at first, 142 after a second. An equal part of all would be more.
const COLD: SlowStart = SlowStart {
    min_share: 0.05,
    duration: millis(8_000),
    window: millis(1_000),
    overload_factor: 3.0,
};
const WORK: Duration = millis(5);

fn cold(number: usize) -> Server {
    Server::with_slow_start(&format!("w{number}"), WORK, COLD)
}

fn warm(number: usize) -> Server {
    Server::with_service_time(&format!("w{number}"), WORK)
}

fn half_cold() -> Vec<Server> {
    (0..6)
        .map(|number| {
            if number < 3 {
                warm(number)
            } else {
                cold(number)
            }
        })
        .collect()
}

fn all_cold() -> Vec<Server> {
    (0..6).map(cold).collect()
}

/// The servers start with the fleet, and not while it waits for its turn.
fn start(servers: impl FnOnce() -> Vec<Server>) -> Fleet {
    start_sized(Size::said_to_be(many()), servers)
}

/// The same, where the settings say that the fleet is of another size, or several processes have one name.
fn start_sized(size: Size, servers: impl FnOnce() -> Vec<Server>) -> Fleet {
    let alone = alone();
    let servers = servers();
    let known = list_json(1, &servers.iter().collect::<Vec<_>>());
    Fleet::start_with(
        alone,
        (servers, COLD.duration),
        &known,
        (MANNER, size),
        |_, _| (),
    )
}

/// Three clients at each sidecar: some 1,000 requests a second together.
fn load(fleet: &Fleet) -> LoadGenerator {
    LoadGenerator::start(
        &fleet
            .fronts
            .values()
            .flat_map(|front| [*front; 3])
            .collect::<Vec<_>>(),
        millis(150),
    )
}

/// Of what was asked between these times, the part that was served.
fn part(got: &[RequestResult], from: Instant, to: Instant) -> f64 {
    let within: Vec<&RequestResult> = got
        .iter()
        .filter(|got| (from..to).contains(&got.sent_at))
        .collect();
    let served = within.iter().filter(|got| got.status == Some(200)).count();
    served as f64 / within.len().max(1) as f64
}

fn judge(fleet: &Fleet, got: &[RequestResult], from: Instant) {
    for server in &fleet.servers {
        let fell = server.overloaded_at().map(|at| at.duration_since(from));
        assert_eq!(fell, None, "{} was pushed over", server.name);
    }
    let second = |number| {
        let at = from + millis(1_000) * number;
        part(got, at, at + millis(1_000))
    };
    eprintln!(
        "served, second by second: {:.2?} of {}",
        (0..12).map(second).collect::<Vec<_>>(),
        got.len()
    );
}

/// Under this load none falls, and once they are warm nearly all is served.
fn all_get_warm(fleet: &Fleet, load: LoadGenerator) {
    let from = Instant::now();
    std::thread::sleep(millis(11_000));
    let got = load.stop();
    judge(fleet, &got, from);
    verify_results(&got, &fleet.servers, false);
    let late = part(&got, from + millis(8_500), from + millis(11_000));
    assert!(late > 0.9, "{late} once they are warm");
}

#[test]
fn a_release_replaces_half_of_the_servers_and_none_of_the_new_ones_is_pushed_over() {
    let fleet = start(half_cold);
    let (load, from) = (load(&fleet), Instant::now());
    std::thread::sleep(millis(7_000));
    let got = load.stop();
    judge(&fleet, &got, from);
    assert!(
        verify_results(&got, &fleet.servers, false) as f64 > 0.97 * got.len() as f64,
        "the others have room"
    );
    for new in &fleet.servers[3..] {
        assert!(!new.request_counts().is_empty(), "{} got nothing", new.name);
    }
}

/// There is nothing to fall back on: what the servers bear grows, and so does what they are given.
#[test]
fn power_returns_and_servers_that_are_all_cold_are_not_pushed_over() {
    let fleet = start(all_cold);
    all_get_warm(&fleet, load(&fleet));
}

/// Sidecars share nothing. What each gives a cold server is its own part, by its own traffic and by a size of the fleet that
/// may be old, as where a release adds instances. Here sixty take themselves for
/// forty, a third of them have six clients and the others one, and all servers start cold.
#[test]
fn sixty_that_take_themselves_for_forty_with_unequal_traffic_push_no_cold_server_over() {
    let fleet = start_sized(Size::said_to_be(many() * 2 / 3), all_cold);
    let clients = fleet.fronts.values().enumerate();
    let clients = clients.flat_map(|(at, front)| vec![*front; if at % 3 == 0 { 6 } else { 1 }]);
    all_get_warm(
        &fleet,
        LoadGenerator::start(&clients.collect::<Vec<_>>(), millis(150)),
    );
}

/// The names of an upgrade of a whole fleet: an old and a new process have each, with one seed, and the settings count names.
fn two_to_a_name() -> Size {
    Size {
        group_size: many() / 2,
        names: many() / 2,
        drain_grace: DRAIN_GRACE,
    }
}

/// The clients of the processes whose numbers are these, so many at each.
fn clients(fleet: &Fleet, numbers: Range<usize>, each: usize) -> Vec<SocketAddr> {
    let wanted = |name: &&String| numbers.contains(&number(name));
    let fronts = fleet
        .fronts
        .iter()
        .filter(|(name, _)| wanted(name))
        .map(|(_, front)| *front);
    fronts.flat_map(|front| vec![front; each]).collect()
}

/// A process's number, which its name ends in.
fn number(name: &str) -> usize {
    name.rsplit('-')
        .next()
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

/// Cold servers join a fleet that is at work, and all hear of them in one moment: they have their whole cold time ahead. Three
/// seconds later all clients of one half of the processes turn to the other half, as in an upgrade.
#[rstest]
#[case::each_with_a_name_of_its_own(Size::said_to_be(many()))]
#[case::two_to_a_name(two_to_a_name())]
fn cold_servers_that_join_a_fleet_at_work_are_not_pushed_over(#[case] size: Size) {
    const EACH: usize = 3;
    let mut fleet = start_sized(size, || (0..3).map(warm).collect());
    fleet.all_told();
    let (old, new) = (0..many() / 2, many() / 2..many());
    let pause = millis(150);
    let leaving = LoadGenerator::start(&clients(&fleet, old, EACH), pause);
    let staying = LoadGenerator::start(&clients(&fleet, new.clone(), EACH), pause);
    std::thread::sleep(millis(3_000));
    fleet.servers.extend((3..6).map(cold));
    let from = Instant::now();
    fleet
        .lists
        .publish(3, &fleet.servers.iter().collect::<Vec<_>>(), &[]);
    std::thread::sleep(millis(3_000));
    let mut got = leaving.stop();
    let turned = LoadGenerator::start(&clients(&fleet, new, EACH), pause);
    std::thread::sleep(millis(3_000));
    got.extend(staying.stop());
    got.extend(turned.stop());
    got.sort_unstable_by_key(|got| got.sent_at);
    judge(&fleet, &got, from);
    assert!(
        verify_results(&got, &fleet.servers, false) as f64 > 0.97 * got.len() as f64,
        "the others have room"
    );
    for cold in &fleet.servers[3..] {
        let first = Arrivals::of_servers([cold])
            .since(from)
            .rate(from, from + millis(1_000));
        eprintln!(
            "{} got {first} requests in its first second, {} in all",
            cold.name,
            cold.request_counts().len()
        );
        assert!(
            !cold.request_counts().is_empty(),
            "{} got nothing",
            cold.name
        );
    }
}

/// For two seconds nobody is behind the ways to the warm servers, and what is open there is reset: all turn to the cold
/// ones.
#[test]
fn the_warm_servers_are_cut_off_and_the_cold_ones_are_not_pushed_over() {
    let mut links: Vec<(Link, SocketAddr)> = Vec::new();
    let fleet = start(|| {
        let mut servers = half_cold();
        links.extend(
            servers[..3]
                .iter()
                .map(|server| (Link::new(server.address), server.address)),
        );
        for (server, (link, _)) in servers.iter_mut().zip(&links) {
            server.address = link.address();
        }
        servers
    });
    let (load, from) = (load(&fleet), Instant::now());
    std::thread::sleep(millis(1_000));
    let nobody = unique_address();
    for (link, _) in &links {
        link.set_target(nobody);
        link.reset();
    }
    std::thread::sleep(millis(2_000));
    links.iter().for_each(|(link, back)| link.set_target(*back));
    std::thread::sleep(millis(4_000));
    judge(&fleet, &load.stop(), from);
}
