//! The hard cases of each model.

mod common;
use common::fault;
use madderloom_balancer::{Micros, ServerEntry, ServerId, ServerState};
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{
    Allow, CancelStops, Class, Effect, Experiment, FaultKind, Network as Between, Phase, ServerKind,
};
use madderloom_lab::model::clients::{Arrival, Ask, Clients, End, Next, read_arrivals};
use madderloom_lab::model::discovery::{Discovery, News};
use madderloom_lab::model::faults::{Change, time_line};
use madderloom_lab::model::network::{Network, Passage, Way};
use madderloom_lab::model::server::{Answer, Job, Output, Repeats, Scope, Server, Spec, Trouble};
use madderloom_lab::seeds::{Concern, stream};
use madderloom_lab::world::World;
use std::sync::{Arc, Mutex};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// One core, a millisecond of work a millisecond.
fn kind() -> ServerKind {
    ServerKind {
        name: "s".into(),
        cores: 1,
        queue: 3,
        cancel: CancelStops::Waiting,
        ..ServerKind::default()
    }
}

fn server_of(kind: &ServerKind, repeats: &Arc<Mutex<Repeats>>) -> Server {
    let allow = Allow {
        fall: Span::s(1),
        fall_multiple: 3.0,
        ..Allow::default()
    };
    let spec = Spec::new(kind, kind.speed, &allow, 10_000.0);
    Server::new(spec, repeats.clone(), stream(1, Concern::Server, 0))
}

fn server(kind: &ServerKind) -> Server {
    server_of(kind, &Repeats::shared())
}

fn job(tag: u64, work_ms: f64) -> Job {
    Job {
        tag,
        class: 0,
        zone: 0,
        work: work_ms * 1e3,
        key: None,
        once: None,
    }
}

/// Wakes a server at its own times until `until`; what it says, with the time.
fn play(server: &mut Server, until: Micros) -> Vec<(Micros, Output)> {
    let (mut told, mut out) = (Vec::new(), Vec::new());
    while let Some(at) = server.wake_at().filter(|at| *at <= until) {
        server.wake(at, &mut out);
        told.extend(out.drain(..).map(|o| (at, o)));
    }
    server.wake(until, &mut out);
    told.extend(out.drain(..).map(|o| (until, o)));
    told
}

fn answers(told: &[(Micros, Output)]) -> Vec<(Micros, u64)> {
    let answer = |(at, o): &(Micros, Output)| match o {
        Output::Answered(tag, Answer::Ok) => Some((*at, *tag)),
        _ => None,
    };
    told.iter().filter_map(answer).collect()
}

fn ask_of(server: &mut Server, now: Micros, job: Job) -> Vec<Output> {
    let mut out = Vec::new();
    server.request(now, job, &mut out);
    out
}

// ---- Servers ----

#[test]
fn requests_run_in_turn_and_what_finds_no_place_is_turned_away() {
    let mut server = server(&kind());
    for tag in 0..4 {
        assert_eq!(ask_of(&mut server, 0, job(tag, 10.0)), []);
    }
    assert_eq!(
        ask_of(&mut server, 5 * MS, job(4, 10.0)),
        [Output::TurnedAway(4)]
    );
    let told = play(&mut server, S);
    assert_eq!(
        answers(&told),
        [(10 * MS, 0), (20 * MS, 1), (30 * MS, 2), (40 * MS, 3)]
    );
    assert_eq!(
        (server.done(S).busy, server.done(S).turned_away),
        (40_000.0, 1)
    );
}

#[test]
fn a_driver_that_calls_late_loses_no_time_of_the_cores() {
    let (mut timely, mut late) = (server(&kind()), server(&kind()));
    for tag in 0..3 {
        ask_of(&mut timely, 0, job(tag, 10.0));
        ask_of(&mut late, 0, job(tag, 10.0));
    }
    play(&mut timely, 25 * MS);
    // Nobody woke it at 10 and 20 ms: both answers come with the next call, and the third is half done.
    let told = ask_of(&mut late, 25 * MS, job(3, 10.0));
    assert_eq!(
        told.iter()
            .filter(|o| matches!(o, Output::Answered(..)))
            .count(),
        2
    );
    ask_of(&mut timely, 25 * MS, job(3, 10.0));
    assert_eq!(answers(&play(&mut late, S)), answers(&play(&mut timely, S)));
}

#[test]
fn a_crowded_server_slows_down_and_stays_slow_until_it_is_nearly_idle() {
    let crowding = ServerKind {
        crowded_at: 1.5,
        crowded_after: Span::ms(100),
        crowded_slower: 2.0,
        crowded_until: 0.5,
        crowded_rest: Span::ms(50),
        queue: 10,
        ..kind()
    };
    let mut server = server(&crowding);
    // Two held for less than 100 ms: nothing happens.
    ask_of(&mut server, 0, job(0, 60.0));
    ask_of(&mut server, 0, job(1, 60.0));
    assert_eq!(
        answers(&play(&mut server, 200 * MS)),
        [(60 * MS, 0), (120 * MS, 1)]
    );
    // Two held for longer: from 300 ms on it takes twice as long, also for what runs.
    ask_of(&mut server, 200 * MS, job(2, 150.0));
    ask_of(&mut server, 200 * MS, job(3, 50.0));
    assert_eq!(answers(&play(&mut server, 400 * MS)), [(400 * MS, 2)]);
    // One held is no crowd, but not nearly idle either: still slow.
    assert_eq!(answers(&play(&mut server, 510 * MS)), [(500 * MS, 3)]);
    ask_of(&mut server, 510 * MS, job(4, 10.0));
    assert_eq!(answers(&play(&mut server, 540 * MS)), [(530 * MS, 4)]);
    // Idle for 50 ms: well again.
    ask_of(&mut server, 600 * MS, job(5, 10.0));
    assert_eq!(answers(&play(&mut server, 700 * MS)), [(610 * MS, 5)]);
}

fn cold() -> (Server, Vec<Output>) {
    let kind = ServerKind {
        cold_from: 0.25,
        cold: Span::s(10),
        queue: 1_000,
        ..kind()
    };
    let (mut server, mut out) = (server(&kind), Vec::new());
    server.stop(0, false, &mut out);
    server.start(S, &mut out);
    (server, out)
}

#[test]
fn a_cold_server_is_slow_at_first_and_warms_up() {
    let (mut server, _) = cold();
    ask_of(&mut server, S, job(0, 10.0));
    let first = answers(&play(&mut server, 2 * S))[0].0 - S;
    assert!(
        (38 * MS..=40 * MS).contains(&first),
        "a quarter of its speed: {first}"
    );
    play(&mut server, 12 * S);
    ask_of(&mut server, 12 * S, job(1, 10.0));
    assert_eq!(answers(&play(&mut server, 13 * S)), [(12 * S + 10 * MS, 1)]);
}

#[test]
fn a_cold_server_that_is_pushed_over_its_multiple_falls_over_and_stays_down() {
    // At a quarter of its capacity it bears three times that for a second, and five requests more: 800 ms of work.
    let (mut server, mut out) = cold();
    for n in 0..80 {
        server.request(S + n * 10 * MS, job(n, 10.0), &mut out);
        assert!(!out.contains(&Output::Fell), "fell at request {n}");
    }
    for n in 80..120 {
        server.request(S + n * 10 * MS, job(n, 10.0), &mut out);
    }
    // It warms up meanwhile, so it bears a little more than at its start; after a second old work no longer counts.
    assert!(!out.contains(&Output::Fell));
    for n in 120..150 {
        server.request(S + 1_200 * MS + n, job(n, 20.0), &mut out);
    }
    assert!(out.contains(&Output::Fell) && !server.is_up());
    let broken = out
        .iter()
        .filter(|o| matches!(o, Output::Broken(_)))
        .count();
    assert!(broken > 50, "what it held broke: {broken}");
    out.clear();
    server.connect(30 * S, 1, &mut out);
    assert_eq!(out, [Output::Refused(1)]);
}

#[test]
fn a_draining_server_takes_nothing_new_and_says_once_when_the_last_is_done() {
    let (mut server, mut out) = (server(&kind()), Vec::new());
    ask_of(&mut server, 0, job(0, 10.0));
    ask_of(&mut server, 0, job(1, 10.0));
    server.drain(5 * MS, &mut out);
    assert_eq!(out, []);
    assert_eq!(
        ask_of(&mut server, 6 * MS, job(2, 10.0)),
        [Output::TurnedAway(2)]
    );
    // The client of the one that waits leaves: what remains is the one that runs.
    server.abandon(7 * MS, 1, &mut out);
    let told = play(&mut server, S);
    assert_eq!(answers(&told), [(10 * MS, 0)]);
    assert_eq!(
        told.iter().filter(|(_, o)| *o == Output::Drained).count(),
        1
    );
    server.undrain(S, &mut out);
    assert_eq!(ask_of(&mut server, S, job(3, 10.0)), []);
}

#[test]
fn what_is_given_up_stops_as_far_as_its_kind_says() {
    for (cancel, executed, wasted) in [
        (CancelStops::Nothing, 2, 20_000.0),
        (CancelStops::Waiting, 1, 10_000.0),
        (CancelStops::All, 0, 5_000.0),
    ] {
        let (mut server, mut out) = (server(&ServerKind { cancel, ..kind() }), Vec::new());
        ask_of(&mut server, 0, job(0, 10.0));
        ask_of(&mut server, 0, job(1, 10.0));
        server.abandon(5 * MS, 1, &mut out);
        server.abandon(5 * MS, 0, &mut out);
        assert_eq!(answers(&play(&mut server, S)), []);
        let done = server.done(S);
        assert_eq!(
            (done.executed, done.wasted, server.held()),
            (executed, wasted, 0),
            "{cancel:?}"
        );
    }
}

#[test]
fn a_repeat_is_known_at_any_server_within_its_window_and_runs_again_after_it() {
    let repeats = Repeats::shared();
    let (mut one, mut other) = (server_of(&kind(), &repeats), server_of(&kind(), &repeats));
    let keyed = |tag| Job {
        once: Some((77, 100 * MS)),
        ..job(tag, 10.0)
    };
    ask_of(&mut one, 0, keyed(0));
    // Sent elsewhere while the first still runs: both take their time, one takes effect.
    ask_of(&mut other, 5 * MS, keyed(1));
    let first = play(&mut one, 10 * MS);
    assert!(first.contains(&(
        10 * MS,
        Output::Ran {
            tag: 0,
            repeated: false
        }
    )));
    let second = play(&mut other, 20 * MS);
    assert!(second.contains(&(
        15 * MS,
        Output::Ran {
            tag: 1,
            repeated: true
        }
    )));
    // Once it is known, a repeat is answered at once.
    let third = ask_of(&mut one, 50 * MS, keyed(2));
    assert_eq!(
        third,
        [
            Output::Ran {
                tag: 2,
                repeated: true
            },
            Output::Answered(2, Answer::Ok)
        ]
    );
    ask_of(&mut other, 120 * MS, keyed(3));
    let fourth = play(&mut other, 200 * MS);
    assert!(fourth.contains(&(
        130 * MS,
        Output::Ran {
            tag: 3,
            repeated: false
        }
    )));
}

#[test]
fn keys_met_lately_are_cheaper_and_only_so_many_are_remembered() {
    let kind = ServerKind {
        warm_key_work: 0.5,
        warm_key_for: Span::ms(100),
        warm_keys: 2,
        queue: 9,
        ..kind()
    };
    let mut server = server(&kind);
    let mut now = 0;
    let mut took = |key: u64, wait: Micros| {
        now += wait;
        ask_of(
            &mut server,
            now,
            Job {
                key: Some(key),
                ..job(now, 10.0)
            },
        );
        let done = answers(&play(&mut server, now + 20 * MS))[0].0 - now;
        now += 20 * MS;
        done
    };
    assert_eq!(
        [took(1, 0), took(1, 0), took(2, 0), took(1, 0)],
        [10 * MS, 5 * MS, 10 * MS, 5 * MS]
    );
    // A third key drives out the one met longest ago.
    assert_eq!([took(3, 0), took(2, 0)], [10 * MS, 10 * MS]);
    assert_eq!(took(2, 90 * MS), 10 * MS);
}

#[test]
fn connections_are_capped_and_cost_a_handshake_on_the_cores() {
    let kind = ServerKind {
        connections: 2,
        handshake: Span::ms(4),
        ..kind()
    };
    let (mut server, mut out) = (server(&kind), Vec::new());
    (0..3).for_each(|tag| server.connect(0, tag, &mut out));
    assert_eq!(out, [Output::Refused(2)]);
    let told = play(&mut server, 20 * MS);
    assert_eq!(
        told,
        [
            (4 * MS, Output::Connected(0)),
            (8 * MS, Output::Connected(1))
        ]
    );
    server.disconnect();
    out.clear();
    server.connect(20 * MS, 3, &mut out);
    assert_eq!((out.len(), server.connections()), (0, 2));
}

#[test]
fn a_hung_server_says_nothing_and_goes_on_where_it_was() {
    let (mut server, mut out) = (server(&kind()), Vec::new());
    ask_of(&mut server, 0, job(0, 10.0));
    server.begin(4 * MS, 1, Trouble::Hang, Scope::default(), &mut out);
    assert_eq!(ask_of(&mut server, 5 * MS, job(1, 10.0)), []);
    assert_eq!(
        (server.probe(5 * MS, &mut out), play(&mut server, S)),
        (None, vec![])
    );
    server.end(S, 1, &mut out);
    assert_eq!(
        answers(&play(&mut server, 2 * S)),
        [(S + 6 * MS, 0), (S + 16 * MS, 1)]
    );
}

#[test]
fn troubles_befall_those_in_their_scope_alone() {
    let (mut server, mut out) = (server(&kind()), Vec::new());
    let scope = Scope {
        class: Some(1),
        zone: Some(2),
    };
    server.begin(0, 1, Trouble::FastErrors(1.0), scope, &mut out);
    for (class, zone, fails) in [(0, 2, false), (1, 0, false), (1, 2, true)] {
        let told = ask_of(
            &mut server,
            0,
            Job {
                class,
                zone,
                ..job(9, 1.0)
            },
        );
        assert_eq!(
            told.contains(&Output::Answered(9, Answer::Error)),
            fails,
            "class {class}, zone {zone}"
        );
    }
}

#[test]
fn the_truth_tells_of_all_that_fails() {
    let (mut server, mut out) = (
        server(&ServerKind {
            error_rate: 0.5,
            ..kind()
        }),
        Vec::new(),
    );
    server.begin(0, 1, Trouble::LostAnswers(0.5), Scope::default(), &mut out);
    server.begin(
        0,
        2,
        Trouble::SpoiltAnswers(0.2),
        Scope::default(),
        &mut out,
    );
    assert!(
        (server.truth(0).failing - 0.8).abs() < 1e-9,
        "{}",
        server.truth(0).failing
    );
    server.end(0, 1, &mut out);
    assert!(
        (server.truth(0).failing - 0.6).abs() < 1e-9,
        "{}",
        server.truth(0).failing
    );
}

#[test]
fn a_neighbour_takes_its_part_in_turns() {
    let (mut server, mut out) = (server(&kind()), Vec::new());
    server.begin(
        0,
        1,
        Trouble::Neighbour(0.5, 40 * MS),
        Scope::default(),
        &mut out,
    );
    // Half speed for 20 ms, full speed for 20 ms, half again.
    ask_of(&mut server, 0, job(0, 35.0));
    assert_eq!(answers(&play(&mut server, S)), [(50 * MS, 0)]);
}

#[test]
fn load_reports_are_as_old_as_they_are_said_to_be_and_can_be_stuck() {
    let reports = ServerKind {
        report_every: Span::ms(10),
        report_delay: Span::ms(20),
        probe: Span(0),
        ..kind()
    };
    let (mut server, mut out) = (server(&reports), Vec::new());
    ask_of(&mut server, 15 * MS, job(0, 500.0));
    let mut held = |server: &mut Server, now| server.probe(now, &mut out).map(|r| r.in_flight);
    // The first refresh that knows of it is at 20 ms, and is told from 40 ms on.
    assert_eq!(held(&mut server, 39 * MS), Some(0.0));
    assert_eq!(held(&mut server, 41 * MS), Some(1.0));
    let mut none = Vec::new();
    server.begin(
        50 * MS,
        1,
        Trouble::StuckReports,
        Scope::default(),
        &mut none,
    );
    server.abandon(60 * MS, 0, &mut none);
    play(&mut server, 600 * MS);
    assert_eq!(held(&mut server, 600 * MS), Some(1.0));
    assert_eq!(server.held(), 0);
}

#[test]
fn a_crash_breaks_what_is_held_and_a_vanished_machine_says_nothing() {
    for silent in [false, true] {
        let (mut server, mut out) = (server(&kind()), Vec::new());
        ask_of(&mut server, 0, job(0, 10.0));
        ask_of(&mut server, 0, job(1, 10.0));
        server.stop(5 * MS, silent, &mut out);
        let wanted = if silent {
            vec![]
        } else {
            vec![Output::Broken(0), Output::Broken(1)]
        };
        assert_eq!(out, wanted);
        out.clear();
        server.connect(6 * MS, 7, &mut out);
        assert_eq!(
            out,
            if silent {
                vec![]
            } else {
                vec![Output::Refused(7)]
            }
        );
        assert_eq!(
            (server.is_silent(), server.truth(6 * MS).takes_work),
            (silent, false)
        );
    }
}

// ---- Network ----

#[test]
fn a_cut_of_answers_alone_lets_requests_through() {
    let mut network = Network::new(&Between::default(), stream(1, Concern::Network, 0));
    network.cut(1, 0, true);
    assert_eq!(network.latency(1, 0, Way::There), Some(250));
    assert_eq!(network.latency(1, 0, Way::Back), None);
    // Inside the zone and among the others all is well.
    assert_eq!(
        (
            network.latency(0, 0, Way::Back),
            network.latency(1, 2, Way::Back)
        ),
        (Some(250), Some(250))
    );
    network.cut(2, 0, false);
    assert_eq!(network.latency(1, 0, Way::There), None);
    network.mend(2);
    assert_eq!(
        (
            network.reaches(1, 0, Way::There),
            network.reaches(1, 0, Way::Back)
        ),
        (true, false)
    );
}

#[test]
fn jitter_keeps_the_mean_and_resets_their_share() {
    let between = Between {
        jitter: 0.5,
        same: Span::ms(1),
        ..Between::default()
    };
    let mut network = Network::new(&between, stream(1, Concern::Network, 0));
    let sum: u64 = (0..20_000)
        .filter_map(|_| network.latency(0, 0, Way::There))
        .sum();
    assert!((980..1_020).contains(&(sum / 20_000)), "{}", sum / 20_000);
    network.reset(1, 3, 0.4);
    let mut count = |of: Passage, server| {
        (0..20_000)
            .filter(|_| network.passage(server) == of)
            .count()
    };
    assert!((3_700..4_300).contains(&count(Passage::BreaksBefore, 3)));
    assert!((3_700..4_300).contains(&count(Passage::BreaksAfter, 3)));
    assert_eq!(count(Passage::Through, 4), 20_000);
}

// ---- Discovery ----

fn entry(server: u64, state: ServerState) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: 0,
        cell: 0,
        kind: 0,
        started_at: None,
        capacity: 1.0,
        state,
    }
}

fn discovery(calls_per_second: f64, on_request: bool) -> Discovery {
    let spec = madderloom_lab::experiment::Discovery {
        calls_per_second,
        on_request,
        ..Default::default()
    };
    Discovery::new(
        &spec,
        (0..3).map(|s| entry(s, ServerState::Ready)).collect(),
        100,
    )
}

#[test]
fn calls_wait_their_turn_and_fail_when_that_takes_too_long() {
    let mut discovery = discovery(10.0, true);
    let replies: Vec<_> = (0..100).map(|i| discovery.call(0, i)).collect();
    let answered = replies.iter().filter(|r| r.news == News::Changes).count();
    assert_eq!((answered, replies[4].at), (30, 500 * MS));
    assert!(
        replies[30..]
            .iter()
            .all(|r| (r.at, r.news) == (3 * S, News::Failed))
    );
    // The ones that gave up take up no time: a later call waits for those before it alone.
    assert_eq!(discovery.call(2 * S, 0).at, 3_100 * MS);
}

#[test]
fn an_outage_ends_watches_and_what_was_missed_comes_with_the_next() {
    let mut discovery = discovery(0.0, true);
    assert!(discovery.begin_watch(5));
    assert_eq!(discovery.watchers().collect::<Vec<_>>(), [5]);
    assert_eq!(discovery.go_down(), [5]);
    assert_eq!(discovery.call(0, 5).news, News::Failed);
    discovery.change(entry(1, ServerState::Draining));
    assert_eq!(
        (discovery.watchers().count(), discovery.come_up()),
        (0, vec![])
    );
    let reply = discovery.call(S, 5);
    assert_eq!(
        discovery.news(5, reply.news)[..],
        [entry(1, ServerState::Draining)]
    );
    assert_eq!(discovery.news(5, News::Changes)[..], []);
    // A restarted instance has what it last held; another one still its first list.
    discovery.change(entry(0, ServerState::Gone));
    assert_eq!(discovery.saved(5).len(), 3);
    assert_eq!(discovery.saved(6)[1].state, ServerState::Ready);
}

#[test]
fn after_a_move_versions_begin_anew_with_the_whole_list() {
    let mut discovery = discovery(0.0, true);
    discovery.begin_watch(1);
    discovery.change(entry(2, ServerState::Gone));
    assert_eq!(discovery.move_on(), [1]);
    assert_eq!(discovery.call(0, 1).news, News::Full);
    assert_eq!(discovery.news(1, News::Full).len(), 2);
    // A move while the answer of a call is on its way: changes since another numbering mean nothing.
    assert_eq!(discovery.call(0, 1).news, News::Changes);
    discovery.move_on();
    assert_eq!(discovery.news(1, News::Changes).len(), 2);
}

// ---- Clients ----

fn clients(change: impl FnOnce(&mut Experiment)) -> Clients {
    let class = Class {
        name: "read".into(),
        deadline: Span::s(2),
        ..Class::default()
    };
    let mut experiment = Experiment {
        duration: Span::s(40),
        classes: vec![class],
        ..Experiment::default()
    };
    change(&mut experiment);
    Clients::new(&experiment, 1)
}

fn arrivals(clients: &mut Clients) -> Vec<Ask> {
    std::iter::from_fn(|| clients.arrive()).collect()
}

#[test]
fn arrivals_follow_phases_ramps_and_waves() {
    let mut clients = clients(|e| {
        e.clients.rate = 100.0;
        let (from, to) = (Span::s(10), Span::s(20));
        e.phases = vec![
            Phase {
                from,
                to,
                rate: 200.0,
                rate_to: 600.0,
                ..Phase::default()
            },
            Phase {
                from: Span::s(30),
                rate: 300.0,
                wave: 1.0,
                wave_every: Span::s(10),
                ..Phase::default()
            },
        ];
    });
    assert_eq!(
        [0, 15, 25, 30].map(|s| clients.rate(s * S).round()),
        [100.0, 400.0, 100.0, 300.0]
    );
    assert!((clients.rate(32_500 * MS) - 600.0).abs() < 1.0 && clients.rate(37_500 * MS) < 1.0);
    let asks = arrivals(&mut clients);
    let within = |from: u64, to: u64| {
        asks.iter()
            .filter(|a| (from * S..to * S).contains(&a.due))
            .count() as f64
    };
    for (from, to, wanted) in [
        (0, 10, 1_000.0),
        (10, 20, 4_000.0),
        (20, 30, 1_000.0),
        (30, 35, 2_455.0),
    ] {
        let seen = within(from, to);
        assert!(
            (seen - wanted).abs() < 5.0 * f64::sqrt(wanted),
            "{from} to {to}: {seen}, not {wanted}"
        );
    }
}

#[test]
fn what_is_asked_for_does_not_depend_on_when() {
    let mut slow = clients(|e| e.clients.rate = 50.0);
    let mut closed = clients(|e| e.clients.outstanding = 10);
    let open: Vec<_> = arrivals(&mut slow)
        .into_iter()
        .take(30)
        .map(|a| (a.number, a.work, a.instance))
        .collect();
    let mut looped = closed.begin();
    looped.extend((0..20).filter_map(|n| closed.follow(n * S, true)));
    assert_eq!(
        open,
        looped
            .iter()
            .map(|a| (a.number, a.work, a.instance))
            .collect::<Vec<_>>()
    );
    // One that was not served comes back a little later, and none after the day.
    assert!(closed.follow(S, false).is_some_and(|a| a.due > S));
    assert_eq!(closed.follow(40 * S, true), None);
}

#[test]
fn clients_try_again_only_where_it_does_no_harm_and_there_is_time() {
    let ask = |effect: Effect| {
        let mut clients = clients(|e| {
            e.classes[0].effect = effect;
            e.classes[0].window = Span::ms(300);
            e.clients.rate = 10.0;
            e.clients.retries = 3;
            e.clients.backoff = Span::ms(100);
            e.clients.backoff_doubles = true;
        });
        let ask = clients.arrive().expect("one comes");
        (
            clients,
            Ask {
                due: 0,
                deadline: 2 * S,
                ..ask
            },
        )
    };
    let (clients, safe) = ask(Effect::Safe);
    let after = |now, end, tries| clients.after(&safe, now, end, tries, 0);
    assert_eq!(after(0, End::Failed, 1), Next::TryAgain(100 * MS));
    assert_eq!(after(0, End::Refused(None), 3), Next::TryAgain(400 * MS));
    assert_eq!(after(0, End::Refused(Some(S)), 1), Next::TryAgain(S));
    assert_eq!(
        after(0, End::Refused(Some(2 * S)), 1),
        Next::Done,
        "past its deadline"
    );
    assert_eq!(
        (after(0, End::Failed, 4), after(0, End::Left, 1)),
        (Next::Done, Next::Done)
    );
    let rude = Ask {
        honours: false,
        ..safe
    };
    assert_eq!(
        clients.after(&rude, 0, End::Refused(Some(S)), 1, 0),
        Next::TryAgain(100 * MS)
    );
    let (clients, keyed) = ask(Effect::Keyed);
    assert_eq!(
        clients.after(&keyed, 200 * MS, End::TimedOut, 1, 0),
        Next::TryAgain(300 * MS)
    );
    assert_eq!(
        clients.after(&keyed, 300 * MS, End::TimedOut, 1, 0),
        Next::Done,
        "past its window"
    );
    let (clients, once) = ask(Effect::Unsafe);
    assert_eq!(clients.after(&once, 0, End::Failed, 1, 0), Next::Done);
    assert_eq!(
        clients.after(&once, 0, End::Refused(None), 1, 0),
        Next::TryAgain(100 * MS)
    );
}

#[test]
fn recorded_arrivals_are_read_or_the_line_at_fault_is_named() {
    let classes = [Class {
        name: "read".into(),
        ..Class::default()
    }];
    let text = "# micros class key work\n10 read 7 500\n\n20 read - 1 # last\n";
    let first = Arrival {
        at: 10,
        class: 0,
        key: Some(7),
        work: 500.0,
    };
    let read = read_arrivals(text, &classes).expect("it makes sense");
    assert_eq!(
        read,
        [
            first,
            Arrival {
                at: 20,
                key: None,
                work: 1.0,
                ..first
            }
        ]
    );
    let mut clients = clients(|e| e.clients.recorded = Arc::new(read));
    let dues: Vec<_> = arrivals(&mut clients)
        .iter()
        .map(|a| (a.due, a.work))
        .collect();
    assert_eq!(dues, [(10, 500.0), (20, 1.0)]);
    for (text, problem) in [
        ("10 read 7", "line 1: has 3 fields"),
        ("\n10 write 7 1", "line 2: there is no class \"write\""),
        ("10 read 7 1\n9 read 7 1", "line 2: 9 is before"),
        ("-1 read 7 1", "line 1: MICROS \"-1\""),
        ("1 read x 1", "line 1: KEY \"x\""),
    ] {
        let told = read_arrivals(text, &classes).expect_err(text);
        assert!(told.starts_with(problem), "{told}");
    }
}

// ---- Faults ----

#[test]
fn a_share_of_servers_is_drawn_by_the_seed_and_restarts_go_from_one_to_the_next() {
    let kind = ServerKind {
        name: "s".into(),
        count: 10,
        ..ServerKind::default()
    };
    let mut experiment = Experiment {
        servers: vec![kind],
        ..Experiment::default()
    };
    experiment.faults = vec![fault(FaultKind::Slow, Span::s(1), &[], 5.0)];
    experiment.faults[0].share = 0.3;
    let world = World::of(&experiment, 1);
    let befallen = |seed| {
        let line = time_line(&experiment, &world, seed);
        let begins = line.iter().filter_map(|(_, c)| {
            if let Change::Begin { server, .. } = c {
                Some(*server)
            } else {
                None
            }
        });
        begins.collect::<Vec<_>>()
    };
    assert_eq!(befallen(1).len(), 3);
    assert_eq!(befallen(1), befallen(1));
    assert!((2..20).any(|seed| befallen(seed) != befallen(1)));
    experiment.faults = vec![fault(
        FaultKind::RollingRestart,
        Span::s(1),
        &["s-3", "s-4"],
        0.0,
    )];
    (experiment.faults[0].every, experiment.faults[0].lasts) = (Span::s(2), Span::s(6));
    let line = time_line(&experiment, &world, 1);
    let drain = |server| Change::Drain {
        server,
        then_stop: true,
    };
    let wanted = [
        (S, drain(3)),
        (3 * S, drain(4)),
        (7 * S, Change::Start { server: 3 }),
        (9 * S, Change::Start { server: 4 }),
    ];
    assert_eq!(line, wanted);
}
