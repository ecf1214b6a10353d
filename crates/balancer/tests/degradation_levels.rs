//! What a level gives up is given up, at once and by key, and nothing else is.

mod common;
use common::*;
use madderloom_balancer::*;

fn asked_with(rig: &mut Rig, id: RequestId, class: u32, key: Option<u64>) -> Vec<Action> {
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
    let mut set = settings(&[RetrySafety::Idempotent, RetrySafety::Idempotent]);
    set.classes[1].priority_weight = 5.0;
    set
}

#[test]
fn a_class_is_turned_away_by_its_keys_the_same_at_every_instance() {
    let reduced = DegradationEffects {
        rejected_shares: vec![0.3],
        ..DegradationEffects::default()
    };
    let away = |seed: usize| {
        let mut rig = Rig::new(two_classes(), &fleet(4));
        // Another past, and so other random numbers.
        rig.count_by_server(seed as u32 * 7, |_| 20 * MS);
        rig.event(Event::DegradationChanged(&reduced));
        let mut away = Vec::new();
        for key in 0..2_000 {
            let id = 100_000 + key;
            rig.now += 50 * MS;
            let actions = asked_with(&mut rig, id, 0, Some(key));
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
                    away.push(key);
                }
            }
        }
        assert_eq!(rig.balancer.shed_requests(), away.len() as u64);
        away
    };
    let first = away(0);
    assert!(
        (500..700).contains(&first.len()),
        "{} of 2,000",
        first.len()
    );
    assert_eq!(first, away(3));
}

#[test]
fn requests_without_a_key_go_by_chance_and_other_classes_and_the_worthy_stay() {
    let mut rig = Rig::new(two_classes(), &fleet(4));
    rig.event(Event::DegradationChanged(&DegradationEffects {
        rejected_shares: vec![0.5, 1.0],
        exempt_weight: 5.0,
        ..DegradationEffects::default()
    }));
    let served = |rig: &mut Rig, class| {
        let served = (0..1_000).filter(|_| {
            rig.now += 50 * MS;
            rig.serve(class, 20 * MS).is_some()
        });
        served.count()
    };
    let first = served(&mut rig, 0);
    assert!((450..550).contains(&first), "{first} of 1,000");
    assert_eq!(served(&mut rig, 1), 1_000, "it is worthy");
    rig.event(Event::DegradationChanged(&DegradationEffects {
        rejected_shares: vec![0.0, 1.0],
        ..DegradationEffects::default()
    }));
    assert_eq!((served(&mut rig, 0), served(&mut rig, 1)), (1_000, 0));
    rig.event(Event::DegradationChanged(&DegradationEffects::default()));
    assert_eq!(served(&mut rig, 1), 1_000, "all is well again at once");
}

#[test]
fn what_is_left_of_the_retry_budget_is_what_the_level_says() {
    for (retries, least, most) in [(1.0, 15, 200), (0.1, 1, 5), (0.0, 0, 0)] {
        let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(8));
        rig.event(Event::DegradationChanged(&DegradationEffects {
            retry_budget_factor: retries,
            ..DegradationEffects::default()
        }));
        let mut again = 0;
        for _ in 0..100 {
            rig.now += 50 * MS;
            let (id, actions) = rig.request(0);
            let Some(server) = sent(&actions) else {
                continue;
            };
            let next = rig.close(id, 0, server, Outcome::Full, MS);
            if let Some(second) = sent(&next) {
                again += 1;
                rig.close(id, 1, second, Outcome::Ok, 20 * MS);
            }
        }
        assert!(
            (least..=most).contains(&again),
            "{again} retries where {retries} of the budget are left"
        );
    }
}

#[test]
fn a_level_may_stop_probes_and_shorten_what_is_waited_for() {
    let mut set = settings(&[RetrySafety::NonIdempotent]);
    (set.limits.probes, set.group_size) = (true, 40);
    let mut rig = Rig::new(set, &fleet(8));
    assert!(
        !probed_servers(&rig.request(0).1).is_empty(),
        "usually it asks"
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
        "given up after {waited} us"
    );
}
