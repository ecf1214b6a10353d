//! A degradation level takes effect at once and sheds requests by key; what it does not restrict stays as it is.

mod common;
use common::*;
use madderloom_balancer::*;

fn request_with_key(rig: &mut Rig, id: RequestId, class: u32, key: Option<u64>) -> Vec<Action> {
    let time_left = 1_200 * MS;
    rig.event(Event::RequestReceived(NewRequest {
        id,
        class,
        tenant: 0,
        key,
        time_left,
        cost_hint: None,
        client_retry: false,
    }))
}

fn two_classes() -> Settings {
    let mut settings = settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]);
    settings.classes[1].priority_weight = 5.0;
    settings
}

#[test]
fn all_instances_shed_the_same_keys_of_a_class() {
    let effects = DegradationEffects {
        rejected_shares: vec![0.3],
        ..DegradationEffects::default()
    };
    let rejected_keys = |seed: usize| {
        let mut rig = Rig::new(two_classes(), &fleet(4));
        // A different history, and so different random numbers.
        rig.count_by_server(seed as u32 * 7, |_| 20 * MS);
        rig.event(Event::DegradationChanged(&effects));
        let mut rejected_keys = Vec::new();
        for key in 0..2_000 {
            let id = 100_000 + key;
            rig.now += 50 * MS;
            let actions = request_with_key(&mut rig, id, 0, Some(key));
            match sent(&actions) {
                Some(server) => drop(rig.close(id, 0, server, Outcome::Ok, 20 * MS)),
                None => {
                    let retry_after = Some(2 * S);
                    assert_eq!(
                        actions,
                        [Action::Reject {
                            request: id,
                            retry_after
                        }]
                    );
                    rejected_keys.push(key);
                }
            }
        }
        assert_eq!(rig.balancer.shed_requests(), rejected_keys.len() as u64);
        rejected_keys
    };
    let first = rejected_keys(0);
    assert!(
        (500..700).contains(&first.len()),
        "{} of 2,000",
        first.len()
    );
    assert_eq!(first, rejected_keys(3));
}

#[test]
fn requests_without_a_key_are_shed_at_random_and_exempt_or_other_classes_are_not() {
    let mut rig = Rig::new(two_classes(), &fleet(4));
    rig.event(Event::DegradationChanged(&DegradationEffects {
        rejected_shares: vec![0.5, 1.0],
        exempt_weight: 5.0,
        ..DegradationEffects::default()
    }));
    let count_served = |rig: &mut Rig, class| {
        let served = (0..1_000).filter(|_| {
            rig.now += 50 * MS;
            rig.serve(class, 20 * MS).is_some()
        });
        served.count()
    };
    let first = count_served(&mut rig, 0);
    assert!((450..550).contains(&first), "{first} of 1,000");
    assert_eq!(
        count_served(&mut rig, 1),
        1_000,
        "its priority weight is exempt"
    );
    rig.event(Event::DegradationChanged(&DegradationEffects {
        rejected_shares: vec![0.0, 1.0],
        ..DegradationEffects::default()
    }));
    assert_eq!(
        (count_served(&mut rig, 0), count_served(&mut rig, 1)),
        (1_000, 0)
    );
    rig.event(Event::DegradationChanged(&DegradationEffects::default()));
    assert_eq!(count_served(&mut rig, 1), 1_000, "nothing is shed any more");
}

#[test]
fn a_level_reduces_the_retry_budget() {
    for (budget_factor, min, max) in [(1.0, 15, 200), (0.1, 1, 5), (0.0, 0, 0)] {
        let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(8));
        rig.event(Event::DegradationChanged(&DegradationEffects {
            retry_budget_factor: budget_factor,
            ..DegradationEffects::default()
        }));
        let mut retried = 0;
        for _ in 0..100 {
            rig.now += 50 * MS;
            let (id, actions) = rig.request(0);
            let Some(server) = sent(&actions) else {
                continue;
            };
            let retry_actions = rig.close(id, 0, server, Outcome::Full, MS);
            if let Some(second) = sent(&retry_actions) {
                retried += 1;
                rig.close(id, 1, second, Outcome::Ok, 20 * MS);
            }
        }
        assert!(
            (min..=max).contains(&retried),
            "{retried} retries with {budget_factor} of the retry budget"
        );
    }
}

#[test]
fn a_level_may_disable_probes_and_shorten_timeouts() {
    let mut settings = settings(&[RetrySafety::NonIdempotent]);
    (settings.limits.probes, settings.group_size) = (true, 40);
    let mut rig = Rig::new(settings, &fleet(8));
    assert!(
        !probed_servers(&rig.request(0).1).is_empty(),
        "probes are sent without the level"
    );
    rig.event(Event::DegradationChanged(&DegradationEffects {
        allows_probes: false,
        timeout_factor: 0.5,
        ..DegradationEffects::default()
    }));
    let start = rig.now;
    let (id, mut actions) = rig.request(0);
    assert!(probed_servers(&actions).is_empty() && sent(&actions).is_some());
    while let Some(at) = timer_at(&actions) {
        actions = rig.fire_timer(at, id);
    }
    let waited = rig.now - start;
    assert!(
        failed(&actions) && (590 * MS..=600 * MS).contains(&waited),
        "failed after {waited} us"
    );
}
