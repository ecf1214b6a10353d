//! The ordinary path and the failures that its exceptions guard against.

mod common;
use common::*;
use madderloom_balancer::*;

#[test]
fn shares_follow_the_measured_speed() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let elapsed = |s: ServerId| if s.0 == 0 { 80 * MS } else { 20 * MS };
    rig.count_by_server(600, elapsed);
    let spread = rig.count_by_server(600, elapsed);
    let slow = spread.get(&ServerId(0)).copied().unwrap_or(0);
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
fn a_hung_server_is_left_alone_after_silence() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(300, |_| 20 * MS);
    let mut hung = Vec::new();
    let mut later = 0;
    for round in 0..400 {
        let (id, actions) = rig.request(0);
        let server = sent(&actions).expect("sent");
        if server == ServerId(2) {
            hung.push(id);
            later += u32::from(round >= 100);
        } else {
            rig.now += 20 * MS;
            rig.close(id, 0, server, Outcome::Ok, 20 * MS);
        }
    }
    assert!(
        !hung.is_empty() && later == 0,
        "{later} requests went to a server silent for two seconds"
    );
}

#[test]
fn a_server_that_fails_fast_does_not_draw_traffic() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(200, |_| 20 * MS);
    let mut bad = 0;
    for _ in 0..200 {
        let (id, mut actions) = rig.request(0);
        for attempt in 0..3 {
            let Some(server) = sent(&actions) else {
                break;
            };
            rig.now += MS;
            if server != ServerId(3) {
                rig.now += 19 * MS;
                rig.close(id, attempt, server, Outcome::Ok, 20 * MS);
                break;
            }
            bad += 1;
            actions = rig.close(id, attempt, server, Outcome::Error, MS);
        }
    }
    assert!(bad < 15, "{bad} attempts at a server that only fails");
}

#[test]
fn long_requests_keep_to_servers_of_their_own() {
    let mut set = settings(&[RetrySafety::Idempotent, RetrySafety::NonIdempotent]);
    set.classes[1].latency_objective = 1_200 * MS;
    let mut rig = Rig::new(set, &fleet(8));
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
        "short requests wait behind long ones: {short:?} {long:?}"
    );
}

#[test]
fn overload_is_refused_before_it_is_queued() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(100, |_| 170 * MS);
    let early = (0..100).filter(|_| rejected(&rig.request(0).1)).count();
    let logged = rig
        .actions
        .iter()
        .filter(|a| **a == Action::Log(LogEvent::ClassOverloaded(0)))
        .count();
    assert_eq!(logged, 1, "one line for the stretch");
    assert!(
        early > 80,
        "only {early} of a burst of 100 were refused though answers are slow"
    );
}

#[test]
fn a_start_is_not_taken_for_overload() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let early = rig.stream(200, 10 * MS, 150 * MS, |_| (0, 0));
    assert!(
        !early.contains(&true),
        "answers take less than half the aim, as many as come"
    );
}

#[test]
fn in_overload_the_class_that_is_worth_less_for_its_work_is_refused_first() {
    let mut settings = settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]);
    settings.classes[0].priority_weight = 5.0;
    let mut rig = Rig::new(settings, &fleet(4));
    let early = rig.stream(1_000, 10 * MS, 170 * MS, |i| (i as u32 % 2, 0));
    let lost = |class| early.iter().skip(class).step_by(2).filter(|e| **e).count();
    assert!(
        lost(0) < 25 && lost(1) > 100,
        "refused {} of 500 and {} of 500",
        lost(0),
        lost(1)
    );
}

/// On days whose aim is little over twice the work, a third of the lower class was refused from empty servers.
#[test]
fn work_that_takes_much_of_the_aim_is_no_queue_but_a_queue_on_top_of_it_is_one() {
    let lost = |elapsed| {
        let mut settings = settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]);
        settings.classes[0].priority_weight = 3.0;
        let mut rig = Rig::new(settings, &fleet(8));
        rig.cost_hint = Some(150 * MS);
        rig.stream(1_000, 10 * MS, elapsed, |i| (i as u32 % 2, 0))
            .into_iter()
            .filter(|e| *e)
            .count()
    };
    let (work, queued) = (lost(150 * MS), lost(300 * MS));
    assert!(
        work < 10 && queued > 200,
        "refused {work} of 1000 as hinted, {queued} at twice that"
    );
}

/// An embedder whose requests tell nothing of their work is not let off: what is slow may be a queue.
#[test]
fn without_hints_slow_answers_are_held_for_a_queue() {
    let mut rig = Rig::new(
        settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]),
        &fleet(8),
    );
    let early = rig.stream(1_000, 10 * MS, 300 * MS, |i| (i as u32 % 2, 0));
    let lost = early.iter().filter(|e| **e).count();
    assert!(lost > 200, "{lost} of 1000");
}

#[test]
fn a_tenant_just_over_its_share_loses_little() {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    settings.tenants = vec![Tenant { quota: 100.0 }, Tenant { quota: 100.0 }];
    let lost = |of_ten: usize, elapsed| {
        let mut rig = Rig::new(settings.clone(), &fleet(4));
        let early = rig.stream(1_000, 10 * MS, elapsed, |i| {
            (0, u32::from(i * 7 % 10 >= of_ten))
        });
        let mine = |tenant| move |i: &usize| (i * 7 % 10 >= of_ten) == (tenant == 1);
        [0, 1].map(|t| (0..1_000).filter(mine(t)).filter(|i| early[*i]).count())
    };
    let (near, far) = (lost(6, 140 * MS), lost(9, 190 * MS));
    assert!(near[0] < 60, "{near:?} refused of 600 and 400");
    assert!(
        far[0] > 120 && far[1] < 20,
        "{far:?} refused of 900 and 100"
    );
}

#[test]
fn a_wave_is_refused_before_the_first_slow_answer() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let early = rig.stream(300, 10 * MS, 80 * MS, |_| (0, 0));
    assert!(!early.contains(&true));
    let taken = (0..200).filter(|_| !rejected(&rig.request(0).1)).count();
    assert!(
        (12..40).contains(&taken),
        "{taken} taken at once where 40 are served in an aim"
    );
}

/// Twenty at a time, each over after 140 ms as `end` says of its place; gives back how many were refused early.
fn in_batches(rig: &mut Rig, batches: usize, end: impl Fn(usize) -> Outcome) -> usize {
    let mut early = 0;
    for _ in 0..batches {
        let batch: Vec<_> = (0..20).map(|_| rig.request(0)).collect();
        rig.now += 140 * MS;
        for (place, (id, actions)) in batch.iter().enumerate() {
            early += usize::from(rejected(actions));
            if let Some(server) = sent(actions) {
                rig.close(*id, 0, server, end(place), 140 * MS);
            }
        }
    }
    early
}

/// Servers that broke a part of their connections had idle ones refused: a failure counted as a full wait.
#[test]
fn failures_are_not_taken_for_a_queue() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(4));
    let end = |place| {
        if place % 4 == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        }
    };
    assert_eq!(
        in_batches(&mut rig, 40, end),
        0,
        "refused though nothing waits"
    );
}

/// The delay was a mean over ten answers: among hundreds a second, a pause of one server closed the gate.
#[test]
fn some_late_answers_among_many_are_no_slow_service() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(4));
    in_batches(&mut rig, 40, |_| Outcome::Ok);
    in_batches(&mut rig, 1, |place| {
        if place < 4 {
            Outcome::Ok
        } else {
            Outcome::Timeout
        }
    });
    assert_eq!(
        in_batches(&mut rig, 1, |_| Outcome::Ok),
        0,
        "refused for one bad moment"
    );
}

/// A heavy request went to a slow server, which answers it after the aim, as soon as light ones did.
#[test]
fn where_the_first_server_would_be_late_the_quickest_of_the_next_is_taken() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(4));
    let slow = ServerId(0);
    let mut ids = 10_000..;
    let mut at_slow = |work: Micros, times: usize| {
        let went = ids.by_ref().take(times).filter(|id| {
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
        went.count()
    };
    assert!(
        at_slow(20 * MS, 600) > 20,
        "it has its share of what it can do in time"
    );
    let late = at_slow(180 * MS, 300);
    assert!(late < 8, "{late} of 300 were late for where they went");
}

#[test]
fn a_slow_request_gets_no_copy_while_its_server_answers_others() {
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
                assert_eq!(sent(&actions), None, "a copy of a long request is as long");
            }
            at = Some(rig.now + 20 * MS);
        }
    }
}

#[test]
fn a_repeat_that_is_past_the_aim_is_refused() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let mut ask = |id, time_left, repeat| {
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: None,
            time_left,
            cost_hint: None,
            client_retry: repeat,
        };
        rejected(&rig.event(Event::RequestReceived(new)))
    };
    assert!(!ask(1, 900 * MS, false));
    assert!(!ask(2, 900 * MS, true), "its age is not known");
    assert!(!ask(3, 850 * MS, true), "350 ms old, the aim is 400 ms");
    assert!(
        ask(4, 700 * MS, true),
        "500 ms old: nobody gains by an answer"
    );
    assert!(
        !ask(5, 700 * MS, false),
        "a first try with little patience is served"
    );
}

#[test]
fn errors_now_and_then_cost_a_server_its_region() {
    // Too few in a row to eject it, and so fast that their time alone would hardly count.
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let (mut bad, mut all) = (0, 0);
    for round in 0..1_200 {
        let (id, actions) = rig.request(0);
        let Some(server) = sent(&actions) else {
            continue;
        };
        let fails = server == ServerId(3) && all % 3 != 0;
        rig.now += if fails { MS } else { 40 * MS };
        if server == ServerId(3) {
            all += 1;
            bad += u32::from(round >= 600);
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
    assert!(bad < 110, "{bad} of 600, where a fair share is 150");
}

/// Eight servers, and a second class with time for long work.
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
fn a_long_class_that_is_refused_keeps_its_servers() {
    // Most of the work that comes is long, and most of that is refused, as long answers are slow. Were only
    // what is let in counted, the long class would lose servers by that, and be refused the more.
    let mut rig = short_and_long();
    let mut used = std::collections::BTreeSet::new();
    let mut early = 0;
    for round in 0..160 {
        let long: Vec<_> = (0..12).map(|_| rig.request(1)).collect();
        early += long.iter().filter(|(_, actions)| rejected(actions)).count();
        for _ in 0..60 {
            rig.serve(0, 100 * MS);
        }
        for (id, server) in long
            .iter()
            .filter_map(|(id, actions)| Some((*id, sent(actions)?)))
        {
            rig.close(id, 0, server, Outcome::Ok, 1_900 * MS);
            used.extend((round >= 40).then_some(server));
        }
    }
    assert!(early > 960, "{early} of 1920 refused");
    assert!(used.len() >= 4, "{used:?} of 8 for four fifths of the work");
}

#[test]
fn long_requests_get_other_servers_for_those_that_fail() {
    let mut rig = short_and_long();
    let mut lane = std::collections::BTreeSet::new();
    for round in 0..100 {
        let server = rig.serve(1, 800 * MS);
        lane.extend(server.filter(|_| round >= 50));
        for _ in 0..40 {
            rig.serve(0, 20 * MS);
        }
    }
    assert!(lane.len() > 1 && lane.len() < 6, "{lane:?}");
    let (mut failed, mut elsewhere) = (0, 0);
    for _ in 0..40 {
        let (id, mut actions) = rig.request(1);
        for attempt in 0..4 {
            let Some(server) = sent(&actions) else {
                break;
            };
            rig.now += 20 * MS;
            if !lane.contains(&server) {
                elsewhere += 1;
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
        elsewhere > 20,
        "{elsewhere} of 40 long requests reached a working server, {failed} attempts failed"
    );
}

/// One of a hundred instances, which may probe eight servers at this price.
fn one_of_many_that_ask(price: f64) -> Rig {
    let mut set = settings(&[RetrySafety::Idempotent]);
    (set.limits.probes, set.group_size, set.prices.probe) = (true, 100, price);
    Rig::new(set, &fleet(8))
}

#[test]
fn of_many_instances_each_asks_first_and_takes_the_server_that_holds_least() {
    let mut rig = one_of_many_that_ask(0.0);
    let (id, actions) = rig.request(0);
    let probed = probed_servers(&actions);
    assert!(probed.len() > 1 && sent(&actions).is_none(), "{actions:?}");
    for (at, server) in probed.iter().enumerate() {
        let held = if at == 1 { 2.0 } else { 9.0 };
        rig.event(Event::ProbeCompleted(
            *server,
            Some(LoadReport {
                in_flight: held,
                errors_per_second: 0.0,
            }),
        ));
    }
    let at = timer_at(&actions).expect("held until the probes are in");
    assert_eq!(sent(&rig.fire_timer(at, id)), Some(probed[1]));
}

#[test]
fn a_failing_server_draws_no_requests_by_its_short_queue_and_one_that_answers_no_probe_none() {
    let mut rig = one_of_many_that_ask(0.0);
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
    let at = timer_at(&actions).expect("held until the probes are in");
    let server = sent(&rig.fire_timer(at, id)).expect("sent");
    assert!(probed[2..].contains(&server), "{server:?} of {probed:?}");
}

#[test]
fn a_quiet_instance_that_may_not_ask_keeps_to_few_servers_and_a_busy_one_uses_more() {
    let used = |gap: Micros| {
        let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(200));
        rig.stream(400, gap, 20 * MS, |_| (0, 0));
        let sends = rig.actions.iter().filter_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        sends.collect::<std::collections::BTreeSet<_>>().len()
    };
    let (quiet, busy) = (used(1_000 * MS), used(10 * MS));
    assert!(quiet <= 8, "{quiet} servers at one a second");
    assert!(busy > 40, "{busy} servers at a hundred a second");
}

#[test]
fn a_kind_of_machine_that_was_slow_elsewhere_gets_less_before_it_was_tried() {
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
    // Others of the same kinds take their place; all take the same time from now on.
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
fn a_quiet_instance_does_not_hold_one_request_against_a_small_tenant() {
    let mut set = settings(&[RetrySafety::Idempotent]);
    set.tenants = vec![Tenant { quota: 95.0 }, Tenant { quota: 5.0 }];
    let mut rig = Rig::new(set, &fleet(8));
    // Some of the small tenant's in a row: over its share of what is seen here, which tells nothing.
    let early = rig.stream(46, 250 * MS, 200 * MS, |i| (0, u32::from(i >= 40)));
    assert_eq!(early[40..], [false; 6]);
}

#[test]
fn with_answers_at_the_aim_even_an_idle_instance_refuses_some() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(8));
    let early = rig.stream(100, 700 * MS, 390 * MS, |_| (0, 0));
    let rejected = early[20..].iter().filter(|e| **e).count();
    assert!(
        (10..70).contains(&rejected),
        "{rejected} of 80: one open at each of many instances jams the fleet"
    );
}

#[test]
fn a_heavy_request_avoids_servers_too_slow_for_it() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.count_by_server(200, |server| if server.0 == 0 { 20 * MS } else { 60 * MS });
    let heavy = |rig: &mut Rig, id| {
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: None,
            time_left: 1_200 * MS,
            cost_hint: Some(250 * MS),
            client_retry: false,
        };
        let to = sent(&rig.event(Event::RequestReceived(new))).expect("sent");
        rig.now += 250 * MS;
        rig.close(id, 0, to, Outcome::Ok, 250 * MS);
        to
    };
    for id in 10_001..10_010 {
        assert_eq!(
            heavy(&mut rig, id),
            ServerId(0),
            "the others need three times as long"
        );
    }
}

#[test]
fn dear_probes_are_fewer_and_too_dear_ones_none() {
    let probes = |price| probed_servers(&one_of_many_that_ask(price).request(0).1).len();
    assert_eq!(
        [probes(0.0), probes(0.002), probes(0.01), probes(0.5)],
        [3, 3, 2, 0]
    );
}

/// Four servers, of which those named lose every third answer; how many of the last 600 went to each.
fn with_losses(
    effect: RetrySafety,
    lossy: &[u64],
) -> (Rig, std::collections::BTreeMap<ServerId, u32>) {
    let mut rig = Rig::new(settings(&[effect]), &fleet(4));
    let (mut count, mut sends) = (std::collections::BTreeMap::new(), 0);
    for round in 0..1_200 {
        let (id, mut actions) = rig.request(0);
        for attempt in 0..4 {
            let Some(server) = sent(&actions) else {
                break;
            };
            rig.now += 40 * MS;
            sends += 1;
            *count.entry(server).or_insert(0) += u32::from(round >= 600 && attempt == 0);
            let lost = lossy.contains(&server.0) && sends % 3 == 0;
            let outcome = if lost { Outcome::Reset } else { Outcome::Ok };
            actions = rig.close(id, attempt, server, outcome, 40 * MS);
        }
    }
    (rig, count)
}

/// Half of a fleet that lost 30% of its answers was met as half as fast, and submissions were lost there.
#[test]
fn what_must_not_run_twice_keeps_to_servers_that_lose_nothing_and_what_may_uses_the_others_too() {
    let at_lossy = |effect| {
        let count = with_losses(effect, &[2, 3]).1;
        count
            .iter()
            .filter(|(s, _)| s.0 >= 2)
            .map(|(_, n)| *n)
            .sum::<u32>()
    };
    let (never, again) = (
        at_lossy(RetrySafety::NonIdempotent),
        at_lossy(RetrySafety::Idempotent),
    );
    assert!(
        never < 60 && again > 120,
        "{never} and {again} of 600 went where a third is lost"
    );
}

#[test]
fn where_all_lose_alike_none_is_avoided() {
    let count = with_losses(RetrySafety::NonIdempotent, &[0, 1, 2, 3]).1;
    assert!(
        count.len() == 4 && count.values().all(|n| *n > 30),
        "{count:?} of 600"
    );
}

/// Two connections lost in a row eject a server; one that loses a third does that all the time, and half of such a
/// fleet was left alone for it, with the rest in need of it.
#[test]
fn a_server_that_is_known_to_lose_a_part_is_not_ejected_for_two_in_a_row_but_for_silence() {
    let ejected = |lossy: &[u64], losses| {
        let mut rig = with_losses(RetrySafety::Idempotent, lossy).0;
        let before = rig.actions.len();
        let mut run = 0;
        while run < losses {
            let (id, actions) = rig.request(0);
            let server = sent(&actions).expect("sent");
            rig.now += 40 * MS;
            let outcome = if server.0 == 3 {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            run += u32::from(server.0 == 3);
            if let Some(other) = sent(&rig.close(id, 0, server, outcome, 40 * MS)) {
                rig.close(id, 1, other, Outcome::Ok, 40 * MS);
            }
        }
        let logged = |a: &Action| matches!(a, Action::Log(LogEvent::ServerEjected(ServerId(3), _)));
        rig.actions[before..].iter().any(logged)
    };
    assert!(ejected(&[], 2), "a whole server that fails twice");
    assert!(!ejected(&[3], 2), "one that loses a third");
    assert!(ejected(&[3], 12), "one that answers nothing any more");
}

/// Losses that no answer follows are no part: a quiet instance would wait for a dead server ten times as long.
#[test]
fn a_server_that_never_answered_is_not_held_for_one_that_loses_a_part() {
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
        let dead = server.0 == 3;
        errors += u32::from(dead);
        let outcome = if dead { Outcome::Error } else { Outcome::Ok };
        if let Some(other) = sent(&rig.close(id, 0, server, outcome, 40 * MS)) {
            rig.close(id, 1, other, Outcome::Ok, 40 * MS);
        }
    }
    assert_eq!(errors, 3);
}

/// With a fifth of a retry earned by each request, every fifth was turned away where all servers lose a third.
#[test]
fn where_a_third_is_lost_everywhere_repeats_do_not_starve() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let (mut sends, mut unserved) = (0, 0);
    for _ in 0..600 {
        let (id, mut actions) = rig.request(0);
        for attempt in 0..4 {
            let Some(server) = sent(&actions) else {
                break;
            };
            rig.now += 40 * MS;
            sends += 1;
            let outcome = if sends % 3 == 0 {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            actions = rig.close(id, attempt, server, outcome, 40 * MS);
            unserved += u32::from(rejected(&actions));
        }
    }
    assert!(unserved < 6, "{unserved} of 600");
}

/// A hundred instances that all use a server send it a hundred requests before any of them has seen it answer late.
#[test]
fn one_of_many_instances_that_asks_nobody_keeps_to_few_servers_and_all_together_use_all() {
    let mut settings = settings(&[RetrySafety::Idempotent]);
    (
        settings.group_size,
        settings.limits.probes,
        settings.prices.probe,
    ) = (100, true, 0.08);
    let mut users = std::collections::BTreeMap::new();
    for seed in 0..100 {
        let mut rig = Rig::seeded(settings.clone(), seed, &fleet(60));
        // Fifteen a second.
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..150 {
            used.extend(rig.serve(0, 66 * MS));
        }
        assert!(used.len() <= 16, "one uses {} servers", used.len());
        used.into_iter()
            .for_each(|server| *users.entry(server).or_insert(0) += 1);
    }
    assert_eq!(users.len(), 60, "servers that nobody uses");
    let most = users.values().copied().max().unwrap_or(0);
    assert!(most <= 35, "{most} of 100 instances use one server");
}
