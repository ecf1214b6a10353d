//! A response that a server has begun: what it would earn no longer ends it, only its client's deadline does.

mod common;

use common::{MS, Rig, failed, fleet, rejected, sent, settings};
use madderloom_balancer::*;

const KEYED: RetrySafety = RetrySafety::IdempotentWithKey {
    scope: DeduplicationScope::All,
    window: 4_000 * MS,
};
/// As the requests of the rig and the settings have them.
const LATENCY_OBJECTIVE: Micros = 400 * MS;
const CLIENT_TIME: Micros = 1_200 * MS;
const TICK: Micros = 5 * MS;
const UNTIL_HEAD: Micros = 40 * MS;

/// A request whose response has begun, with its server.
fn begun(rig: &mut Rig) -> (RequestId, ServerId, Vec<Action>) {
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    rig.now += UNTIL_HEAD;
    let actions = rig.event(Event::ResponseStarted {
        request: id,
        attempt: 0,
    });
    (id, server, actions)
}

#[test]
fn a_response_that_has_begun_is_awaited_until_its_clients_deadline() {
    for safety in [RetrySafety::Idempotent, KEYED, RetrySafety::NonIdempotent] {
        let mut rig = Rig::new(settings(&[safety]), &fleet(3));
        let received_at = rig.now;
        let (id, _, actions) = begun(&mut rig);
        let deadline = received_at + CLIENT_TIME - TICK;
        let until = ClientDeadline(deadline);
        let (request, attempt) = (id, 0);
        let awaited = Action::AwaitResponse {
            request,
            attempt,
            until,
        };
        assert_eq!(actions, [awaited]);
        let actions = rig.fire_timer(received_at + LATENCY_OBJECTIVE, id);
        let timer = Timer::Request(id);
        assert_eq!(
            actions,
            [Action::SetTimer {
                at: deadline,
                timer
            }]
        );
        let actions = rig.fire_timer(deadline, id);
        assert!(failed(&actions) || rejected(&actions), "{actions:?}");
    }
}

#[test]
fn degradation_shortens_no_response_that_has_begun() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(3));
    let effects = DegradationEffects {
        timeout_factor: 0.25,
        ..DegradationEffects::default()
    };
    rig.event(Event::DegradationChanged(&effects));
    let received_at = rig.now;
    let (id, _, _) = begun(&mut rig);
    let actions = rig.fire_timer(received_at + CLIENT_TIME / 4, id);
    assert!(!failed(&actions) && !rejected(&actions), "{actions:?}");
}

/// A keyed request whose response broke off within the time in which another one is worth its wait is sent again, with the limit
/// that holds before a response begins.
#[test]
fn a_request_whose_response_broke_off_waits_for_a_response_again() {
    let mut rig = Rig::new(settings(&[KEYED]), &fleet(3));
    let received_at = rig.now;
    let (id, server, _) = begun(&mut rig);
    rig.now += UNTIL_HEAD;
    let actions = rig.close(id, 0, server, Outcome::Reset, 2 * UNTIL_HEAD);
    let limit = actions.iter().find_map(|action| match action {
        Action::Send { timeout_at, .. } => Some(*timeout_at),
        _ => None,
    });
    assert_eq!(limit, Some(received_at + LATENCY_OBJECTIVE - TICK));
    let actions = rig.fire_timer(received_at + LATENCY_OBJECTIVE, id);
    assert!(failed(&actions), "{actions:?}");
}

#[test]
fn a_response_that_breaks_off_when_no_other_would_earn_anything_ends_the_request_at_once() {
    let mut rig = Rig::new(settings(&[KEYED]), &fleet(3));
    let (id, server, _) = begun(&mut rig);
    rig.now += LATENCY_OBJECTIVE;
    let elapsed = UNTIL_HEAD + LATENCY_OBJECTIVE;
    let actions = rig.close(id, 0, server, Outcome::Reset, elapsed);
    assert!(failed(&actions), "{actions:?}");
}

/// Responses that are long under way hold no place in the limit on requests in flight, and are given back exactly once.
#[test]
fn responses_that_have_begun_do_not_count_as_in_flight() {
    let in_flight = |rig: &Rig| rig.balancer.snapshot(rig.now).classes[0].in_flight;
    for outcome in [Outcome::Ok, Outcome::Timeout, Outcome::Reset] {
        let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(3));
        let (id, server, _) = begun(&mut rig);
        assert_eq!(in_flight(&rig), 0);
        let (other, actions) = rig.request(0);
        let other_server = sent(&actions).expect("sent");
        assert_eq!(in_flight(&rig), 1);
        rig.close(id, 0, server, outcome, UNTIL_HEAD);
        assert_eq!(in_flight(&rig), 1, "{outcome:?}");
        rig.close(other, 0, other_server, Outcome::Ok, UNTIL_HEAD);
        assert_eq!(in_flight(&rig), 0, "{outcome:?}");
    }
}

/// The time in which a body comes says nothing about the work of its class.
#[test]
fn a_slow_body_raises_neither_the_service_time_nor_the_latency_of_its_class() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(3));
    for _ in 0..100 {
        let (id, server, _) = begun(&mut rig);
        rig.now += 800 * MS;
        rig.close(id, 0, server, Outcome::Ok, UNTIL_HEAD + 800 * MS);
    }
    let class = rig.balancer.snapshot(rig.now).classes.remove(0);
    assert!(class.service_time <= 1.2 * UNTIL_HEAD as f64);
    assert!(class.latency_ratio <= UNTIL_HEAD as f64 / LATENCY_OBJECTIVE as f64);
}

#[test]
fn a_start_of_what_has_ended_or_never_was_changes_nothing() {
    let mut rig = Rig::new(settings(&[KEYED]), &fleet(3));
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    for (request, attempt) in [(id, 1), (id + 1, 0)] {
        let actions = rig.event(Event::ResponseStarted { request, attempt });
        assert!(actions.is_empty(), "{actions:?}");
    }
    rig.close(id, 0, server, Outcome::Ok, UNTIL_HEAD);
    let (request, attempt) = (id, 0);
    let actions = rig.event(Event::ResponseStarted { request, attempt });
    assert!(actions.is_empty(), "{actions:?}");
}
