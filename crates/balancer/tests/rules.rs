//! The four safety rules, checked through events and actions alone: no dropped request, no repeated effect, safe drain and
//! safe fail-back.

mod common;
use common::*;
use madderloom_balancer::*;

const KEYED: RetrySafety = RetrySafety::IdempotentWithKey {
    scope: DeduplicationScope::Zone,
    window: 6 * S,
};

#[test]
fn a_request_to_a_silent_server_gets_one_final_response_before_its_deadline() {
    for retry_safety in [RetrySafety::Idempotent, KEYED, RetrySafety::NonIdempotent] {
        let mut rig = Rig::new(settings(&[retry_safety]), &fleet(4));
        let start = rig.now;
        let (id, mut actions) = rig.request(0);
        let mut final_responses = 0;
        while let Some(at) = timer_at(&actions) {
            actions = rig.fire_timer(at, id);
            final_responses += u32::from(rejected(&actions)) + u32::from(failed(&actions));
            assert!(!(failed(&actions) && retry_safety == RetrySafety::Idempotent));
            assert!(
                !(rejected(&actions) && retry_safety != RetrySafety::Idempotent),
                "it may have been executed"
            );
        }
        assert_eq!(final_responses, 1);
        assert!(rig.now <= start + 1_200 * MS);
        let actions_after_end = rig.fire_timer(rig.now + S, id);
        assert!(actions_after_end.is_empty());
    }
}

#[test]
fn without_a_listed_server_a_request_is_queued_and_rejected_before_its_deadline() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &[]);
    let start = rig.now;
    let (id, mut actions) = rig.request(0);
    assert_eq!(sent(&actions), None);
    while let Some(at) = timer_at(&actions) {
        actions = rig.fire_timer(at, id);
    }
    assert!(
        rejected(&actions),
        "nothing was executed, so the rejection is correct"
    );
    assert!(rig.now < start + 1_200 * MS);
}

#[test]
fn a_queued_request_is_sent_when_the_server_list_arrives() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &[]);
    let (id, actions) = rig.request(0);
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
        4,
    ))));
    let at = timer_at(&actions).expect("a queued request has a timer");
    assert!(sent(&rig.fire_timer(at, id)).is_some());
}

/// A non-idempotent request was queued until a few milliseconds before its deadline and then sent: it was executed, but its
/// client received a failure.
#[test]
fn a_queued_non_idempotent_request_is_rejected_when_too_little_time_is_left_to_answer_it() {
    for (retry_safety, time_left, is_sent) in [
        (RetrySafety::NonIdempotent, 800 * MS, true),
        (RetrySafety::NonIdempotent, 100 * MS, false),
        (RetrySafety::NonIdempotent, 10 * MS, false),
        (RetrySafety::Idempotent, 100 * MS, true),
        (RetrySafety::Idempotent, 10 * MS, true),
    ] {
        let mut settings = settings(&[retry_safety]);
        settings.classes[0].late_weight_share = 1.0; // Otherwise no request is queued beyond its latency objective.
        let mut rig = Rig::new(settings, &[]);
        let (id, mut actions) = rig.request(0);
        let deadline = rig.now + 1_200 * MS;
        while let Some(at) = timer_at(&actions).filter(|at| *at < deadline - time_left) {
            actions = rig.fire_timer(at, id);
        }
        let rejected = actions
            .iter()
            .any(|action| matches!(action, Action::Reject { .. }));
        rig.now = deadline - time_left;
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
            4,
        ))));
        let late_actions = rig.fire_timer(deadline - time_left, id);
        assert_eq!(
            (sent(&late_actions).is_some(), rejected),
            (is_sent, !is_sent),
            "{retry_safety:?} with {time_left} us left: {late_actions:?}"
        );
    }
}

/// The initial estimate of the tail latency is half of the latency objective, which is longer than the whole time of these
/// requests.
#[test]
fn a_slow_tail_latency_estimate_rejects_no_request_on_arrival() {
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
fn a_request_whose_client_disconnected_is_cancelled_and_gets_no_response() {
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
fn a_non_idempotent_request_is_retried_only_if_it_was_not_executed() {
    for (outcome, is_retried) in [
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
        let retry_actions = rig.close(id, 0, server, outcome, MS);
        assert_eq!(sent(&retry_actions).is_some(), is_retried, "{outcome:?}");
        assert_eq!(failed(&retry_actions), !is_retried, "{outcome:?}");
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_in_its_scope_and_window() {
    for _ in 0..20 {
        let mut rig = Rig::new(settings(&[KEYED]), &fleet(8));
        let (id, actions) = rig.request(0);
        let first = sent(&actions).expect("sent");
        let retry_actions = rig.close(id, 0, first, Outcome::Error, MS);
        let second = sent(&retry_actions)
            .expect("servers of the scope discard duplicates, so a retry is safe");
        assert_eq!(
            first.0 % 2,
            second.0 % 2,
            "the retry was sent to another zone"
        );
    }
    let short_window = RetrySafety::IdempotentWithKey {
        scope: DeduplicationScope::Zone,
        window: 100 * MS,
    };
    let mut rig = Rig::new(settings(&[short_window]), &fleet(4));
    let (id, actions) = rig.request(0);
    rig.now += 150 * MS;
    let retry_actions = rig.close(
        id,
        0,
        sent(&actions).expect("sent"),
        Outcome::Error,
        150 * MS,
    );
    assert!(
        sent(&retry_actions).is_none() && failed(&retry_actions),
        "the scope no longer recognizes a duplicate of the first attempt"
    );
}

#[test]
fn a_slow_attempt_gets_no_second_attempt_in_parallel() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let (id, mut actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    while let Some(at) = timer_at(&actions) {
        actions = rig.fire_timer(at, id);
        assert_eq!(sent(&actions), None, "two attempts were in flight at once");
        if actions.iter().any(|a| matches!(a, Action::Cancel { .. })) {
            break;
        }
    }
    let retry_actions = rig.close(id, 0, server, Outcome::Cancelled, 300 * MS);
    assert!(sent(&retry_actions).is_none_or(|s| s != server));
}

#[test]
fn draining_servers_and_servers_that_have_left_get_no_new_requests() {
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
    let counts = rig.count_by_server(300, |_| 20 * MS);
    assert!(!counts.contains_key(&ServerId(1)) && !counts.contains_key(&ServerId(2)));
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&[
        listed(0),
    ])));
    let counts = rig.count_by_server(50, |_| 20 * MS);
    assert_eq!(
        counts.keys().collect::<Vec<_>>(),
        [&ServerId(0)],
        "a server that is missing from a full list has left"
    );
}

#[test]
fn a_warming_server_gets_at_most_its_slow_start_share() {
    // All instances may send at the same time, so each keeps to its own part of the budget, in steady traffic and in a burst.
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(400, |_| 20 * MS);
    let new_server = ServerEntry {
        started_at: Some(rig.now),
        ..listed(9)
    };
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
        new_server,
    ])));
    let mut sent_to_new_server = 0;
    let mut ids = Vec::new();
    for _ in 0..200 {
        let (id, actions) = rig.request(0);
        if let Some(server) = sent(&actions) {
            sent_to_new_server += u32::from(server == ServerId(9));
            ids.push((id, server));
        }
    }
    assert!(
        sent_to_new_server <= 1,
        "a burst of 200 sent {sent_to_new_server} to a server that has just started"
    );
    for (id, server) in ids {
        rig.close(id, 0, server, Outcome::Ok, 20 * MS);
    }
    let counts = rig.count_by_server(200, |_| 20 * MS);
    let new_server_count = counts.get(&ServerId(9)).copied().unwrap_or(0);
    assert!(
        new_server_count <= 200 / 5 / 2,
        "{new_server_count} of 200 went to the new server in the first seconds"
    );
}

#[test]
fn discovery_is_polled_again_after_a_failed_call() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let sets_discovery_timer = |actions: &[Action]| {
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
    assert!(
        sets_discovery_timer(&rig.actions),
        "discovery must be polled"
    );
    assert_eq!(
        rig.event(Event::TimerFired(Timer::Discovery)),
        [Action::PollDiscovery]
    );
    let failed = rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
        list_known_at: rig.now,
        waited: 0,
        connection_broken: false,
    }));
    assert!(sets_discovery_timer(&failed));
    let counts = rig.count_by_server(20, |_| 20 * MS);
    assert!(!counts.is_empty(), "the old list stays in use");
}

#[test]
fn a_fleet_that_is_all_warming_up_is_neither_overloaded_nor_left_idle() {
    let now = 1_000 * S;
    let new_server = |at| ServerEntry {
        started_at: Some(now),
        ..listed(at)
    };
    let mut rig = Rig::new(
        settings(&[RetrySafety::Idempotent]),
        &(0..4).map(new_server).collect::<Vec<_>>(),
    );
    assert_eq!(rig.now, now);
    let mut total_sent = 0;
    let mut queued = Vec::new();
    for second in 0..8 {
        let mut sent_requests = Vec::new();
        for _ in 0..50 {
            rig.now += 10 * MS;
            let (id, actions) = rig.request(0);
            sent_requests.extend(sent(&actions).map(|server| (id, server)));
            queued.extend(
                timer_at(&actions)
                    .filter(|_| sent(&actions).is_none())
                    .map(|at| (at, id)),
            );
            for (at, id) in std::mem::take(&mut queued) {
                let due = at <= rig.now;
                let actions = if due {
                    rig.fire_timer(at, id)
                } else {
                    Vec::new()
                };
                sent_requests.extend(sent(&actions).map(|server| (id, server)));
                queued.extend(
                    timer_at(&actions)
                        .or((!due).then_some(at))
                        .map(|at| (at, id)),
                );
            }
        }
        assert!(
            second > 0 || sent_requests.len() <= 4,
            "{} of 50 were sent to warming servers at once",
            sent_requests.len()
        );
        total_sent += sent_requests.len();
        for (id, server) in sent_requests {
            rig.close(id, 0, server, Outcome::Ok, 20 * MS);
        }
        rig.now += 500 * MS;
    }
    assert!(
        total_sent > 0,
        "nothing was sent to a fleet whose servers all started at once"
    );
}

/// The part of each of a hundred instances in the slow-start budget of a server is less than one request. If each instance
/// waited until its part is a whole request, the server would stay idle and the warm servers would carry its load.
#[test]
fn a_hundred_instances_with_little_traffic_use_a_warming_server_and_do_not_overload_it() {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    (settings.group_size, settings.rules.overload_window) = (100, 2 * S);
    let start = 1_020 * S;
    let new_server = ServerEntry {
        started_at: Some(start),
        ..listed(0)
    };
    let warm_servers: Vec<_> = (1..8).map(listed).collect();
    let (mut sent_to_new_server, mut all_requests) = ([0; 4], [0; 4]);
    for seed in 0..100 {
        let mut rig = Rig::seeded(settings.clone(), seed, &warm_servers);
        rig.cost_hint = Some(50 * MS);
        rig.stream(20, S, 10 * MS, |_| (0, 0));
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
            new_server,
        ])));
        // One request per second for 8 s: a warm server gets one in eight, a warming server fewer.
        for second in 0..8 {
            rig.now = start + second * S;
            let server = rig.serve(0, 10 * MS);
            all_requests[second as usize / 2] += u32::from(server.is_some());
            sent_to_new_server[second as usize / 2] += u32::from(server == Some(ServerId(0)));
        }
    }
    let warm_share = all_requests.map(|count| count / 8);
    assert!(
        sent_to_new_server[0] > 0 && sent_to_new_server.iter().sum::<u32>() >= warm_share[0] / 2,
        "{sent_to_new_server:?} of {warm_share:?} went to the warming server"
    );
    // Three times its initial capacity, which is a fifth, would make it collapse.
    assert!(
        sent_to_new_server[0] * 5 < warm_share[0] * 3,
        "{sent_to_new_server:?} of {warm_share:?} went to the warming server"
    );
}
