//! Selection of servers, admission, ejection, probes and retries, and the failures that their special cases prevent.

mod common;
use common::*;
use madderloom_balancer::*;

#[test]
fn traffic_shares_follow_the_measured_speed() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let elapsed = |s: ServerId| if s.0 == 0 { 80 * MS } else { 20 * MS };
    rig.count_by_server(600, elapsed);
    let counts = rig.count_by_server(600, elapsed);
    let slow = counts.get(&ServerId(0)).copied().unwrap_or(0);
    assert!(
        slow > 0 && slow < 90,
        "a server four times slower got {slow} of 600"
    );
}

#[test]
fn the_same_key_keeps_its_server_while_nothing_changes() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(6));
    let mut servers = std::collections::BTreeSet::new();
    for id in 1_000..1_020 {
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: Some(42),
            time_left: S,
            cost_hint: None,
            client_retry: false,
        };
        let server = sent(&rig.event(Event::RequestReceived(new))).expect("sent");
        rig.close(id, 0, server, Outcome::Ok, 20 * MS);
        servers.insert(server);
    }
    assert_eq!(servers.len(), 1);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(5));
        rig.count_by_server(200, |s| (10 + s.0) * MS);
        rig.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn a_hung_server_gets_no_more_requests_after_two_silent_seconds() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(300, |_| 20 * MS);
    let mut hung_requests = Vec::new();
    let mut sent_after_silence = 0;
    for round in 0..400 {
        let (id, actions) = rig.request(0);
        let server = sent(&actions).expect("sent");
        if server == ServerId(2) {
            hung_requests.push(id);
            sent_after_silence += u32::from(round >= 100);
        } else {
            rig.now += 20 * MS;
            rig.close(id, 0, server, Outcome::Ok, 20 * MS);
        }
    }
    assert!(
        !hung_requests.is_empty() && sent_after_silence == 0,
        "{sent_after_silence} requests went to a server silent for two seconds"
    );
}

#[test]
fn a_server_that_fails_fast_does_not_attract_traffic() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(200, |_| 20 * MS);
    let mut failed_attempts = 0;
    for _ in 0..200 {
        let (id, mut actions) = rig.request(0);
        for attempt in 0..3 {
            let Some(server) = sent(&actions) else { break };
            rig.now += MS;
            if server != ServerId(3) {
                rig.now += 19 * MS;
                rig.close(id, attempt, server, Outcome::Ok, 20 * MS);
                break;
            }
            failed_attempts += 1;
            actions = rig.close(id, attempt, server, Outcome::Error, MS);
        }
    }
    assert!(
        failed_attempts < 15,
        "{failed_attempts} attempts at a server that only fails"
    );
}

#[test]
fn long_requests_have_a_lane_of_their_own() {
    let mut settings = settings(&[RetrySafety::Idempotent, RetrySafety::NonIdempotent]);
    settings.classes[1].latency_objective = 1_200 * MS;
    let mut rig = Rig::new(settings, &fleet(8));
    let (mut short, mut long) = (
        std::collections::BTreeSet::new(),
        std::collections::BTreeSet::new(),
    );
    for round in 0..1_000 {
        let (kind, elapsed) = if round % 10 == 0 {
            (1, 900 * MS)
        } else {
            (0, 50 * MS)
        };
        if let Some(server) = rig.serve(kind, elapsed).filter(|_| round >= 900) {
            if kind == 1 {
                long.insert(server)
            } else {
                short.insert(server)
            };
        }
    }
    assert!(!long.is_empty() && !short.is_empty());
    assert!(
        short.is_disjoint(&long),
        "short requests are queued behind long ones: {short:?} {long:?}"
    );
}

#[test]
fn overload_is_rejected_before_it_is_queued() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(100, |_| 170 * MS);
    let rejections = (0..100).filter(|_| rejected(&rig.request(0).1)).count();
    let logged = rig
        .actions
        .iter()
        .filter(|a| **a == Action::Log(LogEvent::ClassOverloaded(0)))
        .count();
    assert_eq!(logged, 1, "one log line for the whole overload");
    assert!(
        rejections > 80,
        "only {rejections} of a burst of 100 were rejected although responses are slow"
    );
}

#[test]
fn a_start_is_not_treated_as_overload() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let rejections = rig.stream(200, 10 * MS, 150 * MS, |_| (0, 0));
    assert!(
        !rejections.contains(&true),
        "response times are below half of the latency objective and throughput equals arrivals"
    );
}

#[test]
fn overload_rejects_the_class_with_the_lower_priority_weight_first() {
    let mut settings = settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]);
    settings.classes[0].priority_weight = 5.0;
    let mut rig = Rig::new(settings, &fleet(4));
    let rejections = rig.stream(1_000, 10 * MS, 170 * MS, |i| (i as u32 % 2, 0));
    let rejected_count = |class| {
        rejections
            .iter()
            .skip(class)
            .step_by(2)
            .filter(|is_rejected| **is_rejected)
            .count()
    };
    assert!(
        rejected_count(0) < 25 && rejected_count(1) > 100,
        "rejected {} of 500 and {} of 500",
        rejected_count(0),
        rejected_count(1)
    );
}

/// With a latency objective a little over twice the work, a third of the lower class was rejected although the servers were
/// idle.
#[test]
fn work_that_takes_much_of_the_latency_objective_is_not_queueing_but_twice_that_time_is() {
    let rejected_count = |elapsed| {
        let mut settings = settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]);
        settings.classes[0].priority_weight = 3.0;
        let mut rig = Rig::new(settings, &fleet(8));
        rig.cost_hint = Some(150 * MS);
        rig.stream(1_000, 10 * MS, elapsed, |i| (i as u32 % 2, 0))
            .into_iter()
            .filter(|is_rejected| *is_rejected)
            .count()
    };
    let (rejected_without_queue, rejected_when_queued) =
        (rejected_count(150 * MS), rejected_count(300 * MS));
    assert!(
        rejected_without_queue < 10 && rejected_when_queued > 200,
        "rejected {rejected_without_queue} of 1000 at the hinted work, {rejected_when_queued} at twice that"
    );
}

/// Requests without a cost hint are rejected as well: their slow responses may be due to queueing.
#[test]
fn without_cost_hints_slow_responses_count_as_queueing() {
    let mut rig = Rig::new(
        settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]),
        &fleet(8),
    );
    let rejections = rig.stream(1_000, 10 * MS, 300 * MS, |i| (i as u32 % 2, 0));
    let rejected_count = rejections
        .iter()
        .filter(|is_rejected| **is_rejected)
        .count();
    assert!(rejected_count > 200, "{rejected_count} of 1000");
}

#[test]
fn a_tenant_slightly_over_its_quota_has_few_rejections() {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    settings.tenants = vec![Tenant { quota: 100.0 }, Tenant { quota: 100.0 }];
    let rejected_count = |requests_in_ten: usize, elapsed| {
        let mut rig = Rig::new(settings.clone(), &fleet(4));
        let rejections = rig.stream(1_000, 10 * MS, elapsed, |i| {
            (0, u32::from(i * 7 % 10 >= requests_in_ten))
        });
        let is_from_tenant =
            |tenant| move |i: &usize| (i * 7 % 10 >= requests_in_ten) == (tenant == 1);
        [0, 1].map(|t| {
            (0..1_000)
                .filter(is_from_tenant(t))
                .filter(|i| rejections[*i])
                .count()
        })
    };
    let (slightly_over, far_over) = (rejected_count(6, 140 * MS), rejected_count(9, 190 * MS));
    assert!(
        slightly_over[0] < 60,
        "{slightly_over:?} rejected of 600 and 400"
    );
    assert!(
        far_over[0] > 120 && far_over[1] < 20,
        "{far_over:?} rejected of 900 and 100"
    );
}

#[test]
fn a_burst_is_rejected_before_the_first_slow_response() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let rejections = rig.stream(300, 10 * MS, 80 * MS, |_| (0, 0));
    assert!(!rejections.contains(&true));
    let admitted = (0..200).filter(|_| !rejected(&rig.request(0).1)).count();
    assert!(
        (12..40).contains(&admitted),
        "{admitted} admitted at once, where 40 are served within the latency objective"
    );
}

/// Sends batches of twenty requests; each attempt ends after 140 ms with the outcome that `outcome_of` returns for its index.
/// Returns how many requests were rejected on arrival.
fn in_batches(rig: &mut Rig, batches: usize, outcome_of: impl Fn(usize) -> Outcome) -> usize {
    let mut rejections = 0;
    for _ in 0..batches {
        let batch: Vec<_> = (0..20).map(|_| rig.request(0)).collect();
        rig.now += 140 * MS;
        for (index, (id, actions)) in batch.iter().enumerate() {
            rejections += usize::from(rejected(actions));
            if let Some(server) = sent(actions) {
                rig.close(*id, 0, server, outcome_of(index), 140 * MS);
            }
        }
    }
    rejections
}

/// Each failure counted as a response after the whole latency objective, so that requests were rejected although the servers,
/// which broke a part of their connections, were idle.
#[test]
fn failures_do_not_count_as_queueing() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(4));
    let outcome_of = |index| {
        if index % 4 == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        }
    };
    assert_eq!(
        in_batches(&mut rig, 40, outcome_of),
        0,
        "rejected although nothing is queued"
    );
}

/// The latency ratio was a mean over ten responses: at hundreds of responses per second, a pause of one server made admission
/// reject requests.
#[test]
fn some_late_responses_among_many_do_not_count_as_overload() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(4));
    in_batches(&mut rig, 40, |_| Outcome::Ok);
    in_batches(&mut rig, 1, |index| {
        if index < 4 {
            Outcome::Ok
        } else {
            Outcome::Timeout
        }
    });
    assert_eq!(
        in_batches(&mut rig, 1, |_| Outcome::Ok),
        0,
        "rejected after one short pause"
    );
}

/// A heavy request went to a slow server as readily as light ones did, and its response missed the latency objective.
#[test]
fn if_the_first_server_would_miss_the_latency_objective_the_fastest_candidate_is_selected() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(4));
    let slow = ServerId(0);
    let mut ids = 10_000..;
    let mut count_at_slow = |work: Micros, times: usize| {
        let sent_to_slow = ids.by_ref().take(times).filter(|id| {
            let new = NewRequest {
                id: *id,
                class: 0,
                tenant: 0,
                key: None,
                time_left: 1_200 * MS,
                cost_hint: Some(work),
                client_retry: false,
            };
            let server = sent(&rig.event(Event::RequestReceived(new))).expect("it is sent");
            let elapsed = if server == slow { 4 * work } else { work };
            rig.now += elapsed;
            rig.close(*id, 0, server, Outcome::Ok, elapsed);
            server == slow
        });
        sent_to_slow.count()
    };
    assert!(
        count_at_slow(20 * MS, 600) > 20,
        "the slow server has its share of the requests that it can serve in time"
    );
    let late = count_at_slow(180 * MS, 300);
    assert!(
        late < 8,
        "{late} of 300 went to the slow server and missed the latency objective"
    );
}

#[test]
fn a_slow_request_gets_no_second_attempt_while_its_server_answers_others() {
    let mut rig = Rig::new(
        settings(&[RetrySafety::Idempotent]),
        &[listed(0), listed(1)],
    );
    rig.count_by_server(100, |_| 20 * MS);
    let (slow, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    let mut at = timer_at(&actions);
    for _ in 0..12 {
        let (id, actions) = rig.request(0);
        if let Some(other) = sent(&actions) {
            rig.now += 20 * MS;
            rig.close(id, 0, other, Outcome::Ok, 20 * MS);
        }
        if at.is_some_and(|at| at <= rig.now) {
            let answered = rig.request(0);
            if let Some(same) = sent(&answered.1).filter(|s| *s == server) {
                rig.close(answered.0, 0, same, Outcome::Ok, 20 * MS);
                let actions = rig.fire_timer(rig.now, slow);
                assert_eq!(
                    sent(&actions),
                    None,
                    "a second attempt of a long request takes as long"
                );
            }
            at = Some(rig.now + 20 * MS);
        }
    }
}

#[test]
fn a_client_retry_past_the_latency_objective_is_rejected() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let mut rejects = |id, time_left, client_retry| {
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: None,
            time_left,
            cost_hint: None,
            client_retry,
        };
        rejected(&rig.event(Event::RequestReceived(new)))
    };
    assert!(!rejects(1, 900 * MS, false));
    assert!(!rejects(2, 900 * MS, true), "its age is not known");
    assert!(
        !rejects(3, 850 * MS, true),
        "350 ms old, the latency objective is 400 ms"
    );
    assert!(
        rejects(4, 700 * MS, true),
        "500 ms old: a response has no value any more"
    );
    assert!(
        !rejects(5, 700 * MS, false),
        "a first try with a short deadline is served"
    );
}

#[test]
fn occasional_errors_shrink_the_region_of_a_server() {
    // Too few errors in a row for an ejection, and so fast that their response times alone would hardly count.
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let (mut late_attempts, mut attempts) = (0, 0);
    for round in 0..1_200 {
        let (id, actions) = rig.request(0);
        let Some(server) = sent(&actions) else {
            continue;
        };
        let fails = server == ServerId(3) && attempts % 3 != 0;
        rig.now += if fails { MS } else { 40 * MS };
        if server == ServerId(3) {
            attempts += 1;
            late_attempts += u32::from(round >= 600);
        }
        if fails {
            let retry = rig.close(id, 0, server, Outcome::Error, MS);
            if let Some(other) = sent(&retry) {
                rig.now += 40 * MS;
                rig.close(id, 1, other, Outcome::Ok, 40 * MS);
            }
        } else {
            rig.close(id, 0, server, Outcome::Ok, 40 * MS);
        }
    }
    assert!(
        late_attempts < 110,
        "{late_attempts} of 600 attempts; an equal share is 150"
    );
}

/// Eight servers, and a second class with a latency objective for long requests.
fn short_and_long() -> Rig {
    let mut settings = settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]);
    settings.classes[1] = Class {
        latency_objective: 2 * S,
        deadline: 4 * S,
        ..class(RetrySafety::Idempotent)
    };
    Rig::new(settings, &fleet(8))
}

#[test]
fn a_long_class_keeps_its_lane_while_its_requests_are_rejected() {
    // Most of the arriving work is long, and most of it is rejected because long responses are slow. If only admitted
    // work counted, the long class would lose servers for that and have more requests rejected.
    let mut rig = short_and_long();
    let mut servers_used = std::collections::BTreeSet::new();
    let mut rejections = 0;
    for round in 0..160 {
        let long: Vec<_> = (0..12).map(|_| rig.request(1)).collect();
        rejections += long.iter().filter(|(_, actions)| rejected(actions)).count();
        for _ in 0..60 {
            rig.serve(0, 100 * MS);
        }
        for (id, server) in long
            .iter()
            .filter_map(|(id, actions)| Some((*id, sent(actions)?)))
        {
            rig.close(id, 0, server, Outcome::Ok, 1_900 * MS);
            servers_used.extend((round >= 40).then_some(server));
        }
    }
    assert!(rejections > 960, "{rejections} of 1920 rejected");
    assert!(
        servers_used.len() >= 4,
        "{servers_used:?} of 8 for four fifths of the work"
    );
}

#[test]
fn failing_servers_in_the_lane_of_long_requests_are_replaced() {
    let mut rig = short_and_long();
    let mut lane_servers = std::collections::BTreeSet::new();
    for round in 0..100 {
        let server = rig.serve(1, 800 * MS);
        lane_servers.extend(server.filter(|_| round >= 50));
        for _ in 0..40 {
            rig.serve(0, 20 * MS);
        }
    }
    assert!(
        lane_servers.len() > 1 && lane_servers.len() < 6,
        "{lane_servers:?}"
    );
    let (mut failed, mut served_elsewhere) = (0, 0);
    for _ in 0..40 {
        let (id, mut actions) = rig.request(1);
        for attempt in 0..4 {
            let Some(server) = sent(&actions) else { break };
            rig.now += 20 * MS;
            if !lane_servers.contains(&server) {
                served_elsewhere += 1;
                rig.now += 800 * MS;
                rig.close(id, attempt, server, Outcome::Ok, 800 * MS);
                break;
            }
            failed += 1;
            actions = rig.close(id, attempt, server, Outcome::ConnectFailed, 20 * MS);
        }
        for _ in 0..40 {
            rig.serve(0, 20 * MS);
        }
    }
    assert!(
        served_elsewhere > 20,
        "{served_elsewhere} of 40 long requests reached a working server, {failed} attempts failed"
    );
}

/// One of a hundred instances that may probe eight servers at this price.
fn one_of_many_probing_instances(price: f64) -> Rig {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    (
        settings.limits.probes,
        settings.group_size,
        settings.prices.probe,
    ) = (true, 100, price);
    Rig::new(settings, &fleet(8))
}

#[test]
fn one_of_many_instances_probes_first_and_selects_the_server_with_the_fewest_requests() {
    let mut rig = one_of_many_probing_instances(0.0);
    let (id, actions) = rig.request(0);
    let probed = probed_servers(&actions);
    assert!(probed.len() > 1 && sent(&actions).is_none(), "{actions:?}");
    for (at, server) in probed.iter().enumerate() {
        let in_flight = if at == 1 { 2.0 } else { 9.0 };
        rig.event(Event::ProbeCompleted(
            *server,
            Some(LoadReport {
                in_flight,
                errors_per_second: 0.0,
            }),
        ));
    }
    let at = timer_at(&actions).expect("queued until the probes are answered");
    assert_eq!(sent(&rig.fire_timer(at, id)), Some(probed[1]));
}

#[test]
fn neither_a_failing_server_with_a_short_queue_nor_one_that_answers_no_probe_is_selected() {
    let mut rig = one_of_many_probing_instances(0.0);
    let (id, actions) = rig.request(0);
    let probed = probed_servers(&actions);
    rig.event(Event::ProbeCompleted(
        probed[0],
        Some(LoadReport {
            in_flight: 0.0,
            errors_per_second: 30.0,
        }),
    ));
    rig.event(Event::ProbeCompleted(probed[1], None));
    for server in &probed[2..] {
        rig.event(Event::ProbeCompleted(
            *server,
            Some(LoadReport {
                in_flight: 5.0,
                errors_per_second: 0.0,
            }),
        ));
    }
    let at = timer_at(&actions).expect("queued until the probes are answered");
    let server = sent(&rig.fire_timer(at, id)).expect("sent");
    assert!(probed[2..].contains(&server), "{server:?} of {probed:?}");
}

#[test]
fn without_probes_an_instance_with_little_traffic_uses_few_servers_and_a_busy_one_more() {
    let servers_used = |gap: Micros| {
        let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(200));
        rig.stream(400, gap, 20 * MS, |_| (0, 0));
        let sends = rig.actions.iter().filter_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        sends.collect::<std::collections::BTreeSet<_>>().len()
    };
    let (quiet, busy) = (servers_used(1_000 * MS), servers_used(10 * MS));
    assert!(quiet <= 8, "{quiet} servers at one request per second");
    assert!(busy > 40, "{busy} servers at a hundred requests per second");
}

#[test]
fn new_servers_of_a_machine_kind_measured_as_slow_get_fewer_requests() {
    let kinds = |servers: std::ops::Range<u64>| -> Vec<ServerEntry> {
        servers
            .map(|n| ServerEntry {
                kind: (n % 2) as u32,
                ..listed(n)
            })
            .collect()
    };
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &kinds(0..4));
    rig.count_by_server(
        200,
        |server| if server.0 % 2 == 0 { 20 * MS } else { 100 * MS },
    );
    // Other servers of the same kinds are added; from now on all have the same response time.
    rig.now += S;
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(
        &kinds(4..20),
    )));
    let count = rig.count_by_server(60, |_| 20 * MS);
    let new = |odd: u64| -> u32 {
        count
            .iter()
            .filter(|(s, _)| s.0 >= 4 && s.0 % 2 == odd)
            .map(|(_, n)| *n)
            .sum()
    };
    assert!(
        new(0) > 2 * new(1),
        "{} of the fast kind, {} of the slow",
        new(0),
        new(1)
    );
}

#[test]
fn an_instance_with_little_traffic_does_not_reject_a_small_tenant_for_one_request() {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    settings.tenants = vec![Tenant { quota: 95.0 }, Tenant { quota: 5.0 }];
    let mut rig = Rig::new(settings, &fleet(8));
    // Some requests of the small tenant in a row exceed its share of the traffic seen here, which is too little to be
    // significant.
    let rejections = rig.stream(46, 250 * MS, 200 * MS, |i| (0, u32::from(i >= 40)));
    assert_eq!(rejections[40..], [false; 6]);
}

#[test]
fn with_responses_at_the_latency_objective_even_an_idle_instance_rejects_some() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(8));
    let rejections = rig.stream(100, 700 * MS, 390 * MS, |_| (0, 0));
    let rejected = rejections[20..]
        .iter()
        .filter(|is_rejected| **is_rejected)
        .count();
    assert!(
        (10..70).contains(&rejected),
        "{rejected} of 80: one request in flight at each of many instances overloads the fleet"
    );
}

#[test]
fn a_heavy_request_avoids_servers_that_are_too_slow_for_it() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(200, |server| if server.0 == 0 { 20 * MS } else { 60 * MS });
    let send_heavy = |rig: &mut Rig, id| {
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: None,
            time_left: 1_200 * MS,
            cost_hint: Some(250 * MS),
            client_retry: false,
        };
        let server = sent(&rig.event(Event::RequestReceived(new))).expect("sent");
        rig.now += 250 * MS;
        rig.close(id, 0, server, Outcome::Ok, 250 * MS);
        server
    };
    for id in 10_001..10_010 {
        assert_eq!(
            send_heavy(&mut rig, id),
            ServerId(0),
            "the others take three times as long"
        );
    }
}

#[test]
fn expensive_probes_are_fewer_and_too_expensive_ones_are_not_sent() {
    let probes = |price| probed_servers(&one_of_many_probing_instances(price).request(0).1).len();
    assert_eq!(
        [probes(0.0), probes(0.002), probes(0.01), probes(0.5)],
        [3, 3, 2, 0]
    );
}

/// Sends 1,200 requests to four servers; those in `lossy` lose every third attempt. Returns how many of the last 600
/// first attempts each server received.
fn send_with_losses(
    retry_safety: RetrySafety,
    lossy: &[u64],
) -> (Rig, std::collections::BTreeMap<ServerId, u32>) {
    let mut rig = Rig::new(settings(&[retry_safety]), &fleet(4));
    let (mut count, mut sends) = (std::collections::BTreeMap::new(), 0);
    for round in 0..1_200 {
        let (id, mut actions) = rig.request(0);
        for attempt in 0..4 {
            let Some(server) = sent(&actions) else { break };
            rig.now += 40 * MS;
            sends += 1;
            *count.entry(server).or_insert(0) += u32::from(round >= 600 && attempt == 0);
            let is_lost = lossy.contains(&server.0) && sends % 3 == 0;
            let outcome = if is_lost { Outcome::Reset } else { Outcome::Ok };
            actions = rig.close(id, attempt, server, outcome, 40 * MS);
        }
    }
    (rig, count)
}

/// Half of a fleet lost 30% of its responses. Those servers were only treated as half as fast, and non-idempotent requests
/// were lost there.
#[test]
fn non_idempotent_requests_avoid_lossy_servers_and_idempotent_requests_use_them() {
    let count_at_lossy = |retry_safety| {
        let count = send_with_losses(retry_safety, &[2, 3]).1;
        count
            .iter()
            .filter(|(s, _)| s.0 >= 2)
            .map(|(_, n)| *n)
            .sum::<u32>()
    };
    let (non_idempotent, idempotent) = (
        count_at_lossy(RetrySafety::NonIdempotent),
        count_at_lossy(RetrySafety::Idempotent),
    );
    assert!(
        non_idempotent < 60 && idempotent > 120,
        "{non_idempotent} and {idempotent} of 600 went to servers that lose a third"
    );
}

#[test]
fn if_all_servers_lose_the_same_part_none_is_avoided() {
    let count = send_with_losses(RetrySafety::NonIdempotent, &[0, 1, 2, 3]).1;
    assert!(
        count.len() == 4 && count.values().all(|n| *n > 30),
        "{count:?} of 600"
    );
}

/// Two connections lost in a row eject a server. A server that loses a third of its responses often loses two in a row, and
/// half of such a fleet was ejected for it although its capacity was needed.
#[test]
fn a_lossy_server_is_not_ejected_for_two_losses_in_a_row_but_for_twelve() {
    let ejected = |lossy: &[u64], losses| {
        let mut rig = send_with_losses(RetrySafety::Idempotent, lossy).0;
        let before = rig.actions.len();
        let mut losses_in_a_row = 0;
        while losses_in_a_row < losses {
            let (id, actions) = rig.request(0);
            let server = sent(&actions).expect("sent");
            rig.now += 40 * MS;
            let outcome = if server.0 == 3 {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            losses_in_a_row += u32::from(server.0 == 3);
            if let Some(other) = sent(&rig.close(id, 0, server, outcome, 40 * MS)) {
                rig.close(id, 1, other, Outcome::Ok, 40 * MS);
            }
        }
        let logged = |a: &Action| matches!(a, Action::Log(LogEvent::ServerEjected(ServerId(3), _)));
        rig.actions[before..].iter().any(logged)
    };
    assert!(ejected(&[], 2), "a healthy server that fails twice");
    assert!(!ejected(&[3], 2), "a server that loses a third");
    assert!(
        ejected(&[3], 12),
        "a lossy server that has stopped answering"
    );
}

/// Losses without any later response do not show a loss share: otherwise an instance with little traffic would eject a dead
/// server only after ten times as many failures.
#[test]
fn a_server_that_never_answered_does_not_count_as_lossy() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let mut errors = 0;
    while !rig
        .actions
        .iter()
        .any(|a| matches!(a, Action::Log(LogEvent::ServerEjected(ServerId(3), _))))
    {
        let (id, actions) = rig.request(0);
        let server = sent(&actions).expect("sent");
        rig.now += 400 * MS;
        let is_dead = server.0 == 3;
        errors += u32::from(is_dead);
        let outcome = if is_dead { Outcome::Error } else { Outcome::Ok };
        if let Some(other) = sent(&rig.close(id, 0, server, outcome, 40 * MS)) {
            rig.close(id, 1, other, Outcome::Ok, 40 * MS);
        }
    }
    assert_eq!(errors, 3);
}

/// With a retry budget of a fifth of a retry per request, every fifth request was rejected when all servers lost a third of
/// their responses.
#[test]
fn the_retry_budget_suffices_if_all_servers_lose_a_third() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let (mut sends, mut rejected_requests) = (0, 0);
    for _ in 0..600 {
        let (id, mut actions) = rig.request(0);
        for attempt in 0..4 {
            let Some(server) = sent(&actions) else { break };
            rig.now += 40 * MS;
            sends += 1;
            let outcome = if sends % 3 == 0 {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            actions = rig.close(id, attempt, server, outcome, 40 * MS);
            rejected_requests += u32::from(rejected(&actions));
        }
    }
    assert!(rejected_requests < 6, "{rejected_requests} of 600");
}

/// If a hundred instances all use a server, they send it a hundred requests before any of them has received a late response.
#[test]
fn if_probes_are_too_expensive_each_of_many_instances_uses_few_servers_and_together_they_use_all() {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    (
        settings.group_size,
        settings.limits.probes,
        settings.prices.probe,
    ) = (100, true, 0.08);
    let mut users_by_server = std::collections::BTreeMap::new();
    for seed in 0..100 {
        let mut rig = Rig::seeded(settings.clone(), seed, &fleet(60));
        // 15 requests per second.
        let mut servers_used = std::collections::BTreeSet::new();
        for _ in 0..150 {
            servers_used.extend(rig.serve(0, 66 * MS));
        }
        assert!(
            servers_used.len() <= 16,
            "one uses {} servers",
            servers_used.len()
        );
        servers_used
            .into_iter()
            .for_each(|server| *users_by_server.entry(server).or_insert(0) += 1);
    }
    assert_eq!(
        users_by_server.len(),
        60,
        "some servers are used by no instance"
    );
    let max_users = users_by_server.values().copied().max().unwrap_or(0);
    assert!(
        max_users <= 35,
        "{max_users} of 100 instances use one server"
    );
}
