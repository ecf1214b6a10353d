//! Many instances that ask one discovery for the list: all get it, however few calls it can take in a second.

mod common;
use common::*;
use madderloom_balancer::*;
use madderloom_fault_testing::worst;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What it takes for a call, also for one that its caller has given up, as it works through them in turn.
const WORK: Micros = 100 * MS;
/// A call that has waited for so long has failed.
const PATIENCE: Micros = 2 * S;

/// When the last of so many instances that start together has its list.
fn all_have_it(instances: u32) -> Option<Micros> {
    let settings = Settings {
        group_size: instances,
        ..settings(&[RetrySafety::Idempotent])
    };
    let known = fleet(4);
    let mut all: Vec<Balancer> = (0..instances)
        .map(|seed| Balancer::new(settings.clone(), u64::from(seed)).expect("they make sense"))
        .collect();
    // At this time: this instance calls, or hears whether its call has failed.
    let mut queue: BinaryHeap<Reverse<(Micros, usize, Option<bool>)>> = BinaryHeap::new();
    let (mut actions, mut busy, mut missing) = (Vec::new(), 0, instances);
    let mut tell =
        |at: usize, now: Micros, members: DiscoveryUpdate<'_>, queue: &mut BinaryHeap<_>| {
            all[at].handle(now, Event::DiscoveryUpdated(members), &mut actions);
            for action in actions.drain(..) {
                if let Action::SetTimer {
                    at: due,
                    timer: Timer::Discovery,
                } = action
                {
                    all[at].handle(due, Event::TimerFired(Timer::Discovery), &mut Vec::new());
                    queue.push(Reverse((due, at, None)));
                }
            }
        };
    for at in 0..instances as usize {
        tell(at, S, DiscoveryUpdate::FullList(&known), &mut queue);
    }
    while let Some(Reverse((now, at, heard))) = queue.pop() {
        match heard {
            _ if now > 60 * S => return None,
            None => {
                busy = now.max(busy) + WORK;
                let late = busy > now + PATIENCE;
                queue.push(Reverse((busy.min(now + PATIENCE), at, Some(!late))));
            }
            Some(true) => {
                missing -= 1;
                if missing == 0 {
                    return Some(now - S);
                }
            }
            Some(false) => {
                tell(
                    at,
                    now,
                    DiscoveryUpdate::CallFailed {
                        list_known_at: now - PATIENCE,
                        waited: PATIENCE,
                        connection_broken: false,
                    },
                    &mut queue,
                );
            }
        }
    }
    None
}

/// Spread over half a second, and over four at most from then on, 48 of them took 17 s and a hundred more than a minute: most
/// of the work was for callers that had given up.
#[test]
fn every_instance_gets_its_list_from_a_discovery_that_is_called_by_all() {
    for (instances, within) in [(4, 2 * S), (24, 6 * S), (48, 10 * S), (100, 25 * S)] {
        let took = all_have_it(instances);
        assert!(
            took.is_some_and(|took| took <= within),
            "{instances} instances: {took:?}"
        );
    }
}

/// When it will ask.
fn asks_at(rig: &mut Rig) -> Option<Micros> {
    rig.actions.drain(..).find_map(|action| match action {
        Action::SetTimer {
            at,
            timer: Timer::Discovery,
        } => Some(at),
        _ => None,
    })
}

/// When an instance asks, and how long after each of the calls that fail then it asks again. Each was let wait for so long.
fn waits(settings: &Settings, seed: u64, waited: Micros) -> Vec<Micros> {
    let mut rig = Rig::seeded(settings.clone(), seed, &fleet(4));
    let mut waits = Vec::new();
    for _ in 0..12 {
        let at = asks_at(&mut rig).expect("it will ask");
        waits.push(at - rig.now);
        rig.now = at;
        assert!(
            rig.event(Event::TimerFired(Timer::Discovery))
                .contains(&Action::PollDiscovery)
        );
        let since = rig.now;
        rig.now += waited;
        rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
            list_known_at: since,
            waited,
            connection_broken: false,
        }));
    }
    waits
}

/// 300 instances waited up to 24 s before they asked at all. From 10 s on each is held to know what was listed then, and
/// sends to servers that left broke the rule on drains.
#[test]
fn no_fleet_is_so_large_that_an_instance_asks_later_than_the_rules_allow() {
    for group_size in [1, 100, 300, 2_000, 100_000] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let within = settings.rules.max_poll_interval;
        for seed in 0..40 {
            let waits = waits(&settings, seed, PATIENCE);
            assert!(
                waits[0] < within,
                "{group_size} instances: the first call after {} us",
                waits[0]
            );
            assert!(
                waits.iter().all(|wait| *wait < 4 * within),
                "{group_size} instances: {waits:?}"
            );
        }
    }
}

/// Discovery may be there again just after a call was found to fail, and what it has then counts as told 6 s later. Only
/// where it turns calls away do more than fifteen instances ask more seldom than that.
#[test]
fn whatever_fails_a_list_is_asked_for_in_time_for_what_counts_as_told() {
    for (group_size, waited) in [
        (1, 0),
        (60, 0),
        (300, 0),
        (100_000, 0),
        (1, PATIENCE),
        (15, PATIENCE),
    ] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let told = SafetyRules::ASSUMED_NOTIFIED_AFTER + settings.rules.drain_grace;
        for seed in 0..40 {
            for wait in waits(&settings, seed, waited) {
                let known = waited + wait + SafetyRules::DISCOVERY_RESPONSE_TIME;
                assert!(
                    known <= told,
                    "{group_size} instances, {waited}: known {known} us behind a call"
                );
            }
        }
    }
}

/// All first calls come within this, in microseconds: 9 s in which a change has to be known, less 5 s that a process may
/// have been down, less 1 s for the answer.
const FIRST_CALLS: f64 = 3e6;

/// The calls of so many instances that start together, over a minute, where each is let wait in vain for so long, or is
/// answered by a list whose watch ends at once, as this draws.
fn calls(instances: u32, waited: Micros, mut fails: impl FnMut() -> bool) -> Vec<Micros> {
    let settings = Settings {
        group_size: instances,
        ..settings(&[RetrySafety::Idempotent])
    };
    let mut calls = Vec::new();
    for seed in 0..instances {
        let mut rig = Rig::seeded(settings.clone(), u64::from(seed), &fleet(4));
        let began = rig.now;
        while let Some(at) = asks_at(&mut rig)
            && at <= began + 60 * S
        {
            calls.push(at - began);
            rig.now = at;
            rig.event(Event::TimerFired(Timer::Discovery));
            rig.actions.clear();
            let (since, failed) = (rig.now, fails());
            if !failed {
                rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
                    4,
                ))));
            }
            rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                list_known_at: since,
                waited: if failed { waited } else { 0 },
                connection_broken: false,
            }));
        }
    }
    calls.sort_unstable();
    calls
}

/// Where a call that failed was asked again at any time from then on, those who had failed called beside those who had not
/// called yet: 60 instances were 25 calls over in one window. First calls come within 3 s, for what a process may have
/// missed before its start counts as told then: one of each instance, evenly, and none beside them. What follows keeps to the span.
#[test]
fn what_becomes_of_calls_never_brings_more_of_them_than_the_first_wave() {
    for (instances, span) in [
        (6, 0.5e6_f64),
        (60, 4.8e6),
        (100, 8e6),
        (300, 8e6),
        (1_000, 8e6),
    ] {
        let many = f64::from(instances);
        for (waited, part_that_fails) in
            [(PATIENCE, 0), (PATIENCE, 1), (PATIENCE, 4), (0, 1), (0, 4)]
        {
            let mut turn = 0;
            let fails = || {
                turn += 1;
                turn % 4 < part_that_fails
            };
            let calls = calls(instances, waited, fails);
            assert!(calls.len() > instances as usize);
            let wave = span.min(FIRST_CALLS);
            let (first, later) = calls.split_at(calls.partition_point(|at| (*at as f64) < wave));
            assert_eq!(
                first.len(),
                instances as usize,
                "one call of each in the first {wave} us"
            );
            let over = worst(first.iter().map(|at| *at as f64), many / wave);
            assert!(
                over <= 3.0 * many.sqrt(),
                "{instances}, {waited}, {part_that_fails} of 4 fail: {over} at first"
            );
            // What discovery has counts as told so soon that a call is wanted within 8 s, which may be before the next
            // span is over: where watches end as soon as they were told, or no call arrives, two of an instance's calls
            // fall into one. Where calls wait in vain none do.
            let each = span
                / many
                / if part_that_fails == 4 && waited > 0 {
                    1.0
                } else {
                    2.0
                };
            let over = worst(later.iter().map(|at| *at as f64), 1.0 / each);
            assert!(
                over <= 3.0 * many.sqrt(),
                "{instances}, {waited}, {part_that_fails} of 4 fail: {over}"
            );
        }
    }
}

/// A watch tells every 2 s that it is there. One that was silent for 3 s is given up; all of a fleet may fall silent in one
/// moment.
#[test]
fn behind_a_watch_that_fell_silent_the_list_is_asked_for_before_its_news_count_as_told() {
    for group_size in [1, 30, 300] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let told = SafetyRules::ASSUMED_NOTIFIED_AFTER + settings.rules.drain_grace;
        let mut asked: Vec<Micros> = Vec::new();
        for seed in 0..u64::from(group_size.max(20)) {
            let mut rig = Rig::seeded(settings.clone(), seed, &fleet(4));
            rig.now += S;
            rig.event(Event::TimerFired(Timer::Discovery));
            rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet(
                4,
            ))));
            rig.actions.clear();
            // Its last word goes by, and the span in which this instance has called.
            rig.now += 20 * S;
            let since = rig.now;
            rig.now += 3 * S;
            rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                list_known_at: since,
                waited: 0,
                connection_broken: false,
            }));
            let at = asks_at(&mut rig).expect("it will ask") - since;
            assert!(
                at + SafetyRules::DISCOVERY_RESPONSE_TIME <= told,
                "{group_size} instances: asked {at} us behind the last word"
            );
            asked.push(at - 3 * S);
        }
        asked.sort_unstable();
        let span = (0.08e6 * f64::from(group_size)).clamp(0.5e6, 5e6);
        let rate = f64::from(group_size.max(20)) / span;
        let over = worst(asked.iter().map(|at| *at as f64), rate);
        assert!(
            over <= 3.0 * f64::from(group_size.max(20)).sqrt(),
            "{group_size} call together: {over} over"
        );
    }
}

/// A zone that is lost is gone for this long, and its instances start again when it returns.
const DOWN: Micros = 5 * S;

/// The watch of an instance ends when its process is killed. What changes from then on counts as told 6 s later, whether or
/// not another process has taken its place meanwhile, and that one has nothing but the list of its configuration.
#[test]
fn an_instance_that_starts_again_asks_in_time_for_what_it_missed() {
    for group_size in [1, 60, 300] {
        let settings = Settings {
            group_size,
            ..settings(&[RetrySafety::Idempotent])
        };
        let allowed = SafetyRules::ASSUMED_NOTIFIED_AFTER + settings.rules.drain_grace - DOWN;
        for seed in 0..40 {
            let first = waits(&settings, seed, 0)[0];
            assert!(
                first + SafetyRules::DISCOVERY_RESPONSE_TIME <= allowed,
                "{group_size} instances: the first call {first} us behind a start"
            );
        }
    }
}
