//! Many instances poll the same discovery service: all get the list, however few calls it can process per second.

mod common;
use common::*;
use madderloom_balancer::*;
use madderloom_fault_testing::max_window_excess;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The time that discovery needs for each call. It processes calls one after the other, including those that have timed out.
const PROCESSING_TIME: Micros = 100 * MS;
/// A call fails when it has waited for this long.
const CALL_TIMEOUT: Micros = 2 * S;

/// How long it takes until all instances have their list, if they start together.
fn time_until_all_have_the_list(instances: u32) -> Option<Micros> {
    let settings = Settings {
        group_size: instances,
        ..settings(&[RetrySafety::Idempotent])
    };
    let servers = fleet(4);
    let mut balancers: Vec<Balancer> = (0..instances)
        .map(|seed| Balancer::new(settings.clone(), u64::from(seed)).expect("valid settings"))
        .collect();
    // Time and instance, which starts a call (`None`) or is notified whether its call succeeded.
    let mut events: BinaryHeap<Reverse<(Micros, usize, Option<bool>)>> = BinaryHeap::new();
    let (mut actions, mut busy_until, mut missing) = (Vec::new(), 0, instances);
    let mut notify =
        |instance: usize, now: Micros, update: DiscoveryUpdate<'_>, events: &mut BinaryHeap<_>| {
            balancers[instance].handle(now, Event::DiscoveryUpdated(update), &mut actions);
            for action in actions.drain(..) {
                if let Action::SetTimer {
                    at: due,
                    timer: Timer::Discovery,
                } = action
                {
                    balancers[instance].handle(
                        due,
                        Event::TimerFired(Timer::Discovery),
                        &mut Vec::new(),
                    );
                    events.push(Reverse((due, instance, None)));
                }
            }
        };
    for instance in 0..instances as usize {
        notify(
            instance,
            S,
            DiscoveryUpdate::FullList(&servers),
            &mut events,
        );
    }
    while let Some(Reverse((now, instance, call_succeeded))) = events.pop() {
        match call_succeeded {
            _ if now > 60 * S => return None,
            None => {
                busy_until = now.max(busy_until) + PROCESSING_TIME;
                let times_out = busy_until > now + CALL_TIMEOUT;
                events.push(Reverse((
                    busy_until.min(now + CALL_TIMEOUT),
                    instance,
                    Some(!times_out),
                )));
            }
            Some(true) => {
                missing -= 1;
                if missing == 0 {
                    return Some(now - S);
                }
            }
            Some(false) => {
                notify(
                    instance,
                    now,
                    DiscoveryUpdate::CallFailed {
                        list_known_at: now - CALL_TIMEOUT,
                        waited: CALL_TIMEOUT,
                        connection_broken: false,
                    },
                    &mut events,
                );
            }
        }
    }
    None
}

/// If the polls are not spread widely enough, discovery spends most of its time on calls that have timed out. With polls spread
/// over 0.5 s, and over 4 s at most after failures, 48 instances took 17 s and 100 more than a minute.
#[test]
fn every_instance_gets_its_list_although_all_poll_the_same_discovery() {
    for (instances, within) in [(4, 2 * S), (24, 6 * S), (48, 10 * S), (100, 25 * S)] {
        let elapsed = time_until_all_have_the_list(instances);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed <= within),
            "{instances} instances: {elapsed:?}"
        );
    }
}

/// The time of the next poll, if the balancer has scheduled one.
fn next_poll_at(rig: &mut Rig) -> Option<Micros> {
    rig.actions.drain(..).find_map(|action| match action {
        Action::SetTimer {
            at,
            timer: Timer::Discovery,
        } => Some(at),
        _ => None,
    })
}

/// The delay until the first poll, and those from the failure of each call until the next one. Each call fails after `waited`.
fn poll_delays(settings: &Settings, seed: u64, waited: Micros) -> Vec<Micros> {
    let mut rig = Rig::seeded(settings.clone(), seed, &fleet(4));
    let mut delays = Vec::new();
    for _ in 0..12 {
        let due = next_poll_at(&mut rig).expect("a poll is scheduled");
        delays.push(due - rig.now);
        rig.now = due;
        assert!(
            rig.event(Event::TimerFired(Timer::Discovery))
                .contains(&Action::PollDiscovery)
        );
        let list_known_at = rig.now;
        rig.now += waited;
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
            list_known_at,
            waited,
            connection_broken: false,
        }));
    }
    delays
}

/// If the poll interval grows with the fleet without a bound, instances break the rule on drains: from 10 s on each is
/// assumed to know the list, and must not send to servers that have left. With 300 instances the first poll came after up
/// to 24 s.
#[test]
fn no_fleet_is_so_large_that_an_instance_polls_later_than_the_rules_allow() {
    for group_size in [1, 100, 300, 2_000, 100_000] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let max_poll_interval = settings.rules.max_poll_interval;
        for seed in 0..40 {
            let delays = poll_delays(&settings, seed, CALL_TIMEOUT);
            assert!(
                delays[0] < max_poll_interval,
                "{group_size} instances: the first call after {} us",
                delays[0]
            );
            assert!(
                delays.iter().all(|delay| *delay < 4 * max_poll_interval),
                "{group_size} instances: {delays:?}"
            );
        }
    }
}

/// Discovery may recover just after a call has failed, and instances are assumed to know 6 s later what it has then. Only if
/// discovery rejects calls that have waited may a fleet of more than 15 instances poll less often.
#[test]
fn after_any_failure_the_next_poll_comes_before_changes_are_assumed_known() {
    for (group_size, waited) in [
        (1, 0),
        (60, 0),
        (300, 0),
        (100_000, 0),
        (1, CALL_TIMEOUT),
        (15, CALL_TIMEOUT),
    ] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let latest = SafetyRules::ASSUMED_NOTIFIED_AFTER + settings.rules.drain_grace;
        for seed in 0..40 {
            for delay in poll_delays(&settings, seed, waited) {
                let known_after = waited + delay + SafetyRules::DISCOVERY_RESPONSE_TIME;
                assert!(
                    known_after <= latest,
                    "{group_size} instances, {waited}: list known {known_after} us after the start of a call"
                );
            }
        }
    }
}

/// All first calls come within this time, in microseconds: 9 s in which a change has to be known, minus 5 s that a process may
/// have been down, minus 1 s for the response.
const FIRST_CALLS_WINDOW: f64 = 3e6;

/// The times of the calls of instances that start together, over a minute. Each call either fails after `waited`, or is
/// answered with a list whose watch ends immediately, as `fails` decides.
fn calls(instances: u32, waited: Micros, mut fails: impl FnMut() -> bool) -> Vec<Micros> {
    let settings = Settings {
        group_size: instances,
        ..settings(&[RetrySafety::Idempotent])
    };
    let mut calls = Vec::new();
    for seed in 0..instances {
        let mut rig = Rig::seeded(settings.clone(), u64::from(seed), &fleet(4));
        let started_at = rig.now;
        while let Some(due) = next_poll_at(&mut rig)
            && due <= started_at + 60 * S
        {
            calls.push(due - started_at);
            rig.now = due;
            rig.event(Event::TimerFired(Timer::Discovery));
            rig.actions.clear();
            let (list_known_at, failed) = (rig.now, fails());
            if !failed {
                rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
                    4,
                ))));
            }
            rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                list_known_at,
                waited: if failed { waited } else { 0 },
                connection_broken: false,
            }));
        }
    }
    calls.sort_unstable();
    calls
}

/// If failed calls are retried at any time, the retries come beside the calls of instances that have not called yet: with 60
/// instances, one window had 25 calls too many. First calls come within 3 s, because the changes that a process may have missed
/// before its start are assumed known then: one call per instance, evenly spread, and no other ones. Later calls keep to the
/// poll interval.
#[test]
fn the_results_of_calls_never_cause_more_calls_than_the_first_wave() {
    for (instances, interval) in [
        (6, 0.5e6_f64),
        (60, 4.8e6),
        (100, 8e6),
        (300, 8e6),
        (1_000, 8e6),
    ] {
        let instance_count = f64::from(instances);
        for (waited, failing_quarters) in [
            (CALL_TIMEOUT, 0),
            (CALL_TIMEOUT, 1),
            (CALL_TIMEOUT, 4),
            (0, 1),
            (0, 4),
        ] {
            let mut call = 0;
            let fails = || {
                call += 1;
                call % 4 < failing_quarters
            };
            let calls = calls(instances, waited, fails);
            assert!(calls.len() > instances as usize);
            let wave = interval.min(FIRST_CALLS_WINDOW);
            let (first, later) = calls.split_at(calls.partition_point(|at| (*at as f64) < wave));
            assert_eq!(
                first.len(),
                instances as usize,
                "one call of each in the first {wave} us"
            );
            let excess =
                max_window_excess(first.iter().map(|at| *at as f64), instance_count / wave);
            assert!(
                excess <= 3.0 * instance_count.sqrt(),
                "{instances}, {waited}, {failing_quarters} of 4 fail: {excess} at first"
            );
            // The freshness bound of 8 s may end before the next poll interval does. So if watches end as soon as they have
            // sent a list, or if no call arrives, two calls of an instance fall into one interval. If calls wait until they
            // fail, none do.
            let time_per_call = interval
                / instance_count
                / if failing_quarters == 4 && waited > 0 {
                    1.0
                } else {
                    2.0
                };
            let excess = max_window_excess(later.iter().map(|at| *at as f64), 1.0 / time_per_call);
            assert!(
                excess <= 3.0 * instance_count.sqrt(),
                "{instances}, {waited}, {failing_quarters} of 4 fail: {excess}"
            );
        }
    }
}

/// A watch sends a heartbeat every 2 s. One that was silent for 3 s is closed. The watches of a whole fleet may fall silent
/// at the same moment.
#[test]
fn after_a_watch_falls_silent_the_next_poll_comes_before_changes_are_assumed_known() {
    for group_size in [1, 30, 300] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let latest = SafetyRules::ASSUMED_NOTIFIED_AFTER + settings.rules.drain_grace;
        let mut poll_delays: Vec<Micros> = Vec::new();
        for seed in 0..u64::from(group_size.max(20)) {
            let mut rig = Rig::seeded(settings.clone(), seed, &fleet(4));
            rig.now += S;
            rig.event(Event::TimerFired(Timer::Discovery));
            rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
                4,
            ))));
            rig.actions.clear();
            // The last message of the watch, long after the poll interval in which this instance has called.
            rig.now += 20 * S;
            let list_known_at = rig.now;
            rig.now += 3 * S;
            rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                list_known_at,
                waited: 0,
                connection_broken: false,
            }));
            let delay = next_poll_at(&mut rig).expect("a poll is scheduled") - list_known_at;
            assert!(
                delay + SafetyRules::DISCOVERY_RESPONSE_TIME <= latest,
                "{group_size} instances: polled {delay} us after the last message"
            );
            poll_delays.push(delay - 3 * S);
        }
        poll_delays.sort_unstable();
        let interval = (0.08e6 * f64::from(group_size)).clamp(0.5e6, 5e6);
        let rate = f64::from(group_size.max(20)) / interval;
        let excess = max_window_excess(poll_delays.iter().map(|at| *at as f64), rate);
        assert!(
            excess <= 3.0 * f64::from(group_size.max(20)).sqrt(),
            "{group_size} call together: {excess} too many"
        );
    }
}

/// A lost zone is down for this long; its instances restart when it recovers.
const ZONE_OUTAGE: Micros = 5 * S;

/// The watch of an instance ends when its process is killed. Changes after that are assumed known 6 s later, whether or not
/// another process has replaced it meanwhile, and the new process knows only the list of its configuration.
#[test]
fn a_restarted_instance_polls_in_time_for_the_changes_that_it_missed() {
    for group_size in [1, 60, 300] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let allowed =
            SafetyRules::ASSUMED_NOTIFIED_AFTER + settings.rules.drain_grace - ZONE_OUTAGE;
        for seed in 0..40 {
            let first_delay = poll_delays(&settings, seed, 0)[0];
            assert!(
                first_delay + SafetyRules::DISCOVERY_RESPONSE_TIME <= allowed,
                "{group_size} instances: the first call {first_delay} us after a start"
            );
        }
    }
}
