//! The four rules, on the module's events alone.

mod common;
use common::*;
use madderloom_balancer::*;

const KEYED: RetrySafety = RetrySafety::IdempotentWithKey {
    scope: DeduplicationScope::Zone,
    window: 6 * S,
};

#[test]
fn a_silent_server_costs_one_final_answer_before_the_deadline_and_nothing_follows() {
    for effect in [RetrySafety::Idempotent, KEYED, RetrySafety::NonIdempotent] {
        let mut rig = Rig::new(settings(&[effect]), &fleet(4));
        let start = rig.now;
        let (id, mut actions) = rig.request(0);
        let mut finals = 0;
        while let Some(at) = timer_at(&actions) {
            actions = rig.fire_timer(at, id);
            finals += u32::from(rejected(&actions)) + u32::from(failed(&actions));
            assert!(!(failed(&actions) && effect == RetrySafety::Idempotent));
            assert!(
                !(rejected(&actions) && effect != RetrySafety::Idempotent),
                "it may have run"
            );
        }
        assert_eq!(finals, 1);
        assert!(rig.now <= start + 1_200 * MS);
        let late = rig.fire_timer(rig.now + S, id);
        assert!(late.is_empty());
    }
}

#[test]
fn with_no_server_listed_a_request_is_held_and_refused_in_time() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &[]);
    let start = rig.now;
    let (id, mut actions) = rig.request(0);
    assert_eq!(sent(&actions), None);
    while let Some(at) = timer_at(&actions) {
        actions = rig.fire_timer(at, id);
    }
    assert!(rejected(&actions), "nothing ran, so a refusal is true");
    assert!(rig.now < start + 1_200 * MS);
}

#[test]
fn a_held_request_is_sent_once_the_list_arrives() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &[]);
    let (id, actions) = rig.request(0);
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
        4,
    ))));
    let at = timer_at(&actions).expect("a held request is looked at again");
    assert!(sent(&rig.fire_timer(at, id)).is_some());
}

/// Held until some milliseconds of its time are left and sent then, it ran and its client was told that it failed.
#[test]
fn a_held_request_that_must_not_run_twice_is_refused_while_it_could_still_be_answered() {
    for (effect, left, is_sent) in [
        (RetrySafety::NonIdempotent, 800 * MS, true),
        (RetrySafety::NonIdempotent, 100 * MS, false),
        (RetrySafety::NonIdempotent, 10 * MS, false),
        (RetrySafety::Idempotent, 100 * MS, true),
        (RetrySafety::Idempotent, 10 * MS, true),
    ] {
        let mut settings = settings(&[effect]);
        settings.classes[0].late_weight_share = 1.0; // or else nothing waits past the aim
        let mut rig = Rig::new(settings, &[]);
        let (id, mut actions) = rig.request(0);
        let over = rig.now + 1_200 * MS;
        while let Some(at) = timer_at(&actions).filter(|at| *at < over - left) {
            actions = rig.fire_timer(at, id);
        }
        let rejected = actions
            .iter()
            .any(|action| matches!(action, Action::Reject { .. }));
        rig.now = over - left;
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
            4,
        ))));
        let then = rig.fire_timer(over - left, id);
        assert_eq!(
            (sent(&then).is_some(), rejected),
            (is_sent, !is_sent),
            "{effect:?} with {left} us left: {then:?}"
        );
    }
}

/// A slow answer is taken for half of the aim at first, which is more than all the time of these requests.
#[test]
fn a_request_is_never_refused_as_it_comes_for_answers_that_are_slow() {
    let mut settings = settings(&[RetrySafety::NonIdempotent]);
    (
        settings.classes[0].latency_objective,
        settings.classes[0].deadline,
    ) = (6 * S, 8 * S);
    let mut rig = Rig::new(settings, &fleet(4));
    let (_, actions) = rig.request(0);
    assert!(sent(&actions).is_some(), "{actions:?}");
}

#[test]
fn a_client_that_left_is_owed_nothing() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    let gone = rig.event(Event::ClientDisconnected(id));
    assert_eq!(
        gone,
        vec![Action::Cancel {
            request: id,
            attempt: 0
        }]
    );
    assert!(rig.close(id, 0, server, Outcome::Error, MS).is_empty());
}

#[test]
fn an_unsafe_request_is_sent_again_only_when_it_never_ran() {
    for (outcome, again) in [
        (Outcome::Full, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Moot, true),
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
    ] {
        let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(4));
        let (id, actions) = rig.request(0);
        let server = sent(&actions).expect("sent");
        let next = rig.close(id, 0, server, outcome, MS);
        assert_eq!(sent(&next).is_some(), again, "{outcome:?}");
        assert_eq!(failed(&next), !again, "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_window() {
    for _ in 0..20 {
        let mut rig = Rig::new(settings(&[KEYED]), &fleet(8));
        let (id, actions) = rig.request(0);
        let first = sent(&actions).expect("sent");
        let next = rig.close(id, 0, first, Outcome::Error, MS);
        let second = sent(&next).expect("a repeat in the group is discarded, so it may go");
        assert_eq!(
            first.0 % 2,
            second.0 % 2,
            "the repeat crossed to another zone"
        );
    }
    let short = RetrySafety::IdempotentWithKey {
        scope: DeduplicationScope::Zone,
        window: 100 * MS,
    };
    let mut rig = Rig::new(settings(&[short]), &fleet(4));
    let (id, actions) = rig.request(0);
    rig.now += 150 * MS;
    let next = rig.close(
        id,
        0,
        sent(&actions).expect("sent"),
        Outcome::Error,
        150 * MS,
    );
    assert!(
        sent(&next).is_none() && failed(&next),
        "the group has forgotten the first attempt"
    );
}

#[test]
fn a_slow_attempt_gets_no_second_one_beside_it() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let (id, mut actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    while let Some(at) = timer_at(&actions) {
        actions = rig.fire_timer(at, id);
        assert_eq!(sent(&actions), None, "two attempts were out at once");
        if actions.iter().any(|a| matches!(a, Action::Cancel { .. })) {
            break;
        }
    }
    let next = rig.close(id, 0, server, Outcome::Cancelled, 300 * MS);
    assert!(sent(&next).is_none_or(|s| s != server));
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_or_is_gone() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let draining = ServerEntry {
        state: ServerState::Draining,
        ..listed(1)
    };
    let gone = ServerEntry {
        state: ServerState::Gone,
        ..listed(2)
    };
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
        draining, gone,
    ])));
    let spread = rig.count_by_server(300, |_| 20 * MS);
    assert!(!spread.contains_key(&ServerId(1)) && !spread.contains_key(&ServerId(2)));
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&[
        listed(0),
    ])));
    let spread = rig.count_by_server(50, |_| 20 * MS);
    assert_eq!(
        spread.keys().collect::<Vec<_>>(),
        [&ServerId(0)],
        "absent from a full list means gone"
    );
}

#[test]
fn a_cold_server_gets_at_most_its_warmth_of_a_usual_share() {
    // Every instance may send at once: each keeps to its own part, in a step and in a burst.
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(400, |_| 20 * MS);
    let young = ServerEntry {
        started_at: Some(rig.now),
        ..listed(9)
    };
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
        young,
    ])));
    let mut cold = 0;
    let mut ids = Vec::new();
    for _ in 0..200 {
        let (id, actions) = rig.request(0);
        if let Some(server) = sent(&actions) {
            cold += u32::from(server == ServerId(9));
            ids.push((id, server));
        }
    }
    assert!(
        cold <= 1,
        "a burst of 200 put {cold} on a server that has just started"
    );
    for (id, server) in ids {
        rig.close(id, 0, server, Outcome::Ok, 20 * MS);
    }
    let spread = rig.count_by_server(200, |_| 20 * MS);
    let mine = spread.get(&ServerId(9)).copied().unwrap_or(0);
    assert!(mine <= 200 / 5 / 2, "{mine} of 200 in the first seconds");
}

#[test]
fn a_lost_subscription_is_asked_for_again() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let ask = |actions: &[Action]| {
        actions.iter().any(|a| {
            matches!(
                a,
                Action::SetTimer {
                    timer: Timer::Discovery,
                    ..
                }
            )
        })
    };
    assert!(ask(&rig.actions), "the list must be asked for");
    assert_eq!(
        rig.event(Event::TimerFired(Timer::Discovery)),
        [Action::PollDiscovery]
    );
    let failed = rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
        list_known_at: rig.now,
        waited: 0,
        connection_broken: false,
    }));
    assert!(ask(&failed));
    let spread = rig.count_by_server(20, |_| 20 * MS);
    assert!(!spread.is_empty(), "the old list serves on");
}

#[test]
fn a_fleet_that_is_all_cold_is_neither_flooded_nor_left_idle() {
    let now = 1_000 * S;
    let young = |at| ServerEntry {
        started_at: Some(now),
        ..listed(at)
    };
    let mut rig = Rig::new(
        settings(&[RetrySafety::Idempotent]),
        &(0..4).map(young).collect::<Vec<_>>(),
    );
    assert_eq!(rig.now, now);
    let mut total = 0;
    let mut held = Vec::new();
    for second in 0..8 {
        let mut answers = Vec::new();
        for _ in 0..50 {
            rig.now += 10 * MS;
            let (id, actions) = rig.request(0);
            answers.extend(sent(&actions).map(|server| (id, server)));
            held.extend(
                timer_at(&actions)
                    .filter(|_| sent(&actions).is_none())
                    .map(|at| (at, id)),
            );
            for (at, id) in std::mem::take(&mut held) {
                let due = at <= rig.now;
                let actions = if due {
                    rig.fire_timer(at, id)
                } else {
                    Vec::new()
                };
                answers.extend(sent(&actions).map(|server| (id, server)));
                held.extend(
                    timer_at(&actions)
                        .or((!due).then_some(at))
                        .map(|at| (at, id)),
                );
            }
        }
        assert!(
            second > 0 || answers.len() <= 4,
            "{} of 50 went to cold servers at once",
            answers.len()
        );
        total += answers.len();
        for (id, server) in answers {
            rig.close(id, 0, server, Outcome::Ok, 20 * MS);
        }
        rig.now += 500 * MS;
    }
    assert!(
        total > 0,
        "nothing was ever sent to a fleet that started together"
    );
}

/// Of a hundred instances each owes a cold server less than one request in all the time that it is cold. If each waited
/// until it owed a whole one, the server would stand idle and the warm ones would bear its work.
#[test]
fn a_hundred_quiet_instances_together_use_a_cold_server_and_do_not_push_it_over() {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    (settings.group_size, settings.rules.overload_window) = (100, 2 * S);
    let start = 1_020 * S;
    let young = ServerEntry {
        started_at: Some(start),
        ..listed(0)
    };
    let warm: Vec<_> = (1..8).map(listed).collect();
    let (mut cold, mut all) = ([0; 4], [0; 4]);
    for seed in 0..100 {
        let mut rig = Rig::seeded(settings.clone(), seed, &warm);
        rig.cost_hint = Some(50 * MS);
        rig.stream(20, S, 10 * MS, |_| (0, 0));
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
            young,
        ])));
        // One request a second for 8 s: its part is one of eight, of which a cold server is to have less.
        for second in 0..8 {
            rig.now = start + second * S;
            let server = rig.serve(0, 10 * MS);
            all[second as usize / 2] += u32::from(server.is_some());
            cold[second as usize / 2] += u32::from(server == Some(ServerId(0)));
        }
    }
    let usual = all.map(|all| all / 8);
    assert!(
        cold[0] > 0 && cold.iter().sum::<u32>() >= usual[0] / 2,
        "{cold:?} of {usual:?} went to the cold server"
    );
    // Three times the fifth that it can do at its start would push it over.
    assert!(
        cold[0] * 5 < usual[0] * 3,
        "{cold:?} of {usual:?} went to the cold server"
    );
}
