//! What the chassis gives all rivals alike.

use crate::rig::*;
use madderloom_balancer::*;

fn open(effect: RetrySafety, with: &[(&str, f64)]) -> (Rig, RequestId, ServerId) {
    let mut rig = Rig::new("random", with, settings(&[effect]), 8);
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    (rig, id, server)
}

#[test]
fn requests_are_held_until_a_list_comes_and_refused_where_it_is_empty() {
    let mut rig = Rig::bare("random", &[], settings(&[RetrySafety::NonIdempotent]), 1);
    let held: Vec<RequestId> = (0..3).map(|_| rig.request(0).0).collect();
    let sent_to: Vec<RequestId> = rig
        .list(&[listed(1)])
        .into_iter()
        .filter_map(|a| {
            if let Action::Send { request, .. } = a {
                Some(request)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(sent_to, held, "in the order in which they came");
    rig.list(&[]);
    assert!(refused(&rig.request(0).1), "no healthy upstream");
    let draining = ServerEntry {
        state: ServerState::Draining,
        ..listed(1)
    };
    rig.list(&[draining]);
    assert!(refused(&rig.request(0).1));
}

#[test]
fn what_no_list_ever_comes_for_is_refused_a_tick_before_its_time_is_up() {
    let mut rig = Rig::bare("random", &[], settings(&[RetrySafety::NonIdempotent]), 1);
    let start = rig.now;
    let (id, actions) = rig.request(0);
    assert!(refused(&rig.wait(id, &actions)));
    assert_eq!(rig.now, start + 1_195 * MS);
    assert!(rig.list(&[listed(1)]).is_empty(), "it is over");
}

#[test]
fn the_list_is_asked_for_at_first_and_after_each_failure_and_the_old_one_serves_on() {
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
    let mut rig = Rig::bare("random", &[], settings(&[RetrySafety::Idempotent]), 1);
    assert!(ask(&rig.list(&[listed(1)])));
    assert_eq!(
        rig.event(Event::TimerFired(Timer::Discovery)),
        [Action::PollDiscovery]
    );
    assert!(ask(&rig.event(Event::DiscoveryUpdated(
        DiscoveryUpdate::CallFailed {
            list_known_at: 0,
            waited: Micros::MAX,
            connection_broken: false
        }
    ))));
    assert!(
        !ask(
            &rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                list_known_at: 0,
                waited: Micros::MAX,
                connection_broken: false
            }))
        ),
        "it is about to ask as it is"
    );
    assert!(sent(&rig.request(0).1).is_some());
}

#[test]
fn the_waits_between_calls_for_the_list_double_until_news_comes() {
    let longest = |failures: u32, news: bool| {
        let wait = |seed| {
            let mut rig = Rig::bare("random", &[], settings(&[RetrySafety::Idempotent]), seed);
            rig.request(0);
            for _ in 0..failures {
                rig.event(Event::TimerFired(Timer::Discovery));
                rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                    list_known_at: 0,
                    waited: Micros::MAX,
                    connection_broken: false,
                }));
            }
            rig.event(Event::TimerFired(Timer::Discovery));
            if news {
                rig.list(&[listed(1)]);
            }
            let asked = rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                list_known_at: 0,
                waited: Micros::MAX,
                connection_broken: false,
            }));
            let at = asked.iter().find_map(|a| match a {
                Action::SetTimer {
                    at,
                    timer: Timer::Discovery,
                } => Some(*at - rig.now),
                _ => None,
            });
            at.expect("asked again")
        };
        (0..40).map(wait).max().unwrap_or(0)
    };
    assert!(longest(0, true) <= 500 * MS);
    assert!((501 * MS..=S).contains(&longest(0, false)));
    assert!((2_001 * MS..=4 * S).contains(&longest(9, false)));
    assert!(longest(9, true) <= 500 * MS);
}

#[test]
fn a_failed_attempt_is_followed_by_one_elsewhere_after_a_wait_that_doubles() {
    let mut longest = 0;
    for seed in 0..20 {
        let mut rig = Rig::bare("random", &[], settings(&[RetrySafety::Idempotent]), seed);
        rig.list(&(0..3).map(listed).collect::<Vec<_>>());
        let (id, mut actions) = rig.request(0);
        let mut tried = Vec::new();
        for most in [25, 50] {
            let server = sent(&actions).expect("sent");
            tried.push(server);
            let before = rig.now;
            let waiting = rig.close(id, tried.len() as u32 - 1, server, Outcome::Error);
            assert!(sent(&waiting).is_none());
            actions = rig.wait(id, &waiting);
            assert!(rig.now - before <= most * MS);
            longest = longest.max(rig.now - before);
        }
        tried.extend(sent(&actions));
        tried.sort_unstable();
        assert_eq!(tried, [ServerId(0), ServerId(1), ServerId(2)], "each once");
        let waiting = rig.close(id, 2, sent(&actions).expect("sent"), Outcome::Error);
        assert!(
            sent(&rig.wait(id, &waiting)).is_some(),
            "all were tried, so any will do"
        );
    }
    assert!(longest > 25 * MS, "{longest}");
}

#[test]
fn a_wait_that_would_outlast_the_time_ends_the_request_at_once() {
    for seed in 0..50 {
        let with = [("backoff_ms", 2_000.0), ("backoff_most_ms", 2_000.0)];
        let mut rig = Rig::bare("random", &with, settings(&[RetrySafety::Idempotent]), seed);
        rig.list(&[listed(0), listed(1)]);
        let (id, actions) = rig.request(0);
        let give_up = rig.now + 1_195 * MS;
        rig.now += 600 * MS;
        let next = rig.close(id, 0, sent(&actions).expect("sent"), Outcome::Error);
        assert!(
            refused(&next) || sent(&rig.wait(id, &next)).is_some() && rig.now < give_up,
            "{next:?}"
        );
    }
}

#[test]
fn an_answer_takes_the_attempt_off_the_books_of_its_server() {
    let mut rig = Rig::new("least_of_two", &[], settings(&[RetrySafety::Idempotent]), 2);
    let busy = sent(&rig.request(0).1);
    for _ in 0..20 {
        let (id, actions) = rig.request(0);
        assert_ne!(sent(&actions), busy);
        rig.close(id, 0, sent(&actions).expect("sent"), Outcome::Ok);
    }
}

#[test]
fn what_was_measured_of_a_server_goes_with_its_process() {
    let mut rig = Rig::new(
        "envoy_outlier",
        &[("backoff_ms", 0.0)],
        settings(&[RetrySafety::NonIdempotent]),
        2,
    );
    let bad = |rig: &mut Rig| {
        let mut failures = 0;
        for _ in 0..100 {
            let (id, actions) = rig.request(0);
            let server = sent(&actions).expect("sent");
            failures += u32::from(server == ServerId(0));
            rig.close(
                id,
                0,
                server,
                if server == ServerId(0) {
                    Outcome::Error
                } else {
                    Outcome::Ok
                },
            );
        }
        failures
    };
    assert_eq!(bad(&mut rig), 5);
    let again = ServerEntry {
        started_at: Some(rig.now),
        ..listed(0)
    };
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
        again,
    ])));
    assert_eq!(bad(&mut rig), 5, "a clean slate for a new process");
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
        again,
    ])));
    assert_eq!(bad(&mut rig), 0, "told again, it is still the same one");
}

#[test]
fn a_fifth_of_open_requests_may_be_on_a_retry_but_three_always() {
    for (requests, expected) in [(5, 3), (40, 8)] {
        let mut rig = Rig::new(
            "random",
            &[("backoff_ms", 0.0)],
            settings(&[RetrySafety::Idempotent]),
            8,
        );
        let opened: Vec<(RequestId, Vec<Action>)> = (0..requests).map(|_| rig.request(0)).collect();
        let mut retried = 0;
        for (id, actions) in &opened {
            let next = rig.close(*id, 0, sent(actions).expect("sent"), Outcome::Full);
            retried += u32::from(sent(&next).is_some());
        }
        assert!(
            retried >= 3 && retried <= expected,
            "{retried} of {requests}"
        );
    }
}

#[test]
fn what_is_over_counts_for_no_budget() {
    let mut rig = Rig::new(
        "random",
        &[("backoff_ms", 0.0)],
        settings(&[RetrySafety::Idempotent]),
        8,
    );
    for _ in 0..200 {
        let (id, actions) = rig.request(0);
        rig.close(id, 0, sent(&actions).expect("sent"), Outcome::Ok);
    }
    let opened: Vec<(RequestId, Vec<Action>)> = (0..5).map(|_| rig.request(0)).collect();
    let retried = opened.iter().filter(|(id, actions)| {
        sent(&rig.close(*id, 0, sent(actions).expect("sent"), Outcome::Full)).is_some()
    });
    assert_eq!(retried.count(), 3);
}

#[test]
fn a_retry_that_has_ended_gives_its_place_back() {
    let with = [
        ("backoff_ms", 0.0),
        ("retry_floor", 1.0),
        ("retry_share", 0.0),
    ];
    let mut rig = Rig::new("random", &with, settings(&[RetrySafety::Idempotent]), 8);
    for _ in 0..50 {
        let (id, actions) = rig.request(0);
        let next = rig.close(id, 0, sent(&actions).expect("sent"), Outcome::Full);
        rig.close(id, 1, sent(&next).expect("the place is free"), Outcome::Ok);
        let (id, actions) = rig.request(0);
        let next = rig.close(id, 0, sent(&actions).expect("sent"), Outcome::Full);
        assert!(sent(&next).is_some());
        rig.event(Event::ClientDisconnected(id));
        rig.close(id, 1, sent(&next).expect("sent"), Outcome::Cancelled);
    }
}

#[test]
fn an_unsafe_request_goes_again_only_after_proof_that_it_never_ran() {
    for (outcome, again) in [
        (Outcome::Full, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Moot, true),
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
    ] {
        let (mut rig, id, server) = open(RetrySafety::NonIdempotent, &[("backoff_ms", 0.0)]);
        let next = rig.close(id, 0, server, outcome);
        assert_eq!(sent(&next).is_some(), again, "{outcome:?}");
        assert_eq!(failed(&next), !again, "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_keeps_to_its_group_and_window() {
    let keyed = |scope, window| RetrySafety::IdempotentWithKey { scope, window };
    for _ in 0..20 {
        let (mut rig, id, server) = open(
            keyed(DeduplicationScope::Zone, 6 * S),
            &[("backoff_ms", 0.0)],
        );
        let next = rig.close(id, 0, server, Outcome::Error);
        assert_eq!(
            sent(&next).expect("sent").0 % 2,
            server.0 % 2,
            "the repeat left its zone"
        );
    }
    let (mut rig, id, server) = open(
        keyed(DeduplicationScope::All, 100 * MS),
        &[("backoff_ms", 0.0)],
    );
    rig.now += 95 * MS;
    assert!(
        failed(&rig.close(id, 0, server, Outcome::Error)),
        "they will have forgotten it within a tick"
    );
    let (mut rig, id, server) = open(
        keyed(DeduplicationScope::Cell, 6 * S),
        &[("backoff_ms", 0.0)],
    );
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&[
        listed(server.0 + 1),
    ])));
    assert!(
        failed(&rig.close(id, 0, server, Outcome::Error)),
        "its cell has no server left"
    );
}

#[test]
fn a_silent_server_costs_one_answer_in_time_and_the_attempt_is_called_off_where_that_is_allowed() {
    for (effect, cancel) in [
        (RetrySafety::Idempotent, true),
        (RetrySafety::Idempotent, false),
        (RetrySafety::NonIdempotent, true),
    ] {
        let mut site = settings(&[effect]);
        site.limits.cancel = cancel;
        let mut rig = Rig::new("random", &[], site, 4);
        let start = rig.now;
        let (id, actions) = rig.request(0);
        let Some(Action::Send { timeout_at, .. }) = actions.first() else {
            panic!("{actions:?}")
        };
        assert_eq!(*timeout_at, start + 1_195 * MS);
        let last = rig.wait(id, &actions);
        assert_eq!(
            (refused(&last), failed(&last)),
            (
                effect == RetrySafety::Idempotent,
                effect != RetrySafety::Idempotent
            )
        );
        assert_eq!(
            last.contains(&Action::Cancel {
                request: id,
                attempt: 0
            }),
            cancel
        );
        assert!(
            rig.event(Event::TimerFired(Timer::Request(id))).is_empty(),
            "one answer"
        );
    }
}

#[test]
fn a_part_of_the_time_for_each_try_leaves_room_for_the_next() {
    let (mut rig, id, server) = open(
        RetrySafety::Idempotent,
        &[("try_share", 0.5), ("backoff_ms", 0.0)],
    );
    rig.now += 600 * MS;
    let next = rig.close(id, 0, server, Outcome::Timeout);
    let Some(Action::Send { timeout_at, .. }) = next.first() else {
        panic!("{next:?}")
    };
    assert_eq!(*timeout_at, rig.now + 595 * MS / 2);
}

#[test]
fn a_client_that_left_and_a_stream_that_flows_are_owed_nothing() {
    let (mut rig, id, server) = open(RetrySafety::Idempotent, &[]);
    assert_eq!(
        rig.event(Event::ClientDisconnected(id)),
        [Action::Cancel {
            request: id,
            attempt: 0
        }]
    );
    assert!(rig.close(id, 0, server, Outcome::Error).is_empty());
    let (mut rig, id, server) = open(RetrySafety::Idempotent, &[]);
    assert!(
        rig.event(Event::ResponseStreamStarted {
            request: id,
            attempt: 0
        })
        .is_empty()
    );
    rig.now += 10 * S;
    assert!(
        rig.event(Event::TimerFired(Timer::Request(id))).is_empty(),
        "it has no deadline now"
    );
    assert!(rig.close(id, 0, server, Outcome::Reset).is_empty());
}

#[test]
fn refusals_say_when_to_come_back_where_the_site_does() {
    for (allowed, figure, advice) in [
        (true, 1.0, Some(2 * S)),
        (true, 0.0, None),
        (false, 1.0, None),
    ] {
        let mut site = settings(&[RetrySafety::Idempotent]);
        site.limits.retry_after = allowed;
        let mut rig = Rig::new("random", &[("retry_after", figure)], site, 0);
        let (request, actions) = rig.request(0);
        assert_eq!(
            actions,
            [Action::Reject {
                request,
                retry_after: advice
            }]
        );
    }
}

#[test]
fn a_subset_is_kept_to_and_refilled_and_differs_between_instances() {
    let used = |rig: &mut Rig| {
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..200 {
            let (id, actions) = rig.request(0);
            let server = sent(&actions).expect("sent");
            used.insert(server);
            rig.close(id, 0, server, Outcome::Ok);
        }
        used
    };
    let mut all = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut rig = Rig::bare(
            "random",
            &[("subset", 4.0)],
            settings(&[RetrySafety::Idempotent]),
            seed,
        );
        rig.list(&(0..20).map(listed).collect::<Vec<_>>());
        let first = used(&mut rig);
        assert_eq!(first.len(), 4);
        let gone = *first.first().expect("four");
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
            ServerEntry {
                state: ServerState::Draining,
                ..listed(gone.0)
            },
        ])));
        let second = used(&mut rig);
        assert!(second.len() == 4 && !second.contains(&gone));
        assert_eq!(first.intersection(&second).count(), 3, "the others stay");
        all.extend(first);
    }
    assert_eq!(all.len(), 20, "together the instances use all");
}
